package messenger

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
)

// helloOnlyConn loses everything that is written after the first message.
type helloOnlyConn struct {
	net.Conn
	writes atomic.Int64
}

func (c *helloOnlyConn) Write(p []byte) (int, error) {
	if c.writes.Add(1) > 1 {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// An entry stops a task while the connection to its agent is broken. The agent dials
// again, and the connection breaks once more after the answer to the hello. That answer
// does not show that the entry vouches for the task: the stop has not arrived.
func TestHelloIsNoContactWhileStopIsUndelivered(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ignore := func(protocol.Identity, protocol.Message) {}
	timing := Timing{Heartbeat: 20 * time.Millisecond, ConnectionTimeout: time.Minute, SessionTimeout: time.Minute}
	s := Settings{Agents: timing, Entries: timing, MaxRedialDelay: 50 * time.Millisecond}
	entry := &Hub{Settings: s, Deliver: ignore, Self: protocol.Identity{Name: "a", Role: protocol.RoleEntry, Address: listener.Addr().String()}.WithNewIncarnation()}
	agent := &Hub{Settings: s, Self: protocol.Identity{Name: "b", Role: protocol.RoleAgent}.WithNewIncarnation()}
	var delivered, lossy atomic.Bool
	agent.Deliver = func(protocol.Identity, protocol.Message) { delivered.Store(true) }
	agent.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err == nil && lossy.Load() {
			return &helloOnlyConn{Conn: c}, nil
		}
		return c, err
	}
	entry.Start(listener)
	agent.Start(nil)
	t.Cleanup(func() { agent.Stop(); entry.Stop() })
	agent.KeepConnected(listener.Addr().String())
	contact := func() time.Time { return agent.ConfirmedContact(entry.Self.Incarnation) }
	require.Eventually(t, func() bool {
		return entry.Reachable(agent.Self.Incarnation, time.Second) && !contact().IsZero()
	}, 5*time.Second, time.Millisecond)

	lossy.Store(true)
	atEntry := entry.findSession(agent.Self.Incarnation)
	atEntry.mu.Lock()
	atEntry.detach()
	atEntry.mu.Unlock()
	stoppedAt := time.Now()
	require.True(t, entry.Send(agent.Self.Incarnation, protocol.Message{Stop: &protocol.Stop{}}))
	time.Sleep(500 * time.Millisecond)
	require.False(t, delivered.Load())
	require.False(t, contact().After(stoppedAt), "contact %v after the stop", contact().Sub(stoppedAt))
}
