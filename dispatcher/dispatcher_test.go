package dispatcher_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/sizer"
)

var startTime = time.Unix(1_000_000, 0)

func newDispatcher() *dispatcher.Dispatcher[string] {
	d := new(dispatcher.Dispatcher[string])
	d.Init(startTime)
	d.AddAgent("fast", sizer.Slots(8), []string{"a"})
	d.AddAgent("slow", sizer.Slots(8), []string{"b"})
	for range 50 {
		d.RecordDuration("fast", 0, 100*time.Millisecond)
		d.RecordDuration("slow", 0, 400*time.Millisecond)
	}
	return d
}

// reportFree reports n free slots for an agent that has received every start.
func reportFree(d *dispatcher.Dispatcher[string], agent string, n int) {
	d.Report(agent, dispatcher.Load{Free: sizer.Slots(n), Received: 1 << 32})
}

func addJob(d *dispatcher.Dispatcher[string], name string, after time.Duration, tasks int) {
	d.Add(&dispatcher.Job[string]{Value: name, Arrived: startTime.Add(after), Need: sizer.Slots(1)}, tasks, tasks)
}

func addJobDue(d *dispatcher.Dispatcher[string], name string, due, estimate time.Duration) {
	j := &dispatcher.Job[string]{Value: name, Arrived: startTime, Due: startTime.Add(due), Estimate: estimate, Need: sizer.Slots(1)}
	d.Add(j, 1, 1)
}

func nextStart(t *testing.T, d *dispatcher.Dispatcher[string]) (job, agent string) {
	j, agent, ok := d.Next(startTime, nil)
	require.True(t, ok)
	return j.Value, agent
}

func requireNoStart(t *testing.T, d *dispatcher.Dispatcher[string]) {
	_, _, ok := d.Next(startTime, nil)
	require.False(t, ok)
}

func TestLeastRemainingWorkComesFirst(t *testing.T) {
	d := newDispatcher()
	reportFree(d, "fast", 2)
	addJob(d, "large", 0, 100)
	addJob(d, "small", time.Second, 1)
	job, _ := nextStart(t, d)
	require.Equal(t, "small", job)
	job, _ = nextStart(t, d)
	require.Equal(t, "large", job)
	requireNoStart(t, d)
}

// Without aging, a stream of small jobs would keep a large one waiting forever.
func TestAgingPrefersLongWaitingJob(t *testing.T) {
	d := newDispatcher()
	reportFree(d, "fast", 1)
	addJob(d, "large", 0, 100)
	addJob(d, "small", 10*time.Minute, 1)
	job, _ := nextStart(t, d)
	require.Equal(t, "large", job, "large has waited ten minutes longer")
}

func TestFastestEligibleAgent(t *testing.T) {
	d := newDispatcher()
	reportFree(d, "slow", 8)
	reportFree(d, "fast", 1)
	addJob(d, "job", 0, 3)
	_, agent := nextStart(t, d)
	require.Equal(t, "fast", agent)
	_, agent = nextStart(t, d)
	require.Equal(t, "slow", agent)
	_, _, ok := d.Next(startTime, func(string, string) bool { return false })
	require.False(t, ok)
}

// Starts that an agent's last report does not include reduce its free capacity;
// otherwise the entry would overload the agent between two reports.
func TestUnreportedStartsReduceFreeCapacity(t *testing.T) {
	d := newDispatcher()
	d.Report("fast", dispatcher.Load{Free: sizer.Slots(2)})
	addJob(d, "job", 0, 9)
	nextStart(t, d)
	nextStart(t, d)
	requireNoStart(t, d)
	d.Report("fast", dispatcher.Load{Free: sizer.Slots(2), Received: 1}) // another task on the agent has ended
	nextStart(t, d)
	requireNoStart(t, d)
}

func TestSmallTaskOvertakesTaskThatDoesNotFit(t *testing.T) {
	d := newDispatcher()
	reportFree(d, "fast", 2)
	d.Add(&dispatcher.Job[string]{Value: "large", Arrived: startTime, Need: sizer.Slots(3)}, 1, 1)
	addJob(d, "small", time.Minute, 1)
	job, _ := nextStart(t, d)
	require.Equal(t, "small", job)
}

