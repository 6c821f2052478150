package dispatcher_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/sizer"
)

var begin = time.Unix(1_000_000, 0)

func newDispatcher() *dispatcher.Dispatcher[string] {
	d := new(dispatcher.Dispatcher[string])
	d.Init(begin)
	d.AddAgent("fast", sizer.Slots(8), []string{"a"})
	d.AddAgent("slow", sizer.Slots(8), []string{"b"})
	for range 50 {
		d.Observe("fast", 0, 100*time.Millisecond)
		d.Observe("slow", 0, 400*time.Millisecond)
	}
	return d
}

// room reports n free slots of an agent that has received every start.
func room(d *dispatcher.Dispatcher[string], agent string, n int) {
	d.Report(agent, dispatcher.Load{Free: sizer.Slots(n), Received: 1 << 32})
}

func add(d *dispatcher.Dispatcher[string], name string, after time.Duration, tasks int) {
	d.Add(&dispatcher.Job[string]{Value: name, Arrived: begin.Add(after), Need: sizer.Slots(1)}, tasks, tasks)
}

func addDue(d *dispatcher.Dispatcher[string], name string, due, estimate time.Duration) {
	j := &dispatcher.Job[string]{Value: name, Arrived: begin, Due: begin.Add(due), Estimate: estimate, Need: sizer.Slots(1)}
	d.Add(j, 1, 1)
}

func next(t *testing.T, d *dispatcher.Dispatcher[string]) (job, agent string) {
	j, agent, ok := d.Next(begin, nil)
	require.True(t, ok)
	return j.Value, agent
}

func none(t *testing.T, d *dispatcher.Dispatcher[string]) {
	_, _, ok := d.Next(begin, nil)
	require.False(t, ok)
}

func TestLeastRemainingWorkComesFirst(t *testing.T) {
	d := newDispatcher()
	room(d, "fast", 2)
	add(d, "large", 0, 100)
	add(d, "small", time.Second, 1)
	job, _ := next(t, d)
	require.Equal(t, "small", job)
	job, _ = next(t, d)
	require.Equal(t, "large", job)
	none(t, d)
}

func TestWaitingMakesUrgent(t *testing.T) {
	d := newDispatcher()
	room(d, "fast", 1)
	add(d, "large", 0, 100)
	add(d, "small", 10*time.Minute, 1)
	job, _ := next(t, d)
	require.Equal(t, "large", job, "it has waited ten minutes longer")
}

func TestFastestEligibleAgent(t *testing.T) {
	d := newDispatcher()
	room(d, "slow", 8)
	room(d, "fast", 1)
	add(d, "job", 0, 3)
	_, agent := next(t, d)
	require.Equal(t, "fast", agent)
	_, agent = next(t, d)
	require.Equal(t, "slow", agent)
	_, _, ok := d.Next(begin, func(string, string) bool { return false })
	require.False(t, ok)
}

func TestStartsCountBeforeTheyAreReported(t *testing.T) {
	d := newDispatcher()
	d.Report("fast", dispatcher.Load{Free: sizer.Slots(2)})
	add(d, "job", 0, 9)
	next(t, d)
	next(t, d)
	none(t, d)
	d.Report("fast", dispatcher.Load{Free: sizer.Slots(2), Received: 1}) // another task has ended there
	next(t, d)
	none(t, d)
}

func TestSmallTaskPassesOneThatDoesNotFit(t *testing.T) {
	d := newDispatcher()
	room(d, "fast", 2)
	d.Add(&dispatcher.Job[string]{Value: "large", Arrived: begin, Need: sizer.Slots(3)}, 1, 1)
	add(d, "small", time.Minute, 1)
	job, _ := next(t, d)
	require.Equal(t, "small", job)
}

func TestMostUrgentComesFirst(t *testing.T) {
	d := newDispatcher()
	room(d, "fast", 3)
	addDue(d, "short", 300*time.Millisecond, 100*time.Millisecond)
	addDue(d, "long", 900*time.Millisecond, 850*time.Millisecond)
	job, _ := next(t, d)
	require.Equal(t, "long", job, "it has to start by 50 ms, the other one by 200 ms")
}

