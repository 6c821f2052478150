package messenger

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"go.lsp.dev/jsonrpc2"
)

// Settings bounds a Hub's timing. Zero fields take the defaults.
type Settings struct {
	Entries  Timing        // of sessions between entries; default 500 ms, 1.5 s, 3 s
	Agents   Timing        // of sessions with agents; default 1 s, 2.5 s, 3.5 s
	AckDelay time.Duration // longest wait before an acknowledgement alone; default 100 ms
	MaxBatch int           // messages a frame; default 512
}

// Timing is how the silence of a peer is judged.
type Timing struct {
	Heartbeat time.Duration // longest silence we let pass on a connection
	DeadAfter time.Duration // silence after which a connection is closed
	LostAfter time.Duration // silence after which a session is given up
}

func (t *Timing) withDefaults(heartbeat, dead, lost time.Duration) {
	setDefault(&t.Heartbeat, heartbeat)
	setDefault(&t.DeadAfter, dead)
	setDefault(&t.LostAfter, lost)
}

func (s Settings) withDefaults() Settings {
	s.Entries.withDefaults(500*time.Millisecond, 1500*time.Millisecond, 3*time.Second)
	s.Agents.withDefaults(time.Second, 2500*time.Millisecond, 3500*time.Millisecond)
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
	dialTimeout   = 1 * time.Second
	helloTimeout  = 2 * time.Second
	minRedial     = 50 * time.Millisecond
	maxRedial     = 1 * time.Second
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
func (h *Hub) Send(incarnation string, m Message) bool {
	if !h.Queue(incarnation, m) {
		return false
	}
	h.Wake(incarnation)
	return true
}

// Queue queues m as Send does, to be written after Wake or Flush.
func (h *Hub) Queue(incarnation string, m Message) bool {
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
	return s.wire != nil && time.Since(s.heard) < d
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
			wait = maxRedial / 2
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
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(h.ctx, "tcp", address)
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

// attach makes w the session's connection. It reports false when the session
// has a better connection already.
func (h *Hub) attach(w *wire, s *session, peer hello, preferred bool) bool {
	h.changes.Lock()
	defer h.changes.Unlock()
	h.renew(s, peer.Epoch)
	s.mu.Lock()
	if s.ended || s.wire != nil && s.preferred && !preferred && time.Since(s.heard) < h.timing(s).DeadAfter {
		s.mu.Unlock()
		return false
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
	s.peer = peer.Identity
	s.mu.Unlock()
	if begins && h.Up != nil {
		h.Up(peer.Identity)
	}
	w.settle(s)
	if h.Learn != nil && len(peer.Entries) > 0 {
		h.Learn(peer.Entries)
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
	w := h.newWire(c)
	defer w.close()
	select {
	case <-w.ready:
	case <-w.rpc.Done():
		return
	case <-time.After(helloTimeout):
		return
	case <-h.ctx.Done():
		return
	}
	select {
	case <-w.rpc.Done():
	case <-h.ctx.Done():
	}
	h.dropped(w.session, w)
}

// handle receives one JSON-RPC request. It is called for one request of a
// connection at a time.
func (h *Hub) handle(w *wire, r *jsonrpc2.Request) (any, error) {
	switch r.Method() {
	case methodBatch:
		return nil, h.batch(w, r.Params())
	case methodPing:
		return struct{}{}, nil
	case methodHello:
		return h.hello(r.Params())
	case methodBegin:
		return nil, h.begin(w, r.Params())
	}
	return nil, jsonrpc2.NewError(jsonrpc2.MethodNotFound, "unknown method")
}

// hello answers a dialing peer with the state of the session with it.
func (h *Hub) hello(params []byte) (any, error) {
	var peer hello
	if err := json.Unmarshal(params, &peer); err != nil {
		return nil, jsonrpc2.NewError(jsonrpc2.InvalidParams, "malformed hello")
	}
	s := h.session(peer.Identity)
	if s == nil {
		return nil, jsonrpc2.NewError(jsonrpc2.InvalidRequest, "that is this process's own name")
	}
	return h.greeting(s), nil
}

// begin opens or resumes the session with the peer that dialed.
func (h *Hub) begin(w *wire, params []byte) error {
	var peer hello
	if err := json.Unmarshal(params, &peer); err != nil {
		return &Error{Op: "begin", Kind: KindHello, Err: err}
	}
	s := h.session(peer.Identity)
	if s == nil || !h.attach(w, s, peer, peer.Identity.Name < h.Self.Name) {
		return &Error{Op: "begin", Kind: KindHello, Detail: "there is a better connection"}
	}
	h.done.Go(func() { h.write(s, w) })
	return nil
}

// batch takes in a batch notification.
func (h *Hub) batch(w *wire, params []byte) error {
	<-w.ready
	s := w.session
	if s == nil {
		return &Error{Op: "batch", Kind: KindHello, Detail: "no session"}
	}
	var b batch
	if err := json.Unmarshal(params, &b); err != nil {
		return &Error{Op: "batch", Kind: KindFrame, Err: err}
	}
	if h.Witness != nil && b.Clock != 0 {
		h.Witness(b.Clock)
	}
	s.delivery.Lock()
	defer s.delivery.Unlock()
	s.mu.Lock()
	if s.wire != w {
		s.mu.Unlock()
		return nil
	}
	s.heard = time.Now()
	s.acknowledge(b.Ack)
	ms := s.fresh(b)
	peer := s.peer
	s.mu.Unlock()
	h.Traffic.MessagesIn.Add(int64(len(ms)))
	for _, m := range ms {
		h.Deliver(peer, m)
	}
	if len(ms) > 0 {
		s.signal() // an acknowledgement will be due
	}
	return nil
}

// write sends what is queued on w: messages at once, acknowledgements alone
// after AckDelay, and an empty batch after Heartbeat.
func (h *Hub) write(s *session, w *wire) {
	timer := time.NewTimer(h.Settings.AckDelay)
	defer timer.Stop()
	for {
		w.writing.Lock()
		rest, err := h.writeDue(s, w)
		w.writing.Unlock()
		if err != nil {
			h.dropped(s, w)
			return
		}
		if rest <= 0 {
			continue
		}
		timer.Reset(rest)
		select {
		case <-w.closed:
			return
		case <-h.ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// writeDue writes one batch on w if one is due, and returns how long the next
// one may wait if nothing happens. The caller holds w.writing.
func (h *Hub) writeDue(s *session, w *wire) (time.Duration, error) {
	s.mu.Lock()
	idle := time.Since(w.wrote)
	due := s.wire == w && (s.pending() || s.received-s.acked >= ackEvery ||
		s.received > s.acked && idle >= h.Settings.AckDelay || idle >= h.timing(s).Heartbeat)
	rest := h.timing(s).Heartbeat - idle
	if s.received > s.acked {
		rest = h.Settings.AckDelay - idle
	}
	var b batch
	if due {
		b = s.next(h.Settings.MaxBatch)
	}
	s.mu.Unlock()
	if !due {
		return rest, nil
	}
	if h.Clock != nil {
		b.Clock = h.Clock()
	}
	w.wrote = time.Now()
	return 0, w.rpc.Notify(h.ctx, methodBatch, b)
}

// Flush writes what is queued for the incarnation on the calling goroutine,
// which saves a switch to the session's writer. It may block on a slow peer,
// so that it must not be called from Deliver, Up or Lost. It does nothing when
// the writer is at work.
func (h *Hub) Flush(incarnation string) {
	s := h.find(incarnation)
	if s == nil {
		return
	}
	s.mu.Lock()
	w := s.wire
	s.mu.Unlock()
	if w == nil || !w.writing.TryLock() {
		s.signal()
		return
	}
	_, err := h.writeDue(s, w)
	w.writing.Unlock()
	if err != nil {
		h.dropped(s, w)
		return
	}
	s.signal() // what was queued meanwhile
}

// timing returns how the session's silence is judged.
func (h *Hub) timing(s *session) Timing {
	if h.Self.Role == RoleAgent || s.peer.Role == RoleAgent {
		return h.Settings.Agents
	}
	return h.Settings.Entries
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
	if s.wire != nil && silent > h.timing(s).DeadAfter {
		s.detach()
	}
	lost := s.wire == nil && silent > h.timing(s).LostAfter
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
	s.ended = true
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
