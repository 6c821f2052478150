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

// The steady clock of a suspended machine stands still. A suspension that is shorter than
// the longest gap must be reported all the same: durations that were measured across it
// are too short.
func TestSuspensionIsReportedOnce(t *testing.T) {
	boot, steady := time.Unix(1_000_000, 0), time.Unix(2_000_000, 0)
	d := &Detector{
		MaxGap: time.Second, MaxSuspension: 50 * time.Millisecond,
		Clock: func() time.Time { return boot }, SteadyClock: func() time.Time { return steady },
	}
	d.Beat()
	pass := func(elapsed, suspended time.Duration) {
		boot, steady = boot.Add(elapsed), steady.Add(elapsed-suspended)
	}
	pass(900*time.Millisecond, 50*time.Millisecond)
	require.False(t, d.Paused())
	d.Beat()
	pass(900*time.Millisecond, 0)
	require.False(t, d.Paused())
	d.Beat()
	pass(100*time.Millisecond, 51*time.Millisecond)
	require.True(t, d.Paused())
	require.False(t, d.Paused())
}

// A slow process reads the two clocks at different times, which is no suspension.
func TestDelayBetweenClocksIsNoSuspension(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	delay := 400 * time.Millisecond
	read := func() time.Time {
		now = now.Add(delay)
		return now
	}
	d := &Detector{MaxGap: time.Hour, MaxSuspension: 50 * time.Millisecond, Clock: read, SteadyClock: read}
	for range 4 {
		d.Beat()
		delay = 400*time.Millisecond - delay
		require.False(t, d.Paused())
	}
}
