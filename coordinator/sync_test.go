package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

// syncJob returns a synchronous job of two tasks, each with up to three attempts.
func syncJob(name string) Job {
	return Job{
		Name: name, Tasks: []protocol.Request{{EstimateMillis: 100}, {EstimateMillis: 100}},
		Restart: RestartPolicy{MaxAttempts: 3, FirstAttempt: 50}, Due: 300 * time.Millisecond,
	}
}

// fullLoad is the load of an agent without free capacity.
var fullLoad = protocol.Load{Received: 1 << 32}

// mustRunSync submits a job that is expected to run, and returns its number.
func mustRunSync(t *testing.T, c *Coordinator, spec Job) uint64 {
	number, a, err := c.RunSync(testStart, spec)
	require.NoError(t, err)
	require.Nil(t, a)
	return number
}

// refuseStart reports to c that testAgent refused a start.
func refuseStart(c *Coordinator, now time.Time, start *protocol.Start, refusal protocol.Refusal, load protocol.Load) {
	c.Receive(now, testAgent, protocol.Message{Outcome: &protocol.Outcome{
		Ticket: start.Ticket, Task: start.Task, Attempt: start.Attempt, Refusal: refusal, Load: load,
	}})
}

// addAgents connects agents with four free slots each.
func addAgents(c *Coordinator, names ...string) {
	for _, a := range names {
		c.Receive(testStart, a, protocol.Message{Announce: &protocol.Announce{Capacity: sizer.Slots(4), Load: freeLoad}})
	}
	c.TakeDecisions()
}

// failTask reports to c that a task failed on an agent.
func failTask(c *Coordinator, now time.Time, agent string, start *protocol.Start) {
	c.Receive(now, agent, protocol.Message{Outcome: &protocol.Outcome{
		Ticket: start.Ticket, Task: start.Task, Attempt: start.Attempt, Result: &protocol.Result{Status: 500}, Load: freeLoad,
	}})
}

// finalAnswer drains c, requires that exactly one job has ended, and returns its
// answer and the stops among the messages.
func finalAnswer(t *testing.T, c *Coordinator) (*Answer, []*protocol.Stop) {
	outputs, jobEnds, _ := c.TakeDecisions()
	require.Len(t, jobEnds, 1)
	return jobEnds[0].Answer, stopsIn(outputs)
}

func TestSyncJobEndsWithItsTasks(t *testing.T) {
	c := newTestCoordinator()
	mustRunSync(t, c, syncJob("a"))
	list := drainStarts(c)
	require.Len(t, list, 2)
	require.True(t, list[0].SessionBound)
	require.Equal(t, 50, list[0].Attempt)
	completeTask(c, testStart, list[0])
	completeTask(c, testStart, list[1])
	a, _ := finalAnswer(t, c)
	require.Equal(t, StateComplete, a.State)
	require.Empty(t, c.jobs, "the answer to a synchronous job is not kept")
}

func TestFailedTaskIsRestartedUpToMaxAttempts(t *testing.T) {
	c := newTestCoordinator()
	addAgents(c, "agent.1", "agent.2", "agent.3", "agent.4")
	mustRunSync(t, c, syncJob("a"))
	list := drainStarts(c)
	for range 2 {
		failTask(c, testStart, list[0].Agent, list[0])
		list[0] = drainStarts(c)[0]
	}
	require.Equal(t, 52, list[0].Attempt)
	failTask(c, testStart, list[0].Agent, list[0])
	a, stops := finalAnswer(t, c)
	require.Equal(t, protocol.ReasonTaskFailed, a.Reason)
	require.Len(t, stops, 1, "the other running task is stopped")
}

