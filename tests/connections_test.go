package tests

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/internal/cluster"
	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/server"
)

// connectedEntries returns the names of the entries that the process is connected to.
func connectedEntries(peers []protocol.Identity) []string {
	var names []string
	for _, p := range peers {
		if p.Role == protocol.RoleEntry {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	return names
}

// runJob runs a synchronous job of three tasks at the entry.
func runJob(t *testing.T, e *server.Entry, name string) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	job := coordinator.Job{Name: name, Tasks: make([]protocol.Request, 3), DeadlineMillis: 10_000}
	for i := range job.Tasks {
		job.Tasks[i] = protocol.Request{Name: fmt.Sprintf("%s.%d", name, i), Path: "/book", Body: []byte(`{"ms":5}`)}
	}
	answer, err := e.RunSync(ctx, cluster.Service, job)
	require.NoError(t, err)
	require.Equal(t, coordinator.StateComplete, answer.State, answer.Reason)
}

// TestAgentsKeepConnectionsToSomeEntries runs agents that keep connections to two of
// six entries. They learn of all entries from the first one, settle on two each, and
// replace entries that are lost; jobs submitted meanwhile complete at every entry that
// is left.
func TestAgentsKeepConnectionsToSomeEntries(t *testing.T) {
	const limit = 2
	c, err := cluster.Start(cluster.Settings{Entries: 6, Agents: 12, Messenger: messenger.Settings{
		MaxEntries: limit, MaxRedialDelay: 100 * time.Millisecond,
		Agents: messenger.Timing{Heartbeat: 100 * time.Millisecond, ConnectionTimeout: 300 * time.Millisecond, SessionTimeout: 600 * time.Millisecond},
	}})
	require.NoError(t, err)
	t.Cleanup(c.Stop)
	settled := func(without string) func() bool {
		return func() bool {
			return !slices.ContainsFunc(c.Agents, func(a *server.Agent) bool {
				names := connectedEntries(a.Peers())
				return len(names) != limit || slices.Contains(names, without)
			})
		}
	}
	require.Eventually(t, settled(""), 15*time.Second, 20*time.Millisecond)
	sessions := 0
	for i, e := range c.Entries {
		sessions += len(e.Peers()) - len(connectedEntries(e.Peers()))
		if e.HasAgents() {
			runJob(t, e, fmt.Sprintf("job-%d", i))
		}
	}
	require.Equal(t, limit*len(c.Agents), sessions)

	busiest := slices.MaxFunc(c.Entries, func(a, b *server.Entry) int {
		return len(a.Peers()) - len(connectedEntries(a.Peers())) - len(b.Peers()) + len(connectedEntries(b.Peers()))
	})
	busiest.Stop()
	require.Eventually(t, settled(busiest.Identity().Name), 5*time.Second, 20*time.Millisecond)
	for i, e := range c.Entries {
		if e != busiest && e.HasAgents() {
			runJob(t, e, fmt.Sprintf("later-job-%d", i))
		}
	}
	for id, n := range c.Starts() {
		require.Equal(t, 1, n, id)
	}
}
