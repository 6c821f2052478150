package starter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

const (
	testOwner   = "owner.1"
	testWitness = "witness.1"
)

var testTime = time.Unix(1_000_000, 0)

// newStarter returns a Starter with two slots and a session with testOwner.
func newStarter() *Starter {
	s := &Starter{Self: "agent.1", Service: "s", Capacity: sizer.Slots(2)}
	s.Init()
	s.Up(testOwner)
	s.Drain()
	return s
}

func start(s *Starter, sequence uint64) ([]Output, []Run) {
	s.Receive(testOwner, protocol.Message{Start: &protocol.Start{
		Agent: s.Self, Ticket: protocol.Ticket{Backup: testWitness, Sequence: sequence},
	}})
	d := s.Drain()
	return d.Messages, d.Starts
}

func outcome(out []Output) *protocol.Outcome {
	for _, o := range out {
		if o.Message.Outcome != nil {
			return o.Message.Outcome
		}
	}
	return nil
}

func seal(s *Starter) *protocol.StartRecords {
	s.Receive(testWitness, protocol.Message{Seal: &protocol.Seal{Owner: testOwner}})
	for _, o := range s.Drain().Messages {
		if o.Message.StartRecords != nil {
			return o.Message.StartRecords
		}
	}
	return nil
}

func TestSealReportsMarksAndTheClosedWatermark(t *testing.T) {
	s := newStarter()
	for sequence := uint64(1); sequence <= 2; sequence++ {
		_, runs := start(s, sequence)
		s.Finish(runs[0].ID, &protocol.Result{Status: 200})
		s.Drain()
	}
	s.Receive(testOwner, protocol.Message{Close: &protocol.Close{Owner: testOwner, Below: 2}})
	m := seal(s)
	require.Equal(t, uint64(2), m.ClosedBelow)
	require.Equal(t, []protocol.StartRecord{{Sequence: 2, Done: true}}, m.Records)
}

func TestClosedTicketStartsNothing(t *testing.T) {
	s := newStarter()
	s.Receive(testOwner, protocol.Message{Close: &protocol.Close{Owner: testOwner, Below: 5}})
	out, runs := start(s, 4)
	require.Empty(t, runs)
	require.Equal(t, protocol.RefusalClosed, outcome(out).Refusal)
}

func TestOwnerLostForLongIsClosed(t *testing.T) {
	s := newStarter()
	_, runs := start(s, 1)
	s.Finish(runs[0].ID, &protocol.Result{Status: 200})
	now := s.lost[testOwner]
	s.EntryLost(now, testOwner)
	s.Tick(now.Add(s.Settings.OwnerRetention))
	require.Equal(t, uint64(never), seal(s).ClosedBelow)
}

func TestRefusedStartStaysRefusedUntilBoundAnew(t *testing.T) {
	s := newStarter()
	_, runs := start(s, 1)
	s.Finish(runs[0].ID, nil)
	s.Drain()
	out, runs := start(s, 1)
	require.Empty(t, runs, "a repeated start of a refused task")
	require.Equal(t, protocol.RefusalUnreachable, outcome(out).Refusal)
	s.Receive(testOwner, protocol.Message{Start: &protocol.Start{
		Agent: s.Self, Attempt: 1, Ticket: protocol.Ticket{Backup: testWitness, Sequence: 1},
	}})
	require.Len(t, s.Drain().Starts, 1, "the task bound anew")
}

func TestResultsBeyondTheirRoomAreDropped(t *testing.T) {
	s := newStarter()
	s.Settings.KeptBytes = 10
	for sequence := uint64(1); sequence <= 3; sequence++ {
		_, runs := start(s, sequence)
		s.Finish(runs[0].ID, &protocol.Result{Status: 200, Body: []byte(`"1234"`)})
		s.Drain()
	}
	require.LessOrEqual(t, s.bytes, 10)
	require.Len(t, seal(s).Records, 3, "the marks stay")
}

func TestFullAgentStartsNothingUntilTicketsClose(t *testing.T) {
	s := newStarter()
	s.Settings.MaxStartRecords = 2
	for sequence := uint64(1); sequence <= 2; sequence++ {
		_, runs := start(s, sequence)
		s.Finish(runs[0].ID, &protocol.Result{Status: 200})
	}
	s.Drain()
	out, runs := start(s, 3)
	require.Empty(t, runs)
	require.Equal(t, protocol.RefusalNoCapacity, outcome(out).Refusal)
	s.Receive(testOwner, protocol.Message{Close: &protocol.Close{Owner: testOwner, Below: 3}})
	_, runs = start(s, 4)
	require.Len(t, runs, 1)
}

