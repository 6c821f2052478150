package clock

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/protocol"
)

// tolerance is how late a Hub may detect that a session has timed out: two intervals
// of its periodic check.
const tolerance = 200 * time.Millisecond

// pipeListener is a listener whose connections are in memory, so that they work with
// the fake clock of synctest. While dropping is set, it drops all data and closes no
// connection, as if the peer were paused or the network dropped all packets.
type pipeListener struct {
	conns    chan net.Conn
	closed   chan struct{}
	dropping atomic.Bool
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error   { close(p.closed); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial(ctx context.Context, _ string) (net.Conn, error) {
	if p.dropping.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	select {
	case p.conns <- droppingConn{server, p}:
		return droppingConn{client, p}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// droppingConn drops all written data while its listener is dropping.
type droppingConn struct {
	net.Conn
	listener *pipeListener
}

func (d droppingConn) Write(b []byte) (int, error) {
	if d.listener.dropping.Load() {
		return len(b), nil
	}
	return d.Conn.Write(b)
}

// measureTimeout connects a peer of the given role to an entry, drops all data
// between them, and returns the time until the entry closed the session as lost.
func measureTimeout(t *testing.T, role protocol.Role) time.Duration {
	p := newPipeListener()
	lostAt := make(chan time.Time, 1)
	ignore := func(protocol.Identity, protocol.Message) {}
	a := &messenger.Hub{Deliver: ignore, Self: protocol.Identity{Name: "a", Role: protocol.RoleEntry, Address: "a"}.WithNewIncarnation()}
	a.SessionClosed = func(protocol.Identity) { lostAt <- time.Now() }
	b := &messenger.Hub{Deliver: ignore, Dial: p.dial, Self: protocol.Identity{Name: "b", Role: role}.WithNewIncarnation()}
	a.Start(p)
	b.Start(nil)
	b.KeepConnected("a")
	time.Sleep(time.Minute)
	require.True(t, a.Reachable(b.Self.Incarnation, 2*time.Second), "an idle session must stay open")
	require.Empty(t, lostAt)
	p.dropping.Store(true)
	start := time.Now()
	time.Sleep(10 * time.Second)
	require.False(t, a.Send(b.Self.Incarnation, protocol.Message{}))
	b.Stop()
	a.Stop()
	return (<-lostAt).Sub(start)
}

// Guards against a session that the Hub closes too early or too late when its peer is
// unresponsive but the connection stays open.
func TestSessionWithUnresponsivePeerIsClosedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry := measureTimeout(t, protocol.RoleEntry)
		require.LessOrEqual(t, entry, 3*time.Second+tolerance)
		require.Greater(t, entry, 1500*time.Millisecond)
		agent := measureTimeout(t, protocol.RoleAgent)
		require.LessOrEqual(t, agent, 3500*time.Millisecond+tolerance)
		require.Greater(t, agent, 2*time.Second)
		t.Logf("closed after %s between entries, %s with an agent", entry, agent)
	})
}
