package pausedetector

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPauseIsReportedOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	d := &Detector{MaxGap: time.Second, Clock: func() time.Time { return now }}
	now = now.Add(time.Hour)
	require.False(t, d.Paused(), "no beat before")
	d.Beat()
	now = now.Add(time.Second)
	require.False(t, d.Paused())
	now = now.Add(time.Millisecond)
	require.True(t, d.Paused())
	require.False(t, d.Paused())
}

func TestNowFollowsClock(t *testing.T) {
	require.InDelta(t, time.Since(referenceTime).Seconds(), Now().Sub(referenceTime).Seconds(), 0.5)
}
