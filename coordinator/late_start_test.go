package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

// The entry was paused beyond the deadline of a waiting job. Its caller has left, and may
// have submitted the job elsewhere: the first message of an agent must not start it before
// the next tick ends it.
func TestJobPastItsDeadlineIsNotStarted(t *testing.T) {
	for name, wake := range map[string]protocol.Message{
		"announce": {Announce: &protocol.Announce{Capacity: sizer.Slots(4), Load: freeLoad}},
		"load":     {Load: &freeLoad},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCoordinator()
			c.Receive(testStart, testAgent, protocol.Message{Announce: &protocol.Announce{Capacity: sizer.Slots(4), Load: fullLoad}})
			spec := syncJob("a")
			spec.Due, spec.DeadlineMillis = 0, 1500
			mustRunSync(t, c, spec)
			require.Empty(t, drainStarts(c))
			c.Receive(testStart.Add(2900*time.Millisecond), testAgent, wake)
			require.Empty(t, drainStarts(c))
		})
	}
}