// startSized asks for a bound task of a size.
func startSized(s *Starter, sequence uint64, attempt int, need sizer.Resources) Decisions {
	s.Receive(testOwner, protocol.Message{Start: &protocol.Start{
		Agent: s.Self, Ticket: protocol.Ticket{Sequence: sequence}, Attempt: attempt,
		Request: protocol.Request{Need: need}, SessionBound: true,
	}})
	return s.Drain()
}

// newRoomy returns a Starter of a backend server of 32 cores.
func newRoomy() *Starter {
	s := &Starter{Self: "agent.1", Service: "s", Capacity: sizer.Resources{CPU: 32_000, Memory: 1000}}
	s.Init()
	s.Up(testOwner)
	s.Drain()
	return s
}

// Two entries place tasks of half a backend server at the same time: the
// first starts, a small one waits, a large one is sent elsewhere.
func TestStartsBeyondTheRoomWaitOrAreRefused(t *testing.T) {
	s := newRoomy()
	first := startSized(s, 1, 0, sizer.Resources{CPU: 30_000})
	require.Len(t, first.Starts, 1)
	waits := startSized(s, 2, 0, sizer.Resources{CPU: 4_000})
	require.Empty(t, waits.Starts)
	require.Nil(t, outcome(waits.Messages))
	refused := startSized(s, 3, 0, sizer.Resources{CPU: 4_000})
	require.Equal(t, protocol.RefusalNoCapacity, outcome(refused.Messages).Refusal)
	require.Equal(t, -2_000, outcome(refused.Messages).Load.Free.CPU, "what waits is counted")
	s.Finish(first.Starts[0].ID, &protocol.Result{Status: 200})
	d := s.Drain()
	require.Len(t, d.Starts, 1, "the one that waited starts")
	require.Equal(t, 28_000, outcome(d.Messages).Load.Free.CPU)
}

// A task that is being stopped takes its room until it has ended.
func TestStoppingTaskKeepsItsRoom(t *testing.T) {
	s := newRoomy()
	startSized(s, 1, 0, sizer.Resources{CPU: 30_000})
	startSized(s, 2, 0, sizer.Resources{CPU: 4_000})
	s.Receive(testOwner, protocol.Message{Stop: &protocol.Stop{Ticket: protocol.Ticket{Sequence: 1}, Tasks: []int{0}}})
	d := s.Drain()
	require.Len(t, d.Stops, 1)
	require.Empty(t, d.Starts)
	s.FinishStopped(d.Stops[0].ID)
	d = s.Drain()
	require.Len(t, d.Starts, 1)
	require.Equal(t, protocol.RefusalStopped, outcome(d.Messages).Refusal)
}

func TestBoundTasksEndWithTheirOwner(t *testing.T) {
	s := newRoomy()
	startSized(s, 1, 0, sizer.Resources{CPU: 30_000})
	startSized(s, 2, 0, sizer.Resources{CPU: 4_000})
	s.EntryLost(testTime, testOwner)
	d := s.Drain()
	require.Len(t, d.Stops, 1)
	require.Empty(t, d.Starts, "the one that waited never starts")
	require.Equal(t, 1, s.Running())
	s.FinishStopped(d.Stops[0].ID)
	require.Zero(t, s.Running())
	require.Zero(t, s.marks)
}

// An entry that comes back after its session was given up hears of this agent
// only when none of its tasks runs here any more: it will start them again.
func TestAgentIsAnnouncedWhenNothingRunsForTheEntry(t *testing.T) {
	s := newRoomy()
	startSized(s, 1, 0, sizer.Resources{CPU: 30_000})
	s.EntryLost(testTime, testOwner)
	stops := s.Drain().Stops
	s.Up(testOwner)
	require.Empty(t, s.Drain().Messages)
	s.SendLoad()
	require.Empty(t, s.Drain().Messages)
	require.Empty(t, startSized(s, 2, 0, sizer.Resources{CPU: 1000}).Starts, "a start of the session given up")
	s.FinishStopped(stops[0].ID)
	require.NotNil(t, s.Drain().Messages[0].Message.Announce)
}

// What an agent finds in its connections after it was frozen is too old.
func TestFrozenAgentStartsNothingOfBefore(t *testing.T) {
	s := newRoomy()
	startSized(s, 1, 0, sizer.Resources{CPU: 1000})
	s.AllEntriesLost(testTime)
	require.Len(t, s.Drain().Stops, 1)
	require.Empty(t, startSized(s, 2, 0, sizer.Resources{CPU: 1000}).Starts)
}