// Tasks on a lost agent may continue to run until their leases expire. They must
// not be started on another agent before then.
func TestTasksOfLostAgentWaitForLeaseExpiry(t *testing.T) {
	c := newTestCoordinator()
	mustRunSync(t, c, syncJob("a"))
	drainStarts(c)
	c.AgentLost(testStart, testAgent)
	other := "other.1"
	c.Receive(testStart, other, protocol.Message{Announce: &protocol.Announce{Capacity: sizer.Slots(4), Load: freeLoad}})
	c.Tick(testStart.Add(c.Settings.LeaseExpiryWait - time.Millisecond))
	require.Empty(t, drainStarts(c))
	c.Tick(testStart.Add(c.Settings.LeaseExpiryWait))
	list := drainStarts(c)
	require.Len(t, list, 2)
	require.Equal(t, 51, list[0].Attempt)
}

// A new incarnation of a lost agent shows that the tasks of the earlier one have
// stopped. They must be restarted without waiting for their leases to expire.
func TestNextIncarnationEndsLeaseWait(t *testing.T) {
	c := newTestCoordinator()
	mustRunSync(t, c, syncJob("a"))
	drainStarts(c)
	c.AgentLost(testStart, testAgent)
	c.Receive(testStart, "agent.2", protocol.Message{Announce: &protocol.Announce{Capacity: sizer.Slots(4), Load: freeLoad}})
	require.Len(t, drainStarts(c), 2, "an agent announces itself only after all earlier tasks have stopped")
}

// An agent that was lost announces itself in a new session once the tasks of the closed
// one have ended, and then reports their outcomes. The tasks have been started again by
// then, maybe at the same agent: the outcome of an earlier attempt says nothing about the
// present one.
func TestOutcomeOfEarlierAttemptDoesNotEndPresentOne(t *testing.T) {
	c := newTestCoordinator()
	mustRunSync(t, c, syncJob("a"))
	earlier := drainStarts(c)
	c.AgentLost(testStart, testAgent)
	c.Receive(testStart, testAgent, protocol.Message{Announce: &protocol.Announce{Capacity: sizer.Slots(4), Load: freeLoad}})
	present := drainStarts(c)
	require.Len(t, present, 2)
	require.Greater(t, present[0].Attempt, earlier[0].Attempt)
	failTask(c, testStart, testAgent, earlier[0])
	completeTask(c, testStart, earlier[1])
	require.Empty(t, drainStarts(c))
	require.Equal(t, 1, c.Counts().Unfinished, "the job waits for both tasks")
	completeTask(c, testStart, present[0])
	completeTask(c, testStart, present[1])
	answer, _ := finalAnswer(t, c)
	require.Equal(t, StateComplete, answer.State)
}

// A job is reported as not run only if none of its starts can have been executed.
func TestNotRunIsReportedOnlyWhenCertain(t *testing.T) {
	tests := []struct {
		name    string
		refusal protocol.Refusal
		notRun  bool
	}{
		{"outstanding", "", false},
		{"no free capacity", protocol.RefusalNoCapacity, true},
		{"lease expired", protocol.RefusalLeaseExpired, false},
		{"stopped", protocol.RefusalStopped, false},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			c := newTestCoordinator()
			number := mustRunSync(t, c, syncJob("a"))
			for _, s := range drainStarts(c) {
				if x.refusal != "" {
					refuseStart(c, testStart, s, x.refusal, fullLoad)
				}
			}
			require.Empty(t, drainStarts(c), "there is no free capacity for a restart")
			c.CancelSync(testStart, number)
			a, _ := finalAnswer(t, c)
			require.Equal(t, x.notRun, !a.MayHaveRun())
		})
	}
}

func TestSameNameJoinsRunningJob(t *testing.T) {
	c := newTestCoordinator()
	first := mustRunSync(t, c, syncJob("a"))
	require.Equal(t, first, mustRunSync(t, c, syncJob("a")))
	require.Len(t, drainStarts(c), 2)
	require.True(t, c.CancelByName(testStart, "a"))
	require.False(t, c.CancelByName(testStart, "a"))
}

