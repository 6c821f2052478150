package messenger

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Settings bounds a Hub's timing. Zero fields take the defaults.
type Settings struct {
	Heartbeat time.Duration // longest silence we let pass on a connection; default 500 ms
	DeadAfter time.Duration // silence after which a connection is closed; default 1.5 s
	LostAfter time.Duration // silence after which a session is given up; default 3 s
	AckDelay  time.Duration // longest wait before an acknowledgement alone; default 100 ms
	MaxBatch  int           // messages a frame; default 512
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.Heartbeat, 500*time.Millisecond)
	setDefault(&s.DeadAfter, 1500*time.Millisecond)
	setDefault(&s.LostAfter, 3*time.Second)
	setDefault(&s.AckDelay, 100*time.Millisecond)
	setDefault(&s.MaxBatch, 512)
	return s
}

func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

const (
	dialTimeout    = 1 * time.Second
	helloTimeout   = 2 * time.Second
	minRedial      = 50 * time.Millisecond
	maxRedial      = 1 * time.Second
	sweepInterval  = 100 * time.Millisecond
	maxBuried      = 1 << 16 // epochs of given-up sessions remembered
	ackEvery       = 256     // messages received that force an acknowledgement
	methodHello    = "hello"
	methodBatch    = "batch"
	methodPing     = "ping"
	codeRefused    = 1
	codeBadMessage = jsonrpc2.CodeInvalidParams
)

// hello opens or resumes a session. Epoch is the sender's, PeerEpoch the
// receiver's as the sender last saw it, Received the number of the last message
// the sender has in the session of the two, Entries the link addresses it knows.
type hello struct {
	Identity  Identity `json:"identity"`
	Epoch     uint64   `json:"epoch"`
	PeerEpoch uint64   `json:"peer-epoch"`
	Received  uint64   `json:"received"`
	Entries   []string `json:"entries,omitempty"`
}

