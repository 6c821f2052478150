package estimator

import (
	"math"
	"time"
)

// arrivalMargin is the fraction of the arriving work that is assumed to arrive in future.
// Estimates that err have to err to the side of an early start.
const arrivalMargin = 0.9

// Own describes the queue of the entry that asks for an estimate.
type Own struct {
	Ahead float64 // waiting work that starts before the job
	Total float64 // waiting work up to the job's level
	Rate  float64 // of work started while work waits; 0: not known
}

// Start estimates when a job with the given work will have started its last task, given
// the work ahead of it. Own is the entry's queue; in those of the others the same
// fraction of the work is taken to be ahead. The earlier of two estimates is used, by
// the entry's own rate and by the rate of all entries: a queue that is longer than others
// gets a larger part of the capacity, and one that is shorter proves that work starts
// sooner there. Known is false if neither rate is known.
func (s *Summary) Start(level int, own Own, work float64) (wait time.Duration, known bool) {
	earliest := math.Inf(1)
	if own.Rate > 0 {
		earliest = (own.Ahead + work) / own.Rate
	}
	if s.Rate > 0 && s.Entries > 1 {
		ahead := own.Ahead
		if own.Total > 0 {
			ahead = s.Total(level) * min(own.Ahead/own.Total, 1)
		}
		earliest = min(earliest, (ahead+work)/s.Rate)
	}
	if math.IsInf(earliest, 1) {
		return 0, false
	}
	return seconds(earliest), true
}

// Drain estimates when all waiting work will have started, while work goes on arriving:
// the time at which work that needs otherwise unused capacity can start. It is the
// maximum Duration if as much arrives as is started. The earlier of two estimates is
// used, for the entry's own queue and for that of all entries. Known is false if neither
// rate is known.
func (s *Summary) Drain(own Demand) (wait time.Duration, known bool) {
	alone := Summary{}
	alone.add(&own)
	ownWait, ownKnown := alone.drain()
	wait, known = s.drain()
	switch {
	case !known:
		return ownWait, ownKnown
	case ownKnown:
		return min(wait, ownWait), true
	}
	return wait, true
}

func (s *Summary) drain() (wait time.Duration, known bool) {
	if s.Rate <= 0 {
		return 0, false
	}
	return seconds(s.Total(Levels-1) / max(s.Rate-arrivalMargin*s.ArrivalsFrom(0), 0)), true
}

// DrainAlone returns the time in which all waiting work starts, without further arrivals;
// zero if the rate is not known.
func (s *Summary) DrainAlone() time.Duration {
	if s.Rate <= 0 {
		return 0
	}
	return seconds(s.Total(Levels-1) / s.Rate).Round(time.Millisecond)
}

// RetryAfter returns the time after which a refused job of a level should be submitted
// again: that in which the work of its level and before starts, which is longer by as
// much as more work arrives than is started. Known is false if the rate is not known.
func (s *Summary) RetryAfter(level int) (delay time.Duration, known bool) {
	if s.Rate <= 0 {
		return 0, false
	}
	arriving := s.ArrivalsFrom(0) - s.ArrivalsFrom(level+1)
	return seconds(s.Total(level) / s.Rate * max(arriving/s.Rate, 1)), true
}

// seconds converts a number of seconds, which may be too large for a Duration or not a
// number (0/0, nothing to wait for).
func seconds(n float64) time.Duration {
	switch {
	case math.IsNaN(n):
		return 0
	case n > math.MaxInt64/float64(time.Second):
		return math.MaxInt64
	}
	return time.Duration(n * float64(time.Second))
}
