package coordinator

import (
	"fmt"
	"time"

	"mustardlever.dev/mustardlever/estimator"
	"mustardlever.dev/mustardlever/protocol"
)

// Causes of refusals by the demand of all entries.
const (
	causeWorkAhead  = "work-ahead"  // the work ahead takes longer than the answer is of use
	causeNoHeadroom = "no-headroom" // the job would be late, and all capacity is in use until its answer is of no use
)

// startMargin is the fraction of an estimated wait that a job must be able to bear. The
// work ahead includes jobs that will be refused or cancelled, and an estimate that errs
// has to err to the side of accepting.
const startMargin = 0.75

// prospects is what is known of a job that waits or has arrived. Times are from now.
type prospects struct {
	latestStart time.Duration // at which its last task can start for the job to meet its due time
	usefulStart time.Duration // same for an answer that is of use
	start       time.Duration // estimate of when its last task starts, by the work ahead
	startKnown  bool
	drain       time.Duration // estimate of when all waiting work has started, while work goes on arriving
	drainKnown  bool
}

// refusalCause returns why a job should be refused at once, or "" if it should wait. A
// job that the work ahead makes late gets only capacity that others leave, and there is
// none before all waiting work has started.
func (p *prospects) refusalCause() string {
	start := time.Duration(startMargin * float64(p.start))
	switch {
	case !p.startKnown:
		return ""
	case start > p.usefulStart:
		return causeWorkAhead
	case start > p.latestStart && p.drainKnown && p.drain > p.usefulStart:
		return causeNoHeadroom
	}
	return ""
}

// judgedOnArrival reports whether the demand of all entries decides on the arrival of a job.
func (c *Coordinator) judgedOnArrival(j *job) bool {
	return c.sharing && c.Settings.UsefulFactor > 0 && j.restartable && !j.queueItem.Due.IsZero() && len(c.agents) > 0
}

// refusalOnArrival returns why a synchronous job that has just arrived should be refused
// at once, or "". The cost does not depend on the length of the queue: the dispatcher
// counts a bounded number of jobs, and the demand was summarized at the last Tick.
func (c *Coordinator) refusalOnArrival(now time.Time, j *job) string {
	if !c.judgedOnArrival(j) {
		return ""
	}
	item := j.queueItem
	item.Waiting = len(j.tasks)
	work, level := c.queue.Work(&item), estimator.Level(item.Priority)
	latestStart := c.queue.LatestStart(&item).Sub(now)
	d := &c.demand
	d.arrivedWork[level] += work
	j.drainOnArrival = c.sharedDrain()
	d.shedder.observe(latestStart, item.Estimate)
	scarce := scarcity(d.summary.Used)
	if c.Settings.ShedLoad && scarce > 0 && d.shedder.sheds(level, work, item.Estimate, scarce*d.shedder.share(&d.summary, level)) {
		return causeShed
	}
	return c.refusalByWorkAhead(now, j)
}

// refusalByWorkAhead returns why a job that arrives now should be refused because of the
// work ahead of it, or "". It changes no state.
func (c *Coordinator) refusalByWorkAhead(now time.Time, j *job) string {
	d := &c.demand
	if !c.judgedOnArrival(j) || scarcity(d.summary.Used) == 0 {
		return ""
	}
	item := j.queueItem
	item.Waiting = len(j.tasks)
	work, level := c.queue.Work(&item), estimator.Level(item.Priority)
	w := c.queue.Waits()
	own := estimator.Own{Ahead: c.queue.WorkAhead(&item), Rate: w.Rate}
	for _, work := range w.Work[:level+1] {
		own.Total += work
	}
	if own.Ahead == 0 {
		return "" // starts next
	}
	p := prospects{latestStart: c.queue.LatestStart(&item).Sub(now), usefulStart: c.usefulStart(j).Sub(now)}
	p.start, p.startKnown = d.summary.Start(level, own, work)
	p.drain, p.drainKnown = d.drain(now)
	return p.refusalCause()
}

// usefulStart returns the latest time at which a task of the job can start for its
// answer to be of use.
func (c *Coordinator) usefulStart(j *job) time.Time {
	useful := time.Duration(c.Settings.UsefulFactor * float64(j.queueItem.Due.Sub(j.submittedAt)))
	return j.submittedAt.Add(useful - j.queueItem.Estimate)
}

// refuseOnArrival ends a job that has just arrived.
func (c *Coordinator) refuseOnArrival(now time.Time, j *job, cause string) {
	c.demand.refusedJobs++
	c.decide("refused-on-arrival-"+cause, j, -1, "", fmt.Sprintf("drain %v of %d entries", c.sharedDrain(), c.demand.summary.Entries))
	c.stop(now, j, protocol.ReasonDueTimeUnreachable)
}

// refuseWaiting ends a job that cannot end in time to be of use although it was accepted.
// The decision says which knowledge has changed since its arrival.
func (c *Coordinator) refuseWaiting(now time.Time, j *job) {
	if c.sharing {
		c.demand.refusedJobs++
		c.decide("refused-after-waiting", j, -1, "", fmt.Sprintf("held %v, drain was %v and is %v",
			now.Sub(j.submittedAt), j.drainOnArrival, c.sharedDrain()))
	}
	c.stop(now, j, protocol.ReasonDueTimeUnreachable)
}

// sharedDrain returns the time in which the waiting work of all entries starts, without
// further arrivals.
func (c *Coordinator) sharedDrain() time.Duration { return c.demand.summary.DrainAlone() }

// lateWithoutHeadroom reports whether all capacity is in use until the answer of a late
// job is of no use.
func (c *Coordinator) lateWithoutHeadroom(now time.Time, remaining time.Duration) bool {
	drain, known := c.demand.drain(now)
	return known && drain > remaining && scarcity(c.demand.summary.Used) > 0
}

// sharedRetryAfter returns the retry delay by the demand of all entries. Callers of a
// higher priority return first.
func (c *Coordinator) sharedRetryAfter(j *job) (delay time.Duration, known bool) {
	if !c.sharing {
		return 0, false
	}
	return c.demand.summary.RetryAfter(estimator.Level(j.queueItem.Priority))
}
