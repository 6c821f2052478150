package messenger

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
)

// A dialing process has messages flushed as soon as the session is open. None may be
// written before the begin, which the peer could not handle any more.
func TestBeginIsWrittenBeforeFlushedMessages(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var delivered atomic.Bool
	a := &Hub{Self: protocol.Identity{Name: "a", Role: protocol.RoleEntry, Address: listener.Addr().String()}.WithNewIncarnation()}
	a.Deliver = func(protocol.Identity, protocol.Message) { delivered.Store(true) }
	b := &Hub{Self: protocol.Identity{Name: "b", Role: protocol.RoleEntry}.WithNewIncarnation()}
	b.SessionOpened = func(peer protocol.Identity) {
		flushed := make(chan struct{})
		go func() {
			defer close(flushed)
			b.Queue(peer.Incarnation, protocol.Message{Close: &protocol.Close{}})
			b.Flush(peer.Incarnation)
		}()
		<-flushed
	}
	a.Start(listener)
	b.Start(nil)
	t.Cleanup(func() { b.Stop(); a.Stop() })
	b.KeepConnected(listener.Addr().String())
	require.Eventually(t, delivered.Load, time.Second, time.Millisecond)
}
