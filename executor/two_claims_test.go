package executor

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/leaser"
)

// The server restarts, and another writer reports beside it, in every order, also with the
// reports of the earlier incarnation that were delayed. The next incarnation is in use
// within a report interval, and each run of the earlier one ends once.
func TestNextIncarnationIsUsedBesideForeignReports(t *testing.T) {
	for name, foreign := range foreignReports() {
		for _, sameID := range []bool{true, false} {
			for _, moved := range []bool{false, true} {
				for order := range 6 {
					t.Run(fmt.Sprint(name, ", same id ", sameID, ", moved ", moved, ", order ", order), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							b := newReportingBackend()
							x, stop := newLeasedExecutor(t, b)
							defer stop()
							x.Call = func(ctx context.Context, target Report, c leaser.Call) leaser.Answer {
								a := b.call(ctx, target, c)
								b.mu.Lock()
								defer b.mu.Unlock()
								if target.ID != b.id && a.Status == leaser.StatusDone {
									return leaser.Answer{Status: leaser.StatusNoAnswer} // the server has restarted meanwhile
								}
								return a
							}
							x.HandleReport(testReport(1))
							time.Sleep(50 * time.Millisecond)
							startRun(x, 7)
							time.Sleep(50 * time.Millisecond)
							next := testReport(1)
							next.StartedAt = testStartedAt - 300
							b.restart(next.StartedAt)
							b.mu.Lock()
							if !sameID {
								next.ID, b.id = "i-2", "i-2"
							}
							if moved {
								next.Address, b.address = "10.0.0.2:1", "10.0.0.2:1"
							}
							b.mu.Unlock()
							reports := []Report{next, foreign, testReport(2)}
							for _, i := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}[order] {
								go x.HandleReport(reports[i])
								time.Sleep(time.Millisecond)
							}
							time.Sleep(1500 * time.Millisecond)
							next.Number++
							require.True(t, x.HandleReport(next))
							require.Equal(t, map[uint64]int{7: 0}, b.endStatuses())
							require.Equal(t, "offer", last(b.notified()), "%v", b.notified())
							require.Equal(t, next.StartedAt, x.View().StartedAt)
						})
					})
				}
			}
		}
	}
}
