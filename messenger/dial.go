package messenger

import (
	"context"
	"math/rand/v2"
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

// longRedialDelay is the time between two attempts to reach an entry that has been
// unreachable for long.
const longRedialDelay = 2 * time.Second

// KeepConnected adds entries by their addresses. The Hub keeps connections to all
// entries that it knows, or to Settings.MaxEntries of them, until it stops.
func (h *Hub) KeepConnected(addresses ...string) {
	h.mu.Lock()
	added := false
	for _, address := range addresses {
		if address != h.Self.Address {
			added = h.selector.Add(address) || added
		}
	}
	h.mu.Unlock()
	if added {
		h.chooseEntries()
	}
}

// chooseEntries selects the entries to connect to and starts dialing the new ones.
func (h *Hub) chooseEntries() {
	connected := h.connectedAddresses()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx.Err() != nil {
		return
	}
	for _, address := range h.selector.Choose(time.Now(), func(address string) bool { return connected[address] }) {
		if !h.dialing[address] {
			h.dialing[address] = true
			h.goroutines.Go(func() { h.redialLoop(address) })
		}
	}
}

// connectedAddresses returns the addresses at which connected entries are known.
func (h *Hub) connectedAddresses() map[string]bool {
	connected, incarnations := make(map[string]bool), make(map[string]bool)
	for _, s := range h.allSessions() {
		s.mu.Lock()
		if s.conn != nil && s.peer.Role == protocol.RoleEntry {
			connected[s.peer.Address] = true
			incarnations[s.peer.Incarnation] = true
		}
		s.mu.Unlock()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for address, incarnation := range h.incarnationAt {
		if incarnations[incarnation] {
			connected[address] = true
		}
	}
	return connected
}

// SurplusEntries returns the incarnations of connected entries whose connection is
// no longer needed, since all preferred entries are connected. An entry also known at
// a preferred address is not surplus.
func (h *Hub) SurplusEntries() []string {
	h.mu.Lock()
	surplus := make(map[string]bool)
	for _, address := range h.selector.Surplus(time.Now()) {
		surplus[address] = true
	}
	preferredIncarnations := make(map[string]bool)
	for address, incarnation := range h.incarnationAt {
		if h.dialing[address] && !surplus[address] {
			preferredIncarnations[incarnation] = true
		}
	}
	h.mu.Unlock()
	if len(surplus) == 0 {
		return nil
	}
	var incarnations []string
	for _, p := range h.Peers() {
		if p.Role == protocol.RoleEntry && surplus[p.Address] && !preferredIncarnations[p.Incarnation] {
			incarnations = append(incarnations, p.Incarnation)
		}
	}
	return incarnations
}

// ReleaseEntry closes the session with a surplus entry and does not dial it again,
// unless it is needed later. It must not be called from Deliver, SessionOpened or
// SessionClosed.
func (h *Hub) ReleaseEntry(incarnation string) {
	s := h.findSession(incarnation)
	if s == nil {
		return
	}
	h.mu.Lock()
	h.selector.Release(s.peer.Address)
	for address, known := range h.incarnationAt {
		if known == incarnation {
			h.selector.Release(address)
		}
	}
	h.mu.Unlock()
	h.closeSession(s)
}

// redialLoop keeps a connection to address open while the selector chooses it. The
// delay between attempts grows exponentially up to MaxRedialDelay, with jitter.
func (h *Hub) redialLoop(address string) {
	wait := minRedialDelay
	for h.ctx.Err() == nil {
		if h.isConnected(address) {
			wait = h.Settings.MaxRedialDelay / 2
		} else if !h.continueDialing(address) {
			return
		} else if h.dial(address) {
			wait = minRedialDelay
		} else {
			wait = min(2*wait, h.Settings.MaxRedialDelay)
		}
		pause := wait/2 + rand.N(wait)
		if h.isLongUnreachable(address) {
			pause = longRedialDelay/2 + rand.N(longRedialDelay)
		}
		select {
		case <-h.ctx.Done():
		case <-time.After(pause):
		}
	}
}

// continueDialing reports whether the address is still chosen. If not, its redialLoop
// has to end, and chooseEntries may start another one later.
func (h *Hub) continueDialing(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.selector.IsChosen(address) {
		return true
	}
	delete(h.dialing, address)
	return false
}

func (h *Hub) isLongUnreachable(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.selector.IsLongUnreachable(time.Now(), address)
}

// isConnected reports whether the entry at address has a connection, dialed to this
// or another address or accepted from the entry.
func (h *Hub) isConnected(address string) bool { return h.connectedAddresses()[address] }

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
	c.helloSentAt = time.Now()
	challenge := newChallenge()
	if _, err := c.rpc.Call(ctx, methodHello, hello{Identity: h.Self, Challenge: challenge}, &peerHello); err != nil {
		return false
	}
	shake := handshake{dialed: h.Self, accepted: peerHello.Identity, dialedChallenge: challenge, acceptedChallenge: peerHello.Challenge}
	if !shake.isProof(h.Key, proofOfAccepted, peerHello.Proof) {
		return false
	}
	h.mu.Lock()
	h.incarnationAt[address] = peerHello.Identity.Incarnation
	h.mu.Unlock()
	if h.isConnected(address) {
		return true
	}
	s := h.ensureSession(peerHello.Identity)
	if s == nil || !h.begin(ctx, c, s, peerHello, shake.proof(h.Key, proofOfDialed)) {
		return false
	}
	h.goroutines.Go(func() { h.writeLoop(s, c) })
	<-c.rpc.Done()
	h.connEnded(s, c)
	return true
}

// begin attaches c to the session and tells the peer, with the proof that this process knows
// the key. It returns false if the session does not accept c or the peer could not be told.
func (h *Hub) begin(ctx context.Context, c *conn, s *session, peerHello hello, proof string) bool {
	c.writeMu.Lock() // the peer handles no batch before the begin
	defer c.writeMu.Unlock()
	if !h.attach(c, s, peerHello, h.Self.Name < peerHello.Identity.Name) {
		return false
	}
	own := h.newHello(s)
	own.Proof = proof
	if err := c.rpc.Notify(ctx, methodBegin, own); err != nil {
		h.connEnded(s, c)
		return false
	}
	return true
}

// newHello returns a hello with this process's state of the session.
func (h *Hub) newHello(s *session) hello {
	s.mu.Lock()
	defer s.mu.Unlock()
	return hello{
		Identity: h.Self, Epoch: s.localEpoch, PeerEpoch: s.peerEpoch, Received: s.lastReceived,
		Sent: h.stamp(), Entries: h.knownEntries(),
	}
}

func (h *Hub) knownEntries() []string {
	if h.KnownEntries == nil {
		return nil
	}
	return h.KnownEntries()
}