func TestTooLargeJobFailsAtOnce(t *testing.T) {
	c := newTestCoordinator()
	spec := syncJob("a")
	spec.Tasks[1].Need = sizer.Slots(5)
	_, a, err := c.RunSync(testStart, spec)
	require.NoError(t, err)
	require.Equal(t, protocol.ReasonNoFit, a.Reason)
	require.False(t, a.MayHaveRun())
}

// A backend server whose tasks stall looks full and healthy. A task that runs far
// longer than estimated must be stopped there and restarted on another agent.
func TestStalledTaskIsMoved(t *testing.T) {
	c := newTestCoordinator()
	addAgents(c, "other.1")
	spec := syncJob("a")
	spec.Tasks = spec.Tasks[:1]
	mustRunSync(t, c, spec)
	s := drainStarts(c)[0]
	c.Tick(testStart.Add(400 * time.Millisecond))
	require.Empty(t, drainStops(c), "a task may take up to stragglerFactor times its estimate")
	now := testStart.Add(501 * time.Millisecond)
	c.Tick(now)
	require.Len(t, drainStops(c), 1)
	c.Tick(now.Add(20 * time.Millisecond))
	require.Empty(t, drainStops(c), "the stop is sent once")
	c.Receive(now, s.Agent, protocol.Message{Outcome: &protocol.Outcome{
		Ticket: s.Ticket, Task: s.Task, Attempt: s.Attempt, Refusal: protocol.RefusalStopped, Load: freeLoad,
	}})
	again := drainStarts(c)
	require.Len(t, again, 1)
	require.NotEqual(t, s.Agent, again[0].Agent)
	require.Greater(t, again[0].Attempt, s.Attempt)
}

// A job avoids agents on which a task of it failed. If there is no other agent, the
// task must be retried on the same one.
func TestFailedTaskIsRetriedOnOnlyAgent(t *testing.T) {
	c := newTestCoordinator()
	mustRunSync(t, c, syncJob("a"))
	failTask(c, testStart, testAgent, drainStarts(c)[0])
	require.Len(t, drainStarts(c), 1)
}

// drainStops drains c and returns the stops among the messages.
func drainStops(c *Coordinator) []*protocol.Stop {
	outputs, _, _ := c.TakeDecisions()
	return stopsIn(outputs)
}

func stopsIn(outputs []Output) []*protocol.Stop {
	var stops []*protocol.Stop
	for _, o := range outputs {
		if o.Message.Stop != nil {
			stops = append(stops, o.Message.Stop)
		}
	}
	return stops
}

// Under overload (30 jobs at once for four slots), jobs that cannot meet their due
// time must fail long before their deadlines and without any task started,
// and the other jobs must complete.
func TestOverloadIsReportedEarly(t *testing.T) {
	c := newTestCoordinator()
	c.Settings.UsefulFactor = 3
	for i := range 30 {
		spec := syncJob(string(rune('A' + i)))
		spec.DeadlineMillis = 30_000
		mustRunSync(t, c, spec)
	}
	completed, failed := 0, 0
	running := drainStarts(c)
	for now := testStart; now.Before(testStart.Add(time.Second)); now = now.Add(100 * time.Millisecond) {
		for _, s := range running {
			completeTask(c, now, s)
		}
		c.Tick(now)
		outputs, jobEnds, _ := c.TakeDecisions()
		running = nil
		for _, o := range outputs {
			if o.Message.Start != nil {
				running = append(running, o.Message.Start)
			}
		}
		for _, x := range jobEnds {
			if x.Answer.State == StateComplete {
				completed++
			} else {
				failed++
				require.Equal(t, protocol.ReasonDueTimeUnreachable, x.Answer.Reason)
				require.False(t, x.Answer.MayHaveRun())
				require.Positive(t, x.Answer.RetryAfter)
			}
		}
	}
	require.Equal(t, 30, completed+failed, "every job has an answer after one second")
	require.GreaterOrEqual(t, completed, 12)
}
