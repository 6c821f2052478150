package leaser

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The backend server's clock may run slow. A lease whose end is computed from an old
// reading of it must not outlast the time after which the run is reported as ended.
func TestLeaseAfterIdleTimeIsNotLongerThanAssumed(t *testing.T) {
	f := newFixture(t)
	clock := int64(5000)
	const idle = 20 * time.Second
	f.now = f.now.Add(idle)
	clock += int64(float64(idle.Milliseconds()) * (1 - maxClockDrift))
	c := f.startRun(1, "a")
	require.LessOrEqual(t, c.LeaseEndMillis, clock+defaultLease.Milliseconds())
	require.Greater(t, c.LeaseEndMillis, clock)
}

// After a long idle time the estimate may name a lease end in the past. The answer has
// the present clock, and the start is retried with it.
func TestStartAfterLongIdleTimeIsRetriedWithPresentClock(t *testing.T) {
	f := newFixture(t)
	f.now = f.now.Add(time.Hour)
	c := f.startRun(1, "a")
	f.answer(c, Answer{Status: StatusLeaseExpired, ClockMillis: 3_605_000, StartedAt: testStartedAt})
	require.Equal(t, 3_605_000+defaultLease.Milliseconds(), f.takeCall(KindStart).LeaseEndMillis)
}
