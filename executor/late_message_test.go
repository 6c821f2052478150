package executor

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Reports that a partition has delayed arrive after the server's report that it drains, one
// per interval, as they were sent. They must not make the agent offer the server again.
func TestLateReportsDoNotOfferDrainingServerAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newReportingBackend()
		x, stop := newLeasedExecutor(t, b)
		defer stop()
		x.HandleReport(testReport(1))
		time.Sleep(50 * time.Millisecond)
		draining := testReport(5)
		draining.Ready = false
		x.HandleReport(draining)
		require.Equal(t, []string{"offer", "withdraw"}, b.notified())
		for _, late := range []int64{2, 3, 4} {
			time.Sleep(x.ReportInterval)
			x.HandleReport(testReport(late))
		}
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, []string{"offer", "withdraw"}, b.notified())
	})
}

// The deregistration of an earlier incarnation arrives after the next one, with the same id,
// has been confirmed. It says nothing of the present one, which answers.
func TestLateDeregistrationOfEarlierIncarnationDoesNotWithdrawServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newReportingBackend()
		x, stop := newLeasedExecutor(t, b)
		defer stop()
		x.HandleReport(testReport(1))
		time.Sleep(50 * time.Millisecond)
		b.restart(testStartedAt + 1000)
		next := testReport(1)
		next.StartedAt = testStartedAt + 1000
		require.True(t, x.HandleReport(next))
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, "offer", last(b.notified()))
		before := b.notified()
		x.HandleStopped("i-1")
		time.Sleep(x.ReportInterval / 2)
		require.Equal(t, before, b.notified())
	})
}
