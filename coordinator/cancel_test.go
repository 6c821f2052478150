package coordinator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
)

// A job that was cancelled at another entry is answered at once, also while the queue is full
// or the entry drains: a refusal would ask its caller to submit it again.
func TestCancelledJobIsNotStarted(t *testing.T) {
	for _, draining := range []bool{false, true} {
		c := newTestCoordinator()
		c.draining = draining
		c.IsCancelled = func(name string) bool { return name == "a" }
		_, a, err := c.RunSync(testStart, syncJob("a"))
		require.NoError(t, err)
		require.Equal(t, protocol.ReasonJobCancelled, a.Reason)
		require.False(t, a.MayHaveRun())
		require.Empty(t, drainStarts(c))
		require.Empty(t, c.jobs)
	}
}

// The running tasks of a cancelled job are stopped, and its callers told that it has ended.
func TestCancelByNameStopsTasks(t *testing.T) {
	c := newTestCoordinator()
	mustRunSync(t, c, syncJob("a"))
	require.Len(t, drainStarts(c), 2)
	require.True(t, c.CancelByName(testStart, "a"))
	a, stops := finalAnswer(t, c)
	require.Equal(t, protocol.ReasonJobCancelled, a.Reason)
	require.Equal(t, StateFailed, a.State)
	require.Len(t, stops, 1)
}
