package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/profiler"
	"mustardlever.dev/mustardlever/sizer"
)

var (
	succeeding = profiler.Profile{Incarnation: 1, SlownessPercent: 100, Samples: 32}
	failing    = profiler.Profile{Incarnation: 1, SlownessPercent: 100, FailurePercent: 95, Samples: 32}
)

// newProfileDispatcher returns a Dispatcher that uses profiles, with agents of eight slots
// whose names are "0", "1" and so on.
func newProfileDispatcher(agents int) *dispatcher.Dispatcher[string] {
	d := new(dispatcher.Dispatcher[string])
	d.Settings.ServerProfiles = true
	d.Init(startTime)
	for i := range agents {
		d.AddAgent(fmt.Sprint(i), sizer.Slots(8), nil)
	}
	return d
}

func reportProfile(d *dispatcher.Dispatcher[string], agent string, free int, p profiler.Profile) {
	d.Report(agent, dispatcher.Load{Free: sizer.Slots(free), Received: 1 << 32, Profile: &p})
}

func slowness(d *dispatcher.Dispatcher[string], agent string) float64 {
	return d.View(startTime, agent).Slowness
}

// An entry that has just started must not treat a slow server as a fast one until it has
// run a dozen tasks there.
func TestNewEntryUsesProfile(t *testing.T) {
	d := newProfileDispatcher(2)
	reportProfile(d, "0", 8, profiler.Profile{Incarnation: 1, SlownessPercent: 160})
	reportProfile(d, "1", 1, profiler.Profile{Incarnation: 1, SlownessPercent: 60})
	require.InDelta(t, 1.6, slowness(d, "0"), 0.001)
	addJob(d, "job", 0, 2)
	_, agent := nextStart(t, d)
	require.Equal(t, "1", agent)
	_, agent = nextStart(t, d)
	require.Equal(t, "0", agent)
	require.Equal(t, 2, d.ProfileCounts().InUse)
}

// An agent must not be able to contradict what the entry itself observes.
func TestOwnSamplesReplaceProfile(t *testing.T) {
	d := newProfileDispatcher(1)
	reportProfile(d, "0", 8, profiler.Profile{Incarnation: 1, SlownessPercent: 800})
	for range 60 {
		d.RecordDuration("0", 100*time.Millisecond, 100*time.Millisecond)
	}
	require.InDelta(t, 1, slowness(d, "0"), 0.05)
	require.Zero(t, d.ProfileCounts().InUse)
}

// A server that got no task of this entry for some time may have become slow for the tasks
// of others.
func TestProfileOfRarelyUsedServerCountsAgain(t *testing.T) {
	d := newProfileDispatcher(1)
	for range 60 {
		d.RecordDuration("0", 100*time.Millisecond, 100*time.Millisecond)
	}
	reportProfile(d, "0", 8, profiler.Profile{Incarnation: 1, SlownessPercent: 400})
	require.InDelta(t, 1, slowness(d, "0"), 0.01)
	for i := range 30 {
		d.Tick(startTime.Add(time.Duration(i+1) * time.Second))
	}
	require.InDelta(t, 4, slowness(d, "0"), 0.4)
}

// What was known of an earlier incarnation of the server says nothing about the present one.
func TestNewServerIncarnationBeginsAnew(t *testing.T) {
	d := newProfileDispatcher(3)
	reportProfile(d, "0", 8, failing)
	for range 60 {
		d.RecordDuration("0", 100*time.Millisecond, 400*time.Millisecond)
	}
	for range 3 {
		d.RecordFailure(startTime, "0")
	}
	require.Positive(t, d.View(startTime, "0").SuspendedMillis)
	reportProfile(d, "0", 8, profiler.Profile{Incarnation: 2})
	v := d.View(startTime, "0")
	require.InDelta(t, 1, v.Slowness, 0.001)
	require.Zero(t, v.SuspendedMillis)
	require.Zero(t, v.ConsecutiveFailures)
}

