package starter

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

// requestLabel requests the start of a session-bound task that requires a label.
func requestLabel(s *Starter, sequence uint64, label string) Decisions {
	s.Receive(testOwner, protocol.Message{Start: &protocol.Start{
		Agent: s.Self, Ticket: protocol.Ticket{Sequence: sequence}, SessionBound: true, RequiredLabel: label,
	}})
	return s.TakeDecisions()
}

// An entry that was frozen decides by the labels of an earlier incarnation of the backend
// server; its start must not run on the present one.
func TestStartWithoutRequiredLabelIsRefused(t *testing.T) {
	s := newStarter()
	s.UpdateOffer("x:1", sizer.Slots(2), []string{"b", "r1"})
	s.TakeDecisions()
	require.Len(t, requestLabel(s, 1, "b").Starts, 1)
	s.UpdateOffer("x:1", sizer.Slots(2), []string{"a", "r1"})
	s.TakeDecisions()
	d := requestLabel(s, 2, "b")
	require.Empty(t, d.Starts)
	require.Equal(t, protocol.RefusalLabel, findOutcome(d.Messages).Refusal)
	require.Len(t, requestLabel(s, 3, "").Starts, 1, "no label is required")
}

// A task that waits in the queue was accepted by an earlier incarnation.
func TestQueuedStartIsRefusedByNextIncarnation(t *testing.T) {
	for name, next := range map[string]struct {
		labels   []string
		capacity sizer.Resources
		refusal  protocol.Refusal
	}{
		"label":    {[]string{"a"}, sizer.Slots(2), protocol.RefusalLabel},
		"capacity": {[]string{"b"}, sizer.Resources{CPU: 500}, protocol.RefusalNoCapacity},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStarter()
			s.UpdateOffer("x:1", sizer.Slots(2), []string{"b"})
			s.TakeDecisions()
			running := requestLabel(s, 1, "").Starts
			running = append(running, requestLabel(s, 2, "").Starts...)
			require.Len(t, running, 2)
			require.Empty(t, requestLabel(s, 3, "b").Starts, "queued")
			s.UpdateOffer("x:1", next.capacity, next.labels)
			o := findOutcome(s.TakeDecisions().Messages)
			require.NotNil(t, o)
			require.Equal(t, next.refusal, o.Refusal)
			for _, r := range running {
				s.FinishStopped(r.ID, Lost)
			}
			require.Empty(t, s.TakeDecisions().Starts)
		})
	}
}

// The executor withholds starts beyond a share of the capacity, for which it needs the sum.
func TestRunStatesUsedCapacity(t *testing.T) {
	s := newStarter()
	require.Equal(t, sizer.Slots(1), requestLabel(s, 1, "").Starts[0].Used)
	require.Equal(t, sizer.Slots(2), requestLabel(s, 2, "").Starts[0].Used)
}
