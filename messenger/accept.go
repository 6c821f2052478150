package messenger

import (
	"encoding/json"
	"net"
	"time"

	"go.lsp.dev/jsonrpc2"
)

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
	if s != nil && !s.meant(peer.PeerEpoch) {
		w.close() // the peer dials again, and hears of the new session
		return &Error{Op: "begin", Kind: KindHello, Detail: "it was meant for a session that was given up"}
	}
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
	if h.Observe != nil && b.Clock != 0 {
		h.Observe(b.Clock)
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