// A report without limits must not make a server infinitely slow or fast.
func TestProfileIsClamped(t *testing.T) {
	d := newProfileDispatcher(1)
	reportProfile(d, "0", 8, profiler.Profile{SlownessPercent: 1 << 40, FailurePercent: 1 << 40, Samples: 1 << 40})
	require.InDelta(t, 8, slowness(d, "0"), 0.001)
	addJob(d, "job", 0, 1)
	nextStart(t, d) // it is the only agent
}

// A server that fails its tasks at once is always free. An entry that has sent it none must
// not do so because all others are busy. The exclusion ends when the profile has faded.
func TestFailingServerDoesNotAttractWork(t *testing.T) {
	d := newProfileDispatcher(4)
	for _, agent := range []string{"1", "2", "3"} {
		reportProfile(d, agent, 0, succeeding)
	}
	reportProfile(d, "0", 8, failing)
	require.True(t, d.View(startTime, "0").Excluded)
	addJob(d, "job", 0, 1)
	requireNoStart(t, d)
	reportProfile(d, "0", 8, profiler.Profile{Incarnation: 1, FailurePercent: 95, Samples: 4})
	_, agent := nextStart(t, d)
	require.Equal(t, "0", agent)
}

// When most servers fail, the cause is elsewhere, or the others could not take the load.
func TestFailingServersAreUsedIfTheyAreMost(t *testing.T) {
	d := newProfileDispatcher(4)
	for _, agent := range []string{"0", "1", "2"} {
		reportProfile(d, agent, 8, failing)
	}
	require.Zero(t, d.ProfileCounts().Excluded)
	addJob(d, "job", 0, 1)
	nextStart(t, d)
}

// failedJob adds a job of one task of 100 ms that has failed and has the given number of
// attempts left.
func failedJob(d *dispatcher.Dispatcher[string], attemptsLeft int, due time.Duration) *dispatcher.Job[string] {
	j := &dispatcher.Job[string]{Value: "failed", Arrived: startTime, Need: sizer.Slots(1), Estimate: 100 * time.Millisecond, Failed: 1, AttemptsLeft: attemptsLeft}
	if due > 0 {
		j.Due = startTime.Add(due)
	}
	d.Add(j, 1, 1)
	return j
}

// newHalfFailingDispatcher has four agents. "3" is known to succeed and busy; half of the
// runs on the others fail, and they are free.
func newHalfFailingDispatcher() *dispatcher.Dispatcher[string] {
	d := newProfileDispatcher(4)
	for _, agent := range []string{"0", "1", "2"} {
		reportProfile(d, agent, 8, profiler.Profile{Incarnation: 1, SlownessPercent: 100, FailurePercent: 50, Samples: 32})
	}
	reportProfile(d, "3", 0, succeeding)
	return d
}

// A task that has failed once must not use up its attempts on servers that fail while
// others succeed.
func TestFailedTaskPrefersServerKnownToSucceed(t *testing.T) {
	d := newHalfFailingDispatcher()
	reportProfile(d, "3", 8, profiler.Profile{Incarnation: 1, SlownessPercent: 300, Samples: 32}) // slow, but it succeeds
	j := failedJob(d, 2, 0)
	_, agent := nextStart(t, d)
	require.Equal(t, "3", agent)
	require.True(t, j.ForFailed)
}

// The last attempt waits for such a server while the job can still be in time. Other jobs
// use the capacity that it passes by.
func TestLastAttemptWaitsForServerKnownToSucceed(t *testing.T) {
	d := newHalfFailingDispatcher()
	failedJob(d, 1, time.Second)
	requireNoStart(t, d)
	require.Equal(t, 1, d.ProfileCounts().Retries.Waiting)
	addJob(d, "other", 0, 1)
	job, _ := nextStart(t, d)
	require.Equal(t, "other", job)
	reportProfile(d, "3", 1, succeeding)
	job, agent := nextStart(t, d)
	require.Equal(t, "failed", job)
	require.Equal(t, "3", agent)
	require.Equal(t, dispatcher.WaitCounts{Begun: 1, PaidOff: 1}, d.ProfileCounts().Retries)
}

