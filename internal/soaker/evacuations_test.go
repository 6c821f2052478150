package soaker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEvacuationsLeaveOtherFaultsUnchanged guards against seeds whose faults change when
// zones are evacuated as well, and against evacuations that a seed does not determine.
func TestEvacuationsLeaveOtherFaultsUnchanged(t *testing.T) {
	schedule := func() []Round { return NewSchedule(7, 3, 5, time.Minute) }
	evacuated := func() []Round { return addEvacuations(schedule(), 7, 5) }
	requireAdded(t, schedule, evacuated, []Kind{EvacuateZone, EvacuateZoneTwice})
}

// TestLateStartIsViolation guards against a soak that takes a start in an evacuated zone
// for permitted, or one before the bound for a violation.
func TestLateStartIsViolation(t *testing.T) {
	k := &soak{system: system{Settings: Settings{Logf: t.Logf}}, startTime: time.Now()}
	agent := &process{name: "agent-1", settings: map[string]any{"zone": "zone-1"}, exited: make(chan struct{})}
	k.agents = []*process{agent}
	violations := func(late time.Duration) int {
		k.report.Violations = nil
		k.evacuations = map[string]time.Time{"zone-1": time.Now().Add(-late)}
		k.checkEvacuation(agent, "task")
		return len(k.report.Violations)
	}
	require.Zero(t, violations(normalEvacuationBound/2))
	require.Equal(t, 1, violations(normalEvacuationBound+time.Millisecond), "no process was disturbed")
	require.Equal(t, 1, violations(evacuationBound+time.Millisecond))
	agent.markDisturbed(time.Now().Add(recoveryMargin - 2*time.Second)) // a fault ended 2 s ago
	require.Zero(t, violations(normalEvacuationBound+time.Millisecond))
	require.Zero(t, violations(evacuationBound+time.Millisecond))
	delete(k.evacuations, "zone-1")
	k.checkEvacuation(agent, "task")
	require.Empty(t, k.report.Violations)
}
