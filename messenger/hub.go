package messenger

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/selector"
)

const (
	helloTimeout   = 2 * time.Second        // until the session of a new connection is open
	minRedialDelay = 50 * time.Millisecond  // also the delay after a failed accept
	checkInterval  = 100 * time.Millisecond // between two checks of the session timeouts
	maxNextEpochs  = 1 << 16                // size limit of Hub.nextEpochs
	// MaxKnownEntries limits the entries that a process knows and dials: peers name them.
	MaxKnownEntries = 500
	// maxIdentityBytes is the longest part of an identity; names have up to 64 bytes.
	maxIdentityBytes = 256
	ackThreshold     = 256 // unacknowledged received messages that trigger an acknowledgement at once
	methodHello      = "hello"
	methodBegin      = "begin"
	methodBatch      = "batch"
	methodPing       = "ping"
)

// hello is the sender's state of a session, exchanged when a connection opens.
// Epoch is the sender's epoch, PeerEpoch the receiver's epoch as last seen by the
// sender, Received the number of the last message that the sender received in the
// session of these two epochs, Sent the stamp of the hello, and Entries the addresses
// of the entries that the sender knows. A hello confirms no contact, since messages of
// its sender may be queued; the first batch does, which echoes Sent.
type hello struct {
	Identity  protocol.Identity `json:"identity"`
	Epoch     uint64            `json:"epoch"`
	PeerEpoch uint64            `json:"peer-epoch"`
	Received  uint64            `json:"received"`
	Sent      int64             `json:"sent,omitempty"`
	Entries   []string          `json:"entries,omitempty"`
	Challenge string            `json:"challenge,omitempty"` // to be answered by the proof of the receiver
	Proof     string            `json:"proof,omitempty"`     // see handshake
}

// Hub manages the sessions of a process. Set the exported fields before Start.
// Deliver is called for each received message, in order per peer, SessionOpened
// when a session opens, and SessionClosed when an open session has been closed.
// These functions must not block, nor call methods that wait for a peer.
type Hub struct {
	Settings      Settings
	Self          protocol.Identity
	Key           []byte // shared by all processes, which prove to each other that they know it; empty: whoever connects is a peer
	Deliver       func(from protocol.Identity, m protocol.Message)
	SessionOpened func(peer protocol.Identity)
	SessionClosed func(peer protocol.Identity)
	AddEntries    func(addresses []string)                                    // receives the entry addresses of a peer's hello
	KnownEntries  func() []string                                             // returns the entry addresses to send in a hello
	Dial          func(ctx context.Context, address string) (net.Conn, error) // default: TCP with Settings.DialTimeout
	Clock         func() int64                                                // returns the hybrid logical clock to send
	ObserveClock  func(clock int64)                                           // receives the hybrid logical clock of a peer
	ReportPanic   func(peer string, value any, stack []byte)                  // receives the panic of a request; peer is empty without a session
	Traffic       Traffic

	// ReserveFrame waits for memory for a large frame on an accepted connection and returns
	// the bytes reserved, 0 if done is closed before. ReleaseFrame returns them. nil: there is
	// no limit.
	ReserveFrame func(done <-chan struct{}, bytes int64) int64
	ReleaseFrame func(bytes int64)

	lifecycleMu   sync.Mutex // serializes SessionOpened and SessionClosed; acquired before every other lock but conn.writeMu
	mu            sync.Mutex
	sessions      map[string]*session
	nextEpochs    map[string]uint64 // by incarnation: local epoch of the next session, for closed sessions
	selector      selector.Selector // entries to keep connected
	dialing       map[string]bool   // by address: it has a redialLoop
	incarnationAt map[string]string // by address: the incarnation that last answered a hello there
	startedAt     time.Time
	ctx           context.Context
	cancel        context.CancelFunc
	goroutines    sync.WaitGroup
	listener      net.Listener
}

