package coordinator

import (
	"time"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
	"mustardlever.dev/mustardlever/ticketer"
)

// Issue returns n new tickets. It errors with KindOverload when the queue is
// full, KindNoAgents when no agent serves the service and KindDraining when
// the entry is leaving: then nothing was or will be run.
func (k *Coordinator) Issue(now time.Time, n int) ([]ticketer.Ticket, error) {
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
			Ticket:  protocol.Ticket{Owner: k.Self, Backup: w, Sequence: k.next},
			Service: k.Service,
			Expires: expires.Sub(k.start),
		}
		k.next++
	}
	k.issued = append(k.issued, span{k.next, expires})
	return tickets, nil
}

func (k *Coordinator) full() bool {
	return k.queue.Waiting() >= k.Settings.QueueTasks || len(k.jobs) >= k.Settings.KeptJobs
}

// Submit takes a job under a ticket of this entry. It is idempotent: a second
// submission finds the first one's job. A nil answer means that the job runs
// and that Drain will report its end.
func (k *Coordinator) Submit(now time.Time, t protocol.Ticket, in Job) (*Answer, error) {
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
	if w := k.witnesses[t.Backup]; w != nil && (w.sealed || k.yielded) {
		return nil, &Error{Op: "submit", Kind: KindSealed}
	}
	j := k.newJob(now, key{t.Owner, t.Sequence}, in)
	j.witness = t.Backup
	if k.queue.Waiting()+len(in.Tasks) > k.Settings.QueueTasks {
		k.stop(now, j, protocol.ReasonOverload)
		return j.answer, nil
	}
	k.enqueue(j)
	k.dispatch(now)
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
func (k *Coordinator) Find(now time.Time, t protocol.Ticket) (*Answer, error) {
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
func (k *Coordinator) Cancel(now time.Time, t protocol.Ticket) (*Answer, error) {
	if a, err := k.Find(now, t); a != nil || err != nil {
		return a, err
	}
	j := k.jobs[key{t.Owner, t.Sequence}]
	k.stop(now, j, protocol.ReasonCancelled)
	return j.answer, nil
}

// place returns the job's place in the queue. Its tasks count as large and as
// long as the largest and the longest of them.
func (in *Job) place(now time.Time, j *job) dispatcher.Job[*job] {
	p := dispatcher.Job[*job]{Value: j, Arrived: now, RequiredLabel: in.RequiredLabel, PreferredLabel: in.PreferredLabel, Priority: in.Priority}
	if in.Due > 0 {
		p.Due = now.Add(in.Due)
	}
	for i := range in.Tasks {
		need := in.Tasks[i].Need
		if need == (sizer.Resources{}) {
			need = sizer.Slots(1)
		}
		p.Need = p.Need.Max(need)
	}
	p.Estimate = in.LongestEstimate()
	return p
}

func (k *Coordinator) newJob(now time.Time, id key, in Job) *job {
	deadline := k.Settings.Deadline
	if in.DeadlineMillis > 0 {
		deadline = min(deadline, time.Duration(in.DeadlineMillis)*time.Millisecond)
	}
	j := &job{
		key: id, digest: in.Digest, requests: in.Tasks, tasks: make([]task, len(in.Tasks)),
		submitted: now, deadline: now.Add(deadline),
	}
	j.name, j.restarts, j.attempts = in.Name, in.Restart.Attempts > 0, in.Restart.Attempts
	for i := range j.tasks {
		j.tasks[i].attempt = in.Restart.FirstAttempt
	}
	j.place = in.place(now, j)
	k.jobs[id] = j
	k.active[j] = true
	if j.name != "" {
		k.names[j.name] = j
	}
	k.decide("job-submitted", j, -1, "", "")
	return j
}
