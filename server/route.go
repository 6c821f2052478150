package server

import (
	"context"
	"net/http"
	"time"

	"mustardlever.dev/mustardlever/caller"
	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/internal/fault"
	"mustardlever.dev/mustardlever/pausedetector"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/ticketer"
)

// route is one operation on its way to the entry that can answer it.
type route struct {
	entry   *Entry
	shard   *entryShard
	ticket  ticketer.Ticket
	request Request
	job     coordinator.Job
	begin   time.Time
}

// run tries the owner, then the witness, until one of them has answered.
func (r *route) run(ctx context.Context) Response {
	for ctx.Err() == nil {
		if p, done := r.tryOwner(ctx); done {
			return p
		}
		if r.entry.hasYielded() {
			break
		}
		if p, done := r.tryWitness(ctx); done {
			return p
		}
		if !r.anyPeer() && time.Since(r.begin) > noPeerGrace {
			return r.lost()
		}
		if time.Since(r.begin) > r.request.Wait+forwardGrace+noPeerGrace {
			break
		}
		pausedetector.Sleep(ctx, retryPause)
	}
	return respond(r.request.Ticket, nil)
}

func (r *route) self() string { return r.entry.hub.Self.Incarnation }

// anyPeer tells whether owner or witness is here or has a session with us.
func (r *route) anyPeer() bool {
	for _, name := range []string{r.ticket.Owner, r.ticket.Backup} {
		if name == r.self() || r.entry.hub.Reachable(name, silentAfter) {
			return true
		}
	}
	return false
}

// lost carries out rule 7: with owner and witness gone nothing can be known.
func (r *route) lost() Response {
	return failure(http.StatusBadGateway, caller.Failure{
		Kind: string(KindOwnerLost), Message: "the entries that know this job are gone; it may have run",
		MayHaveRun: true, Ticket: r.request.Ticket,
	})
}

func (r *route) tryOwner(ctx context.Context) (Response, bool) {
	if r.ticket.Owner == r.self() {
		return r.local(ctx, r.decide((*coordinator.Coordinator).Submit))
	}
	if !r.entry.hub.Reachable(r.ticket.Owner, silentAfter) {
		return Response{}, false
	}
	return r.forward(ctx, r.ticket.Owner, false)
}

func (r *route) tryWitness(ctx context.Context) (Response, bool) {
	switch {
	case r.ticket.Backup == "":
		return Response{}, false
	case r.ticket.Backup == r.self():
		if !r.takenOver() && r.entry.ownerAlive(ctx, r.ticket.Owner) {
			return Response{}, false
		}
		return r.local(ctx, r.decide((*coordinator.Coordinator).TakeOver))
	case r.entry.hub.Reachable(r.ticket.Backup, silentAfter):
		return r.forward(ctx, r.ticket.Backup, true)
	}
	return Response{}, false
}

func (r *route) takenOver() bool {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	return r.shard.coordinator.Sealed(r.ticket.Owner)
}

// ownerAlive is the witness's own test of a doubted owner.
func (e *Entry) ownerAlive(ctx context.Context, owner string) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return e.hub.Ping(ctx, owner) == nil
}

// submission is how a job is submitted: to its owner or to its witness.
type submission func(*coordinator.Coordinator, time.Time, protocol.Ticket, coordinator.Job) (*coordinator.Answer, error)

// decision is an operation on an entry's own state.
type decision func(k *coordinator.Coordinator, now time.Time) (*coordinator.Answer, error)

// decide returns the operation asked for, with submit for a submission.
func (r *route) decide(submit submission) decision {
	return func(k *coordinator.Coordinator, now time.Time) (*coordinator.Answer, error) {
		switch r.request.Operation {
		case OperationSubmit:
			return submit(k, now, r.ticket.Ticket, r.job)
		case OperationCancel:
			return k.Cancel(now, r.ticket.Ticket)
		default:
			return k.Find(now, r.ticket.Ticket)
		}
	}
}

// local runs the operation on this entry's own state and waits for the job's
// end. It reports false when the witness has taken over.
func (r *route) local(ctx context.Context, d decision) (Response, bool) {
	name := jobName{r.ticket.Owner, r.ticket.Sequence}
	ended := make(chan *coordinator.Answer, 1)
	var answer *coordinator.Answer
	var err error
	to := r.entry.decide(r.shard, func(k *coordinator.Coordinator, now time.Time) {
		if answer, err = d(k, now); err == nil && answer == nil && r.request.Wait > 0 {
			r.shard.waiters[name] = append(r.shard.waiters[name], ended)
		}
	})
	to.flush(&r.entry.hub)
	switch {
	case fault.KindOf[coordinator.Kind](err) == coordinator.KindSealed:
		return Response{}, false
	case err != nil:
		return r.refused(err), true
	case answer != nil || r.request.Wait <= 0:
		return respond(r.request.Ticket, answer), true
	}
	return r.await(ctx, name, ended)
}

