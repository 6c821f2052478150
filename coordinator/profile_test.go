package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/profiler"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

// newProfileCoordinator returns a Coordinator that uses profiles, with three agents of one
// free slot. Half of the runs of all but "good.1" fail.
func newProfileCoordinator(s dispatcher.Settings) *Coordinator {
	c := &Coordinator{Self: "self.1", Service: "s", Settings: Settings{Dispatcher: s}}
	c.Init(testStart)
	for _, name := range []string{"bad-1.1", "bad-2.1", "good.1"} {
		p := profiler.Profile{Incarnation: 1, SlownessPercent: 100, FailurePercent: 50, Samples: 32}
		if name == "good.1" {
			p.SlownessPercent, p.FailurePercent = 300, 0
		}
		c.Receive(testStart, name, protocol.Message{Announce: &protocol.Announce{
			Capacity: sizer.Slots(1), Labels: []string{name}, Load: protocol.Load{Free: sizer.Slots(1), Profile: &p},
		}})
	}
	return c
}

func finishTask(c *Coordinator, now time.Time, s *protocol.Start, status int) {
	c.Receive(now, s.Agent, protocol.Message{Outcome: &protocol.Outcome{
		Ticket: s.Ticket, Task: s.Task, Attempt: s.Attempt, Result: &protocol.Result{Status: status, ServeMicros: 10_000},
		Load: protocol.Load{Free: sizer.Slots(1), Received: 1 << 32},
	}})
}

// The task that has failed, not another one of the job, must get the server that is known
// to succeed.
func TestFailedTaskGetsServerKnownToSucceed(t *testing.T) {
	c := newProfileCoordinator(dispatcher.Settings{ServerProfiles: true})
	tasks := make([]protocol.Request, 4)
	for i := range tasks {
		tasks[i] = protocol.Request{Name: fmt.Sprintf("job.%d", i), EstimateMillis: 100}
	}
	_, _, err := c.RunSync(testStart, Job{Name: "job", Tasks: tasks, Restart: RestartPolicy{MaxAttempts: 3}})
	require.NoError(t, err)
	first := drainStarts(c)
	require.Len(t, first, 3)
	byAgent := make(map[string]*protocol.Start)
	for _, s := range first {
		byAgent[s.Agent] = s
	}
	finishTask(c, testStart, byAgent["bad-1.1"], 500)
	require.Empty(t, drainStarts(c), "the job avoids the agent, and the others are busy")
	finishTask(c, testStart, byAgent["good.1"], 200)
	next := drainStarts(c)
	require.Len(t, next, 1)
	require.Equal(t, "good.1", next[0].Agent)
	require.Equal(t, byAgent["bad-1.1"].Task, next[0].Task)
}

// The agent must not take a task away from its data for one that a slow server runs.
func TestStartHasExpectedDurationOfRemoteTask(t *testing.T) {
	c := newProfileCoordinator(dispatcher.Settings{ServerProfiles: true, LocalityWait: true, RemoteFactor: 3})
	job := Job{Name: "job", Tasks: make([]protocol.Request, 3), Restart: RestartPolicy{MaxAttempts: 3}, PreferredLabel: "good.1"}
	for i := range job.Tasks {
		job.Tasks[i].EstimateMillis = 100
	}
	_, _, err := c.RunSync(testStart, job)
	require.NoError(t, err)
	starts := drainStarts(c)
	require.Len(t, starts, 3)
	for _, s := range starts {
		expected := int64(300)
		if s.Agent == "good.1" {
			expected = 0
		}
		require.Equal(t, expected, s.ExpectedMillis)
	}
}
