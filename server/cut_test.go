package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request that a cut may have held up waits for the end of its connection, which follows
// it; a caller that was answered since does not wait.
func TestHeldUpRequestWaitsForEndOfConnection(t *testing.T) {
	e := &Entry{}
	now := time.Now()
	e.cuts.detector.Observe(now.Add(-3 * time.Second))
	e.cuts.detector.Observe(now.Add(-100 * time.Millisecond))
	e.awaitEndOfConnection(t.Context(), now)
	e.awaitEndOfConnection(t.Context(), time.Time{})
	require.Zero(t, e.HeldUpRequests())
	e.awaitEndOfConnection(t.Context(), now.Add(-5*time.Second))
	require.EqualValues(t, 1, e.HeldUpRequests())
	require.GreaterOrEqual(t, time.Since(now), heldUpWait)
}
