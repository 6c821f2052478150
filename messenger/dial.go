package messenger

import (
	"context"
	"math/rand/v2"
	"time"
)

// KeepConnected dials address, and redials it whenever there is no connection,
// until the Hub stops. Further calls for the same address have no effect.
func (h *Hub) KeepConnected(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dialing[address] || address == h.Self.Address || h.ctx.Err() != nil {
		return
	}
	h.dialing[address] = true
	h.goroutines.Go(func() { h.redialLoop(address) })
}

// redialLoop keeps a connection to address open. The delay between attempts
// grows exponentially up to MaxRedialDelay, with jitter.
func (h *Hub) redialLoop(address string) {
	wait := minRedialDelay
	for h.ctx.Err() == nil {
		if h.isConnected(address) {
			wait = h.Settings.MaxRedialDelay / 2
		} else if h.dial(address) {
			wait = minRedialDelay
		} else {
			wait = min(2*wait, h.Settings.MaxRedialDelay)
		}
		pause := wait/2 + rand.N(wait)
		select {
		case <-h.ctx.Done():
		case <-time.After(pause):
		}
	}
}

// isConnected reports whether the peer at address has a connection, dialed to
// this or another address or accepted from the peer.
func (h *Hub) isConnected(address string) bool {
	h.mu.Lock()
	incarnation := h.incarnationAt[address]
	h.mu.Unlock()
	for _, s := range h.allSessions() {
		s.mu.Lock()
		connected := s.conn != nil && (s.peer.Address == address || s.peer.Incarnation == incarnation)
		s.mu.Unlock()
		if connected {
			return true
		}
	}
	return false
}

// dial opens a connection to address and opens or resumes the session with the
// peer. It returns true when the connection has ended, or at once if the peer is
// already connected, and false if it could not open the session.
func (h *Hub) dial(address string) bool {
	netConn, err := h.Dial(h.ctx, address)
	if err != nil {
		return false
	}
	c := h.newConn(netConn)
	defer c.close()
	defer c.setSession(nil)
	ctx, cancel := context.WithTimeout(h.ctx, helloTimeout)
	defer cancel()
	var peerHello hello
	if _, err := c.rpc.Call(ctx, methodHello, hello{Identity: h.Self}, &peerHello); err != nil {
		return false
	}
	h.mu.Lock()
	h.incarnationAt[address] = peerHello.Identity.Incarnation
	h.mu.Unlock()
	if h.isConnected(address) {
		return true
	}
	s := h.ensureSession(peerHello.Identity)
	if s == nil || !h.attach(c, s, peerHello, h.Self.Name < peerHello.Identity.Name) {
		return false
	}
	if err := c.rpc.Notify(ctx, methodBegin, h.newHello(s)); err != nil {
		h.connEnded(s, c)
		return false
	}
	h.goroutines.Go(func() { h.writeLoop(s, c) })
	<-c.rpc.Done()
	h.connEnded(s, c)
	return true
}

// newHello returns a hello with this process's state of the session.
func (h *Hub) newHello(s *session) hello {
	s.mu.Lock()
	defer s.mu.Unlock()
	return hello{Identity: h.Self, Epoch: s.localEpoch, PeerEpoch: s.peerEpoch, Received: s.lastReceived, Entries: h.knownEntries()}
}

func (h *Hub) knownEntries() []string {
	if h.KnownEntries == nil {
		return nil
	}
	return h.KnownEntries()
}
