package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

// direct is a job of two tasks that may fail three times each.
func direct(name string) Job {
	return Job{
		Name: name, Tasks: []protocol.Request{{EstimateMillis: 100}, {EstimateMillis: 100}},
		Restart: RestartPolicy{Attempts: 3, FirstAttempt: 50}, Due: 300 * time.Millisecond,
	}
}

// full is the load of an agent without room.
var full = protocol.Load{Received: 1 << 32}

func mustRun(t *testing.T, k *Coordinator, in Job) uint64 {
	number, a, err := k.RunSync(testStart, in)
	require.NoError(t, err)
	require.Nil(t, a)
	return number
}

func refuse(k *Coordinator, now time.Time, s *protocol.Start, r protocol.Refusal, l protocol.Load) {
	k.Receive(now, testAgent, protocol.Message{Outcome: &protocol.Outcome{
		Ticket: s.Ticket, Task: s.Task, Attempt: s.Attempt, Refusal: r, Load: l,
	}})
}

// addAgents adds agents with four free slots each.
func addAgents(k *Coordinator, names ...string) {
	for _, a := range names {
		k.Receive(testStart, a, protocol.Message{Announce: &protocol.Announce{Capacity: sizer.Slots(4), Load: roomy}})
	}
	k.Drain()
}

func failOn(k *Coordinator, now time.Time, agent string, s *protocol.Start) {
	k.Receive(now, agent, protocol.Message{Outcome: &protocol.Outcome{
		Ticket: s.Ticket, Task: s.Task, Attempt: s.Attempt, Result: &protocol.Result{Status: 500}, Load: roomy,
	}})
}

// ending returns the only ending decided since the last call, and the stops.
func ending(t *testing.T, k *Coordinator) (*Answer, []*protocol.Stop) {
	out, endings, _ := k.Drain()
	require.Len(t, endings, 1)
	return endings[0].Answer, stopsIn(out)
}

func TestDirectJobEndsWithItsTasks(t *testing.T) {
	k := newKeeper()
	mustRun(t, k, direct("a"))
	list := starts(k)
	require.Len(t, list, 2)
	require.True(t, list[0].SessionBound)
	require.Equal(t, 50, list[0].Attempt)
	finish(k, testStart, list[0])
	finish(k, testStart, list[1])
	a, _ := ending(t, k)
	require.Equal(t, StateComplete, a.State)
	require.Empty(t, k.jobs, "its answer is not kept")
}

func TestFailedTaskIsStartedAgainAsOftenAsItMay(t *testing.T) {
	k := newKeeper()
	addAgents(k, "agent.1", "agent.2", "agent.3", "agent.4")
	mustRun(t, k, direct("a"))
	list := starts(k)
	for range 2 {
		failOn(k, testStart, list[0].Agent, list[0])
		list[0] = starts(k)[0]
	}
	require.Equal(t, 52, list[0].Attempt)
	failOn(k, testStart, list[0].Agent, list[0])
	a, stops := ending(t, k)
	require.Equal(t, protocol.ReasonTaskFailed, a.Reason)
	require.Len(t, stops, 1, "the other task is stopped")
}

// A lost agent's tasks may run on until their leases end, and must not run
// elsewhere meanwhile.
func TestLostAgentsTasksWaitForTheirEnd(t *testing.T) {
	k := newKeeper()
	mustRun(t, k, direct("a"))
	starts(k)
	k.AgentLost(testStart, testAgent)
	other := "other.1"
	k.Receive(testStart, other, protocol.Message{Announce: &protocol.Announce{Capacity: sizer.Slots(4), Load: roomy}})
	k.Tick(testStart.Add(k.Settings.LeaseExpiryWait - time.Millisecond))
	require.Empty(t, starts(k))
	k.Tick(testStart.Add(k.Settings.LeaseExpiryWait))
	list := starts(k)
	require.Len(t, list, 2)
	require.Equal(t, 51, list[0].Attempt)
}

func TestNextIncarnationEndsTheWait(t *testing.T) {
	k := newKeeper()
	mustRun(t, k, direct("a"))
	starts(k)
	k.AgentLost(testStart, testAgent)
	k.Receive(testStart, "agent.2", protocol.Message{Announce: &protocol.Announce{Capacity: sizer.Slots(4), Load: roomy}})
	require.Len(t, starts(k), 2, "an agent announces itself when nothing of before runs")
}