func TestEarliestLatestStartComesFirst(t *testing.T) {
	d := newDispatcher()
	reportFree(d, "fast", 3)
	addJobDue(d, "short", 300*time.Millisecond, 100*time.Millisecond)
	addJobDue(d, "long", 900*time.Millisecond, 850*time.Millisecond)
	job, _ := nextStart(t, d)
	require.Equal(t, "long", job, "long has to start by 50 ms, short by 200 ms (before the margin)")
}

// During an overload, the priorities set by operators decide which jobs meet
// their due time. A late job comes last whatever its priority.
func TestPriorityComesFirstAmongTimelyJobs(t *testing.T) {
	d := newDispatcher()
	addPriorityJob := func(name string, priority int, due time.Duration) {
		d.Add(&dispatcher.Job[string]{
			Value: name, Arrived: startTime, Due: startTime.Add(due), Estimate: 100 * time.Millisecond, Need: sizer.Slots(1), Priority: priority,
		}, 1, 1)
	}
	addPriorityJob("low", 2, 300*time.Millisecond)
	addPriorityJob("high", 0, 900*time.Millisecond)
	addPriorityJob("late", 0, 200*time.Millisecond)
	d.Tick(startTime.Add(150 * time.Millisecond))
	reportFree(d, "fast", 8)
	for _, want := range []string{"high", "low", "late"} {
		job, _ := nextStart(t, d)
		require.Equal(t, want, job)
	}
}

// After a burst the queue contains jobs that can no longer meet their due time.
// Those that still can come first.
func TestLateJobComesLast(t *testing.T) {
	d := newDispatcher()
	addJobDue(d, "late", 200*time.Millisecond, 100*time.Millisecond)
	addJobDue(d, "possible", 900*time.Millisecond, 100*time.Millisecond)
	d.Tick(startTime.Add(150 * time.Millisecond))
	reportFree(d, "fast", 6)
	job, _ := nextStart(t, d)
	require.Equal(t, "possible", job)
	job, _ = nextStart(t, d)
	require.Equal(t, "late", job)
}

// During an overload, late jobs would use the capacity that the next jobs need,
// which would then be late too. A late job starts only if a fixed fraction of the
// total capacity is free.
func TestLateJobNeedsHeadroom(t *testing.T) {
	d := newDispatcher()
	addJobDue(d, "late", 200*time.Millisecond, 100*time.Millisecond)
	d.Tick(startTime.Add(150 * time.Millisecond))
	reportFree(d, "fast", 4)
	requireNoStart(t, d)
	addJobDue(d, "possible", 900*time.Millisecond, 100*time.Millisecond)
	job, _ := nextStart(t, d)
	require.Equal(t, "possible", job)
	reportFree(d, "slow", 2)
	job, _ = nextStart(t, d)
	require.Equal(t, "late", job, "5 of 16 slots are free")
}

// If two jobs of many tasks shared the free capacity, both would be late. The
// tasks of a started job therefore come before a more urgent job.
func TestStartedJobComesFirst(t *testing.T) {
	d := newDispatcher()
	addWideJob := func(name string, due time.Duration) {
		d.Add(&dispatcher.Job[string]{Value: name, Arrived: startTime, Due: startTime.Add(due), Need: sizer.Slots(1)}, 3, 3)
	}
	addWideJob("first", time.Second)
	reportFree(d, "fast", 1)
	nextStart(t, d)
	addWideJob("urgent", 900*time.Millisecond)
	reportFree(d, "fast", 3)
	for _, want := range []string{"first", "first", "urgent"} {
		job, _ := nextStart(t, d)
		require.Equal(t, want, job)
	}
}

// A backend server that has become slow often has free capacity while the others
// are busy. A job that can still meet its due time waits for a faster one.
func TestTooSlowAgentIsSkipped(t *testing.T) {
	d := newDispatcher()
	reportFree(d, "slow", 8)
	addJobDue(d, "job", 300*time.Millisecond, 200*time.Millisecond)
	requireNoStart(t, d)
	d.Tick(startTime.Add(100 * time.Millisecond)) // now the job is late on every agent
	_, agent := nextStart(t, d)
	require.Equal(t, "slow", agent)
}

func TestLabelIsRequired(t *testing.T) {
	d := newDispatcher()
	reportFree(d, "fast", 8)
	reportFree(d, "slow", 8)
	d.Add(&dispatcher.Job[string]{Value: "job", Arrived: startTime, Need: sizer.Slots(1), RequiredLabel: "b"}, 1, 1)
	_, agent := nextStart(t, d)
	require.Equal(t, "slow", agent)
	d.Add(&dispatcher.Job[string]{Value: "job", Arrived: startTime, Need: sizer.Slots(1), RequiredLabel: "c"}, 1, 1)
	requireNoStart(t, d)
}

