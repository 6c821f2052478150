package keeper

import (
	"time"

	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/ticketer"
)

// Issue returns n new tickets. It errors with KindOverload when the queue is
// full, KindNoAgents when no agent serves the service and KindDraining when
// the entry is leaving: then nothing was or will be run.
func (k *Keeper) Issue(now time.Time, n int) ([]ticketer.Ticket, error) {
	switch {
	case k.draining:
		return nil, &Error{Op: "issue", Kind: KindDraining, Detail: "the entry is leaving; ask again"}
	case len(k.agents) == 0:
		return nil, &Error{Op: "issue", Kind: KindNoAgents, Detail: "no backend server of " + k.Service + " is there"}
	case k.full():
		return nil, &Error{Op: "issue", Kind: KindOverload, Detail: "the queue is full; come back later"}
	}
	w := k.pickWitness()
	expires := now.Add(k.Settings.TicketLife)
	tickets := make([]ticketer.Ticket, n)
	for i := range tickets {
		tickets[i] = ticketer.Ticket{
			Ticket:  messenger.Ticket{Owner: k.Self, Witness: w, Sequence: k.next},
			Service: k.Service,
			Expires: expires.Sub(k.start),
		}
		k.next++
	}
	k.issued = append(k.issued, span{k.next, expires})
	return tickets, nil
}

func (k *Keeper) full() bool {
	return k.queue.Waiting() >= k.Settings.QueueTasks || len(k.jobs) >= k.Settings.KeptJobs
}

// Submit takes a job under a ticket of this entry. It is idempotent: a second
// submission finds the first one's job. A nil answer means that the job runs
// and that Drain will report its end.
func (k *Keeper) Submit(now time.Time, t messenger.Ticket, in Job) (*Answer, error) {
	if t.Owner != k.Self {
		return nil, &Error{Op: "submit", Kind: KindNotOwner}
	}
	if j := k.jobs[key{t.Owner, t.Sequence}]; j != nil {
		return j.found(in.Digest)
	}
	k.expire(now)
	if t.Sequence < k.expired || t.Sequence >= k.next {
		return nil, &Error{Op: "submit", Kind: KindExpired, Detail: "the ticket's time is over"}
	}
	if w := k.witnesses[t.Witness]; w != nil && w.sealed {
		return nil, &Error{Op: "submit", Kind: KindSealed}
	}
	j := k.newJob(now, key{t.Owner, t.Sequence}, in)
	j.witness = t.Witness
	if k.queue.Waiting()+len(in.Tasks) > k.Settings.QueueTasks {
		k.stop(now, j, messenger.ReasonOverload)
		return j.answer, nil
	}
	k.enqueue(j)
	k.dispatch()
	return j.answer, nil
}

// found answers a repeated submission.
func (j *job) found(digest string) (*Answer, error) {
	if digest != "" && j.digest != digest {
		return nil, &Error{Op: "submit", Kind: KindMismatch, Detail: "the ticket was used for another job"}
	}
	if j.surrendered {
		return nil, &Error{Op: "submit", Kind: KindSealed}
	}
	return j.answer, nil
}

// Find returns the state of a job; a nil answer means that it runs.
func (k *Keeper) Find(now time.Time, t messenger.Ticket) (*Answer, error) {
	if j := k.jobs[key{t.Owner, t.Sequence}]; j != nil {
		return j.found("")
	}
	if t.Owner != k.Self {
		return nil, &Error{Op: "find", Kind: KindNotOwner}
	}
	k.expire(now)
	if t.Sequence < k.expired {
		return nil, &Error{Op: "find", Kind: KindExpired, Detail: "the ticket's time is over"}
	}
	return nil, &Error{Op: "find", Kind: KindNotFound, Detail: "no job was submitted with this ticket"}
}

// Cancel stops a job: what has not been started will not be. The answer comes
// when the tasks that run have ended.
func (k *Keeper) Cancel(now time.Time, t messenger.Ticket) (*Answer, error) {
	if a, err := k.Find(now, t); a != nil || err != nil {
		return a, err
	}
	j := k.jobs[key{t.Owner, t.Sequence}]
	k.stop(now, j, messenger.ReasonCancelled)
	return j.answer, nil
}