// Hub owns this process's sessions. Set the fields before Start. Deliver is
// called in order for each peer; Up when a session begins, Lost when it has
// been given up. None of them may block or call back into a wait on a peer.
type Hub struct {
	Settings Settings
	Self     Identity
	Deliver  func(from Identity, m Message)
	Up       func(peer Identity)
	Lost     func(peer Identity)
	Learn    func(addresses []string) // entry addresses heard of in a hello
	Known    func() []string          // entry addresses to pass on
	Clock    func() int64             // hybrid logical clock to send
	Witness  func(clock int64)        // hybrid logical clock received
	Traffic  Traffic

	changes  sync.Mutex // orders Up and Lost; taken before every other lock
	mu       sync.Mutex
	sessions map[string]*session
	buried   map[string]uint64 // incarnation: our epoch after giving up
	dialing  map[string]bool
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
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.listener = l
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

// Flush waits until every connected peer has acknowledged all messages, or the
// context ends.
func (h *Hub) Flush(ctx context.Context) {
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
		waiting := s.conn != nil && len(s.out) > 0
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

// Send queues m for the incarnation. It reports false when there is no session
// with it, and then m is not delivered.
func (h *Hub) Send(incarnation string, m Message) bool {
	s := h.find(incarnation)
	if s == nil {
		return false
	}
	if !s.push(m) {
		return false
	}
	h.Traffic.MessagesOut.Add(1)
	return true
}

// Peers returns the identities with which there is a session.
func (h *Hub) Peers() []Identity {
	var ids []Identity
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
	return s.conn != nil && time.Since(s.heard) < d
}

// Ping asks the peer for a sign of life and waits for it.
func (h *Hub) Ping(ctx context.Context, incarnation string) error {
	s := h.find(incarnation)
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
	if err := c.Call(ctx, methodPing, struct{}{}, &reply); err != nil {
		return &Error{Op: "ping", Kind: KindUnreachable, Detail: incarnation, Err: err}
	}
	return nil
}

// Keep dials address, and dials again whenever there is no connection, until
// the Hub stops. A second call for an address has no effect.
func (h *Hub) Keep(address string) {
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
			wait = minRedial
		} else if h.dial(address) {
			wait = minRedial
		} else {
			wait = min(2*wait, maxRedial)
		}
		pause := wait/2 + rand.N(wait)
		select {
		case <-h.ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (h *Hub) connected(address string) bool {
	for _, s := range h.list() {
		s.mu.Lock()
		live := s.conn != nil && s.peer.Address == address
		s.mu.Unlock()
		if live {
			return true
		}
	}
	return false
}

// link is one connection, dialed or accepted, before and after its hello.
type link struct {
	hub     *Hub
	session *session // readable once ready is closed; nil when no session came about
	ready   chan struct{}
	once    sync.Once
}

func newLink(h *Hub) *link {
	return &link{hub: h, ready: make(chan struct{})}
}

// settle sets the link's session, the first time it is called.
func (l *link) settle(s *session) {
	l.once.Do(func() {
		l.session = s
		close(l.ready)
	})
}

// dial opens a connection to address and its session. It returns when the
// connection has ended; false means that no session came about.
func (h *Hub) dial(address string) bool {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(h.ctx, "tcp", address)
	if err != nil {
		return false
	}
	l := newLink(h)
	defer l.settle(nil)
	conn := jsonrpc2.NewConn(h.ctx, newStream(c, &h.Traffic), l)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(h.ctx, helloTimeout)
	defer cancel()
	// The peer's epoch of us is unknown before it answers, so the first hello
	// asks who is there, and the second one names the session.
	var who hello
	if err := conn.Call(ctx, methodHello, hello{Identity: h.Self}, &who); err != nil {
		return false
	}
	s := h.session(who.Identity)
	if s == nil {
		return false
	}
	mine := h.greeting(s)
	var reply hello
	if err := conn.Call(ctx, methodHello, mine, &reply); err != nil {
		return false
	}
	if !h.attach(l, s, conn, reply, mine.Epoch, h.Self.Name < reply.Identity.Name) {
		return false
	}
	<-conn.DisconnectNotify()
	h.dropped(s, conn)
	return true
}

func (h *Hub) greeting(s *session) hello {
	s.mu.Lock()
	defer s.mu.Unlock()
	return hello{Identity: h.Self, Epoch: s.epoch, PeerEpoch: s.peerEpoch, Received: s.received, Entries: h.known()}
}

func (h *Hub) known() []string {
	if h.Known == nil {
		return nil
	}
	return h.Known()
}

// session returns the session with the peer, made if needed. An earlier
// incarnation of the same name is given up. It returns nil for this process.
func (h *Hub) session(peer Identity) *session {
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

// attach makes conn the session's connection. It reports false when the
// session has a better connection already or has meanwhile been given up.
func (h *Hub) attach(l *link, s *session, conn *jsonrpc2.Conn, peer hello, epoch uint64, preferred bool) bool {
	h.changes.Lock()
	defer h.changes.Unlock()
	h.renew(s, peer.Epoch)
	s.mu.Lock()
	keepsOther := s.conn != nil && s.preferred && !preferred && time.Since(s.heard) < h.Settings.DeadAfter
	if s.epoch != epoch || keepsOther {
		s.mu.Unlock()
		return false
	}
	begins := !s.open
	s.detach()
	s.open = true
	s.peerEpoch = peer.Epoch
	s.sent = 0
	if peer.PeerEpoch == epoch {
		s.acknowledge(peer.Received)
		s.sent = peer.Received
	}
	s.acked = 0
	s.conn, s.preferred, s.stop = conn, preferred, make(chan struct{})
	s.heard = time.Now()
	s.peer = peer.Identity
	stop := s.stop
	s.mu.Unlock()
	if begins && h.Up != nil {
		h.Up(peer.Identity)
	}
	l.settle(s)
	if h.Learn != nil && len(peer.Entries) > 0 {
		h.Learn(peer.Entries)
	}
	h.done.Go(func() { h.write(s, conn, stop) })
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

// dropped notes that conn ended.
func (h *Hub) dropped(s *session, conn *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == conn {
		s.detach()
	}
}

// accept serves incoming connections.
func (h *Hub) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if h.ctx.Err() != nil {
			if err == nil {
				c.Close()
			}
			return
		}
		if err != nil {
			time.Sleep(minRedial)
			continue
		}
		h.done.Go(func() { h.serve(c) })
	}
}

// serve runs one accepted connection. One that has not opened a session within
// helloTimeout is closed.
func (h *Hub) serve(c net.Conn) {
	l := newLink(h)
	conn := jsonrpc2.NewConn(h.ctx, newStream(c, &h.Traffic), l)
	defer conn.Close()
	select {
	case <-l.ready:
	case <-time.After(helloTimeout):
		return
	case <-h.ctx.Done():
		return
	}
	select {
	case <-conn.DisconnectNotify():
	case <-h.ctx.Done():
	}
	h.dropped(l.session, conn)
}

// Handle receives one JSON-RPC request. It implements jsonrpc2.Handler and is
// called for one request of a connection at a time.
func (l *link) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	switch r.Method {
	case methodBatch:
		l.batch(conn, r)
	case methodPing:
		conn.Reply(ctx, r.ID, struct{}{})
	case methodHello:
		l.hello(ctx, conn, r)
	default:
		if !r.Notif {
			conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"})
		}
	}
}

// hello answers the two hellos of a dialing peer. The first, with epoch zero,
// only asks for our identity.
func (l *link) hello(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	h := l.hub
	var peer hello
	if r.Params == nil || json.Unmarshal(*r.Params, &peer) != nil {
		conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: codeBadMessage, Message: "malformed hello"})
		return
	}
	if peer.Epoch == 0 {
		conn.Reply(ctx, r.ID, hello{Identity: h.Self})
		return
	}
	s := h.session(peer.Identity)
	if s == nil {
		conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: codeRefused, Message: "that is this process's own name"})
		return
	}
	h.changes.Lock()
	h.renew(s, peer.Epoch)
	s.mu.Lock()
	mine := hello{Identity: h.Self, Epoch: s.epoch, PeerEpoch: peer.Epoch, Received: s.received}
	s.mu.Unlock()
	h.changes.Unlock()
	mine.Entries = h.known()
	// The reply goes out before batches do, since attach starts the writer.
	if err := conn.Reply(ctx, r.ID, mine); err != nil {
		return
	}
	if !h.attach(l, s, conn, peer, mine.Epoch, peer.Identity.Name < h.Self.Name) {
		go conn.Close()
	}
}

