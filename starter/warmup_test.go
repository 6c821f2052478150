package starter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

// newColdStarter returns a Starter with ten slots that treats cold backend servers
// specially.
func newColdStarter(overage float64, slack int) *Starter {
	s := &Starter{Self: "agent.1", Service: "s", Capacity: sizer.Slots(10), Settings: Settings{ColdOverage: overage, ColdSlack: slack}}
	s.Init()
	s.EntryConnected(testOwner)
	s.TakeDecisions()
	return s
}

// fill requests starts until one is refused, and returns the number of tasks that run.
func fill(s *Starter, sequence *uint64) int {
	for {
		*sequence++
		out, runs := startBound(s, *sequence)
		if len(runs) == 0 {
			if findOutcome(out) != nil {
				return s.RunCount()
			}
			return s.admission.used.CPU / 1000
		}
	}
}

// TestAdmittedLoadRisesInSteps guards against a cold backend server that is loaded at
// once, and against capacity that is withheld after the warm-up.
func TestAdmittedLoadRisesInSteps(t *testing.T) {
	s, sequence := newColdStarter(1.5, 2), uint64(0)
	s.SetCold(testTime, 8*time.Second)
	require.Equal(t, 2, fill(s, &sequence), "the slack")
	for _, step := range []struct {
		elapsed time.Duration
		running int
	}{{500 * time.Millisecond, 2}, {time.Second, 2}, {2 * time.Second, 3}, {4 * time.Second, 7}, {5 * time.Second, 9}, {5500 * time.Millisecond, 9}, {6 * time.Second, 10}} {
		s.AdvanceWarmUp(testTime.Add(step.elapsed))
		require.Equal(t, step.running, fill(s, &sequence), "after %v", step.elapsed)
		require.Less(t, s.freeCapacity().CPU, 1000, "no task more is offered than the limit admits")
	}
	require.Equal(t, testTime.Add(8*time.Second), s.WarmUp().End)
	s.AdvanceWarmUp(testTime.Add(8 * time.Second))
	require.Equal(t, WarmUp{Share: 1}, s.WarmUp())
}

// TestWarmUpEndsWithoutTraffic guards against a backend server that stays limited because
// no report follows, or because one names an impossible time.
func TestWarmUpEndsWithoutTraffic(t *testing.T) {
	s, sequence := newColdStarter(1.5, 0), uint64(0)
	s.SetCold(testTime, 1000*time.Hour)
	require.Equal(t, 0, fill(s, &sequence))
	s.AdvanceWarmUp(testTime.Add(maxWarmUp))
	require.Equal(t, 10, fill(s, &sequence))
}

// TestColdReportsAreBelievedForLimitedTime guards against a backend server that is limited
// for ever because it always reports the same remaining time, and against one that is
// never limited again after it was warm.
func TestColdReportsAreBelievedForLimitedTime(t *testing.T) {
	s, sequence := newColdStarter(1.5, 0), uint64(0)
	for elapsed := time.Duration(0); elapsed < 10*time.Minute; elapsed += 1500 * time.Millisecond {
		s.SetCold(testTime.Add(elapsed), 10*time.Second)
		if elapsed < maxWarmUp-10*time.Second {
			require.Zero(t, s.WarmUp().Share)
			continue
		}
		if elapsed >= maxWarmUp {
			require.Equal(t, WarmUp{Share: 1}, s.WarmUp(), "after %v", elapsed)
		}
	}
	require.Equal(t, 10, fill(s, &sequence))
	at := testTime.Add(10 * time.Minute)
	s.SetCold(at, 0)
	s.SetCold(at, 10*time.Second)
	require.Equal(t, at.Add(10*time.Second), s.WarmUp().End)
}

// TestReportsContinueWarmUp guards against a warm-up that begins again with each report,
// that outlasts a report of a warm backend server, or that is missed when the server
// becomes cold again.
func TestReportsContinueWarmUp(t *testing.T) {
	s, sequence := newColdStarter(1, 1), uint64(0)
	s.SetCold(testTime, 8*time.Second)
	require.Equal(t, 1, fill(s, &sequence))
	at := testTime.Add(4 * time.Second)
	s.SetCold(at, 4300*time.Millisecond) // delayed
	s.SetCold(at, 4*time.Second)
	require.Equal(t, 5, fill(s, &sequence))
	require.Equal(t, testTime.Add(8*time.Second), s.WarmUp().End)
	s.SetCold(at, 0)
	require.Equal(t, 10, fill(s, &sequence))
	s.SetCold(at, 8*time.Second)
	require.Equal(t, 0.0, s.WarmUp().Share)
	s.ForgetWarmUp(at)
	require.Equal(t, WarmUp{Share: 1}, s.WarmUp(), "another incarnation is not cold because this one was")
}

// TestWarmUpAfterEvacuation guards against servers that all entries load at once when an
// evacuation is withdrawn, and against a warm-up that the report of a server that did not
// cool down ends, or that blocks the zone.
func TestWarmUpAfterEvacuation(t *testing.T) {
	s, sequence := newColdStarter(1, 1), uint64(0)
	s.SetEvacuated(testTime, true)
	require.Equal(t, 0, fill(s, &sequence))
	require.Equal(t, WarmUp{Share: 1}, s.WarmUp())
	s.SetEvacuated(testTime, false)
	s.SetCold(testTime, 0)
	require.Equal(t, 1, fill(s, &sequence))
	s.AdvanceWarmUp(testTime.Add(defaultWarmUp / 2))
	require.Equal(t, 5, fill(s, &sequence))
	s.AdvanceWarmUp(testTime.Add(defaultWarmUp))
	require.Equal(t, 10, fill(s, &sequence))
}

// TestQueuedTaskWaitsForWarmUp guards against queued tasks that start above the limit,
// and against ones that wait after the warm-up has ended.
func TestQueuedTaskWaitsForWarmUp(t *testing.T) {
	s := newColdStarter(1, 0)
	s.SetUnresponsive(true)
	_, runs := startBound(s, 1)
	require.Empty(t, runs, "the task is queued")
	s.SetCold(testTime, 8*time.Second)
	s.SetUnresponsive(false)
	require.Empty(t, s.TakeDecisions().Starts)
	s.AdvanceWarmUp(testTime.Add(time.Second))
	require.Len(t, s.TakeDecisions().Starts, 1, "an eighth of ten slots")
}

// TestColdServersAreIgnoredUnlessConfigured guards against changed decisions while
// cold-overage is 0.
func TestColdServersAreIgnoredUnlessConfigured(t *testing.T) {
	s, sequence := newColdStarter(0, 5), uint64(0)
	s.SetCold(testTime, 8*time.Second)
	s.SetEvacuated(testTime, true)
	s.SetEvacuated(testTime, false)
	require.Equal(t, protocol.Load{Free: sizer.Slots(10)}, s.updateLoad(testOwner))
	require.Equal(t, 10, fill(s, &sequence))
}
