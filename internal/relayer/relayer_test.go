package relayer_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/internal/relayer"
)

// startEchoServer starts a server that sends back what it receives, and returns its
// address.
func startEchoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go io.Copy(c, c)
		}
	}()
	return l.Addr().String()
}

// echoes reports whether four bytes sent on c come back within the timeout.
func echoes(t *testing.T, c net.Conn, timeout time.Duration) bool {
	_, err := c.Write([]byte("word"))
	if err != nil {
		return false
	}
	require.NoError(t, c.SetReadDeadline(time.Now().Add(timeout)))
	_, err = io.ReadFull(c, make([]byte, 4))
	return err == nil
}

// Guards against faults that affect other peers, do not end when they are cleared, or
// let a connection deliver bytes after it has dropped some.
func TestRelay(t *testing.T) {
	r := &relayer.Relay{Target: startEchoServer(t), IdentifyPeer: func(firstBytes []byte) string { return string(firstBytes[:1]) }}
	require.NoError(t, r.Start())
	defer r.Stop()
	dial := func(name string) net.Conn {
		c, err := net.Dial("tcp", r.Address())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		c.Write([]byte(name + "xyz"))
		require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
		io.ReadFull(c, make([]byte, 4))
		return c
	}
	a, b := dial("a"), dial("b")
	require.True(t, echoes(t, a, time.Second))

	r.SetFaults(relayer.Faults{StallOut: true}, "a")
	require.False(t, echoes(t, a, 50*time.Millisecond))
	require.True(t, echoes(t, b, time.Second), "another peer")
	r.ClearFaults()
	require.NoError(t, a.SetReadDeadline(time.Now().Add(time.Second)))
	_, err := io.ReadFull(a, make([]byte, 4))
	require.NoError(t, err, "stalled bytes arrive after the fault")

	r.SetFaults(relayer.Faults{Delay: 60 * time.Millisecond}, "b")
	begin := time.Now()
	require.True(t, echoes(t, b, time.Second))
	require.GreaterOrEqual(t, time.Since(begin), 120*time.Millisecond)

	r.SetFaults(relayer.Faults{DropIn: true}, "a")
	require.False(t, echoes(t, a, 50*time.Millisecond))
	r.ClearFaults()
	require.False(t, echoes(t, a, 50*time.Millisecond), "a connection that dropped bytes delivers none afterwards")

	r.SetFaults(relayer.Faults{Refuse: true}, "b")
	require.False(t, echoes(t, b, time.Second))
	require.False(t, echoes(t, dial("b"), time.Second))
	r.ClearFaults()
	require.True(t, echoes(t, dial("b"), time.Second))
}
