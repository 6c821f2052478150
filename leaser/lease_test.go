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

// Calls of an earlier process, or to an earlier incarnation, may have set a lease of any
// length up to the backend server's maximum before the reconciliation, and a later call
// does not shorten it. A run that was started since holds that lease.
func TestRunAfterReconciliationMayHoldLongerLease(t *testing.T) {
	f := newReconciledFixture(t)
	f.answer(f.startRun(1, "a"), Answer{ClockMillis: 5001, StartedAt: testStartedAt})
	f.advance(defaultMaxLease)
	require.Equal(t, 1, f.RunCount(), "the backend server's clock may be slow")
	f.advance(50 * time.Millisecond)
	require.Zero(t, f.RunCount())
}

// A start that was executed by an unknown incarnation holds the longest lease, since the
// end that it names is by the clock of another one.
func TestRunOfUnknownIncarnationMayHoldLongerLease(t *testing.T) {
	f := newFixture(t)
	f.answer(f.startRun(1, "a"), Answer{ClockMillis: 5001, StartedAt: testStartedAt})
	f.answer(f.startRun(2, "b"), Answer{ClockMillis: 5001})
	f.advance(defaultLease + 50*time.Millisecond)
	require.Equal(t, []End{{ID: 1, Reason: EndStopped, Started: true, Duration: defaultLease + 50*time.Millisecond}}, f.ended)
	f.advance(defaultMaxLease - defaultLease)
	require.Len(t, f.ended, 2)
}
