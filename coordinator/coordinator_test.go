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

// roomy is the load of an agent with four free slots that has received every
// start.
var roomy = protocol.Load{Free: sizer.Slots(4), Received: 1 << 32}

// newKeeper returns a Keeper with one agent that has four free slots.
func newKeeper() *Coordinator {
	k := &Coordinator{Self: "self.1", Zone: "zone-1", Service: "s"}
	k.Init(testStart)
	k.Receive(testStart, testAgent, protocol.Message{Announce: &protocol.Announce{
		Capacity: sizer.Slots(4), Load: roomy,
	}})
	k.Drain()
	return k
}

func oneTask() Job { return Job{Tasks: make([]protocol.Request, 1), Digest: "d"} }

// starts returns the starts among the messages decided since the last call.
func starts(k *Coordinator) []*protocol.Start {
	var list []*protocol.Start
	out, _, _ := k.Drain()
	for _, o := range out {
		if o.Message.Start != nil {
			list = append(list, o.Message.Start)
		}
	}
	return list
}

func finish(k *Coordinator, now time.Time, s *protocol.Start) {
	k.Receive(now, testAgent, protocol.Message{Outcome: &protocol.Outcome{
		Ticket: s.Ticket, Task: s.Task, Attempt: s.Attempt, Result: &protocol.Result{Status: 200}, Load: roomy,
	}})
}

// takeOver makes k the witness of testOwner, with one agent, and puts a job to
// it. The agent answers the seal with reply.
func takeOver(t *testing.T, k *Coordinator, now time.Time, reply protocol.StartRecords) protocol.Ticket {
	k.Receive(now, testOwner, protocol.Message{Membership: &protocol.Membership{Members: []protocol.Member{{Agent: testAgent}}}})
	ticket := protocol.Ticket{Owner: testOwner, Backup: k.Self, Sequence: 3}
	a, err := k.TakeOver(now, ticket, oneTask())
	require.NoError(t, err)
	require.Nil(t, a)
	require.Empty(t, starts(k), "nothing may start before the seal is complete")
	reply.Owner = testOwner
	k.Receive(now, testAgent, protocol.Message{StartRecords: &reply})
	return ticket
}

func TestEndedJobStaysUntilItsTicketExpires(t *testing.T) {
	k := newKeeper()
	tickets, err := k.Issue(testStart, 1)
	require.NoError(t, err)
	_, err = k.Submit(testStart, tickets[0].Ticket, oneTask())
	require.NoError(t, err)
	finish(k, testStart, starts(k)[0])
	k.Settings.Retention = time.Second
	late := testStart.Add(k.Settings.TicketLife - time.Second)
	k.Tick(late)
	a, err := k.Submit(late, tickets[0].Ticket, oneTask())
	require.NoError(t, err)
	require.NotNil(t, a)
	require.Equal(t, StateComplete, a.State)
	require.Empty(t, starts(k))
	k.Tick(late.Add(time.Minute))
	_, err = k.Submit(late.Add(time.Minute), tickets[0].Ticket, oneTask())
	require.Equal(t, KindExpired, fault.KindOf[Kind](err))
}

func TestJobTakenOverStaysUntilItsOwnerIsClosed(t *testing.T) {
	k := newKeeper()
	ticket := takeOver(t, k, testStart, protocol.StartRecords{})
	list := starts(k)
	require.Len(t, list, 1)
	finish(k, testStart, list[0])
	for d := time.Duration(0); d < 10*time.Minute; d += 10 * time.Second {
		now := testStart.Add(d)
		k.Tick(now)
		a, err := k.TakeOver(now, ticket, oneTask())
		if err != nil {
			require.Equal(t, KindExpired, fault.KindOf[Kind](err))
		} else {
			require.Equal(t, StateComplete, a.State)
		}
		require.Empty(t, starts(k), "%s after the takeover", d)
	}
}

func TestTicketThatAnAgentClosedIsNotStarted(t *testing.T) {
	k := newKeeper()
	ticket := takeOver(t, k, testStart, protocol.StartRecords{ClosedBelow: 4})
	require.Empty(t, starts(k))
	a, err := k.TakeOver(testStart, ticket, oneTask())
	require.NoError(t, err)
	require.Equal(t, StateFailed, a.State)
	require.Equal(t, protocol.TaskUnknown, a.Tasks[0].State)
}

func TestClosedRefusalLeavesTheTaskUnknown(t *testing.T) {
	k := newKeeper()
	ticket := takeOver(t, k, testStart, protocol.StartRecords{})
	s := starts(k)[0]
	k.Receive(testStart, testAgent, protocol.Message{Outcome: &protocol.Outcome{
		Ticket: s.Ticket, Task: s.Task, Attempt: s.Attempt, Refusal: protocol.RefusalClosed,
	}})
	a, err := k.TakeOver(testStart, ticket, oneTask())
	require.NoError(t, err)
	require.Equal(t, protocol.TaskUnknown, a.Tasks[0].State)
}

func TestResultsBeyondTheirRoomAreDropped(t *testing.T) {
	k := newKeeper()
	k.Settings.KeptBytes = 10
	tickets, err := k.Issue(testStart, 3)
	require.NoError(t, err)
	for _, x := range tickets {
		_, err := k.Submit(testStart, x.Ticket, oneTask())
		require.NoError(t, err)
		s := starts(k)[0]
		k.Receive(testStart, testAgent, protocol.Message{Outcome: &protocol.Outcome{
			Ticket: s.Ticket, Task: 0, Result: &protocol.Result{Status: 200, Body: []byte(`"123456"`)}, Load: roomy,
		}})
	}
	first, err := k.Find(testStart, tickets[0].Ticket)
	require.NoError(t, err)
	require.Equal(t, protocol.ReasonResultsDropped, first.Reason)
	require.Equal(t, protocol.TaskRan, first.Tasks[0].State)
	last, err := k.Find(testStart, tickets[2].Ticket)
	require.NoError(t, err)
	require.Equal(t, StateComplete, last.State)
}