// In an overload operators' priorities decide who is served in time.
func TestPriorityComesFirstAmongTimelyJobs(t *testing.T) {
	d := newDispatcher()
	queue := func(name string, priority int, due time.Duration) {
		d.Add(&dispatcher.Job[string]{
			Value: name, Arrived: begin, Due: begin.Add(due), Estimate: 100 * time.Millisecond, Need: sizer.Slots(1), Priority: priority,
		}, 1, 1)
	}
	queue("low", 2, 300*time.Millisecond)
	queue("high", 0, 900*time.Millisecond)
	queue("late", 0, 200*time.Millisecond)
	d.Tick(begin.Add(150 * time.Millisecond))
	room(d, "fast", 8)
	for _, want := range []string{"high", "low", "late"} {
		job, _ := next(t, d)
		require.Equal(t, want, job)
	}
}

// A burst leaves jobs in the queue that can no longer be in time; those that
// still can go first.
func TestLateJobComesLast(t *testing.T) {
	d := newDispatcher()
	addDue(d, "late", 200*time.Millisecond, 100*time.Millisecond)
	addDue(d, "possible", 900*time.Millisecond, 100*time.Millisecond)
	d.Tick(begin.Add(150 * time.Millisecond))
	room(d, "fast", 6)
	job, _ := next(t, d)
	require.Equal(t, "possible", job)
	job, _ = next(t, d)
	require.Equal(t, "late", job)
}

// In an overload late jobs would take the room of the next ones, which would
// then be late too.
func TestLateJobNeedsRoomToSpare(t *testing.T) {
	d := newDispatcher()
	addDue(d, "late", 200*time.Millisecond, 100*time.Millisecond)
	d.Tick(begin.Add(150 * time.Millisecond))
	room(d, "fast", 4)
	none(t, d)
	addDue(d, "possible", 900*time.Millisecond, 100*time.Millisecond)
	job, _ := next(t, d)
	require.Equal(t, "possible", job)
	room(d, "slow", 2)
	job, _ = next(t, d)
	require.Equal(t, "late", job, "5 of 16 slots are free")
}

// Two wide jobs that share what room there is would both be late.
func TestBegunJobIsFinishedFirst(t *testing.T) {
	d := newDispatcher()
	wide := func(name string, due time.Duration) {
		d.Add(&dispatcher.Job[string]{Value: name, Arrived: begin, Due: begin.Add(due), Need: sizer.Slots(1)}, 3, 3)
	}
	wide("first", time.Second)
	room(d, "fast", 1)
	next(t, d)
	wide("urgent", 900*time.Millisecond)
	room(d, "fast", 3)
	for _, want := range []string{"first", "first", "urgent"} {
		job, _ := next(t, d)
		require.Equal(t, want, job)
	}
}

// A backend server that has turned slow is free when all others are busy. What
// has time to wait for another one does so.
func TestTooSlowAgentIsPassedOver(t *testing.T) {
	d := newDispatcher()
	room(d, "slow", 8)
	addDue(d, "job", 300*time.Millisecond, 200*time.Millisecond)
	none(t, d)
	d.Tick(begin.Add(100 * time.Millisecond)) // it is late wherever it runs
	_, agent := next(t, d)
	require.Equal(t, "slow", agent)
}

func TestLabelIsRequired(t *testing.T) {
	d := newDispatcher()
	room(d, "fast", 8)
	room(d, "slow", 8)
	d.Add(&dispatcher.Job[string]{Value: "job", Arrived: begin, Need: sizer.Slots(1), RequiredLabel: "b"}, 1, 1)
	_, agent := next(t, d)
	require.Equal(t, "slow", agent)
	d.Add(&dispatcher.Job[string]{Value: "job", Arrived: begin, Need: sizer.Slots(1), RequiredLabel: "c"}, 1, 1)
	none(t, d)
}

