package coordinator

import (
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

// stop ends the starting of a job's tasks. It concludes when those that run
// have ended, or at once at the deadline.
func (k *Coordinator) stop(now time.Time, j *job, r protocol.Reason) {
	if j.answer != nil || j.surrendered {
		return
	}
	if j.stopping == "" {
		j.stopping = r
		k.queue.Remove(&j.place)
		k.decide("job-stopped", j, -1, "", string(r))
	}
	if j.restarts {
		k.abandon(now, j)
		return
	}
	if r == protocol.ReasonDeadline {
		k.release(j)
		j.mark(sent, unknown)
	}
	if j.count(sent) == 0 && !j.waitsSeal {
		k.conclude(now, j)
	}
}

// abandon ends a job whose tasks are bound to this entry: it is answered at
// once, and what runs is stopped.
func (k *Coordinator) abandon(now time.Time, j *job) {
	tasks := make(map[string][]int)
	for i := range j.tasks {
		if j.tasks[i].state == sent {
			tasks[j.tasks[i].agent] = append(tasks[j.tasks[i].agent], i)
		}
	}
	for agent, list := range tasks {
		k.send(agent, protocol.Message{Stop: &protocol.Stop{Ticket: j.ticket(k.Self), Tasks: list}})
	}
	k.release(j)
	j.mark(sent, unknown)
	j.mark(lapsing, unknown)
	a := j.newAnswer(StateFailed, j.stopping)
	if !a.MayHaveRun() {
		a.RetryAfter = k.comeBack()
	}
	k.end(now, j, a)
}

// release forgets all starts of a job that are not answered.
func (k *Coordinator) release(j *job) {
	for i := range j.tasks {
		if j.tasks[i].state == sent {
			k.forget(j.tasks[i].agent, j, i)
		}
	}
}

// conclude ends a job none of whose tasks runs. It carries out rule 6: an
// answer that calls a task not-run waits for the witness's agreement.
func (k *Coordinator) conclude(now time.Time, j *job) {
	if !j.settling.IsZero() {
		return
	}
	if j.count(ran) == len(j.tasks) {
		k.end(now, j, j.newAnswer(StateComplete, ""))
		return
	}
	if j.witness == "" || j.count(pending) == 0 {
		k.end(now, j, j.newAnswer(StateFailed, j.stopping))
		return
	}
	if k.witnesses[j.witness] == nil {
		k.endUnsettled(now, j)
		return
	}
	j.settling = now
	m := &protocol.Finalize{Ticket: j.ticket(k.Self), Reason: j.stopping, States: j.states()}
	k.send(j.witness, protocol.Message{Finalize: m})
}

// settleAck ends a job to which its witness agreed.
func (k *Coordinator) settleAck(now time.Time, from string, m *protocol.FinalizeAck) {
	if m.Sealed {
		k.surrenderPair(now, from)
		return
	}
	j := k.jobs[key{k.Self, m.Ticket.Sequence}]
	if j == nil || j.answer != nil || j.settling.IsZero() || j.witness != from {
		return
	}
	k.end(now, j, j.newAnswer(StateFailed, j.stopping))
}

// end gives a job its final answer.
func (k *Coordinator) end(now time.Time, j *job, a *Answer) {
	j.answer = a
	k.retire(now, j)
	k.endings = append(k.endings, JobEnd{j.key.owner, j.key.sequence, a})
	k.decide("job-"+string(a.State), j, -1, "", string(a.Reason))
}

// retire keeps an ended job for its retention, without its requests.
func (k *Coordinator) retire(now time.Time, j *job) {
	k.queue.Remove(&j.place)
	k.release(j)
	j.requests, j.ended = nil, now
	delete(k.active, j)
	delete(k.lapsing, j)
	if j.name != "" {
		delete(k.names, j.name)
	}
	if j.restarts {
		delete(k.jobs, j.key) // nobody can ask for it again
		return
	}
	k.ended = append(k.ended, j)
	k.keep(j)
}

// keep counts the bytes of the job's results, and drops the oldest results
// beyond KeptBytes: those jobs are then answered as failed, with what ran.
func (k *Coordinator) keep(j *job) {
	k.kept = append(k.kept, j)
	k.keptBytes += j.resultBytes()
	for k.keptBytes > k.Settings.KeptBytes && len(k.kept) > 1 {
		k.drop(k.kept[0])
		k.kept[0] = nil
		k.kept = k.kept[1:]
	}
}

// drop lets go of a job's results.
func (k *Coordinator) drop(j *job) {
	n := j.resultBytes()
	if n == 0 {
		return
	}
	k.keptBytes -= n
	for i := range j.tasks {
		j.tasks[i].result = nil
	}
	if j.answer != nil {
		j.answer = j.newAnswer(StateFailed, protocol.ReasonResultsDropped)
	}
}
