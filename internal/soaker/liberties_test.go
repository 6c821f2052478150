package soaker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against liberties that change the other faults of a seed, that a seed does not
// determine, or that are not in the order of their times.
func TestAddLiberties(t *testing.T) {
	const seed, entries, agents = 7, 3, 5
	want := NewSchedule(seed, entries, agents, time.Minute)
	rounds := addLiberties(NewSchedule(seed, entries, agents, time.Minute), seed, agents)
	require.Equal(t, rounds, addLiberties(NewSchedule(seed, entries, agents, time.Minute), seed, agents))
	require.Len(t, rounds, len(want))
	isLiberty := make(map[Kind]bool)
	for _, w := range libertyWeights {
		isLiberty[w.kind] = true
	}
	for i, r := range rounds {
		var others []Fault
		lastAt := time.Duration(0)
		for _, f := range r.Faults {
			require.GreaterOrEqual(t, f.At, lastAt)
			if lastAt = f.At; !isLiberty[f.Kind] {
				others = append(others, f)
			}
		}
		require.Equal(t, want[i].Faults, others)
		require.Greater(t, len(r.Faults), len(others))
		require.Equal(t, want[i].Maintenance, r.Maintenance)
	}
}
