package waker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestGapIsNoticedOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	w := &Waker{Limit: time.Second, Clock: func() time.Time { return now }}
	now = now.Add(time.Hour)
	require.False(t, w.Slept(), "no beat before")
	w.Beat()
	now = now.Add(time.Second)
	require.False(t, w.Slept())
	now = now.Add(time.Millisecond)
	require.True(t, w.Slept())
	require.False(t, w.Slept())
}

func TestNowFollowsTheClock(t *testing.T) {
	require.InDelta(t, time.Since(start).Seconds(), Now().Sub(start).Seconds(), 0.5)
}
