package messenger

import (
	"context"
	"math/rand/v2"
	"time"
)

// KeepConnected dials address, and dials again whenever there is no connection, until
// the Hub stops. A second call for an address has no effect.
func (h *Hub) KeepConnected(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dialing[address] || address == h.Self.Address || h.ctx.Err() != nil {
		return
	}
	h.dialing[address] = true
	h.done.Go(func() { h.redial(address) })
}

// redial keeps a connection to address, with a jittered, growing wait between
// tries.
func (h *Hub) redial(address string) {
	wait := minRedial
	for h.ctx.Err() == nil {
		if h.connected(address) {
			wait = h.Settings.MaxRedial / 2
		} else if h.dial(address) {
			wait = minRedial
		} else {
			wait = min(2*wait, h.Settings.MaxRedial)
		}
		pause := wait/2 + rand.N(wait)
		select {
		case <-h.ctx.Done():
		case <-time.After(pause):
		}
	}
}

// connected tells whether the peer behind address has a connection, by this
// address or another.
func (h *Hub) connected(address string) bool {
	h.mu.Lock()
	met := h.behind[address]
	h.mu.Unlock()
	for _, s := range h.list() {
		s.mu.Lock()
		live := s.wire != nil && (s.peer.Address == address || s.peer.Incarnation == met)
		s.mu.Unlock()
		if live {
			return true
		}
	}
	return false
}

// dial opens a connection to address and its session. It returns when the
// connection has ended; false means that no session came about.
func (h *Hub) dial(address string) bool {
	c, err := h.Dial(h.ctx, address)
	if err != nil {
		return false
	}
	w := h.newWire(c)
	defer w.close()
	defer w.settle(nil)
	ctx, cancel := context.WithTimeout(h.ctx, helloTimeout)
	defer cancel()
	var peer hello
	if _, err := w.rpc.Call(ctx, methodHello, hello{Identity: h.Self}, &peer); err != nil {
		return false
	}
	h.mu.Lock()
	h.behind[address] = peer.Identity.Incarnation
	h.mu.Unlock()
	if h.connected(address) {
		return true
	}
	s := h.session(peer.Identity)
	if s == nil || !h.attach(w, s, peer, h.Self.Name < peer.Identity.Name) {
		return false
	}
	if err := w.rpc.Notify(ctx, methodBegin, h.greeting(s)); err != nil {
		h.dropped(s, w)
		return false
	}
	h.done.Go(func() { h.write(s, w) })
	<-w.rpc.Done()
	h.dropped(s, w)
	return true
}

func (h *Hub) greeting(s *session) hello {
	s.mu.Lock()
	defer s.mu.Unlock()
	return hello{Identity: h.Self, Epoch: s.epoch, PeerEpoch: s.peerEpoch, Received: s.received, Entries: h.known()}
}

func (h *Hub) known() []string {
	if h.KnownEntries == nil {
		return nil
	}
	return h.KnownEntries()
}
