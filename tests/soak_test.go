package tests

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/internal/soaker"
)

// soakSeeds are played in CI, one round each. Seeds that ever broke a promise
// stay here, with a line on the cause.
var soakSeeds = []uint64{
	1,   // kills of two entries beside cut, silent and slow links and a store that forgets
	408, // a job that fails was told as completed: the stand-in's executor read the clock twice at its end
}

func TestSoak(t *testing.T) {
	for _, seed := range soakSeeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			r, err := soaker.Run(soaker.Settings{
				Seed: seed, Duration: time.Second, Entries: 3, Agents: 4, Callers: 10, DaemonPath: daemon, Dir: t.TempDir(), Logf: t.Logf,
			})
			require.NoError(t, err)
			require.Positive(t, r.Completed)
			require.Empty(t, r.Violations)
		})
	}
}

// A seed names its faults: a failure can be played again.
func TestSoakScheduleFollowsTheSeed(t *testing.T) {
	a, b := soaker.NewSchedule(7, 3, 5, time.Minute), soaker.NewSchedule(7, 3, 5, time.Minute)
	require.Equal(t, a, b)
	require.NotEqual(t, a, soaker.NewSchedule(8, 3, 5, time.Minute))
	require.Greater(t, len(a), 1)
}
