package messenger

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

const (
	helloTimeout  = 2 * time.Second
	minRedial     = 50 * time.Millisecond
	sweepInterval = 100 * time.Millisecond
	maxBuried     = 1 << 16 // epochs of given-up sessions remembered
	ackEvery      = 256     // messages received that force an acknowledgement
	methodHello   = "hello"
	methodBegin   = "begin"
	methodBatch   = "batch"
	methodPing    = "ping"
)

// hello opens or resumes a session. Epoch is the sender's, PeerEpoch the
// receiver's as the sender last saw it, Received the number of the last message
// the sender has in the session of the two, Entries the link addresses it knows.
type hello struct {
	Identity  protocol.Identity `json:"identity"`
	Epoch     uint64            `json:"epoch"`
	PeerEpoch uint64            `json:"peer-epoch"`
	Received  uint64            `json:"received"`
	Entries   []string          `json:"entries,omitempty"`
}

// Hub owns this process's sessions. Set the fields before Start. Deliver is
// called in order for each peer; Up when a session begins, Lost when it has
// been given up. None of them may block or call back into a wait on a peer.
type Hub struct {
	Settings     Settings
	Self         protocol.Identity
	Deliver      func(from protocol.Identity, m protocol.Message)
	Up           func(peer protocol.Identity)
	Lost         func(peer protocol.Identity)
	AddEntries   func(addresses []string)                                    // entry addresses heard of in a hello
	KnownEntries func() []string                                             // entry addresses to pass on
	Dial         func(ctx context.Context, address string) (net.Conn, error) // default: TCP
	Clock        func() int64                                                // hybrid logical clock to send
	Observe      func(clock int64)                                           // hybrid logical clock received
	Traffic      Traffic

	changes  sync.Mutex // orders Up and Lost; taken before every other lock
	mu       sync.Mutex
	sessions map[string]*session
	buried   map[string]uint64 // incarnation: our epoch after giving up
	dialing  map[string]bool
	behind   map[string]string // address: the incarnation last met there
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup
	listener net.Listener
}

