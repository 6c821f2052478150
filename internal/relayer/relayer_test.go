package relayer_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/internal/relayer"
)

// echo answers each connection with what it sends.
func echo(t *testing.T) string {
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

// answered tells whether a word sent on c comes back within the time.
func answered(t *testing.T, c net.Conn, within time.Duration) bool {
	_, err := c.Write([]byte("word"))
	if err != nil {
		return false
	}
	require.NoError(t, c.SetReadDeadline(time.Now().Add(within)))
	_, err = io.ReadFull(c, make([]byte, 4))
	return err == nil
}

func TestRelay(t *testing.T) {
	r := &relayer.Relay{Target: echo(t), Name: func(first []byte) string { return string(first[:1]) }}
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
	require.True(t, answered(t, a, time.Second))

	r.Set(relayer.Faults{StallOut: true}, "a")
	require.False(t, answered(t, a, 50*time.Millisecond))
	require.True(t, answered(t, b, time.Second), "another peer")
	r.Mend()
	require.NoError(t, a.SetReadDeadline(time.Now().Add(time.Second)))
	_, err := io.ReadFull(a, make([]byte, 4))
	require.NoError(t, err, "what stalled arrives later")

	r.Set(relayer.Faults{Delay: 60 * time.Millisecond}, "b")
	begin := time.Now()
	require.True(t, answered(t, b, time.Second))
	require.GreaterOrEqual(t, time.Since(begin), 120*time.Millisecond)

	r.Set(relayer.Faults{LoseIn: true}, "a")
	require.False(t, answered(t, a, 50*time.Millisecond))
	r.Mend()
	require.False(t, answered(t, a, 50*time.Millisecond), "a connection that lost bytes stays silent")

	r.Set(relayer.Faults{Refuse: true}, "b")
	require.False(t, answered(t, b, time.Second))
	require.False(t, answered(t, dial("b"), time.Second))
	r.Mend()
	require.True(t, answered(t, dial("b"), time.Second))
}
