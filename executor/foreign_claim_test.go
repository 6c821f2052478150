package executor

import (
	"context"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/leaser"
	"mustardlever.dev/mustardlever/sizer"
)

// A report of another writer has the highest number and is in force. The server's own
// report that it drains is acknowledged, so no task may be started from then on.
func TestDrainingReportBelowForeignNumberWithdrawsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newReportingBackend()
		x, stop := newLeasedExecutor(t, b)
		defer stop()
		x.HandleReport(testReport(math.MaxInt64))
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, "offer", last(b.notified()))
		draining := testReport(5)
		draining.Ready = false
		x.HandleReport(draining)
		require.Equal(t, "withdraw", last(b.notified()), "%v", b.notified())
	})
}

// The number of a report of another writer follows the server's own. It must not hide the
// draining report of the server, which has a lower one.
func TestDrainingReportBelowForeignFollowingNumberWithdrawsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newReportingBackend()
		x, stop := newLeasedExecutor(t, b)
		defer stop()
		x.HandleReport(testReport(4))
		time.Sleep(50 * time.Millisecond)
		x.HandleReport(testReport(1000))
		draining := testReport(5)
		draining.Ready = false
		x.HandleReport(draining)
		require.Equal(t, "withdraw", last(b.notified()), "%v", b.notified())
	})
}

// A report of another writer says that the server drains, with a number that no later
// report reaches. The server, which goes on to report that it is ready, returns.
func TestForeignDrainingReportDoesNotKeepServerOut(t *testing.T) {
	for name, number := range map[string]int64{"highest number": math.MaxInt64, "following number": 1000} {
		for origin, deliver := range map[string]func(x *LeasedExecutor, r Report){
			"reported first": func(x *LeasedExecutor, r Report) { x.HandleReport(r) },
			"restored":       func(x *LeasedExecutor, r Report) { x.RestoreReport(r) },
			"reported later": func(x *LeasedExecutor, r Report) { x.HandleReport(testReport(1)); x.HandleReport(r) },
		} {
			t.Run(name+", "+origin, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newReportingBackend()
					x, stop := newLeasedExecutor(t, b)
					defer stop()
					foreign := testReport(number)
					foreign.Ready = false
					deliver(x, foreign)
					for number := range int64(40) {
						time.Sleep(1500 * time.Millisecond)
						x.HandleReport(testReport(number + 3))
					}
					time.Sleep(50 * time.Millisecond)
					require.NotEmpty(t, b.notified())
					require.Equal(t, "offer", last(b.notified()), "%v", b.notified())
				})
			})
		}
	}
}

// Another writer reports the server's id, address and start time with another service and
// more capacity, at the same time as the server or before. That is not the capacity of the
// server.
func TestForeignServiceDoesNotRaiseCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newReportingBackend()
		x, stop := newLeasedExecutor(t, b)
		defer stop()
		foreign := testReport(2)
		foreign.Service, foreign.Capacity = "nobody", sizer.Slots(1000)
		x.HandleReport(foreign)
		x.HandleReport(testReport(3))
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, sizer.Slots(4), x.View().Capacity)
	})
}

// The address of a foreign report rejects every call for its token. Probes there go on at
// intervals, and do not use up the tokens of the calls to the server.
func TestForeignAddressThatRejectsTokensIsNotProbedWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newReportingBackend()
		x, stop := newLeasedExecutor(t, b)
		defer stop()
		var probes, token atomic.Int64
		x.Call = func(ctx context.Context, target Report, c leaser.Call) leaser.Answer {
			if target.Address == "10.0.0.9:99" {
				probes.Add(1)
				time.Sleep(time.Millisecond)
				return leaser.Answer{Status: leaser.StatusFenced}
			}
			token.Store(c.Token)
			return b.call(ctx, target, c)
		}
		x.HandleReport(testReport(1))
		time.Sleep(50 * time.Millisecond)
		foreign := testReport(1)
		foreign.ID, foreign.Address = "odd", "10.0.0.9:99"
		x.HandleReport(foreign)
		time.Sleep(time.Second)
		startRun(x, 7)
		time.Sleep(50 * time.Millisecond)
		require.Less(t, token.Load(), int64(1)<<53, "JSON decoders keep numbers exact below 2^53")
		require.Less(t, probes.Load(), int64(100))
	})
}

// A report that was delayed for longer than three intervals is not newer than the one in
// force: the capacity that it names is an old one.
func TestDelayedReportAfterMissedReportsDoesNotRaiseCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newReportingBackend()
		x, stop := newLeasedExecutor(t, b)
		defer stop()
		less := testReport(9)
		less.Capacity = sizer.Slots(2)
		x.HandleReport(testReport(7))
		x.HandleReport(less)
		time.Sleep(6 * time.Second) // reports are lost
		x.HandleReport(testReport(8))
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, sizer.Slots(2), x.View().Capacity)
	})
}