// Agents that are away for a while must not make a job impossible.
func TestTooLargeForEveryAgentEverSeen(t *testing.T) {
	d := new(dispatcher.Dispatcher[string])
	d.Init(begin)
	require.False(t, d.TooLarge(sizer.Slots(9)), "no agent was seen yet")
	d.AddAgent("large", sizer.Slots(12), nil)
	d.AddAgent("small", sizer.Slots(8), nil)
	d.RemoveAgent("large")
	require.False(t, d.TooLarge(sizer.Slots(9)))
	require.True(t, d.TooLarge(sizer.Slots(13)))
}

// A backend server that fails everything at once looks empty and fast.
func TestAgentWhereATaskFailedComesLater(t *testing.T) {
	d := new(dispatcher.Dispatcher[string])
	d.Init(begin)
	for name, ms := range map[string]time.Duration{"quick": 90, "steady": 110} {
		d.AddAgent(name, sizer.Slots(8), nil)
		room(d, name, 8)
		for range 50 {
			d.Observe(name, 100*time.Millisecond, ms*time.Millisecond)
		}
	}
	add(d, "job", 0, 2)
	_, agent := next(t, d)
	require.Equal(t, "quick", agent)
	d.Fail(begin, "quick")
	_, agent = next(t, d)
	require.Equal(t, "steady", agent)
}

func TestPausedAgentComesBackOnTrial(t *testing.T) {
	d := newDispatcher()
	room(d, "fast", 4)
	for range 3 {
		d.Fail(begin, "fast")
	}
	add(d, "job", 0, 4)
	none(t, d)
	d.Tick(begin.Add(time.Second))
	_, agent := next(t, d)
	require.Equal(t, "fast", agent)
	none(t, d) // until the one on trial has ended
	d.Ended("fast")
	d.Observe("fast", 0, 100*time.Millisecond)
	next(t, d)
	next(t, d)
}

// When every task fails everywhere the fault is not the agents': at least half
// of them stay in use.
func TestNotAllAgentsArePaused(t *testing.T) {
	d := newDispatcher()
	for _, agent := range []string{"fast", "slow"} {
		room(d, agent, 4)
		for range 3 {
			d.Fail(begin, agent)
		}
	}
	add(d, "job", 0, 1)
	next(t, d)
}

// The time that a queue takes is told by what was started of late, however many
// agents there are: other entries use them too.
func TestDrainTime(t *testing.T) {
	d := newDispatcher()
	drain := func() float64 {
		seconds, known := d.DrainSeconds()
		require.True(t, known)
		return seconds
	}
	require.Zero(t, drain())
	add(d, "job", 0, 100)
	d.Tick(begin.Add(time.Second))
	require.True(t, math.IsInf(drain(), 1), "nothing was started in a second")
	for i := range 20 {
		room(d, "slow", 1)
		next(t, d)
		d.Tick(begin.Add(time.Second + time.Duration(i+1)*100*time.Millisecond))
	}
	require.InDelta(t, 8, drain(), 1, "80 tasks wait, 10 are started in a second")
}

// All processes begin anew and callers come back at once: in the first moments
// the agents are met one by one, and how fast the queue drains is not known. A
// rate that grows from nothing would call every job hopeless.
func TestDrainTimeIsUnknownAtFirst(t *testing.T) {
	d := newDispatcher()
	add(d, "job", 0, 100)
	const tick = 20 * time.Millisecond
	now := begin
	for range 10 {
		now = now.Add(tick)
		d.Tick(now)
	}
	_, known := d.DrainSeconds()
	require.False(t, known)
	for range 15 {
		room(d, "slow", 2)
		next(t, d)
		next(t, d)
		now = now.Add(tick)
		d.Tick(now)
	}
	seconds, known := d.DrainSeconds()
	require.True(t, known)
	require.InDelta(t, 70/60.0, seconds, 0.2, "70 tasks wait, 30 were started in half a second")
}
