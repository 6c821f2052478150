package tests

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/internal/cluster"
	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/server"
)

// demandOf returns the demand that an entry knows, zero if none is exchanged.
func demandOf(e *server.Entry) coordinator.DemandView {
	for _, v := range e.Services() {
		if v.Counts.SharedDemand != nil {
			return *v.Counts.SharedDemand
		}
	}
	return coordinator.DemandView{}
}

// Guards against entries that do not learn of each other over six connections, against
// jobs that get no capacity while agents divide it, and against an entry that goes on to
// decide after most others have stopped.
func TestEntriesShareDemandAboveSix(t *testing.T) {
	c, err := cluster.Start(cluster.Settings{
		Entries: 8, Agents: 12, ShareDemand: true, Coordinator: coordinator.Settings{DivideCapacity: true, ShedLoad: true},
		Messenger: messenger.Settings{MaxEntries: 6, MaxRedialDelay: 100 * time.Millisecond},
	})
	require.NoError(t, err)
	t.Cleanup(c.Stop)
	require.Eventually(t, func() bool {
		for _, e := range c.Entries {
			if d := demandOf(e); d.Entries != 8 || !d.Decides {
				return false
			}
		}
		return true
	}, 10*time.Second, 20*time.Millisecond, "all entries know of all others")
	var jobs sync.WaitGroup
	for i, e := range c.Entries {
		for k := range 10 {
			jobs.Go(func() { runJob(t, e, fmt.Sprintf("job-%d-%d", i, k)) })
		}
	}
	jobs.Wait()
	for _, e := range c.Entries[6:] {
		e.Stop()
	}
	require.Eventually(t, func() bool { return !demandOf(c.Entries[0]).Decides }, 10*time.Second, 20*time.Millisecond, "six entries are left")
	runJob(t, c.Entries[0], "after")
}

// entryWithAgent returns an entry that an agent is connected to. With eight entries and two
// agents that connect to six, one entry in sixteen has none.
func entryWithAgent(t *testing.T, c *cluster.Cluster) *server.Entry {
	var entry *server.Entry
	require.Eventually(t, func() bool {
		for _, e := range c.Entries {
			if e.Services()[0].Counts.Agents > 0 {
				entry = e
				return true
			}
		}
		return false
	}, 10*time.Second, 5*time.Millisecond, "no entry has an agent")
	return entry
}

// Guards against messages and decisions where the setting is off, or where each entry is
// connected to all agents.
func TestEntriesDoNotShareDemandUnasked(t *testing.T) {
	for name, settings := range map[string]cluster.Settings{
		"setting off": {Entries: 8, Agents: 2, Messenger: messenger.Settings{MaxEntries: 6}},
		"six entries": {Entries: 6, Agents: 2, ShareDemand: true, Messenger: messenger.Settings{MaxEntries: 6}},
		"no limit":    {Entries: 8, Agents: 2, ShareDemand: true},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := cluster.Start(settings)
			require.NoError(t, err)
			t.Cleanup(c.Stop)
			e := entryWithAgent(t, c)
			for k := range 5 {
				runJob(t, e, fmt.Sprint("job-", k))
			}
			time.Sleep(500 * time.Millisecond)
			for _, e := range c.Entries {
				require.Zero(t, demandOf(e))
			}
		})
	}
}
