package coordinator

import (
	"math"
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

// minRetryAfter and maxRetryAfter bound the retry delay that callers are given.
const (
	minRetryAfter         = 200 * time.Millisecond
	maxRetryAfter         = 5 * time.Second
	unknownRateRetryAfter = time.Second // used while the start rate is unknown, as in the first half second of a process
)

// RunSync accepts a synchronous job: it has no ticket, its caller waits for the
// answer, the answer is not kept, and its tasks are stopped when this entry is
// lost. A job with the name of an unfinished one joins that job. RunSync returns
// the sequence number under which TakeDecisions reports the end of the job, or the
// answer if it is available at once. If RunSync returns an error, no task was or
// will be started.
func (c *Coordinator) RunSync(now time.Time, spec Job) (uint64, *Answer, error) {
	if a := c.cancelledAnswer(spec.Name); a != nil {
		return 0, a, nil
	}
	if j := c.byName[spec.Name]; j != nil {
		j.addCaller(spec.CallerLeft)
		return j.key.sequence, nil, nil // the caller joins the unfinished job
	}
	held, overloaded := c.stoppedNames[spec.Name] > 0, c.overloaded()
	if err := c.admissionError(held, overloaded); err != nil {
		return 0, nil, err
	}
	number := c.nextSequence
	c.nextSequence++
	j := c.newJob(now, jobKey{c.Self, number}, spec)
	j.addCaller(spec.CallerLeft)
	if held {
		c.holdBack(j)
	}
	reason, undecided := c.arrivalStopReason(now, j, overloaded)
	j.suspended = undecided
	switch {
	case reason != "":
		c.stop(now, j, reason)
	case held: // queued when the stops have taken effect
	default:
		if cause := c.refusalOnArrival(now, j); cause != "" {
			c.refuseOnArrival(now, j, cause)
			break
		}
		c.enqueue(j)
		c.dispatch(now)
	}
	return number, j.answer, nil
}

// cancelledAnswer returns the answer to a job that was cancelled, nil if it was not.
func (c *Coordinator) cancelledAnswer(name string) *Answer {
	if c.IsCancelled == nil || !c.IsCancelled(name) {
		return nil
	}
	return &Answer{State: StateFailed, Reason: protocol.ReasonJobCancelled}
}

// admissionError returns why a new job is not accepted, nil if it is. Held means that tasks
// of an earlier copy may run: the caller must not take the job for refused.
func (c *Coordinator) admissionError(held, overloaded bool) error {
	switch {
	case held:
		return nil
	case c.draining:
		return &Error{Op: "run", Kind: KindDraining, Detail: "the entry is draining"}
	case overloaded:
		return &Error{Op: "run", Kind: KindOverload, Detail: "the queue or the job table is full"}
	}
	return nil
}

// arrivalStopReason returns why an accepted job ends on arrival, "" if it does not.
// Undecided means that it waits until it is known whether a task of it is given up.
func (c *Coordinator) arrivalStopReason(now time.Time, j *job, overloaded bool) (reason protocol.Reason, undecided bool) {
	givenUp, undecided := c.hasExhaustedTask(now, j)
	switch {
	case c.draining:
		reason = protocol.ReasonStopping
	case overloaded:
		reason = protocol.ReasonOverload
	case c.queue.TooLarge(j.queueItem.Need):
		reason = protocol.ReasonNoFit
	case givenUp:
		reason = protocol.ReasonServersLost
	case c.onlyEvacuated(now, j):
		reason = protocol.ReasonEvacuated
	}
	return reason, undecided
}

// CancelSync ends a synchronous job whose caller no longer waits.
func (c *Coordinator) CancelSync(now time.Time, sequence uint64) {
	if j := c.jobs[jobKey{c.Self, sequence}]; j != nil {
		c.stop(now, j, protocol.ReasonCancelled)
	}
}

// CancelByName ends the unfinished synchronous job with the given name and
// reports whether there was one.
func (c *Coordinator) CancelByName(now time.Time, name string) bool {
	j := c.byName[name]
	if j != nil {
		c.stop(now, j, protocol.ReasonJobCancelled)
	}
	return j != nil
}

// UnstartedSyncJobs returns the number of synchronous jobs none of whose tasks is
// started.
func (c *Coordinator) UnstartedSyncJobs() int {
	n := 0
	for _, j := range c.byName {
		if j.count(pending) == len(j.tasks) {
			n++
		}
	}
	return n
}

// AbortSync ends all synchronous jobs with reason r.
func (c *Coordinator) AbortSync(now time.Time, r protocol.Reason) {
	for j := range c.active {
		if j.restartable {
			c.stop(now, j, r)
		}
	}
}

// cannotMeetDueTime reports whether a job with waiting tasks would end too late
// for its answer to be of use. A late job of which nothing was started gets only
// the capacity that other jobs leave. It is aborted as soon as the queue needs
// more time to drain than the job has left, so that its caller learns of it early.
func (c *Coordinator) cannotMeetDueTime(now time.Time, j *job) bool {
	if j.queueItem.Waiting == 0 {
		return false
	}
	remaining, limited := c.usefulWait(now, j)
	if !limited {
		return false
	}
	if remaining < 0 {
		return true
	}
	if c.sharing {
		return j.queueItem.Late() && !j.mayHaveRun() && c.lateWithoutHeadroom(now, remaining)
	}
	drainSeconds, known := c.queue.DrainSeconds()
	return known && j.queueItem.Late() && !j.mayHaveRun() && drainSeconds > remaining.Seconds()
}

// usefulWait returns how long the job's next task may wait for the answer to be of use.
// Limited is false if that has no limit.
func (c *Coordinator) usefulWait(now time.Time, j *job) (remaining time.Duration, limited bool) {
	if c.Settings.UsefulFactor <= 0 || !j.restartable || j.queueItem.Due.IsZero() {
		return 0, false
	}
	return c.usefulStart(j).Sub(now), true
}

// mayHaveRun reports whether any task may have been executed.
func (j *job) mayHaveRun() bool {
	for i := range j.tasks {
		if j.tasks[i].reportedState() != protocol.TaskNotRun {
			return true
		}
	}
	return false
}

// retryAfter returns the retry delay for a job that is refused now: the time in which
// the work that comes before it, or the queue, drains at the current start rate, within
// bounds.
func (c *Coordinator) retryAfter(j *job) time.Duration {
	if delay, known := c.sharedRetryAfter(j); known {
		return min(max(delay, minRetryAfter), maxRetryAfter)
	}
	seconds, known := c.queue.DrainSeconds()
	switch {
	case !known:
		return unknownRateRetryAfter
	case math.IsInf(seconds, 1):
		return maxRetryAfter
	}
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryAfter), maxRetryAfter)
}
