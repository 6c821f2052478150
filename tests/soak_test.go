package tests

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/internal/soaker"
)

// soakSeeds are run in CI, one round each. Every seed that has ever shown a
// violated guarantee stays here, with its cause.
var soakSeeds = []uint64{
	1,             // two entries are killed, links are interrupted, unresponsive or slow, and the store drops its change history
	625, 627, 641, // a job was given up after losses of agents whose backend servers ran on
	408, // a failed job was reported as completed: the stand-in executor read the clock twice at the end of a run
}

// Guards against violated guarantees and against a soak in which no job completes.
// The seeds determine the faults of processes, links and the store.
func TestSoak(t *testing.T) {
	for _, seed := range soakSeeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			r, err := soaker.Run(soaker.Settings{
				Seed: seed, Duration: time.Second, Entries: 3, Agents: 4, Callers: 10, DaemonPath: daemonPath, Dir: t.TempDir(), Logf: t.Logf,
			})
			require.NoError(t, err)
			require.Positive(t, r.Completed)
			require.Empty(t, r.Violations)
		})
	}
}

// Guards against failures that cannot be reproduced because a seed does not
// determine the faults.
func TestSoakScheduleIsDeterminedBySeed(t *testing.T) {
	a, b := soaker.NewSchedule(7, 3, 5, time.Minute), soaker.NewSchedule(7, 3, 5, time.Minute)
	require.Equal(t, a, b)
	require.NotEqual(t, a, soaker.NewSchedule(8, 3, 5, time.Minute))
	require.Greater(t, len(a), 1)
}