func (k *Keeper) newJob(now time.Time, id key, in Job) *job {
	deadline := k.Settings.Deadline
	if in.DeadlineMillis > 0 {
		deadline = min(deadline, time.Duration(in.DeadlineMillis)*time.Millisecond)
	}
	j := &job{
		key: id, digest: in.Digest, requests: in.Tasks, tasks: make([]task, len(in.Tasks)),
		submitted: now, deadline: now.Add(deadline),
	}
	j.place.Value = j
	j.place.Arrived = now
	k.jobs[id] = j
	k.active[j] = true
	k.decide("job-submitted", j, -1, "", "")
	return j
}

func (k *Keeper) enqueue(j *job) {
	waiting := j.count(pending)
	k.queue.Add(&j.place, waiting, waiting+j.count(sent))
}

// dispatch starts waiting tasks while there are granted slots.
func (k *Keeper) dispatch() {
	for {
		j, name, ok := k.queue.Next(k.eligible)
		if !ok {
			break
		}
		k.startTask(j.Value, k.agents[name])
	}
	k.tellDemand()
}

// eligible carries out rule 3: the owner uses an agent for a ticket only after
// the ticket's witness acknowledged the agent.
func (k *Keeper) eligible(j *job, agent string) bool {
	if j.witness == "" {
		return true
	}
	w := k.witnesses[j.witness]
	return w != nil && w.acked[agent]
}

