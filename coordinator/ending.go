package coordinator

import (
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

// stop prevents further starts of a job's tasks. A restartable job ends at once.
// Any other ends when its running tasks have ended, or at once at its deadline.
func (c *Coordinator) stop(now time.Time, j *job, r protocol.Reason) {
	if j.answer != nil || j.handedOver {
		return
	}
	if j.stopReason == "" {
		j.stopReason = r
		c.queue.Remove(&j.queueItem)
		c.decide("job-stopped", j, -1, "", string(r))
	}
	if j.restartable {
		c.abort(now, j)
		return
	}
	if r == protocol.ReasonDeadline {
		c.removeStarts(j)
		j.replaceState(sent, unknown)
	}
	if j.count(sent) == 0 && !j.awaitingSeal {
		c.conclude(now, j)
	}
}

// stoppedAnswer returns the answer to a stopped job. It has a retry delay if nothing ran.
func (c *Coordinator) stoppedAnswer(j *job) *Answer {
	a := j.newAnswer(StateFailed, j.stopReason)
	if !a.MayHaveRun() {
		a.RetryAfter = c.retryAfter(j)
		if j.stopReason == protocol.ReasonEvacuated {
			a.RetryAfter = evacuatedRetryAfter
		}
	}
	return a
}

// abort ends a job with session-bound tasks: it is answered at once, and its
// running tasks are stopped.
func (c *Coordinator) abort(now time.Time, j *job) {
	tasks := make(map[string][]int)
	for i := range j.tasks {
		if j.tasks[i].state == sent {
			tasks[j.tasks[i].agent] = append(tasks[j.tasks[i].agent], i)
		}
	}
	for agent, indexes := range tasks {
		c.send(agent, protocol.Message{Stop: &protocol.Stop{Ticket: j.ticket(c.Self), Tasks: indexes}})
	}
	c.recordStops(now, j)
	c.removeStarts(j)
	j.replaceState(sent, unknown)
	j.replaceState(leaseExpiring, unknown)
	c.end(now, j, c.stoppedAnswer(j))
}

// removeStarts removes all outstanding starts of a job.
func (c *Coordinator) removeStarts(j *job) {
	for i := range j.tasks {
		if j.tasks[i].state == sent {
			c.removeStart(j.tasks[i].agent, j, i)
		}
	}
}

// conclude ends a job none of whose tasks is running. An answer that reports a
// task as not-run is given only after the backup has acknowledged that it will
// not start the task (rule 6).
func (c *Coordinator) conclude(now time.Time, j *job) {
	if !j.finalizeSentAt.IsZero() {
		return
	}
	if j.count(ran) == len(j.tasks) {
		c.end(now, j, j.newAnswer(StateComplete, ""))
		return
	}
	if j.backup == "" || j.count(pending) == 0 {
		c.end(now, j, j.newAnswer(StateFailed, j.stopReason))
		return
	}
	if c.backups[j.backup] == nil {
		c.endUnfinalized(now, j)
		return
	}
	j.finalizeSentAt = now
	m := &protocol.Finalize{Ticket: j.ticket(c.Self), Reason: j.stopReason, States: j.reportedStates()}
	c.send(j.backup, protocol.Message{Finalize: m})
}

// handleFinalizeAck ends a job whose final state its backup has acknowledged.
func (c *Coordinator) handleFinalizeAck(now time.Time, from string, m *protocol.FinalizeAck) {
	if m.Sealed {
		c.handOverToSealed(now, from)
		return
	}
	j := c.jobs[jobKey{c.Self, m.Ticket.Sequence}]
	if j == nil || j.answer != nil || j.finalizeSentAt.IsZero() || j.backup != from {
		return
	}
	c.end(now, j, j.newAnswer(StateFailed, j.stopReason))
}

// end gives a job its final answer.
func (c *Coordinator) end(now time.Time, j *job, a *Answer) {
	j.answer = a
	c.retain(now, j)
	c.jobEnds = append(c.jobEnds, JobEnd{j.key.owner, j.key.sequence, a})
	c.decide("job-"+string(a.State), j, -1, "", string(a.Reason))
}

// retain moves a job that has ended here to the retained jobs, without its
// requests. Synchronous jobs are removed, since they have no ticket under which
// their answer could be requested.
func (c *Coordinator) retain(now time.Time, j *job) {
	c.queue.Remove(&j.queueItem)
	c.removeStarts(j)
	j.requests, j.endedAt = nil, now
	c.releaseRequests(j)
	delete(c.active, j)
	delete(c.leaseExpiring, j)
	if j.name != "" {
		delete(c.byName, j.name)
	}
	if j.restartable {
		delete(c.jobs, j.key)
		c.releaseJob(j)
		return
	}
	c.ended = append(c.ended, j)
	c.retainResults(j)
}

// retainResults adds the job's results to the total size and drops the oldest
// results above MaxResultBytes. A job whose results were dropped is answered as
// failed, with the states of its tasks.
func (c *Coordinator) retainResults(j *job) {
	c.withResults = append(c.withResults, j)
	c.resultBytes += j.resultBytes()
	for c.resultBytes > c.Settings.MaxResultBytes && len(c.withResults) > 1 {
		c.dropResults(c.withResults[0])
		c.withResults[0] = nil
		c.withResults = c.withResults[1:]
	}
}

// dropResults discards a job's results.
func (c *Coordinator) dropResults(j *job) {
	n := j.resultBytes()
	if n == 0 {
		return
	}
	c.resultBytes -= n
	for i := range j.tasks {
		j.tasks[i].result = nil
	}
	if j.answer != nil {
		j.answer = j.newAnswer(StateFailed, protocol.ReasonResultsDropped)
	}
}