// The wait must not make the job late, and must end if its cause ends.
func TestWaitOfLastAttemptEnds(t *testing.T) {
	start := func(d *dispatcher.Dispatcher[string], at time.Duration) bool {
		_, agent, ok := d.Next(startTime.Add(at), nil)
		return ok && agent != "3"
	}
	t.Run("due", func(t *testing.T) {
		d := newHalfFailingDispatcher()
		failedJob(d, 1, time.Second)
		require.False(t, start(d, 880*time.Millisecond))
		require.True(t, start(d, 890*time.Millisecond), "100 ms and the margin remain")
		require.Equal(t, dispatcher.WaitCounts{Begun: 1, GivenUp: 1}, d.ProfileCounts().Retries)
	})
	t.Run("no due time", func(t *testing.T) {
		d := newHalfFailingDispatcher()
		failedJob(d, 1, 0)
		require.False(t, start(d, 0))
		require.False(t, start(d, 199*time.Millisecond))
		require.True(t, start(d, 200*time.Millisecond))
	})
	t.Run("server lost", func(t *testing.T) {
		d := newHalfFailingDispatcher()
		failedJob(d, 1, time.Second)
		require.False(t, start(d, 0))
		d.RemoveAgent("3")
		require.True(t, start(d, 0))
	})
	t.Run("server fails too", func(t *testing.T) {
		d := newHalfFailingDispatcher()
		failedJob(d, 1, time.Second)
		require.False(t, start(d, 0))
		reportProfile(d, "3", 0, failing)
		require.True(t, start(d, 0))
	})
	t.Run("job removed", func(t *testing.T) {
		d := newHalfFailingDispatcher()
		j := failedJob(d, 1, time.Second)
		require.False(t, start(d, 0))
		d.Remove(j)
		require.Equal(t, dispatcher.WaitCounts{Begun: 1, GivenUp: 1}, d.ProfileCounts().Retries)
	})
}

// With attempts left, or on a server that is likely to succeed, waiting does not pay.
func TestFailedTaskDoesNotWaitWithoutNeed(t *testing.T) {
	d := newHalfFailingDispatcher()
	failedJob(d, 2, time.Second)
	nextStart(t, d)

	d = newHalfFailingDispatcher()
	reportProfile(d, "0", 8, profiler.Profile{Incarnation: 1, SlownessPercent: 100, FailurePercent: 5, Samples: 4}) // too few runs to be known to succeed
	for _, agent := range []string{"1", "2"} {
		reportProfile(d, agent, 0, profiler.Profile{Incarnation: 1, SlownessPercent: 100, Samples: 4})
	}
	failedJob(d, 1, time.Second)
	nextStart(t, d)
}

// The tasks of a job that have not failed must not wait for those that have.
func TestOtherTasksOfJobDoNotWait(t *testing.T) {
	d := newHalfFailingDispatcher()
	j := &dispatcher.Job[string]{Value: "job", Arrived: startTime, Due: startTime.Add(time.Second), Need: sizer.Slots(1), Estimate: 100 * time.Millisecond, Failed: 1, AttemptsLeft: 1}
	d.Add(j, 3, 3)
	for range 2 {
		nextStart(t, d)
		require.False(t, j.ForFailed)
	}
	requireNoStart(t, d)
}

// Without the setting, profiles and failed tasks change nothing.
func TestProfilesWithoutSetting(t *testing.T) {
	d := newHalfFailingDispatcher()
	d.Settings.ServerProfiles = false
	reportProfile(d, "0", 8, profiler.Profile{Incarnation: 2, SlownessPercent: 800, FailurePercent: 100, Samples: 32})
	require.InDelta(t, 1, slowness(d, "0"), 0.001)
	failedJob(d, 1, time.Second)
	nextStart(t, d)
}