// Start begins to accept connections on l, which may be nil for a process that
// only dials.
func (h *Hub) Start(l net.Listener) {
	h.Settings = h.Settings.withDefaults()
	h.sessions = make(map[string]*session)
	h.buried = make(map[string]uint64)
	h.dialing = make(map[string]bool)
	h.behind = make(map[string]string)
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.listener = l
	if h.Dial == nil {
		d := &net.Dialer{Timeout: h.Settings.DialTimeout}
		h.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	if l != nil {
		h.done.Go(func() { h.accept(l) })
	}
	h.done.Go(h.sweep)
}

// Stop closes all connections and waits for the Hub's goroutines.
func (h *Hub) Stop() {
	h.cancel()
	if h.listener != nil {
		h.listener.Close()
	}
	for _, s := range h.list() {
		s.mu.Lock()
		s.detach()
		s.mu.Unlock()
	}
	h.done.Wait()
}

// AwaitDelivery waits until every connected peer has acknowledged all
// messages, or the context ends.
func (h *Hub) AwaitDelivery(ctx context.Context) {
	for ctx.Err() == nil && h.unacknowledged() {
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (h *Hub) unacknowledged() bool {
	for _, s := range h.list() {
		s.mu.Lock()
		waiting := s.wire != nil && len(s.out) > 0
		s.mu.Unlock()
		if waiting {
			return true
		}
	}
	return false
}

func (h *Hub) list() []*session {
	h.mu.Lock()
	defer h.mu.Unlock()
	ss := make([]*session, 0, len(h.sessions))
	for _, s := range h.sessions {
		ss = append(ss, s)
	}
	return ss
}

func (h *Hub) find(incarnation string) *session {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sessions[incarnation]
}

// Send queues m for the incarnation and has it written. It reports false when
// there is no session with it, and then m is not delivered.
func (h *Hub) Send(incarnation string, m protocol.Message) bool {
	if !h.Queue(incarnation, m) {
		return false
	}
	h.Wake(incarnation)
	return true
}

// Queue queues m as Send does, to be written after Wake or Flush.
func (h *Hub) Queue(incarnation string, m protocol.Message) bool {
	s := h.find(incarnation)
	if s == nil || !s.push(m) {
		return false
	}
	h.Traffic.MessagesOut.Add(1)
	return true
}

// Wake has the session's writer write what is queued.
func (h *Hub) Wake(incarnation string) {
	if s := h.find(incarnation); s != nil {
		s.signal()
	}
}

// Peers returns the identities with which there is a session.
func (h *Hub) Peers() []protocol.Identity {
	var ids []protocol.Identity
	for _, s := range h.list() {
		ids = append(ids, s.peer)
	}
	return ids
}

// Reachable reports whether the peer has been heard within d.
func (h *Hub) Reachable(incarnation string, d time.Duration) bool {
	s := h.find(incarnation)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wire != nil && time.Since(s.heard) < d
}

// MillisSinceContact returns the milliseconds since the peer was heard, -1 while there
// is no connection to it.
func (h *Hub) MillisSinceContact(incarnation string) int64 {
	s := h.find(incarnation)
	if s == nil {
		return -1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wire == nil {
		return -1
	}
	return time.Since(s.heard).Milliseconds()
}

// Ping asks the peer for a sign of life and waits for it.
func (h *Hub) Ping(ctx context.Context, incarnation string) error {
	s := h.find(incarnation)
	if s == nil {
		return &Error{Op: "ping", Kind: KindUnreachable, Detail: incarnation}
	}
	s.mu.Lock()
	w := s.wire
	s.mu.Unlock()
	if w == nil {
		return &Error{Op: "ping", Kind: KindUnreachable, Detail: incarnation}
	}
	var reply struct{}
	if _, err := w.rpc.Call(ctx, methodPing, struct{}{}, &reply); err != nil {
		return &Error{Op: "ping", Kind: KindUnreachable, Detail: incarnation, Err: err}
	}
	return nil
}

// session returns the session with the peer, made if needed. An earlier
// incarnation of the same name is given up. It returns nil for this process.
func (h *Hub) session(peer protocol.Identity) *session {
	if peer.Name == h.Self.Name || peer.Incarnation == "" {
		return nil
	}
	h.mu.Lock()
	s := h.sessions[peer.Incarnation]
	var replaced []*session
	if s == nil {
		epoch, known := h.buried[peer.Incarnation]
		if !known {
			epoch = uint64(rand.Uint32()) + 1
		}
		s = newSession(peer, epoch, time.Now())
		for _, o := range h.sessions {
			if o.peer.Name == peer.Name {
				replaced = append(replaced, o)
			}
		}
		h.sessions[peer.Incarnation] = s
	}
	h.mu.Unlock()
	for _, o := range replaced {
		h.giveUp(o)
	}
	return s
}

// attach makes w the session's connection. It reports false when the session
// has a better connection already, for a greeting that the peer sent before it
// gave up an earlier session (two connections may bring them in any order), and
// for a peer that counts messages which the session never had.
func (h *Hub) attach(w *wire, s *session, peer hello, preferred bool) bool {
	h.changes.Lock()
	defer h.changes.Unlock()
	if s.outdates(peer.Epoch) {
		return false
	}
	h.renew(s, peer.Epoch)
	s.mu.Lock()
	if s.ended || s.wire != nil && s.preferred && !preferred && time.Since(s.heard) < h.timing(s).ConnectionTimeout {
		s.mu.Unlock()
		return false
	}
	if peer.PeerEpoch == s.epoch && s.outrun(peer.Received) {
		s.mu.Unlock()
		return false // it heals when the session is given up
	}
	begins := !s.open
	s.detach()
	s.open = true
	s.sent = 0
	if peer.PeerEpoch == s.epoch {
		s.acknowledge(peer.Received)
		s.sent = peer.Received
	}
	s.peerEpoch = peer.Epoch
	s.acked = 0
	s.wire, s.preferred = w, preferred
	s.heard = time.Now()
	s.mu.Unlock()
	if begins && h.Up != nil {
		h.Up(peer.Identity)
	}
	w.settle(s)
	if h.AddEntries != nil && len(peer.Entries) > 0 {
		h.AddEntries(peer.Entries)
	}
	return true
}

// renew resets a session that the peer has given up, which its new epoch
// shows. The caller holds h.changes.
func (h *Hub) renew(s *session, peerEpoch uint64) {
	s.delivery.Lock()
	defer s.delivery.Unlock()
	s.mu.Lock()
	stale := s.open && s.peerEpoch != peerEpoch
	if stale {
		s.reset()
	}
	peer := s.peer
	s.mu.Unlock()
	if stale && h.Lost != nil {
		h.Lost(peer)
	}
}

// dropped notes that w ended.
func (h *Hub) dropped(s *session, w *wire) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wire == w {
		s.detach()
	}
}