// Start starts the Hub and accepts connections on l, which may be nil for
// a process that only dials.
func (h *Hub) Start(l net.Listener) {
	h.Settings = h.Settings.withDefaults()
	h.startedAt = time.Now()
	h.sessions = make(map[string]*session)
	h.nextEpochs = make(map[string]uint64)
	h.dialing = make(map[string]bool)
	h.selector.Self, h.selector.Limit = h.Self.Name, h.Settings.MaxEntries
	h.selector.Most = MaxKnownEntries
	h.incarnationAt = make(map[string]string)
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.listener = l
	if h.Dial == nil {
		dialer := &net.Dialer{Timeout: h.Settings.DialTimeout}
		h.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	if l != nil {
		h.goroutines.Go(func() { h.acceptLoop(l) })
	}
	h.goroutines.Go(h.monitorSessions)
}

// Stop closes all connections and waits for the Hub's goroutines to end.
func (h *Hub) Stop() {
	h.cancel()
	if h.listener != nil {
		h.listener.Close()
	}
	for _, s := range h.allSessions() {
		s.mu.Lock()
		s.detach()
		s.mu.Unlock()
	}
	h.goroutines.Wait()
}

// AwaitDelivery waits until every connected peer has acknowledged all messages,
// or ctx is done.
func (h *Hub) AwaitDelivery(ctx context.Context) {
	for ctx.Err() == nil && h.hasUnacked() {
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// hasUnacked reports whether a connected peer has not acknowledged all messages.
func (h *Hub) hasUnacked() bool {
	for _, s := range h.allSessions() {
		s.mu.Lock()
		pending := s.conn != nil && len(s.unacked) > 0
		s.mu.Unlock()
		if pending {
			return true
		}
	}
	return false
}

func (h *Hub) allSessions() []*session {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]*session, 0, len(h.sessions))
	for _, s := range h.sessions {
		list = append(list, s)
	}
	return list
}

func (h *Hub) findSession(incarnation string) *session {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sessions[incarnation]
}

// Send queues m for the peer with the given incarnation and wakes the writer. It
// returns false if no session with the peer is open; m is then not delivered.
func (h *Hub) Send(incarnation string, m protocol.Message) bool {
	if !h.Queue(incarnation, m) {
		return false
	}
	h.Wake(incarnation)
	return true
}

// Queue queues m like Send, without waking the writer. Call Wake or Flush to have
// queued messages written.
func (h *Hub) Queue(incarnation string, m protocol.Message) bool {
	s := h.findSession(incarnation)
	if s == nil || !s.enqueue(m) {
		return false
	}
	h.Traffic.MessagesOut.Add(1)
	return true
}

// Wake makes the writer of the session write the queued messages.
func (h *Hub) Wake(incarnation string) {
	if s := h.findSession(incarnation); s != nil {
		s.wakeWriter()
	}
}

// Peers returns the identities of the peers that have a session.
func (h *Hub) Peers() []protocol.Identity {
	var ids []protocol.Identity
	for _, s := range h.allSessions() {
		ids = append(ids, s.peer)
	}
	return ids
}

// Reachable reports whether the peer is connected and its last contact was less
// than d ago.
func (h *Hub) Reachable(incarnation string, d time.Duration) bool {
	s := h.findSession(incarnation)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn != nil && time.Since(s.lastContact) < d
}

// MillisSinceContact returns the milliseconds since the last contact with the
// peer, or -1 if it is not connected.
func (h *Hub) MillisSinceContact(incarnation string) int64 {
	s := h.findSession(incarnation)
	if s == nil {
		return -1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return -1
	}
	return time.Since(s.lastContact).Milliseconds()
}

// Ping sends a ping to the peer and waits for the reply.
func (h *Hub) Ping(ctx context.Context, incarnation string) error {
	s := h.findSession(incarnation)
	if s == nil {
		return &Error{Op: "ping", Kind: KindUnreachable, Detail: incarnation}
	}
	s.mu.Lock()
	c := s.conn
	s.mu.Unlock()
	if c == nil {
		return &Error{Op: "ping", Kind: KindUnreachable, Detail: incarnation}
	}
	var reply struct{}
	if _, err := c.rpc.Call(ctx, methodPing, struct{}{}, &reply); err != nil {
		return &Error{Op: "ping", Kind: KindUnreachable, Detail: incarnation, Err: err}
	}
	return nil
}

// isShort reports whether all parts of an identity are at most maxIdentityBytes long. They
// are kept for as long as the session, the incarnation for longer.
func isShort(i protocol.Identity) bool {
	for _, s := range []string{i.Name, i.Incarnation, string(i.Role), i.Zone, i.Address, i.OperatorAddress} {
		if len(s) > maxIdentityBytes {
			return false
		}
	}
	return true
}

// ensureSession returns the session with the peer, and creates it if needed. It
// returns nil if the peer has this process's name, no incarnation or a long identity.
func (h *Hub) ensureSession(peer protocol.Identity) *session {
	if peer.Name == h.Self.Name || peer.Incarnation == "" || !isShort(peer) {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.sessions[peer.Incarnation]
	if s == nil {
		epoch, known := h.nextEpochs[peer.Incarnation]
		if !known {
			epoch = uint64(rand.Uint32()) + 1
		}
		s = newSession(peer, epoch, time.Now())
		h.sessions[peer.Incarnation] = s
	}
	return s
}

// closeReplaced closes the sessions with other incarnations of the process of s, also
// those that are not open, so that a begin that answers an earlier hello is refused.
// The caller holds h.lifecycleMu.
func (h *Hub) closeReplaced(s *session) {
	for _, other := range h.allSessions() {
		if other != s && other.peer.Name == s.peer.Name {
			h.closeSessionLocked(other)
		}
	}
}

// wasReplacedSince reports whether a session with another incarnation of the process
// of s has been opened since t.
func (h *Hub) wasReplacedSince(t time.Time, s *session) bool {
	for _, other := range h.allSessions() {
		if other == s || other.peer.Name != s.peer.Name {
			continue
		}
		other.mu.Lock()
		replaced := other.open && other.openedAt.After(t)
		other.mu.Unlock()
		if replaced {
			return true
		}
	}
	return false
}

// attach makes c the connection of the session, and opens the session if it is
// not open. Opening it closes the sessions with other incarnations of the process.
// attach returns false in these cases:
//   - The session was closed.
//   - The session has a live preferred connection, and c is not preferred.
//   - The peer sent the hello before it closed an earlier session. Hellos on two
//     connections may arrive in any order.
//   - The peer claims to have received messages that were never queued in this
//     session.
//   - The peer was dialed, and a session with another incarnation of the process
//     has been opened since the hello was sent. The answer may be that of the
//     earlier one; the next attempt to dial will show.
func (h *Hub) attach(c *conn, s *session, peerHello hello, preferred bool) bool {
	h.lifecycleMu.Lock()
	defer h.lifecycleMu.Unlock()
	if s.hasNewerPeerEpoch(peerHello.Epoch) || !c.helloSentAt.IsZero() && h.wasReplacedSince(c.helloSentAt, s) {
		return false
	}
	h.resetIfPeerClosed(s, peerHello.Epoch)
	s.mu.Lock()
	if s.closed || s.conn != nil && s.preferred && !preferred && time.Since(s.lastContact) < h.timing(s).ConnectionTimeout {
		s.mu.Unlock()
		return false
	}
	if peerHello.PeerEpoch == s.localEpoch && s.exceedsQueued(peerHello.Received) {
		s.mu.Unlock()
		return false // both sides start a new session once this one has timed out
	}
	opened := !s.open
	s.detach()
	if opened {
		s.open, s.openedAt = true, time.Now()
	}
	s.lastSent = 0
	if peerHello.PeerEpoch == s.localEpoch {
		s.acknowledge(peerHello.Received)
		s.lastSent = peerHello.Received
	}
	s.peerEpoch = peerHello.Epoch
	s.peerStamp = max(s.peerStamp, peerHello.Sent)
	s.echo = 0 // what was written on an earlier connection may be lost
	s.markEcho()
	s.lastAcked = 0
	s.conn, s.preferred = c, preferred
	s.lastContact = time.Now()
	s.mu.Unlock()
	if opened {
		h.closeReplaced(s)
	}
	if opened && h.SessionOpened != nil {
		h.SessionOpened(peerHello.Identity)
	}
	c.setSession(s)
	if h.AddEntries != nil && len(peerHello.Entries) > 0 {
		h.AddEntries(peerHello.Entries)
	}
	return true
}

// resetIfPeerClosed resets the session if the peer has closed it, which a changed
// peer epoch indicates. The caller holds h.lifecycleMu.
func (h *Hub) resetIfPeerClosed(s *session, peerEpoch uint64) {
	s.deliveryMu.Lock()
	defer s.deliveryMu.Unlock()
	s.mu.Lock()
	closedByPeer := s.open && s.peerEpoch != peerEpoch
	if closedByPeer {
		s.reset()
	}
	peer := s.peer
	s.mu.Unlock()
	if closedByPeer && h.SessionClosed != nil {
		h.SessionClosed(peer)
	}
}

// connEnded detaches c from the session after c has ended.
func (h *Hub) connEnded(s *session, c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == c {
		s.detach()
	}
}
