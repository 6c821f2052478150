package messenger

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"go.lsp.dev/jsonrpc2"
)

// conn is one connection to a peer, dialed or accepted.
type conn struct {
	rpc          jsonrpc2.Conn
	stream       *stream
	session      *session      // valid once sessionReady is closed; nil if none was opened
	sessionReady chan struct{} // closed by setSession
	helloSentAt  time.Time     // zero if accepted
	greeted      bool          // a hello of the peer was handled; used by the goroutine that handles requests
	handshake    handshake     // of an accepted connection; used by the same goroutine
	closed       chan struct{} // closed by close
	writeMu      sync.Mutex    // held while a batch is built and written
	lastWrite    time.Time     // when the last batch was written, zero before the first; guarded by writeMu
	sessionOnce  sync.Once
	closeOnce    sync.Once
}

// newConn starts JSON-RPC on a connection that this process dialed.
func (h *Hub) newConn(netConn net.Conn) *conn {
	c := h.prepareConn(netConn)
	h.startConn(c)
	return c
}

// newAcceptedConn starts JSON-RPC on an accepted connection, which reads large frames
// only once its session is open.
func (h *Hub) newAcceptedConn(netConn net.Conn) *conn {
	c := h.prepareConn(netConn)
	c.stream.awaitSession = c.awaitSession
	if h.ReserveFrame != nil {
		c.stream.reserve = func(n int64) int64 { return h.ReserveFrame(c.closed, n) }
		c.stream.release = h.ReleaseFrame
	}
	h.startConn(c)
	return c
}

func (h *Hub) prepareConn(netConn net.Conn) *conn {
	return &conn{stream: newStream(netConn, &h.Traffic), sessionReady: make(chan struct{}), closed: make(chan struct{})}
}

func (h *Hub) startConn(c *conn) {
	c.rpc = jsonrpc2.NewConn(c.stream, jsonrpc2.WithCodec(codec{}))
	c.rpc.Go(h.ctx, func(_ context.Context, r *jsonrpc2.Request) (any, error) { return h.handleRequest(c, r) })
}

// awaitSession waits until the session is open and returns false if the connection is
// closed before.
func (c *conn) awaitSession() bool {
	select {
	case <-c.sessionReady:
		return true
	case <-c.closed:
		return false
	}
}

// setSession sets the session. Only the first call has an effect.
func (c *conn) setSession(s *session) {
	c.sessionOnce.Do(func() {
		c.session = s
		close(c.sessionReady)
	})
}

// currentSession returns the session, or nil if none was opened yet.
func (c *conn) currentSession() *session {
	select {
	case <-c.sessionReady:
		return c.session
	default:
		return nil
	}
}

// close closes the connection. It does not wait for pending calls and handlers.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.stream.Close()
		go c.rpc.Close()
	})
}

// isClosed reports whether close was called.
func (c *conn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// codec makes jsonrpc2 use encoding/json, since its default codec treats
// omitempty differently.
type codec struct{}

// Marshal encodes v.
func (codec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }

// Unmarshal decodes data into v.
func (codec) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }
