package conninspector

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connect returns both ends of a connection.
func connect(t testing.TB) (client *net.TCPConn, server net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	server, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { server.Close() })
	return c.(*net.TCPConn), server
}

// Guards against missing the end of a connection behind data that no one has read, and
// against a false report for an open one.
func TestHungUp(t *testing.T) {
	for _, tt := range []struct {
		name   string
		act    func(client *net.TCPConn)
		hungUp bool
	}{
		{"open", func(*net.TCPConn) {}, false},
		{"open with unread data", func(c *net.TCPConn) { io.WriteString(c, "x") }, false},
		{"closed", func(c *net.TCPConn) { c.Close() }, true},
		{"closed after unread data", func(c *net.TCPConn) { io.WriteString(c, "x"); c.Close() }, true},
		{"reset", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, true},
		{"reset after unread data", func(c *net.TCPConn) { io.WriteString(c, "x"); c.SetLinger(0); c.Close() }, true},
		{"closed for writing", func(c *net.TCPConn) { c.CloseWrite() }, true}, // an HTTP server takes this as closed, too
	} {
		t.Run(tt.name, func(t *testing.T) {
			client, server := connect(t)
			ctx := WithConn(context.Background(), server)
			require.False(t, HungUp(ctx))
			tt.act(client)
			if tt.hungUp {
				require.Eventually(t, func() bool { return HungUp(ctx) }, time.Second, time.Millisecond)
				return
			}
			time.Sleep(10 * time.Millisecond)
			require.False(t, HungUp(ctx))
		})
	}
}

// Guards against taking a request that waited in the socket for a new one.
func TestSinceDataCountsUnreadData(t *testing.T) {
	const wait = 150 * time.Millisecond
	client, server := connect(t)
	ctx := WithConn(context.Background(), server)
	_, err := io.WriteString(client, "x")
	require.NoError(t, err)
	time.Sleep(wait)
	_, err = server.Read(make([]byte, 1))
	require.NoError(t, err)
	require.InDelta(t, wait.Milliseconds(), SinceData(ctx).Milliseconds(), 50)
	_, err = io.WriteString(client, "x")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return SinceData(ctx) < wait/2 }, time.Second, time.Millisecond)
}

// Guards against rejecting requests whose connection is unknown, closed by this process,
// or no socket.
func TestUnknownConnectionHasNotHungUp(t *testing.T) {
	require.False(t, HungUp(context.Background()))
	_, server := connect(t)
	server.Close()
	require.False(t, HungUp(WithConn(context.Background(), server)))
	pipe, other := net.Pipe()
	other.Close()
	require.False(t, HungUp(WithConn(context.Background(), pipe)))
	require.Zero(t, SinceData(WithConn(context.Background(), pipe)))
	require.Zero(t, SinceData(context.Background()))
}

func BenchmarkHungUp(b *testing.B) {
	_, server := connect(b)
	ctx := WithConn(context.Background(), server)
	b.ReportAllocs()
	for b.Loop() {
		if HungUp(ctx) {
			b.Fatal("an open connection is reported as closed")
		}
	}
}

func BenchmarkSinceData(b *testing.B) {
	_, server := connect(b)
	ctx := WithConn(context.Background(), server)
	b.ReportAllocs()
	for b.Loop() {
		SinceData(ctx)
	}
}
