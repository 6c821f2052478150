package executor

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// foreignReports returns reports of another writer, which no server confirms, by what is
// odd in them. The fake backend server is i-1 at 10.0.0.1:1.
func foreignReports() map[string]Report {
	other := testReport(1)
	other.ID, other.Service, other.Address, other.StartedAt = "odd", "nobody", "10.0.0.9:99", testStartedAt+20
	sameAddress := testReport(1)
	sameAddress.ID, sameAddress.StartedAt = "odd", testStartedAt+20
	sameID := testReport(1)
	sameID.Address, sameID.StartedAt = "10.0.0.9:99", testStartedAt+20
	later := testReport(1)
	later.StartedAt = testStartedAt + 20
	latest := testReport(1)
	latest.StartedAt = math.MaxInt64
	otherService := testReport(2)
	otherService.Service = "nobody"
	number := testReport(math.MaxInt64)
	return map[string]Report{
		"another server": other, "another id": sameAddress, "another address": sameID, "a later start time": later,
		"the latest start time": latest, "another service": otherService, "the highest number": number,
	}
}

// A status report is a claim of its sender. One that the backend server does not confirm
// ends no run, and the server stays in use, by its own reports too.
func TestReportOfAnotherWriterEndsNoRun(t *testing.T) {
	for name, foreign := range foreignReports() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newReportingBackend()
				x, stop := newLeasedExecutor(t, b)
				defer stop()
				x.HandleReport(testReport(1))
				time.Sleep(50 * time.Millisecond)
				startRun(x, 7)
				time.Sleep(50 * time.Millisecond)
				x.HandleReport(foreign)
				for number := range int64(8) {
					time.Sleep(time.Second)
					require.Empty(t, b.endStatuses(), "the server still runs the task")
					x.HandleReport(testReport(number + 2))
				}
				require.Equal(t, []string{"offer"}, b.notified())
			})
		})
	}
}

// A report of another writer comes first after the agent has started, as one that was
// restored from a row of the store, or as one of the server itself with a number that all
// later ones are below. The server is in use some reports later at the latest.
func TestReportOfAnotherWriterDoesNotKeepServerOut(t *testing.T) {
	for name, foreign := range foreignReports() {
		for origin, deliver := range map[string]func(x *LeasedExecutor){
			"reported": func(x *LeasedExecutor) { x.HandleReport(foreign) },
			"restored": func(x *LeasedExecutor) { x.RestoreReport(foreign) },
		} {
			t.Run(name+", "+origin, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newReportingBackend()
					x, stop := newLeasedExecutor(t, b)
					defer stop()
					deliver(x)
					for number := range int64(6) {
						time.Sleep(1500 * time.Millisecond)
						x.HandleReport(testReport(number + 3))
					}
					time.Sleep(50 * time.Millisecond)
					require.NotEmpty(t, b.notified())
					require.Equal(t, "offer", last(b.notified()), "%v", b.notified())
					startRun(x, 7)
					time.Sleep(50 * time.Millisecond)
					b.mu.Lock()
					defer b.mu.Unlock()
					require.Len(t, b.activeRuns, 1)
				})
			})
		}
	}
}

// The clock of the VM is set back before the second start of the server. A report of the
// first incarnation that was delayed until the third is in force ends no run of that one.
func TestLateReportAfterClockWasSetBackEndsNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newReportingBackend()
		x, stop := newLeasedExecutor(t, b)
		defer stop()
		x.HandleReport(testReport(1))
		time.Sleep(50 * time.Millisecond)
		for _, startedAt := range []int64{testStartedAt - 500, testStartedAt - 300} {
			b.restart(startedAt)
			startRun(x, uint64(startedAt))
			time.Sleep(500 * time.Millisecond)
			r := testReport(1)
			r.StartedAt = startedAt
			x.HandleReport(r)
			time.Sleep(50 * time.Millisecond)
			require.Equal(t, "offer", last(b.notified()), "%v", b.notified())
		}
		startRun(x, 7)
		time.Sleep(50 * time.Millisecond)
		x.HandleReport(testReport(2))
		time.Sleep(500 * time.Millisecond)
		require.NotContains(t, b.endStatuses(), uint64(7))
		require.Equal(t, "offer", last(b.notified()), "%v", b.notified())
	})
}

// The next server of the VM may be at another address, and the earlier one may run on at
// its own: its runs are reported as ended only once their leases have expired.
func TestServerAtAnotherAddressEndsNoRunBeforeItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newReportingBackend()
		x, stop := newLeasedExecutor(t, b)
		defer stop()
		x.HandleReport(testReport(1))
		time.Sleep(50 * time.Millisecond)
		startRun(x, 7)
		time.Sleep(50 * time.Millisecond)
		b.restart(testStartedAt + 20)
		b.mu.Lock()
		b.id, b.address = "i-2", "10.0.0.2:1"
		b.mu.Unlock()
		next := testReport(1)
		next.ID, next.Address, next.StartedAt = "i-2", "10.0.0.2:1", testStartedAt+20
		x.HandleReport(next)
		time.Sleep(550 * time.Millisecond)
		require.Empty(t, b.endStatuses())
		time.Sleep(time.Second)
		require.Equal(t, map[uint64]int{7: 0}, b.endStatuses())
		require.Equal(t, "offer", last(b.notified()), "%v", b.notified())
	})
}

// Many reports that no server confirms occupy the agent for a bounded time and number of
// probes, and the report of its server is confirmed all the same.
func TestManyForeignReportsDoNotDelayServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newReportingBackend()
		x, stop := newLeasedExecutor(t, b)
		defer stop()
		for i := range 1000 {
			foreign := testReport(1)
			foreign.Address, foreign.StartedAt = "10.0.0.9:99", testStartedAt+int64(i)
			go x.HandleReport(foreign)
		}
		synctest.Wait()
		require.Equal(t, maxUnconfirmed, x.View().Unconfirmed)
		require.True(t, x.HandleReport(testReport(1)))
		time.Sleep(10 * time.Second)
		require.Zero(t, x.View().Unconfirmed)
		require.Equal(t, "offer", b.notified()[0])
	})
}
