package estimator_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/estimator"
)

// Guards against estimates that err to the side of refusing: the earlier of the entry's
// own and the common estimate counts, and nothing is known without a rate.
func TestStart(t *testing.T) {
	common := estimator.Summary{Entries: 10, Work: [4]float64{40_000, 60_000, 0, 0}, Rate: 100_000}
	for name, test := range map[string]struct {
		summary estimator.Summary
		level   int
		own     estimator.Own
		wait    time.Duration
		known   bool
	}{
		"no rate":                {estimator.Summary{Entries: 10}, 0, estimator.Own{Ahead: 100, Total: 100}, 0, false},
		"alone":                  {estimator.Summary{Entries: 1, Rate: 100}, 0, estimator.Own{Ahead: 100, Total: 100, Rate: 50}, 2 * time.Second, true},
		"own queue is shorter":   {common, 1, estimator.Own{Ahead: 1000, Total: 1000, Rate: 10_000}, 100 * time.Millisecond, true},
		"own queue is longer":    {common, 1, estimator.Own{Ahead: 20_000, Total: 20_000, Rate: 10_000}, time.Second, true},
		"half of it ahead":       {common, 1, estimator.Own{Ahead: 10_000, Total: 20_000, Rate: 10_000}, 500 * time.Millisecond, true},
		"high priority":          {common, 0, estimator.Own{Ahead: 10_000, Total: 10_000, Rate: 10_000}, 400 * time.Millisecond, true},
		"own rate is not known":  {common, 1, estimator.Own{Ahead: 10_000, Total: 10_000}, time.Second, true},
		"nothing waits anywhere": {estimator.Summary{Entries: 10, Rate: 100}, 0, estimator.Own{}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			wait, known := test.summary.Start(test.level, test.own, 0)
			require.Equal(t, test.known, known)
			require.Equal(t, test.wait, wait)
		})
	}
}

// Guards against late jobs that wait for headroom that does not come.
func TestDrain(t *testing.T) {
	s := estimator.Summary{Work: [4]float64{0, 50_000, 0, 0}, Rate: 100_000, Arrivals: [4]float64{50_000, 50_000 / 0.9 * 0.1, 0, 0}}
	wait, known := s.Drain(estimator.Demand{})
	require.True(t, known)
	require.Equal(t, time.Second, wait.Round(time.Millisecond))
	s.Arrivals[1] = 100_000
	wait, _ = s.Drain(estimator.Demand{})
	require.EqualValues(t, math.MaxInt64, wait, "as much arrives as is started")
	wait, _ = s.Drain(estimator.Demand{Work: []int{1000}, Rate: 10_000, Arrivals: []int{0, 0}})
	require.Equal(t, 100*time.Millisecond, wait, "only others are overloaded")
	s.Work, s.Arrivals[0] = [4]float64{}, 0
	wait, _ = s.Drain(estimator.Demand{})
	require.Zero(t, wait)
	s.Rate = 0
	_, known = s.Drain(estimator.Demand{})
	require.False(t, known)
}

// Guards against callers that return before the work that comes first has started.
func TestRetryAfter(t *testing.T) {
	s := estimator.Summary{Work: [4]float64{50_000, 150_000, 0, 0}, Rate: 100_000, Arrivals: [4]float64{50_000, 100_000, 0, 0}}
	high, _ := s.RetryAfter(0)
	low, _ := s.RetryAfter(1)
	require.Equal(t, 500*time.Millisecond, high)
	require.Equal(t, 3*time.Second, low, "1.5 times as much arrives as is started")
	s.Rate = 0
	_, known := s.RetryAfter(0)
	require.False(t, known)
}
