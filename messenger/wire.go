package messenger

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"go.lsp.dev/jsonrpc2"
)

// wire is one connection, dialed or accepted.
type wire struct {
	rpc     jsonrpc2.Conn
	stream  *stream
	session *session      // readable once ready is closed; nil when none came about
	ready   chan struct{} // closed when the session is known
	closed  chan struct{} // closed by close
	writing sync.Mutex    // held while a batch is made and written
	wrote   time.Time     // when the last batch was written; guarded by writing
	settled sync.Once
	ended   sync.Once
}

// newWire begins to serve JSON-RPC on c.
func (h *Hub) newWire(c net.Conn) *wire {
	w := &wire{wrote: time.Now(), stream: newStream(c, &h.Traffic), ready: make(chan struct{}), closed: make(chan struct{})}
	w.rpc = jsonrpc2.NewConn(w.stream, jsonrpc2.WithCodec(codec{}))
	w.rpc.Go(h.ctx, func(_ context.Context, r *jsonrpc2.Request) (any, error) { return h.handle(w, r) })
	return w
}

// settle sets the session, the first time it is called.
func (w *wire) settle(s *session) {
	w.settled.Do(func() {
		w.session = s
		close(w.ready)
	})
}

// close closes the connection. It does not wait for calls and handlers.
func (w *wire) close() {
	w.ended.Do(func() {
		close(w.closed)
		w.stream.Close()
		go w.rpc.Close()
	})
}

// isClosed tells whether close was called.
func (w *wire) isClosed() bool {
	select {
	case <-w.closed:
		return true
	default:
		return false
	}
}

// codec is encoding/json for jsonrpc2, whose own default treats omitempty
// otherwise.
type codec struct{}

// Marshal encodes v.
func (codec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }

// Unmarshal decodes data into v.
func (codec) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }
