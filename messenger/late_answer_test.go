package messenger

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
)

// lateConn calls beforeRead once, when the first bytes have arrived.
type lateConn struct {
	net.Conn
	once       sync.Once
	beforeRead func()
}

func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.once.Do(c.beforeRead)
	}
	return n, err
}

// startDial dials in a goroutine of the Hub, as redialLoop does: Stop waits for it, and dial
// may start further goroutines of the Hub only while one of them runs.
func startDial(h *Hub, address string) <-chan bool {
	connected := make(chan bool, 1)
	h.goroutines.Go(func() { connected <- h.dial(address) })
	return connected
}

// The answer of an entry process to a hello is read after another process has replaced it
// at another address. The session with the present process goes on.
func TestLateAnswerOfEarlierIncarnationDoesNotCloseSession(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h, present := startHub(t, protocol.RoleEntry)
	earlier := &Hub{Self: present.WithNewIncarnation()}
	earlier.Self.Address = listener.Addr().String()
	earlier.Start(listener)
	t.Cleanup(earlier.Stop)
	var first sync.Once // Dial stays as it is while a goroutine of the Hub may call it
	h.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		first.Do(func() {
			c = &lateConn{Conn: c, beforeRead: func() {
				attachTo(t, h, hello{Identity: present, Epoch: 8, PeerEpoch: h.ensureSession(present).localEpoch})
			}}
		})
		return c, err
	}
	select {
	case ok := <-startDial(h, earlier.Self.Address):
		require.False(t, ok)
	case <-time.After(time.Second):
	}
	require.NotNil(t, h.findSession(present.Incarnation))

	// An answer that was asked for later is that of a real replacement.
	startDial(h, earlier.Self.Address)
	require.Eventually(t, func() bool {
		return h.findSession(present.Incarnation) == nil && h.Reachable(earlier.Self.Incarnation, time.Minute)
	}, 5*time.Second, time.Millisecond)
}
