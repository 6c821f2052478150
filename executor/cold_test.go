package executor

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRemainingWarmUpIsPassedOn guards against the warm-up of a backend server that the
// agent does not learn of, or learns of only with the offer, so that it misses its end.
func TestRemainingWarmUpIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newReportingBackend()
		x, stop := newLeasedExecutor(t, b)
		defer stop()
		x.Offer = func(r Report) { b.notify(fmt.Sprint("offer ", r.ColdMillis)) }
		x.SetCold = func(remaining time.Duration) { b.notify(fmt.Sprint("cold ", remaining)) }
		for i, millis := range []int64{4000, 2500, 2500, 0, 0} {
			r := testReport(int64(i + 1))
			r.ColdMillis = millis
			require.True(t, x.HandleReport(r))
			time.Sleep(50 * time.Millisecond)
		}
		require.Equal(t, []string{"offer 4000", "cold 2.5s", "cold 0s"}, b.notified())
	})
}
