package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/internal/fault"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

const (
	testAgent = "agent.1"
	testOwner = "owner.1"
)

var testStart = time.Unix(1_000_000, 0)

// freeLoad is the load of an agent with four free slots that has received every
// start sent to it.
var freeLoad = protocol.Load{Free: sizer.Slots(4), Received: 1 << 32}

// newTestCoordinator returns a Coordinator with one agent that has four free slots.
func newTestCoordinator() *Coordinator {
	c := &Coordinator{Self: "self.1", Zone: "zone-1", Service: "s"}
	c.Init(testStart)
	c.Receive(testStart, testAgent, protocol.Message{Announce: &protocol.Announce{
		Capacity: sizer.Slots(4), Load: freeLoad,
	}})
	c.TakeDecisions()
	return c
}

func oneTask() Job { return Job{Tasks: make([]protocol.Request, 1), Digest: "d"} }

// drainStarts drains c and returns the starts among the messages.
func drainStarts(c *Coordinator) []*protocol.Start {
	var starts []*protocol.Start
	outputs, _, _ := c.TakeDecisions()
	for _, o := range outputs {
		if o.Message.Start != nil {
			starts = append(starts, o.Message.Start)
		}
	}
	return starts
}

// completeTask reports a successful result for a start to c.
func completeTask(c *Coordinator, now time.Time, start *protocol.Start) {
	c.Receive(now, testAgent, protocol.Message{Outcome: &protocol.Outcome{
		Ticket: start.Ticket, Task: start.Task, Attempt: start.Attempt, Result: &protocol.Result{Status: 200}, Load: freeLoad,
	}})
}

// takeOver makes c the backup of testOwner with one agent and submits a job of
// testOwner to c. The agent answers the seal with records.
func takeOver(t *testing.T, c *Coordinator, now time.Time, records protocol.StartRecords) protocol.Ticket {
	c.Receive(now, testOwner, protocol.Message{Membership: &protocol.Membership{Members: []protocol.Member{{Agent: testAgent}}}})
	ticket := protocol.Ticket{Owner: testOwner, Backup: c.Self, Sequence: 3}
	a, err := c.TakeOver(now, ticket, oneTask())
	require.NoError(t, err)
	require.Nil(t, a)
	require.Empty(t, drainStarts(c), "no task may be started before the seal is complete")
	records.Owner = testOwner
	c.Receive(now, testAgent, protocol.Message{StartRecords: &records})
	return ticket
}

// An ended job must outlive its retention while its ticket is valid. Otherwise a
// repeated submission would run the job a second time.
func TestEndedJobIsKeptUntilTicketExpires(t *testing.T) {
	c := newTestCoordinator()
	tickets, err := c.Issue(testStart, 1)
	require.NoError(t, err)
	_, err = c.Submit(testStart, tickets[0].Ticket, oneTask())
	require.NoError(t, err)
	completeTask(c, testStart, drainStarts(c)[0])
	c.Settings.Retention = time.Second
	late := testStart.Add(c.Settings.TicketLife - time.Second)
	c.Tick(late)
	a, err := c.Submit(late, tickets[0].Ticket, oneTask())
	require.NoError(t, err)
	require.NotNil(t, a)
	require.Equal(t, StateComplete, a.State)
	require.Empty(t, drainStarts(c))
	c.Tick(late.Add(time.Minute))
	_, err = c.Submit(late.Add(time.Minute), tickets[0].Ticket, oneTask())
	require.Equal(t, KindExpired, fault.KindOf[Kind](err))
}

// A job taken over must be kept until its owner is closed. Otherwise a repeated
// takeover would run the job a second time.
func TestTakenOverJobIsKeptUntilOwnerIsClosed(t *testing.T) {
	c := newTestCoordinator()
	ticket := takeOver(t, c, testStart, protocol.StartRecords{})
	list := drainStarts(c)
	require.Len(t, list, 1)
	completeTask(c, testStart, list[0])
	for d := time.Duration(0); d < 10*time.Minute; d += 10 * time.Second {
		now := testStart.Add(d)
		c.Tick(now)
		a, err := c.TakeOver(now, ticket, oneTask())
		if err != nil {
			require.Equal(t, KindExpired, fault.KindOf[Kind](err))
		} else {
			require.Equal(t, StateComplete, a.State)
		}
		require.Empty(t, drainStarts(c), "%s after the takeover", d)
	}
}

// An agent may have removed its start records below its closed number, so a
// missing record there does not show that a task was not started.
func TestTicketClosedByAgentIsNotStarted(t *testing.T) {
	c := newTestCoordinator()
	ticket := takeOver(t, c, testStart, protocol.StartRecords{ClosedBelow: 4})
	require.Empty(t, drainStarts(c))
	a, err := c.TakeOver(testStart, ticket, oneTask())
	require.NoError(t, err)
	require.Equal(t, StateFailed, a.State)
	require.Equal(t, protocol.TaskUnknown, a.Tasks[0].State)
}

// An agent that refuses a start because the ticket is closed may have run the task
// earlier, so the task must be reported as unknown and not as not-run.
func TestClosedRefusalMakesTaskUnknown(t *testing.T) {
	c := newTestCoordinator()
	ticket := takeOver(t, c, testStart, protocol.StartRecords{})
	s := drainStarts(c)[0]
	c.Receive(testStart, testAgent, protocol.Message{Outcome: &protocol.Outcome{
		Ticket: s.Ticket, Task: s.Task, Attempt: s.Attempt, Refusal: protocol.RefusalClosed,
	}})
	a, err := c.TakeOver(testStart, ticket, oneTask())
	require.NoError(t, err)
	require.Equal(t, protocol.TaskUnknown, a.Tasks[0].State)
}

// The oldest results above MaxResultBytes are dropped. Their jobs must then fail
// with task states that still say what ran.
func TestResultsBeyondMaxBytesAreDropped(t *testing.T) {
	c := newTestCoordinator()
	c.Settings.MaxResultBytes = 10
	tickets, err := c.Issue(testStart, 3)
	require.NoError(t, err)
	for _, x := range tickets {
		_, err := c.Submit(testStart, x.Ticket, oneTask())
		require.NoError(t, err)
		s := drainStarts(c)[0]
		c.Receive(testStart, testAgent, protocol.Message{Outcome: &protocol.Outcome{
			Ticket: s.Ticket, Task: 0, Result: &protocol.Result{Status: 200, Body: []byte(`"123456"`)}, Load: freeLoad,
		}})
	}
	first, err := c.Find(testStart, tickets[0].Ticket)
	require.NoError(t, err)
	require.Equal(t, protocol.ReasonResultsDropped, first.Reason)
	require.Equal(t, protocol.TaskRan, first.Tasks[0].State)
	last, err := c.Find(testStart, tickets[2].Ticket)
	require.NoError(t, err)
	require.Equal(t, StateComplete, last.State)
}