// batch takes in a batch notification.
func (l *link) batch(conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	<-l.ready
	s := l.session
	if s == nil || r.Params == nil {
		return
	}
	var b batch
	if err := json.Unmarshal(*r.Params, &b); err != nil {
		go conn.Close()
		return
	}
	h := l.hub
	if h.Witness != nil && b.Clock != 0 {
		h.Witness(b.Clock)
	}
	s.delivery.Lock()
	defer s.delivery.Unlock()
	s.mu.Lock()
	if s.conn != conn {
		s.mu.Unlock()
		return
	}
	s.heard = time.Now()
	s.acknowledge(b.Ack)
	ms := s.fresh(b)
	peer := s.peer
	force := s.received-s.acked >= ackEvery
	s.mu.Unlock()
	h.Traffic.MessagesIn.Add(int64(len(ms)))
	for _, m := range ms {
		h.Deliver(peer, m)
	}
	if force {
		s.signal()
	}
}

// write sends what is queued on conn: messages at once, acknowledgements alone
// after AckDelay, and an empty batch after Heartbeat.
func (h *Hub) write(s *session, conn *jsonrpc2.Conn, stop chan struct{}) {
	timer := time.NewTimer(h.Settings.AckDelay)
	defer timer.Stop()
	last := time.Now()
	for {
		s.mu.Lock()
		if s.conn != conn {
			s.mu.Unlock()
			return
		}
		due := s.pending() || s.received-s.acked >= ackEvery
		idle := time.Since(last)
		if s.received > s.acked && idle >= h.Settings.AckDelay {
			due = true
		}
		if idle >= h.Settings.Heartbeat {
			due = true
		}
		var b batch
		if due {
			b = s.next(h.Settings.MaxBatch)
		}
		s.mu.Unlock()
		if due {
			if h.Clock != nil {
				b.Clock = h.Clock()
			}
			if err := conn.Notify(h.ctx, methodBatch, b); err != nil {
				h.dropped(s, conn)
				return
			}
			last = time.Now()
			continue
		}
		timer.Reset(h.Settings.AckDelay)
		select {
		case <-stop:
			return
		case <-h.ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// sweep closes silent connections and gives up lost sessions.
func (h *Hub) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, s := range h.list() {
			h.check(s)
		}
	}
}

func (h *Hub) check(s *session) {
	s.mu.Lock()
	silent := time.Since(s.heard)
	if s.conn != nil && silent > h.Settings.DeadAfter {
		s.detach()
	}
	lost := s.conn == nil && silent > h.Settings.LostAfter
	s.mu.Unlock()
	if lost {
		h.giveUp(s)
	}
}

// giveUp ends a session: nothing undelivered will ever be delivered.
func (h *Hub) giveUp(s *session) {
	h.changes.Lock()
	defer h.changes.Unlock()
	s.delivery.Lock()
	defer s.delivery.Unlock()
	h.mu.Lock()
	if h.sessions[s.peer.Incarnation] != s {
		h.mu.Unlock()
		return
	}
	delete(h.sessions, s.peer.Incarnation)
	s.mu.Lock()
	open := s.open
	s.epoch++
	h.bury(s.peer.Incarnation, s.epoch)
	s.reset()
	peer := s.peer
	s.mu.Unlock()
	h.mu.Unlock()
	if open && h.Lost != nil {
		h.Lost(peer)
	}
}

// bury remembers our epoch for an incarnation. When too many are remembered
// any one is forgotten: a new session then draws a random epoch, which the
// peer takes for a new session all the same.
func (h *Hub) bury(incarnation string, epoch uint64) {
	if len(h.buried) >= maxBuried {
		for k := range h.buried {
			delete(h.buried, k)
			break
		}
	}
	h.buried[incarnation] = epoch
}