// A job must not be rejected as too large because the agents that fit it are
// temporarily disconnected.
func TestTooLargeCountsEveryAgentSeen(t *testing.T) {
	d := new(dispatcher.Dispatcher[string])
	d.Init(startTime)
	require.False(t, d.TooLarge(sizer.Slots(9)), "no agent seen yet")
	d.AddAgent("large", sizer.Slots(12), nil)
	d.AddAgent("small", sizer.Slots(8), nil)
	d.RemoveAgent("large")
	require.False(t, d.TooLarge(sizer.Slots(9)))
	require.True(t, d.TooLarge(sizer.Slots(13)))
}

// A backend server that fails every task at once looks idle and fast. A failed
// task makes its agent less preferred.
func TestAgentWithFailedTaskIsLessPreferred(t *testing.T) {
	d := new(dispatcher.Dispatcher[string])
	d.Init(startTime)
	for name, ms := range map[string]time.Duration{"quick": 90, "steady": 110} {
		d.AddAgent(name, sizer.Slots(8), nil)
		reportFree(d, name, 8)
		for range 50 {
			d.RecordDuration(name, 100*time.Millisecond, ms*time.Millisecond)
		}
	}
	addJob(d, "job", 0, 2)
	_, agent := nextStart(t, d)
	require.Equal(t, "quick", agent)
	d.RecordFailure(startTime, "quick")
	_, agent = nextStart(t, d)
	require.Equal(t, "steady", agent)
}

func TestSuspendedAgentResumesOnProbation(t *testing.T) {
	d := newDispatcher()
	reportFree(d, "fast", 4)
	for range 3 {
		d.RecordFailure(startTime, "fast")
	}
	addJob(d, "job", 0, 4)
	requireNoStart(t, d)
	d.Tick(startTime.Add(time.Second))
	_, agent := nextStart(t, d)
	require.Equal(t, "fast", agent)
	requireNoStart(t, d) // until the task on the agent on probation has ended
	d.RecordOutcome("fast")
	d.RecordDuration("fast", 0, 100*time.Millisecond)
	nextStart(t, d)
	nextStart(t, d)
}

// When every task fails on every agent, the agents are not the cause. Of two
// agents, only one is suspended.
func TestNotAllAgentsAreSuspended(t *testing.T) {
	d := newDispatcher()
	for _, agent := range []string{"fast", "slow"} {
		reportFree(d, agent, 4)
		for range 3 {
			d.RecordFailure(startTime, agent)
		}
	}
	addJob(d, "job", 0, 1)
	nextStart(t, d)
}

// The drain time follows from the recent start rate, not from the number of
// agents, since other entries use the same agents.
func TestDrainTime(t *testing.T) {
	d := newDispatcher()
	drain := func() float64 {
		seconds, known := d.DrainSeconds()
		require.True(t, known)
		return seconds
	}
	require.Zero(t, drain())
	addJob(d, "job", 0, 100)
	d.Tick(startTime.Add(time.Second))
	require.True(t, math.IsInf(drain(), 1), "no task was started within a second")
	for i := range 20 {
		reportFree(d, "slow", 1)
		nextStart(t, d)
		d.Tick(startTime.Add(time.Second + time.Duration(i+1)*100*time.Millisecond))
	}
	require.InDelta(t, 8, drain(), 1, "80 tasks wait, 10 are started per second")
}

// After a restart of all processes, callers retry at once while the agents connect
// one by one, so the rate at which the queue drains is not known yet. A rate that
// starts from zero would classify every job as unable to meet its due time.
func TestDrainTimeIsUnknownAfterStart(t *testing.T) {
	d := newDispatcher()
	addJob(d, "job", 0, 100)
	const tick = 20 * time.Millisecond
	now := startTime
	for range 10 {
		now = now.Add(tick)
		d.Tick(now)
	}
	_, known := d.DrainSeconds()
	require.False(t, known)
	for range 15 {
		reportFree(d, "slow", 2)
		nextStart(t, d)
		nextStart(t, d)
		now = now.Add(tick)
		d.Tick(now)
	}
	seconds, known := d.DrainSeconds()
	require.True(t, known)
	require.InDelta(t, 70/60.0, seconds, 0.2, "70 tasks wait, 30 were started in half a second")
}
