package coordinator

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a job that keeps something of every caller that has joined it and left.
func TestCallersThatLeftAreForgotten(t *testing.T) {
	c := newTestCoordinator()
	left := false
	first := syncJob("a")
	first.CallerLeft = func() bool { return left }
	number := mustRunSync(t, c, first)
	job := c.jobs[jobKey{c.Self, number}]
	for range 1000 {
		again := syncJob("a")
		again.CallerLeft = func() bool { return true }
		require.Equal(t, number, mustRunSync(t, c, again))
		require.LessOrEqual(t, len(job.callersLeft), 2*minPrunedCallers)
	}
	require.False(t, job.abandoned(), "the first caller waits")
	left = true
	require.True(t, job.abandoned())
}
