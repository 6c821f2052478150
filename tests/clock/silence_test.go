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

// sweep is the grain of the judgement: two of the Hub's looks at its sessions.
const sweep = 200 * time.Millisecond

// pipes is a listener whose connections are in memory, so that a test can stop
// the runtime's clock. While mute is set nothing gets through, and no
// connection ends: the peer is frozen, or the network silent.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
	mute   atomic.Bool
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), closed: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { close(p.closed); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(ctx context.Context, _ string) (net.Conn, error) {
	if p.mute.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	select {
	case p.conns <- muted{far, p}:
		return muted{near, p}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// muted drops what is written while the pipes are mute.
type muted struct {
	net.Conn
	pipes *pipes
}

func (m muted) Write(b []byte) (int, error) {
	if m.pipes.mute.Load() {
		return len(b), nil
	}
	return m.Conn.Write(b)
}

// silent connects an entry with a peer of the role given, mutes the network, and
// returns after how long the entry gave the session up.
func silent(t *testing.T, role protocol.Role) time.Duration {
	p := newPipes()
	ends := make(chan time.Time, 1)
	ignore := func(protocol.Identity, protocol.Message) {}
	a := &messenger.Hub{Deliver: ignore, Self: protocol.Identity{Name: "a", Role: protocol.RoleEntry, Address: "a"}.WithNewIncarnation()}
	a.SessionClosed = func(protocol.Identity) { ends <- time.Now() }
	b := &messenger.Hub{Deliver: ignore, Dial: p.dial, Self: protocol.Identity{Name: "b", Role: role}.WithNewIncarnation()}
	a.Start(p)
	b.Start(nil)
	b.KeepConnected("a")
	time.Sleep(time.Minute)
	require.True(t, a.Reachable(b.Self.Incarnation, 2*time.Second), "an idle session stays")
	require.Empty(t, ends)
	p.mute.Store(true)
	since := time.Now()
	time.Sleep(10 * time.Second)
	require.False(t, a.Send(b.Self.Incarnation, protocol.Message{}))
	b.Stop()
	a.Stop()
	return (<-ends).Sub(since)
}

func TestSilentPeerIsGivenUpInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry := silent(t, protocol.RoleEntry)
		require.LessOrEqual(t, entry, 3*time.Second+sweep)
		require.Greater(t, entry, 1500*time.Millisecond)
		agent := silent(t, protocol.RoleAgent)
		require.LessOrEqual(t, agent, 3500*time.Millisecond+sweep)
		require.Greater(t, agent, 2*time.Second)
		t.Logf("given up after %s between entries, %s with an agent", entry, agent)
	})
}
