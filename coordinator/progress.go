package coordinator

import (
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

// enqueue adds a job with pending tasks to the queue, or updates its task counts
// there. It does nothing while the job is suspended.
func (c *Coordinator) enqueue(j *job) {
	if j.suspended {
		return
	}
	waiting := j.count(pending)
	if c.Settings.Dispatcher.ServerProfiles {
		j.countFailed()
	}
	c.queue.Add(&j.queueItem, waiting, waiting+j.count(sent))
}

// dispatch starts waiting tasks while agents have free capacity.
func (c *Coordinator) dispatch(now time.Time) {
	eligible := c.eligibility(now)
	for {
		j, name, ok := c.queue.Next(now, eligible)
		if !ok {
			break
		}
		c.startTask(now, j.Value, c.agents[name])
	}
}

// eligibility returns the function that reports whether an agent may be used for a job
// now. It examines each job once as long as the calls for a job follow one another.
func (c *Coordinator) eligibility(now time.Time) func(j *job, agent string) bool {
	var checked *job
	startable := false
	return func(j *job, agent string) bool {
		if j != checked {
			checked, startable = j, j.startable(now)
		}
		return startable && c.eligible(j, agent)
	}
}

// startable reports whether tasks of the job may be started now: its deadline has not
// passed, and a caller waits for it. Otherwise it ends soon.
func (j *job) startable(now time.Time) bool { return now.Before(j.deadline) && !j.abandoned() }

// eligible reports whether an agent may be used for a job. The owner uses an agent
// for a ticket only after the ticket's backup has acknowledged the agent (rule 3).
// An agent on which a task of the job failed or was a straggler is not used while
// there are others.
func (c *Coordinator) eligible(j *job, agent string) bool {
	if j.avoids(agent) && c.queue.Agents()-c.queue.EvacuatedAgents() > len(j.avoidedAgents) {
		return false
	}
	if j.backup == "" {
		return true
	}
	b := c.backups[j.backup]
	return b != nil && b.acked[agent]
}

// startTask sends a start of the job's next pending task to an agent.
func (c *Coordinator) startTask(now time.Time, j *job, a *agent) {
	i := j.nextPending()
	if c.Settings.Dispatcher.ServerProfiles {
		i = j.nextPendingFailed(j.queueItem.ForFailed)
	}
	t := &j.tasks[i]
	if j.starts == 0 {
		j.firstSentAt = now
	}
	j.starts++
	t.state, t.agent, t.sentAt, t.stopSent = sent, a.name, now, false
	if a.inFlight[j] == nil {
		a.inFlight[j] = make(map[int]bool)
	}
	a.inFlight[j][i] = true
	c.send(a.name, protocol.Message{Start: &protocol.Start{
		Agent: a.name, Ticket: j.ticket(c.Self), Task: i, Attempt: j.tasks[i].attempt,
		Request: j.requests[i], SessionBound: j.restartable, RequiredLabel: j.queueItem.RequiredLabel,
		ExpectedMillis: c.expectedMillis(j, i, a),
		Backlog:        c.backlogForStart(now, a.name),
	}})
}

// expectedMillis returns the duration that the agent should expect of a task if it differs
// from the request's estimate, else 0.
func (c *Coordinator) expectedMillis(j *job, task int, a *agent) int64 {
	factor := c.queue.DurationFactor(&j.queueItem, a.name)
	if factor == 1 || !c.Settings.Dispatcher.ServerProfiles {
		return 0
	}
	return int64(factor * float64(j.requests[task].EstimateMillis))
}

// countFailed counts the pending tasks that have failed before, and the fewest attempts
// that one of them has left.
func (j *job) countFailed() {
	j.queueItem.Failed, j.queueItem.AttemptsLeft = 0, j.maxAttempts
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == pending && t.failures > 0 {
			j.queueItem.Failed++
			j.queueItem.AttemptsLeft = min(j.queueItem.AttemptsLeft, j.maxAttempts-t.failures)
		}
	}
}

// nextPendingFailed returns the index of the first pending task that has failed before, or
// that has not. If there is none, it returns the first pending task.
func (j *job) nextPendingFailed(failed bool) int {
	for i := range j.tasks {
		if j.tasks[i].state == pending && j.tasks[i].failures > 0 == failed {
			return i
		}
	}
	return j.nextPending()
}

// nextPending returns the index of the first pending task, or -1.
func (j *job) nextPending() int {
	for i := range j.tasks {
		if j.tasks[i].state == pending {
			return i
		}
	}
	return -1
}