func (r *route) await(ctx context.Context, name jobName, ended chan *coordinator.Answer) (Response, bool) {
	timer := time.NewTimer(r.request.Wait - time.Since(r.begin))
	defer timer.Stop()
	select {
	case a := <-ended:
		if a == nil {
			return Response{}, false
		}
		return respond(r.request.Ticket, a), true
	case <-timer.C:
	case <-ctx.Done():
	}
	r.shard.leave(name, ended)
	return respond(r.request.Ticket, nil), true
}

// leave removes a waiter that has given up.
func (s *entryShard) leave(name jobName, c chan *coordinator.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(name, c)
}

// refused answers an operation that the coordinator refused.
func (r *route) refused(err error) Response {
	kind := fault.KindOf[coordinator.Kind](err)
	f := caller.Failure{Kind: string(kind), Message: detail(err), Ticket: r.request.Ticket}
	switch kind {
	case coordinator.KindExpired:
		f.MayHaveRun = true
		return failure(http.StatusGone, f)
	case coordinator.KindMismatch:
		f.MayHaveRun = true
		return failure(http.StatusConflict, f)
	case coordinator.KindNotOwner:
		f.Kind, f.MayHaveRun = string(KindOwnerLost), true
		f.Message = "the entry that ran this job is gone; submit the job again with the same ticket to have it finished"
		return failure(http.StatusBadGateway, f)
	case coordinator.KindNotFound:
		return failure(http.StatusNotFound, f)
	}
	return failure(http.StatusServiceUnavailable, f)
}

// forward puts the operation to another entry. It reports false when that
// entry was lost, fell silent or sent us on.
func (r *route) forward(ctx context.Context, peer string, takeOver bool) (Response, bool) {
	id, reply := r.entry.calls.add(peer)
	defer r.entry.calls.remove(id)
	wait := max(r.request.Wait-time.Since(r.begin), 0)
	m := &protocol.Forward{
		ID: id, Operation: string(r.request.Operation), Ticket: r.request.Ticket,
		Job: r.request.Body, WaitMillis: wait.Milliseconds(), TakeOver: takeOver,
	}
	if !r.entry.hub.Send(peer, protocol.Message{Forward: m}) {
		return Response{}, false
	}
	end := time.Now().Add(wait + forwardGrace)
	watch := time.NewTicker(watchEvery)
	defer watch.Stop()
	for time.Now().Before(end) {
		select {
		case p := <-reply:
			if p == nil || p.Redirect != "" {
				return Response{}, false
			}
			return Response{p.Status, p.Answer}, true
		case <-watch.C:
			if !r.entry.hub.Reachable(peer, silentAfter) {
				return Response{}, false
			}
		case <-ctx.Done():
			return respond(r.request.Ticket, nil), true
		}
	}
	return Response{}, false
}

// serveForward carries out an operation that another entry has put to us.
func (e *Entry) serveForward(from string, f protocol.Forward) {
	reply := &protocol.Reply{ID: f.ID}
	q := Request{
		Operation: Operation(f.Operation), Ticket: f.Ticket, Body: f.Job,
		Wait: min(time.Duration(f.WaitMillis)*time.Millisecond, maxWait),
	}
	p, redirect := e.answerForward(q, f.TakeOver)
	reply.Status, reply.Answer, reply.Redirect = p.Status, p.Body, redirect
	e.hub.Send(from, protocol.Message{Reply: reply})
}

func (e *Entry) answerForward(q Request, takeOver bool) (Response, protocol.Redirect) {
	t, err := e.coder.Decode(q.Ticket)
	s := e.shards.find(t.Service)
	if err != nil || s == nil {
		return failure(http.StatusBadRequest, caller.Failure{Kind: string(KindBadRequest), Message: "not a ticket of a service here"}), ""
	}
	in, err := parseJob(q)
	if err != nil {
		return badJob(err, q.Ticket), ""
	}
	r := route{entry: e, shard: s, ticket: t, request: q, job: in, begin: time.Now()}
	if takeOver && t.Backup == r.self() {
		if p, done := r.tryWitness(e.ctx); done {
			return p, ""
		}
		return Response{}, protocol.RedirectOwner
	}
	if t.Owner != r.self() {
		return Response{}, protocol.RedirectBackup
	}
	if p, done := r.tryOwner(e.ctx); done {
		return p, ""
	}
	return Response{}, protocol.RedirectBackup
}
