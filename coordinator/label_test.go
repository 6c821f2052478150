package coordinator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
)

// The agent decides whether the backend server meets the label, so the start has to state it.
// A refused task goes elsewhere and counts as not run.
func TestStartStatesRequiredLabel(t *testing.T) {
	c := newTestCoordinator()
	c.Receive(testStart, testAgent, protocol.Message{Announce: &protocol.Announce{Capacity: freeLoad.Free, Labels: []string{"b"}, Load: freeLoad}})
	c.TakeDecisions()
	spec := syncJob("a")
	spec.RequiredLabel = "b"
	number := mustRunSync(t, c, spec)
	starts := drainStarts(c)
	require.Len(t, starts, 2)
	require.Equal(t, "b", starts[0].RequiredLabel)
	c.Receive(testStart, testAgent, protocol.Message{Announce: &protocol.Announce{Capacity: freeLoad.Free, Labels: []string{"a"}, Load: freeLoad}})
	for _, s := range starts {
		refuseStart(c, testStart, s, protocol.RefusalLabel, freeLoad)
	}
	require.Empty(t, drainStarts(c))
	require.False(t, c.jobs[jobKey{c.Self, number}].mayHaveRun())
}
