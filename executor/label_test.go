package executor

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/leaser"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
	"mustardlever.dev/mustardlever/starter"
)

func startTask(x *LeasedExecutor, id uint64, label string, used sizer.Resources) {
	x.Run(starter.Run{ID: id, Attempt: 1, Request: protocol.Request{Name: string(rune('a' + id))}, RequiredLabel: label, Used: used})
}

func labelledReport(startedAt int64, label string) Report {
	r := testReport(1)
	r.StartedAt, r.Labels = startedAt, []string{label}
	return r
}

// startedTasks returns the number of tasks that the present incarnation has started.
func (b *fakeBackend) startedTasks() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.activeRuns)
}

// An idle server restarts under its id on a machine of another kind. Until its next report
// the agent knows the labels and the capacity of the earlier incarnation only.
func TestIdleServerThatWasReplacedStartsNothingByEarlierReport(t *testing.T) {
	for name, start := range map[string]func(x *LeasedExecutor){
		"label":    func(x *LeasedExecutor) { startTask(x, 7, "b", sizer.Slots(1)) },
		"capacity": func(x *LeasedExecutor) { startTask(x, 7, "", sizer.Slots(3)) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &fakeBackend{startedAt: testStartedAt}
				x, stop := newLeasedExecutor(t, b)
				defer stop()
				x.HandleReport(labelledReport(testStartedAt, "b"))
				time.Sleep(time.Second)
				b.restart(testStartedAt + 300)
				start(x)
				time.Sleep(100 * time.Millisecond)
				require.Zero(t, b.startedTasks())
				require.Equal(t, map[uint64]int{7: 0}, b.endStatuses())
				require.Equal(t, "withdraw", last(b.notified()))
				x.HandleReport(labelledReport(testStartedAt+300, "b"))
				time.Sleep(100 * time.Millisecond)
				startTask(x, 8, "b", sizer.Slots(1))
				time.Sleep(100 * time.Millisecond)
				require.Equal(t, 1, b.startedTasks())
			})
		})
	}
}

// The starter may accept a start by the labels of the earlier incarnation while the next one
// is being offered.
func TestStartIsCheckedAgainstLabelsOfOfferedIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{startedAt: testStartedAt}
		x, stop := newLeasedExecutor(t, b)
		defer stop()
		x.HandleReport(labelledReport(testStartedAt, "a"))
		time.Sleep(50 * time.Millisecond)
		startTask(x, 7, "b", sizer.Slots(1))
		time.Sleep(50 * time.Millisecond)
		require.Zero(t, b.startedTasks())
		require.Equal(t, map[uint64]int{7: 0}, b.endStatuses())
	})
}

// The first task on an idle server starts at once, without a call before it, unless it
// relies on what only the earlier incarnation may have.
func TestFirstStartOnIdleServerNeedsNoCallBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{startedAt: testStartedAt}
		x, stop := newLeasedExecutor(t, b)
		defer stop()
		var kinds []leaser.Kind
		x.Call = func(ctx context.Context, target Report, c leaser.Call) leaser.Answer {
			b.mu.Lock()
			kinds = append(kinds, c.Kind)
			b.mu.Unlock()
			time.Sleep(time.Millisecond)
			return b.call(ctx, target, c)
		}
		x.HandleReport(testReport(1))
		time.Sleep(time.Second)
		b.mu.Lock()
		kinds = nil
		b.mu.Unlock()
		startTask(x, 7, "", sizer.Slots(2))
		time.Sleep(time.Millisecond + time.Microsecond)
		require.Equal(t, 1, b.startedTasks(), "after the time of one call")
		require.ElementsMatch(t, []leaser.Kind{leaser.KindStart, leaser.KindRenew}, kinds[:2])
	})
}

// With tasks on it, a server gets no further calls for starts that require a label.
func TestLabelNeedsNoFurtherCallsOnBusyServer(t *testing.T) {
	calls := map[string]int64{}
	for _, label := range []string{"", "b"} {
		synctest.Test(t, func(t *testing.T) {
			b := &fakeBackend{startedAt: testStartedAt}
			x, stop := newLeasedExecutor(t, b)
			defer stop()
			var count atomic.Int64
			x.Call = func(ctx context.Context, target Report, c leaser.Call) leaser.Answer {
				count.Add(1)
				return b.call(ctx, target, c)
			}
			x.HandleReport(labelledReport(testStartedAt, "b"))
			time.Sleep(time.Second)
			startTask(x, 100, "", sizer.Slots(1))
			time.Sleep(200 * time.Millisecond)
			count.Store(0)
			for id := range uint64(50) {
				startTask(x, id, label, sizer.Slots(1))
				time.Sleep(20 * time.Millisecond)
			}
			require.Equal(t, 51, b.startedTasks())
			calls[label] = count.Load()
		})
	}
	require.LessOrEqual(t, 20*calls["b"], 21*calls[""], "5%% more, for the order of simultaneous events: %v", calls)
}
