package messenger

import (
	"encoding/json"
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"go.lsp.dev/jsonrpc2"
)

// acceptLoop accepts and serves incoming connections until the Hub stops.
func (h *Hub) acceptLoop(listener net.Listener) {
	for {
		netConn, err := listener.Accept()
		if h.ctx.Err() != nil {
			if err == nil {
				netConn.Close()
			}
			return
		}
		if err != nil {
			time.Sleep(minRedialDelay)
			continue
		}
		h.goroutines.Go(func() { h.serveConn(netConn) })
	}
}

// limitedConn is a connection that is limited until its peer has identified itself.
// Identify returns false if it was closed before. It is called once the session is open.
type limitedConn interface{ Identify() bool }

// serveConn serves one accepted connection until it ends, and starts the writer of its
// session. It closes a connection that has not opened a session within helloTimeout.
func (h *Hub) serveConn(netConn net.Conn) {
	c := h.newAcceptedConn(netConn)
	defer c.close()
	select {
	case <-c.sessionReady:
	case <-c.rpc.Done():
		return
	case <-time.After(helloTimeout):
		return
	case <-h.ctx.Done():
		return
	}
	if l, ok := netConn.(limitedConn); ok && !l.Identify() {
		return
	}
	h.goroutines.Go(func() { h.writeLoop(c.session, c) })
	select {
	case <-c.rpc.Done():
	case <-h.ctx.Done():
	}
	h.connEnded(c.session, c)
}

// handleRequest handles one JSON-RPC request. Calls for the same connection do
// not overlap. If handling it panics, the connection and its session are closed:
// a message that this process cannot handle must not end the process, and the peer
// must not send it again.
func (h *Hub) handleRequest(c *conn, r *jsonrpc2.Request) (result any, err error) {
	defer func() {
		if value := recover(); value != nil {
			err = h.handlePanic(c, r.Method(), value)
		}
	}()
	return h.dispatchRequest(c, r)
}

// handlePanic counts and reports a panic, and closes the connection and its session.
func (h *Hub) handlePanic(c *conn, method string, value any) error {
	h.Traffic.Panics.Add(1)
	s, peer := c.currentSession(), ""
	if s != nil {
		peer = s.peer.Incarnation
	}
	if h.ReportPanic != nil {
		h.ReportPanic(peer, value, debug.Stack())
	}
	c.close()
	if s != nil {
		h.goroutines.Go(func() { h.closeSession(s) })
	}
	return &Error{Op: method, Kind: KindPanic, Detail: fmt.Sprint(value)}
}

func (h *Hub) dispatchRequest(c *conn, r *jsonrpc2.Request) (any, error) {
	switch r.Method() {
	case methodBatch:
		return nil, h.handleBatch(c, r.Params())
	case methodPing:
		return struct{}{}, nil
	case methodHello:
		if c.greeted {
			c.close() // each hello may create a session, which is kept for a time
			return nil, jsonrpc2.NewError(jsonrpc2.InvalidRequest, "a second hello on one connection")
		}
		c.greeted = true
		return h.answerHello(c, r.Params())
	case methodBegin:
		return nil, h.handleBegin(c, r.Params())
	}
	return nil, jsonrpc2.NewError(jsonrpc2.MethodNotFound, "unknown method")
}

// answerHello handles a hello on a connection. The answer proves that this process knows
// the key.
func (h *Hub) answerHello(c *conn, params []byte) (any, error) {
	answer, err := h.handleHello(params)
	if err != nil {
		return nil, err
	}
	var peerHello hello
	if err := json.Unmarshal(params, &peerHello); err != nil {
		return nil, jsonrpc2.NewError(jsonrpc2.InvalidParams, "malformed hello")
	}
	c.handshake = handshake{dialed: peerHello.Identity, accepted: h.Self, dialedChallenge: peerHello.Challenge, acceptedChallenge: newChallenge()}
	answer.Challenge, answer.Proof = c.handshake.acceptedChallenge, c.handshake.proof(h.Key, proofOfAccepted)
	return answer, nil
}

// handleHello returns this process's state of the session with a peer that
// dialed.
func (h *Hub) handleHello(params []byte) (hello, error) {
	var peerHello hello
	if err := json.Unmarshal(params, &peerHello); err != nil {
		return hello{}, jsonrpc2.NewError(jsonrpc2.InvalidParams, "malformed hello")
	}
	s := h.ensureSession(peerHello.Identity)
	if s == nil {
		return hello{}, jsonrpc2.NewError(jsonrpc2.InvalidRequest, "the identity of the peer is invalid")
	}
	return h.newHello(s), nil
}

// handleBegin opens or resumes the session with a peer that dialed.
func (h *Hub) handleBegin(c *conn, params []byte) error {
	if len(params) > handshakeBytes {
		c.close()
		return &Error{Op: "begin", Kind: KindHandshake, Detail: fmt.Sprintf("begin of %d bytes, limit %d", len(params), handshakeBytes)}
	}
	var peerHello hello
	if err := json.Unmarshal(params, &peerHello); err != nil {
		return &Error{Op: "begin", Kind: KindHandshake, Err: err}
	}
	if len(h.Key) > 0 && (peerHello.Identity != c.handshake.dialed || !c.handshake.isProof(h.Key, proofOfDialed, peerHello.Proof)) {
		c.close()
		return &Error{Op: "begin", Kind: KindHandshake, Detail: "the peer does not prove that it knows the key of the links"}
	}
	s := h.findSession(peerHello.Identity.Incarnation)
	if s == nil || !s.hasLocalEpoch(peerHello.PeerEpoch) {
		c.close() // the peer dials again and learns the new epoch from the hello
		return &Error{Op: "begin", Kind: KindHandshake, Detail: "the epoch is that of a closed session"}
	}
	if !h.attach(c, s, peerHello, peerHello.Identity.Name < h.Self.Name) {
		return &Error{Op: "begin", Kind: KindHandshake, Detail: "the session state of the peer is invalid, or a preferred connection exists"}
	}
	return nil
}

// handleBatch processes a batch notification: it applies the acknowledgement and
// delivers the new messages. It ignores a batch from a connection that is no
// longer the session's.
func (h *Hub) handleBatch(c *conn, params []byte) error {
	<-c.sessionReady
	s := c.session
	if s == nil {
		return &Error{Op: "batch", Kind: KindHandshake, Detail: "no session is open on the connection"}
	}
	b, err := decodeBatch(params)
	if err != nil {
		return &Error{Op: "batch", Kind: KindFrame, Err: err}
	}
	if h.ObserveClock != nil && b.Clock != 0 {
		h.ObserveClock(b.Clock)
	}
	s.deliveryMu.Lock()
	defer s.deliveryMu.Unlock()
	s.mu.Lock()
	if s.conn != c {
		s.mu.Unlock()
		return nil
	}
	s.lastContact = time.Now()
	s.recordContact(h, b)
	s.acknowledge(b.Ack)
	messages := s.acceptNew(b)
	peer := s.peer
	s.mu.Unlock()
	h.Traffic.MessagesIn.Add(int64(len(messages)))
	for _, m := range messages {
		h.Deliver(peer, m)
	}
	if len(messages) > 0 {
		s.wakeWriter() // schedules the acknowledgement
	}
	return nil
}
