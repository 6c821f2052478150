package coordinator

import (
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

func (k *Coordinator) enqueue(j *job) {
	waiting := j.count(pending)
	k.queue.Add(&j.place, waiting, waiting+j.count(sent))
}

// dispatch starts waiting tasks while there is room.
func (k *Coordinator) dispatch(now time.Time) {
	for {
		j, name, ok := k.queue.Next(now, k.eligible)
		if !ok {
			break
		}
		k.startTask(now, j.Value, k.agents[name])
	}
}

// eligible carries out rule 3: the owner uses an agent for a ticket only after
// the ticket's witness acknowledged the agent. A job does not go back to an
// agent on which a task of it failed or stood still, while there are others.
func (k *Coordinator) eligible(j *job, agent string) bool {
	if j.avoids(agent) && k.queue.Agents() > len(j.avoided) {
		return false
	}
	if j.witness == "" {
		return true
	}
	w := k.witnesses[j.witness]
	return w != nil && w.acked[agent]
}

func (k *Coordinator) startTask(now time.Time, j *job, a *agent) {
	i := j.nextPending()
	t := &j.tasks[i]
	if j.starts == 0 {
		j.firstSent = now
	}
	j.starts++
	t.state, t.agent, t.sent, t.stopped = sent, a.name, now, false
	if a.inflight[j] == nil {
		a.inflight[j] = make(map[int]bool)
	}
	a.inflight[j][i] = true
	k.send(a.name, protocol.Message{Start: &protocol.Start{
		Agent: a.name, Ticket: j.ticket(k.Self), Task: i, Attempt: j.tasks[i].attempt,
		Request: j.requests[i], SessionBound: j.restarts,
	}})
}

func (j *job) nextPending() int {
	for i := range j.tasks {
		if j.tasks[i].state == pending {
			return i
		}
	}
	return -1
}

// outcome takes what an agent says of a task.
func (k *Coordinator) outcome(now time.Time, from string, m *protocol.Outcome) {
	k.queue.Report(from, m.Load)
	k.queue.Ended(from)
	if m.Ticket.Owner == "" {
		m.Ticket.Owner = k.Self
	}
	j := k.jobs[key{m.Ticket.Owner, m.Ticket.Sequence}]
	if j != nil && j.answer == nil && !j.surrendered && j.expects(from, m) {
		k.forget(from, j, m.Task)
		k.settleTask(now, j, m, from)
		k.advance(now, j)
	}
	k.dispatch(now)
}

// expects tells whether the outcome answers the start that the task is bound
// by. A refusal must be of the same attempt.
func (j *job) expects(agent string, m *protocol.Outcome) bool {
	if m.Task < 0 || m.Task >= len(j.tasks) {
		return false
	}
	t := &j.tasks[m.Task]
	return t.state == sent && t.agent == agent && (m.Result != nil || m.Attempt == t.attempt)
}

func (k *Coordinator) forget(agent string, j *job, task int) {
	a := k.agents[agent]
	if a == nil {
		return
	}
	delete(a.inflight[j], task)
	if len(a.inflight[j]) == 0 {
		delete(a.inflight, j)
	}
}

// settleTask carries out rule 2: only a refused task may be bound again.
func (k *Coordinator) settleTask(now time.Time, j *job, m *protocol.Outcome, from string) {
	switch {
	case m.Result != nil && j.restarts:
		k.takeRestartable(now, j, m, from)
		return
	case m.Result != nil:
		k.takeResult(j, m, from)
		return
	}
	k.decide("start-refused", j, m.Task, from, string(m.Refusal))
	if m.Refusal == protocol.RefusalClosed {
		// The agent may have started the task and forgotten it since.
		j.tasks[m.Task].state, j.doubt = unknown, protocol.ReasonTicketExpired
		return
	}
	if j.tasks[m.Task].stopped && m.Refusal == protocol.RefusalStopped {
		k.straggled(now, j, from)
	}
	j.rebind(m.Task, m.Refusal == protocol.RefusalStopped || m.Refusal == protocol.RefusalLeaseExpired)
	switch m.Refusal {
	case protocol.RefusalSealed:
		k.surrenderPair(now, j.witness)
	case protocol.RefusalUnreachable:
		k.queue.Pause(now, from)
	}
}

// takeResult notes a task's result. One without a status means that the
// request was sent and not answered.
func (k *Coordinator) takeResult(j *job, m *protocol.Outcome, from string) {
	t := &j.tasks[m.Task]
	t.state, t.result = ran, m.Result
	k.queue.Observe(from, j.place.Estimate, time.Duration(m.Result.ServeMicros)*time.Microsecond)
	if m.Result.Status == 0 {
		t.state, j.doubt = unknown, protocol.ReasonNoResult
		k.decide("task-unknown", j, m.Task, from, m.Result.Error)
	}
}

// takeRestartable notes that a start of a task that may be started again has
// ended, done or failed.
func (k *Coordinator) takeRestartable(now time.Time, j *job, m *protocol.Outcome, from string) {
	t := &j.tasks[m.Task]
	if m.Result.OK() {
		t.state, t.result = ran, m.Result
		k.queue.Observe(from, j.place.Estimate, time.Duration(m.Result.ServeMicros)*time.Microsecond)
		return
	}
	t.failures++
	j.avoid(from)
	k.decide("task-failed", j, m.Task, from, m.Result.Error)
	k.queue.Fail(now, from)
	if t.failures < j.attempts {
		j.rebind(m.Task, true)
		return
	}
	t.state, t.result = ran, m.Result
	k.stop(now, j, protocol.ReasonTaskFailed)
}

// advance moves a job on after one of its tasks changed.
func (k *Coordinator) advance(now time.Time, j *job) {
	if j.answer != nil || j.surrendered || j.waitsSeal {
		return
	}
	if j.stopping == "" {
		if j.count(unknown) > 0 {
			k.stop(now, j, j.doubt)
			return
		}
		k.enqueue(j)
	}
	if j.count(sent) == 0 && j.count(lapsing) == 0 && (j.stopping != "" || j.count(pending) == 0) {
		k.conclude(now, j)
	}
}
