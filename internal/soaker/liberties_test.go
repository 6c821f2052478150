package soaker

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against added faults that change the other faults of a seed, that a seed does not
// determine, or that are not in the order of their times.
func TestAddFaults(t *testing.T) {
	const seed, entries, agents = 7, 3, 5
	schedule := func() []Round { return NewSchedule(seed, entries, agents, time.Minute) }
	withLiberties := func() []Round { return addLiberties(schedule(), seed, agents) }
	withReports := func() []Round { return addReportFaults(schedule(), seed, agents, ReportFaultKinds()) }
	withBoth := func() []Round { return addReportFaults(withLiberties(), seed, agents, ReportFaultKinds()) }
	var liberties []Kind
	for _, w := range libertyWeights {
		liberties = append(liberties, w.kind)
	}
	requireAdded(t, schedule, withLiberties, liberties)
	requireAdded(t, schedule, withReports, ReportFaultKinds())
	requireAdded(t, withLiberties, withBoth, ReportFaultKinds())
}

// requireAdded requires that extended returns the faults of base and faults of the added
// kinds.
func requireAdded(t *testing.T, base, extended func() []Round, added []Kind) {
	want, rounds := base(), extended()
	require.Equal(t, rounds, extended())
	require.Len(t, rounds, len(want))
	for i, r := range rounds {
		var others []Fault
		lastAt := time.Duration(0)
		for _, f := range r.Faults {
			require.GreaterOrEqual(t, f.At, lastAt)
			if lastAt = f.At; !slices.Contains(added, f.Kind) {
				others = append(others, f)
			}
		}
		require.Equal(t, want[i].Faults, others)
		require.Greater(t, len(r.Faults), len(others))
		require.Equal(t, want[i].Maintenance, r.Maintenance)
	}
}