// handleOutcome handles an agent's answer to a start.
func (c *Coordinator) handleOutcome(now time.Time, from string, m *protocol.Outcome) {
	c.queue.Report(from, m.Load)
	c.queue.RecordOutcome(from)
	if m.Ticket.Owner == "" {
		m.Ticket.Owner = c.Self
	}
	key := jobKey{m.Ticket.Owner, m.Ticket.Sequence}
	c.endStop(key, from, m.Task, m.Attempt)
	j := c.jobs[key]
	if j != nil && j.answer == nil && !j.handedOver && j.expects(from, m) {
		c.removeStart(from, j, m.Task)
		c.applyOutcome(now, j, m, from)
		c.advance(now, j)
	}
	c.dispatch(now)
}

// expects reports whether the outcome belongs to the outstanding start of the
// task. It must be of the same attempt, except for the result of a task that is started
// at most once: that is final, whichever start it answers.
func (j *job) expects(agent string, m *protocol.Outcome) bool {
	if m.Task < 0 || m.Task >= len(j.tasks) {
		return false
	}
	t := &j.tasks[m.Task]
	return t.state == sent && t.agent == agent && (m.Attempt == t.attempt || m.Result != nil && !j.restartable)
}

// removeStart removes an outstanding start of a task from its agent.
func (c *Coordinator) removeStart(agent string, j *job, task int) {
	a := c.agents[agent]
	if a == nil {
		return
	}
	delete(a.inFlight[j], task)
	if len(a.inFlight[j]) == 0 {
		delete(a.inFlight, j)
	}
}

// applyOutcome updates a task with its outcome. Only a refused task, or a failed
// one of a restartable job, may be started again (rule 2).
func (c *Coordinator) applyOutcome(now time.Time, j *job, m *protocol.Outcome, from string) {
	switch {
	case m.Result != nil && j.restartable:
		c.applyRestartableResult(now, j, m, from)
		return
	case m.Result != nil:
		c.applyResult(j, m, from)
		return
	}
	c.decide("start-refused", j, m.Task, from, string(m.Refusal))
	if m.Refusal == protocol.RefusalClosed {
		// The agent may have started the task and then removed its start record.
		j.tasks[m.Task].state, j.unknownReason = unknown, protocol.ReasonTicketExpired
		return
	}
	if j.tasks[m.Task].stopSent && m.Refusal == protocol.RefusalStopped {
		c.recordStraggler(now, j, from)
	}
	j.requeueTask(m.Task, m.Refusal == protocol.RefusalStopped || m.Refusal == protocol.RefusalLeaseExpired)
	switch m.Refusal {
	case protocol.RefusalSealed:
		c.handOverToSealed(now, j.backup)
	case protocol.RefusalUnreachable:
		c.queue.Suspend(now, from)
	}
}

// applyResult records the result of a task. A result without a status means that
// the request was sent and not answered.
func (c *Coordinator) applyResult(j *job, m *protocol.Outcome, from string) {
	t := &j.tasks[m.Task]
	t.state, t.result = ran, m.Result
	c.queue.RecordDuration(from, c.queue.EstimateAt(&j.queueItem, from), time.Duration(m.Result.ServeMicros)*time.Microsecond)
	if m.Result.Status == 0 {
		t.state, j.unknownReason = unknown, protocol.ReasonNoResult
		c.decide("task-unknown", j, m.Task, from, m.Result.Error)
	}
}

// applyRestartableResult records the result of a restartable task, and restarts a
// failed one unless it has failed maxAttempts times.
func (c *Coordinator) applyRestartableResult(now time.Time, j *job, m *protocol.Outcome, from string) {
	t := &j.tasks[m.Task]
	if m.Result.OK() {
		t.state, t.result = ran, m.Result
		c.queue.RecordDuration(from, c.queue.EstimateAt(&j.queueItem, from), time.Duration(m.Result.ServeMicros)*time.Microsecond)
		return
	}
	t.failures++
	j.avoid(from)
	c.decide("task-failed", j, m.Task, from, m.Result.Error)
	c.queue.RecordFailure(now, from)
	if t.failures < j.maxAttempts {
		j.requeueTask(m.Task, true)
		return
	}
	t.state, t.result = ran, m.Result
	c.stop(now, j, protocol.ReasonTaskFailed)
}

// advance updates the queue after the state of a task of the job has changed, and
// ends the job if no further progress is possible.
func (c *Coordinator) advance(now time.Time, j *job) {
	if j.answer != nil || j.handedOver || j.awaitingSeal {
		return
	}
	if j.stopReason == "" {
		if j.count(unknown) > 0 {
			c.stop(now, j, j.unknownReason)
			return
		}
		c.enqueue(j)
	}
	if j.count(sent) == 0 && j.count(leaseExpiring) == 0 && (j.stopReason != "" || j.count(pending) == 0) {
		c.conclude(now, j)
	}
}