func (k *Keeper) startTask(j *job, a *agent) {
	i := j.nextPending()
	j.tasks[i].state, j.tasks[i].agent = sent, a.name
	if a.inflight[j] == nil {
		a.inflight[j] = make(map[int]bool)
	}
	a.inflight[j][i] = true
	a.told = k.queue.Waiting()
	k.send(a.name, messenger.Message{Start: &messenger.Start{
		Agent: a.name, Ticket: j.ticket(k.Self), Task: i, Attempt: j.tasks[i].attempt,
		Request: j.requests[i], Demand: a.told,
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

// tellDemand tells agents that tasks wait, unless they know about as much. It
// looks at the agents only when the number has changed much since the last look
// or an agent has to hear of it.
func (k *Keeper) tellDemand() {
	n := k.queue.Waiting()
	if n == 0 || !k.untold && alike(n, k.demand) {
		k.demand = min(k.demand, n)
		return
	}
	k.demand, k.untold = n, false
	for _, a := range k.agents {
		if a.leaving || alike(n, a.told) {
			continue
		}
		a.told = n
		k.send(a.name, messenger.Message{Demand: &messenger.Demand{Tasks: n}})
	}
}

// alike tells whether two demands differ by less than a factor of four.
func alike(a, b int) bool { return a > 0 && b > 0 && a < 4*b && b < 4*a }

// outcome takes what an agent says of a task.
func (k *Keeper) outcome(now time.Time, from string, m *messenger.Outcome) {
	if m.Grant > 0 {
		k.queue.Credit(from, m.Grant)
	}
	if m.Ticket.Owner == "" {
		m.Ticket.Owner = k.Self
	}
	j := k.jobs[key{m.Ticket.Owner, m.Ticket.Sequence}]
	if j != nil && j.answer == nil && !j.surrendered && j.expects(from, m) {
		k.forget(from, j, m.Task)
		k.settleTask(now, j, m, from)
		k.advance(now, j)
	}
	k.dispatch()
}

// expects tells whether the outcome answers the start that the task is bound
// by. A refusal must be of the same attempt.
func (j *job) expects(agent string, m *messenger.Outcome) bool {
	if m.Task < 0 || m.Task >= len(j.tasks) {
		return false
	}
	t := &j.tasks[m.Task]
	return t.state == sent && t.agent == agent && (m.Result != nil || m.Attempt == t.attempt)
}

func (k *Keeper) forget(agent string, j *job, task int) {
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
func (k *Keeper) settleTask(now time.Time, j *job, m *messenger.Outcome, from string) {
	if m.Result != nil {
		k.takeResult(j, m, from)
		return
	}
	k.decide("start-refused", j, m.Task, from, string(m.Refusal))
	if m.Refusal == messenger.RefusalClosed {
		// The agent may have started the task and forgotten it since.
		j.tasks[m.Task].state, j.doubt = unknown, messenger.ReasonExpired
		return
	}
	j.tasks[m.Task] = task{state: pending, attempt: m.Attempt + 1}
	switch m.Refusal {
	case messenger.RefusalSealed:
		k.surrenderPair(now, j.witness)
	case messenger.RefusalUnreachable:
		k.queue.Pause(now, from)
	}
}

// takeResult notes a task's result. One without a status means that the
// request was sent and not answered.
func (k *Keeper) takeResult(j *job, m *messenger.Outcome, from string) {
	t := &j.tasks[m.Task]
	t.state, t.result = ran, m.Result
	k.queue.Observe(from, time.Duration(m.Result.ServeMicros)*time.Microsecond)
	if m.Result.Status == 0 {
		t.state, j.doubt = unknown, messenger.ReasonNoResult
		k.decide("task-unknown", j, m.Task, from, m.Result.Error)
	}
}

// advance moves a job on after one of its tasks changed.
func (k *Keeper) advance(now time.Time, j *job) {
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
	if j.count(sent) == 0 && (j.stopping != "" || j.count(pending) == 0) {
		k.conclude(now, j)
	}
}

// stop ends the starting of a job's tasks. It concludes when those that run
// have ended, or at once at the deadline.
func (k *Keeper) stop(now time.Time, j *job, r messenger.Reason) {
	if j.answer != nil || j.surrendered {
		return
	}
	if j.stopping == "" {
		j.stopping = r
		k.queue.Remove(&j.place)
		k.decide("job-stopped", j, -1, "", string(r))
	}
	if r == messenger.ReasonDeadline {
		k.release(j)
		j.mark(sent, unknown)
	}
	if j.count(sent) == 0 && !j.waitsSeal {
		k.conclude(now, j)
	}
}

// release forgets all starts of a job that are not answered.
func (k *Keeper) release(j *job) {
	for i := range j.tasks {
		if j.tasks[i].state == sent {
			k.forget(j.tasks[i].agent, j, i)
		}
	}
}

// conclude ends a job none of whose tasks runs. It carries out rule 6: an
// answer that calls a task not-run waits for the witness's agreement.
func (k *Keeper) conclude(now time.Time, j *job) {
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
	w := k.witnesses[j.witness]
	if w == nil {
		j.mark(pending, unknown)
		k.end(now, j, j.newAnswer(StateFailed, j.stopping))
		return
	}
	j.settling = now
	m := &messenger.Settle{Ticket: j.ticket(k.Self), Reason: j.stopping, States: j.states()}
	k.send(j.witness, messenger.Message{Settle: m})
}

// settleAck ends a job to which its witness agreed.
func (k *Keeper) settleAck(now time.Time, from string, m *messenger.SettleAck) {
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
func (k *Keeper) end(now time.Time, j *job, a *Answer) {
	j.answer = a
	k.retire(now, j)
	k.endings = append(k.endings, Ended{j.key.owner, j.key.sequence, a})
	k.decide("job-"+string(a.State), j, -1, "", string(a.Reason))
}

// retire keeps an ended job for its retention, without its requests.
func (k *Keeper) retire(now time.Time, j *job) {
	k.queue.Remove(&j.place)
	k.release(j)
	j.requests, j.ended = nil, now
	delete(k.active, j)
	k.ended = append(k.ended, j)
	k.keep(j)
}

// keep counts the bytes of the job's results, and drops the oldest results
// beyond KeptBytes: those jobs are then answered as failed, with what ran.
func (k *Keeper) keep(j *job) {
	k.kept = append(k.kept, j)
	k.keptBytes += j.resultBytes()
	for k.keptBytes > k.Settings.KeptBytes && len(k.kept) > 1 {
		k.drop(k.kept[0])
		k.kept[0] = nil
		k.kept = k.kept[1:]
	}
}

// drop lets go of a job's results.
func (k *Keeper) drop(j *job) {
	n := j.resultBytes()
	if n == 0 {
		return
	}
	k.keptBytes -= n
	for i := range j.tasks {
		j.tasks[i].result = nil
	}
	if j.answer != nil {
		j.answer = j.newAnswer(StateFailed, messenger.ReasonDropped)
	}
}
