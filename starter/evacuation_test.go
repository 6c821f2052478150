package starter

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

// startBound requests the start of a session-bound task of one slot.
func startBound(s *Starter, sequence uint64) ([]Output, []Run) {
	s.Receive(testOwner, protocol.Message{Start: &protocol.Start{
		Agent: s.Self, Ticket: protocol.Ticket{Sequence: sequence}, Attempt: int(sequence), SessionBound: true,
		Request: protocol.Request{Need: sizer.Slots(1)},
	}})
	d := s.TakeDecisions()
	return d.Messages, d.Starts
}

// TestEvacuatedAgentStartsNothing guards against starts in an evacuated zone: new ones,
// queued ones when capacity is released, and ones that the entry sends on the basis of
// free capacity. Running tasks must end normally.
func TestEvacuatedAgentStartsNothing(t *testing.T) {
	s := newStarter()
	_, first := startBound(s, 1)
	_, second := startBound(s, 2)
	require.Len(t, append(first, second...), 2)
	_, queued := startBound(s, 3)
	require.Empty(t, queued)
	s.SetEvacuated(testTime, true)
	d := s.TakeDecisions()
	require.Equal(t, protocol.RefusalEvacuated, findOutcome(d.Messages).Refusal, "the queued start is refused at once")
	require.Empty(t, d.Stops, "running tasks are not stopped")
	s.Finish(first[0].ID, &protocol.Result{Status: 200})
	d = s.TakeDecisions()
	require.Empty(t, d.Starts)
	require.Equal(t, 0, findOutcome(d.Messages).Load.Free.CPU, "no capacity is offered")
	out, runs := startBound(s, 4)
	require.Empty(t, runs)
	require.Equal(t, protocol.RefusalEvacuated, findOutcome(out).Refusal)
	s.SetEvacuated(testTime, false)
	d = s.TakeDecisions()
	require.Equal(t, 1000, d.Messages[0].Message.Load.Free.CPU, "free capacity is offered again at once")
	_, runs = startBound(s, 5)
	require.Len(t, runs, 1)
	require.Equal(t, 2, s.EvacuatedStarts())
}
