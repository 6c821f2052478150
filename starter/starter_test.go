package starter

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/messenger"
)

const (
	testOwner   = "owner.1"
	testWitness = "witness.1"
)

// newStarter returns a Starter whose two slots are granted to testOwner.
func newStarter() *Starter {
	s := &Starter{Self: "agent.1", Service: "s", Slots: 2}
	s.Init()
	s.Up(testOwner)
	s.Drain()
	return s
}

func start(s *Starter, sequence uint64) ([]Output, []Run) {
	s.Receive(testOwner, messenger.Message{Start: &messenger.Start{
		Agent: s.Self, Ticket: messenger.Ticket{Witness: testWitness, Sequence: sequence},
	}})
	return s.Drain()
}

func outcome(out []Output) *messenger.Outcome {
	for _, o := range out {
		if o.Message.Outcome != nil {
			return o.Message.Outcome
		}
	}
	return nil
}

func seal(s *Starter) *messenger.Marks {
	s.Receive(testWitness, messenger.Message{Seal: &messenger.Seal{Owner: testOwner}})
	out, _ := s.Drain()
	for _, o := range out {
		if o.Message.Marks != nil {
			return o.Message.Marks
		}
	}
	return nil
}

func TestSealReportsMarksAndTheClosedWatermark(t *testing.T) {
	s := newStarter()
	for sequence := uint64(1); sequence <= 2; sequence++ {
		_, runs := start(s, sequence)
		s.Finish(runs[0].ID, &messenger.Result{Status: 200})
		s.Drain()
	}
	s.Receive(testOwner, messenger.Message{Close: &messenger.Close{Owner: testOwner, Below: 2}})
	m := seal(s)
	require.Equal(t, uint64(2), m.ClosedBelow)
	require.Equal(t, []messenger.Mark{{Sequence: 2, Done: true}}, m.Marks)
}

func TestClosedTicketStartsNothing(t *testing.T) {
	s := newStarter()
	s.Receive(testOwner, messenger.Message{Close: &messenger.Close{Owner: testOwner, Below: 5}})
	out, runs := start(s, 4)
	require.Empty(t, runs)
	require.Equal(t, messenger.RefusalClosed, outcome(out).Refusal)
}

func TestOwnerLostForLongIsClosed(t *testing.T) {
	s := newStarter()
	_, runs := start(s, 1)
	s.Finish(runs[0].ID, &messenger.Result{Status: 200})
	now := s.lost[testOwner]
	s.Lost(now, testOwner)
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
	require.Equal(t, messenger.RefusalUnreachable, outcome(out).Refusal)
	s.Receive(testOwner, messenger.Message{Start: &messenger.Start{
		Agent: s.Self, Attempt: 1, Ticket: messenger.Ticket{Witness: testWitness, Sequence: 1},
	}})
	_, runs = s.Drain()
	require.Len(t, runs, 1, "the task bound anew")
}

func TestResultsBeyondTheirRoomAreDropped(t *testing.T) {
	s := newStarter()
	s.Settings.KeptBytes = 10
	for sequence := uint64(1); sequence <= 3; sequence++ {
		_, runs := start(s, sequence)
		s.Finish(runs[0].ID, &messenger.Result{Status: 200, Body: []byte(`"1234"`)})
		s.Drain()
	}
	require.LessOrEqual(t, s.bytes, 10)
	require.Len(t, seal(s).Marks, 3, "the marks stay")
}

func TestFullAgentGrantsNothingUntilTicketsClose(t *testing.T) {
	s := newStarter()
	s.Settings.MaxMarks = 2
	for sequence := uint64(1); sequence <= 2; sequence++ {
		_, runs := start(s, sequence)
		s.Finish(runs[0].ID, &messenger.Result{Status: 200})
	}
	require.Equal(t, 1, s.grants.Idle(testOwner), "the slot freed last is not granted again")
	s.Receive(testOwner, messenger.Message{Close: &messenger.Close{Owner: testOwner, Below: 3}})
	require.Equal(t, 2, s.grants.Idle(testOwner))
}
