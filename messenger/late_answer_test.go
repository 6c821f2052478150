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
	h.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		return &lateConn{Conn: c, beforeRead: func() {
			attachTo(t, h, hello{Identity: present, Epoch: 8, PeerEpoch: h.ensureSession(present).localEpoch})
		}}, err
	}
	connected := make(chan bool, 1)
	go func() { connected <- h.dial(earlier.Self.Address) }()
	select {
	case ok := <-connected:
		require.False(t, ok)
	case <-time.After(time.Second):
	}
	require.NotNil(t, h.findSession(present.Incarnation))

	// An answer that was asked for later is that of a real replacement.
	h.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	go h.dial(earlier.Self.Address)
	require.Eventually(t, func() bool {
		return h.findSession(present.Incarnation) == nil && h.Reachable(earlier.Self.Incarnation, time.Minute)
	}, 5*time.Second, time.Millisecond)
}
