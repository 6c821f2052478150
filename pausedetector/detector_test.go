package pausedetector

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestGapIsNoticedOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	w := &Detector{Limit: time.Second, Clock: func() time.Time { return now }}
	now = now.Add(time.Hour)
	require.False(t, w.Paused(), "no beat before")
	w.Beat()
	now = now.Add(time.Second)
	require.False(t, w.Paused())
	now = now.Add(time.Millisecond)
	require.True(t, w.Paused())
	require.False(t, w.Paused())
}

func TestNowFollowsTheClock(t *testing.T) {
	require.InDelta(t, time.Since(start).Seconds(), Now().Sub(start).Seconds(), 0.5)
}
