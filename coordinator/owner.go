package coordinator

import (
	"time"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
	"mustardlever.dev/mustardlever/ticketer"
)

// Issue returns n new tickets. It returns an error of KindOverload when the queue
// or the job table is full, of KindNoAgents when no agent serves the service and
// of KindDraining when the entry is draining. In these cases nothing was or will
// be run.
func (c *Coordinator) Issue(now time.Time, n int) ([]ticketer.Ticket, error) {
	switch {
	case c.draining:
		return nil, &Error{Op: "issue", Kind: KindDraining, Detail: "the entry is draining; retry"}
	case len(c.agents) == 0:
		return nil, &Error{Op: "issue", Kind: KindNoAgents, Detail: "no backend server of " + c.Service + " is connected"}
	case c.overloaded():
		return nil, &Error{Op: "issue", Kind: KindOverload, Detail: "the queue or the job table is full; retry later"}
	}
	backup := c.chooseBackup()
	expires := now.Add(c.Settings.TicketLife)
	tickets := make([]ticketer.Ticket, n)
	for i := range tickets {
		tickets[i] = ticketer.Ticket{
			Ticket:  protocol.Ticket{Owner: c.Self, Backup: backup, Sequence: c.nextSequence},
			Service: c.Service,
			Expires: expires.Sub(c.startedAt),
		}
		c.nextSequence++
	}
	c.recordIssued(expires)
	return tickets, nil
}

// recordIssued records that all tickets below nextSequence were issued, the last of which
// expire at the given time. Those that expire within the same ticketRangeSpan become one
// range, so that the number of ranges does not grow with that of requests.
func (c *Coordinator) recordIssued(expires time.Time) {
	n := len(c.issued)
	if n > 0 && expires.Sub(c.issued[n-1].first) < ticketRangeSpan {
		c.issued[n-1].end, c.issued[n-1].expires = c.nextSequence, expires
		return
	}
	c.issued = append(c.issued, ticketRange{end: c.nextSequence, first: expires, expires: expires})
}

// overloaded reports whether the queue or the job table is full.
func (c *Coordinator) overloaded() bool {
	return c.queue.Waiting() >= c.Settings.MaxQueuedTasks || len(c.jobs) >= c.Settings.MaxJobs
}

// Submit accepts a job under a ticket of this entry. It is idempotent: a repeated
// submission finds the job of the first one. A nil answer means that the job is
// running and that TakeDecisions will report its end.
func (c *Coordinator) Submit(now time.Time, t protocol.Ticket, spec Job) (*Answer, error) {
	if t.Owner != c.Self {
		return nil, &Error{Op: "submit", Kind: KindNotOwner}
	}
	if j := c.jobs[jobKey{t.Owner, t.Sequence}]; j != nil {
		return j.existingAnswer(spec.Digest)
	}
	c.expireTickets(now)
	if t.Sequence < c.expiredBelow || t.Sequence >= c.nextSequence {
		return nil, &Error{Op: "submit", Kind: KindExpired, Detail: "the ticket has expired"}
	}
	if b := c.backups[t.Backup]; b != nil && (b.sealed || c.handedOver) {
		return nil, &Error{Op: "submit", Kind: KindSealed}
	}
	j := c.newTicketJob(now, jobKey{t.Owner, t.Sequence}, spec)
	if j == nil {
		return nil, &Error{Op: "submit", Kind: KindOverload, Detail: "there is no memory for the job; submit it again later"}
	}
	j.backup = t.Backup
	if c.queue.Waiting()+len(spec.Tasks) > c.Settings.MaxQueuedTasks {
		c.stop(now, j, protocol.ReasonOverload)
		return j.answer, nil
	}
	c.enqueue(j)
	c.dispatch(now)
	return j.answer, nil
}

// existingAnswer returns the answer to a repeated submission or a query. An empty
// digest matches any job.
func (j *job) existingAnswer(digest string) (*Answer, error) {
	if digest != "" && j.digest != digest {
		return nil, &Error{Op: "submit", Kind: KindMismatch, Detail: "the ticket was used for another job"}
	}
	if j.handedOver {
		return nil, &Error{Op: "submit", Kind: KindSealed}
	}
	return j.answer, nil
}

// Find returns the answer to a job; a nil answer means that the job is running.
func (c *Coordinator) Find(now time.Time, t protocol.Ticket) (*Answer, error) {
	if j := c.jobs[jobKey{t.Owner, t.Sequence}]; j != nil {
		return j.existingAnswer("")
	}
	if t.Owner != c.Self {
		return nil, &Error{Op: "find", Kind: KindNotOwner}
	}
	c.expireTickets(now)
	if t.Sequence < c.expiredBelow {
		return nil, &Error{Op: "find", Kind: KindExpired, Detail: "the ticket has expired"}
	}
	return nil, &Error{Op: "find", Kind: KindNotFound, Detail: "no job was submitted with this ticket"}
}

// Cancel stops a job: no further task of it is started. The answer is available
// when the running tasks have ended.
func (c *Coordinator) Cancel(now time.Time, t protocol.Ticket) (*Answer, error) {
	if a, err := c.Find(now, t); a != nil || err != nil {
		return a, err
	}
	j := c.jobs[jobKey{t.Owner, t.Sequence}]
	c.stop(now, j, protocol.ReasonCancelled)
	return j.answer, nil
}

// newQueueItem returns the queue's record of a job. Every task counts with the
// largest need and the longest estimate among the job's tasks.
func (j *Job) newQueueItem(now time.Time, value *job) dispatcher.Job[*job] {
	item := dispatcher.Job[*job]{Value: value, Arrived: now, RequiredLabel: j.RequiredLabel, PreferredLabel: j.PreferredLabel, Priority: j.Priority}
	if j.Due > 0 {
		item.Due = now.Add(j.Due)
	}
	for i := range j.Tasks {
		need := j.Tasks[i].Need
		if need == (sizer.Resources{}) {
			need = sizer.Slots(1)
		}
		item.Need = item.Need.Max(need)
	}
	item.Estimate = j.LongestEstimate()
	return item
}

// newJob adds a job whose tasks are all pending. It does not queue it.
func (c *Coordinator) newJob(now time.Time, key jobKey, spec Job) *job {
	j := c.buildJob(now, key, spec)
	c.jobs[key] = j
	c.active[j] = true
	if j.name != "" {
		c.byName[j.name] = j
	}
	c.decide("job-submitted", j, -1, "", "")
	return j
}

// buildJob returns a job that is not held yet.
func (c *Coordinator) buildJob(now time.Time, key jobKey, spec Job) *job {
	deadline := c.Settings.MaxDeadline
	if spec.DeadlineMillis > 0 {
		deadline = min(deadline, time.Duration(spec.DeadlineMillis)*time.Millisecond)
	}
	j := &job{
		key: key, digest: spec.Digest, requests: spec.Tasks, tasks: make([]task, len(spec.Tasks)),
		submittedAt: now, deadline: now.Add(deadline),
	}
	j.name, j.restartable, j.maxAttempts = spec.Name, spec.Restart.MaxAttempts > 0, spec.Restart.MaxAttempts
	for i := range j.tasks {
		j.tasks[i].attempt = spec.Restart.FirstAttempt
	}
	j.queueItem = spec.newQueueItem(now, j)
	return j
}