// "Not run" is said only when no start can have been carried out.
func TestNotRunIsTrue(t *testing.T) {
	tests := []struct {
		name    string
		refusal protocol.Refusal
		notRun  bool
	}{
		{"under way", "", false},
		{"no room", protocol.RefusalNoCapacity, true},
		{"lapsed", protocol.RefusalLeaseExpired, false},
		{"stopped", protocol.RefusalStopped, false},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			k := newKeeper()
			number := mustRun(t, k, direct("a"))
			for _, s := range starts(k) {
				if x.refusal != "" {
					refuse(k, testStart, s, x.refusal, full)
				}
			}
			require.Empty(t, starts(k), "there is no room to start them again")
			k.CancelSync(testStart, number)
			a, _ := ending(t, k)
			require.Equal(t, x.notRun, !a.MayHaveRun())
		})
	}
}

func TestSameNameIsTheSameJob(t *testing.T) {
	k := newKeeper()
	first := mustRun(t, k, direct("a"))
	require.Equal(t, first, mustRun(t, k, direct("a")))
	require.Len(t, starts(k), 2)
	require.True(t, k.CancelByName(testStart, "a"))
	require.False(t, k.CancelByName(testStart, "a"))
}

func TestTooLargeIsSaidAtOnce(t *testing.T) {
	k := newKeeper()
	in := direct("a")
	in.Tasks[1].Need = sizer.Slots(5)
	_, a, err := k.RunSync(testStart, in)
	require.NoError(t, err)
	require.Equal(t, protocol.ReasonNoFit, a.Reason)
	require.False(t, a.MayHaveRun())
}

// A backend server whose tasks stand still looks full and healthy: the task is
// stopped there and started elsewhere.
func TestTaskThatStandsStillIsMoved(t *testing.T) {
	k := newKeeper()
	addAgents(k, "other.1")
	in := direct("a")
	in.Tasks = in.Tasks[:1]
	mustRun(t, k, in)
	s := starts(k)[0]
	k.Tick(testStart.Add(400 * time.Millisecond))
	require.Empty(t, stopsOf(k), "estimates are rough")
	now := testStart.Add(501 * time.Millisecond)
	k.Tick(now)
	require.Len(t, stopsOf(k), 1)
	k.Tick(now.Add(20 * time.Millisecond))
	require.Empty(t, stopsOf(k), "it is told once")
	k.Receive(now, s.Agent, protocol.Message{Outcome: &protocol.Outcome{
		Ticket: s.Ticket, Task: s.Task, Attempt: s.Attempt, Refusal: protocol.RefusalStopped, Load: roomy,
	}})
	again := starts(k)
	require.Len(t, again, 1)
	require.NotEqual(t, s.Agent, again[0].Agent)
	require.Greater(t, again[0].Attempt, s.Attempt)
}

// With one agent alone a task that failed there is tried there again.
func TestFailedTaskIsTriedAgainOnTheOnlyAgent(t *testing.T) {
	k := newKeeper()
	mustRun(t, k, direct("a"))
	failOn(k, testStart, testAgent, starts(k)[0])
	require.Len(t, starts(k), 1)
}

func stopsOf(k *Coordinator) []*protocol.Stop {
	out, _, _ := k.Drain()
	return stopsIn(out)
}

func stopsIn(out []Output) []*protocol.Stop {
	var stops []*protocol.Stop
	for _, o := range out {
		if o.Message.Stop != nil {
			stops = append(stops, o.Message.Stop)
		}
	}
	return stops
}

// An overload: 30 jobs for four slots at one moment. Those that cannot be in
// time are given up long before their callers' deadlines, none of them after
// one of its tasks was started, and the others are served.
func TestOverloadIsToldEarly(t *testing.T) {
	k := newKeeper()
	k.Settings.UsefulFactor = 3
	for i := range 30 {
		in := direct(string(rune('A' + i)))
		in.DeadlineMillis = 30_000
		mustRun(t, k, in)
	}
	served, refused := 0, 0
	open := starts(k)
	for now := testStart; now.Before(testStart.Add(time.Second)); now = now.Add(100 * time.Millisecond) {
		for _, s := range open {
			finish(k, now, s)
		}
		k.Tick(now)
		out, endings, _ := k.Drain()
		open = nil
		for _, o := range out {
			if o.Message.Start != nil {
				open = append(open, o.Message.Start)
			}
		}
		for _, x := range endings {
			if x.Answer.State == StateComplete {
				served++
			} else {
				refused++
				require.Equal(t, protocol.ReasonDueTimeUnreachable, x.Answer.Reason)
				require.False(t, x.Answer.MayHaveRun())
				require.Positive(t, x.Answer.RetryAfter)
			}
		}
	}
	require.Equal(t, 30, served+refused, "every caller has its answer after a second")
	require.GreaterOrEqual(t, served, 12)
}
