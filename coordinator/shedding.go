package coordinator

import (
	"math"
	"time"

	"mustardlever.dev/mustardlever/estimator"
)

const (
	sheddingStart = 0.2  // drain time, as a fraction of the mean horizon, from which jobs are shed
	sheddingSlope = 0.7  // same, by which the share of shed work grows from 0 to 1
	maxShed       = 0.95 // share of the work, so that the state is observed
	longExponent  = 0.5  // of the duration of a job's tasks relative to the mean: by how much more jobs of long tasks are shed
	minLongWeight = 0.6
	maxLongWeight = 2
	horizonWeight = 0.02 // of a new sample in the moving averages of horizon and duration: the last 50 jobs
)

const (
	scarceBelow   = 0.15 // free share of the capacity below which it is scarce; under overload 6 to 10% are free, in fragments too small for a task
	abundantAbove = 0.25 // free share above which nothing is refused, whatever waits: it needs certain servers
	usedWeight    = 0.2  // of a new sample, each 20 ms, in the moving average of the share in use
)

// scarcity returns how scarce capacity is by the share that is in use: 0 while it is
// abundant, 1 while it is scarce.
func scarcity(used float64) float64 {
	return min(max((abundantAbove-(1-used))/(abundantAbove-scarceBelow), 0), 1)
}

// causeShed is the cause of a refusal by load shedding.
const causeShed = "shed"

// shedder decides which jobs are refused under overload, so that those that are accepted
// start in time. Without it each job waits until it is late, and the capacity goes to
// the jobs that are the closest to being late. Jobs of long tasks are shed more often, since
// several others can be served instead of one. Large and small jobs of equally long tasks
// are shed alike, so that none is starved. The horizon of a job is the time from its
// arrival to its latest start. The zero value sheds nothing.
type shedder struct {
	meanHorizon float64 // seconds
	meanSeconds float64 // of the tasks' estimates
	owed        map[sheddingClass]float64
}

// sheddingClass is a class of jobs of which the same share is shed: jobs of one priority
// whose tasks' estimates, and whose works, are within a factor of two.
type sheddingClass struct{ level, long, size int }

// observe updates the averages with a job that has arrived.
func (s *shedder) observe(horizon, estimate time.Duration) {
	if s.meanHorizon == 0 {
		s.meanHorizon, s.meanSeconds = horizon.Seconds(), estimate.Seconds()
		return
	}
	s.meanHorizon += horizonWeight * (horizon.Seconds() - s.meanHorizon)
	s.meanSeconds += horizonWeight * (estimate.Seconds() - s.meanSeconds)
}

// share returns the share of the arriving work of a level that is shed, by the demand of
// all entries. Work of the lowest priority is shed first.
func (s *shedder) share(sum *estimator.Summary, level int) float64 {
	if sum.Rate <= 0 || s.meanHorizon <= 0 {
		return 0
	}
	drain := sum.Total(estimator.Levels-1) / sum.Rate / s.meanHorizon
	excess := min(max((drain-sheddingStart)/sheddingSlope, 0), maxShed) * sum.ArrivalsFrom(0)
	excess -= sum.ArrivalsFrom(level + 1) // which is shed before
	at := sum.Arrivals[level]
	if at <= 0 {
		return 0
	}
	return min(max(excess/at, 0), maxShed)
}

// sheds reports whether a job of a level is refused, given the share to shed. Of each
// class of jobs, every n-th is refused.
func (s *shedder) sheds(level int, work float64, estimate time.Duration, share float64) bool {
	if share <= 0 || work <= 0 || estimate <= 0 || s.meanSeconds <= 0 {
		return false
	}
	weight := min(max(math.Pow(estimate.Seconds()/s.meanSeconds, longExponent), minLongWeight), maxLongWeight)
	class := sheddingClass{level, int(math.Round(math.Log2(estimate.Seconds()))), int(math.Round(math.Log2(work)))}
	if s.owed == nil {
		s.owed = make(map[sheddingClass]float64)
	}
	s.owed[class] += min(share*weight, maxShed)
	if s.owed[class] < 1 {
		return false
	}
	s.owed[class]--
	return true
}
