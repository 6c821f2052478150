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

// operationRouter routes one operation to the entry that can answer it.
type operationRouter struct {
	entry     *Entry
	shard     *entryShard
	ticket    ticketer.Ticket
	request   Request
	job       coordinator.Job
	startedAt time.Time
}

// execute tries the owner and the backup in turn until one of them answers. If neither
// answers in time, or if this entry has handed its jobs over, it responds that the job
// is running.
func (r *operationRouter) execute(ctx context.Context) Response {
	for ctx.Err() == nil {
		if response, done := r.tryOwner(ctx); done {
			return response
		}
		if r.entry.hasHandedOver() {
			break
		}
		if response, done := r.tryBackup(ctx); done {
			return response
		}
		if !r.hasReachablePeer() && time.Since(r.startedAt) > noPeerTimeout {
			return r.ownerLost()
		}
		if time.Since(r.startedAt) > r.request.Wait+replyTimeout+noPeerTimeout {
			break
		}
		pausedetector.Sleep(ctx, retryInterval)
	}
	return answerResponse(r.request.Ticket, nil)
}

func (r *operationRouter) self() string { return r.entry.hub.Self.Incarnation }

// hasReachablePeer reports whether owner or backup is this entry or a reachable peer.
func (r *operationRouter) hasReachablePeer() bool {
	for _, name := range []string{r.ticket.Owner, r.ticket.Backup} {
		if name == r.self() || r.entry.hub.Reachable(name, unresponsiveAfter) {
			return true
		}
	}
	return false
}

// ownerLost returns the response when neither owner nor backup is reachable: the
// outcome of the job is unknown, so it is reported as lost and as possibly run
// (rule 7).
func (r *operationRouter) ownerLost() Response {
	return failure(http.StatusBadGateway, caller.Failure{
		Kind: string(KindOwnerLost), Message: "neither the owner nor the backup of this job is reachable; it may have run",
		MayHaveRun: true, Ticket: r.request.Ticket,
	})
}

func (r *operationRouter) tryOwner(ctx context.Context) (Response, bool) {
	if r.ticket.Owner == r.self() {
		return r.applyLocally(ctx, r.operation((*coordinator.Coordinator).Submit))
	}
	if !r.entry.hub.Reachable(r.ticket.Owner, unresponsiveAfter) {
		return Response{}, false
	}
	return r.forward(ctx, r.ticket.Owner, false)
}

func (r *operationRouter) tryBackup(ctx context.Context) (Response, bool) {
	switch {
	case r.ticket.Backup == "":
		return Response{}, false
	case r.ticket.Backup == r.self():
		if !r.ownerSealed() && r.entry.pingOwner(ctx, r.ticket.Owner) {
			return Response{}, false
		}
		return r.applyLocally(ctx, r.operation((*coordinator.Coordinator).TakeOver))
	case r.entry.hub.Reachable(r.ticket.Backup, unresponsiveAfter):
		return r.forward(ctx, r.ticket.Backup, true)
	}
	return Response{}, false
}

func (r *operationRouter) ownerSealed() bool {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	return r.shard.coordinator.Sealed(r.ticket.Owner)
}

// pingOwner reports whether the owner answers a ping. The backup calls it before it
// takes over from an owner suspected to be lost.
func (e *Entry) pingOwner(ctx context.Context, owner string) bool {
	ctx, cancel := context.WithTimeout(ctx, ownerPingTimeout)
	defer cancel()
	return e.hub.Ping(ctx, owner) == nil
}

// submitFunc submits a job to the coordinator of its owner or of its backup.
type submitFunc func(*coordinator.Coordinator, time.Time, protocol.Ticket, coordinator.Job) (*coordinator.Answer, error)

// stateFunc applies an operation to the state of this entry.
type stateFunc func(c *coordinator.Coordinator, now time.Time) (*coordinator.Answer, error)

// operation returns the function for the requested operation. It uses submit for
// submissions.
func (r *operationRouter) operation(submit submitFunc) stateFunc {
	return func(c *coordinator.Coordinator, now time.Time) (*coordinator.Answer, error) {
		switch r.request.Operation {
		case OperationSubmit:
			return submit(c, now, r.ticket.Ticket, r.job)
		case OperationCancel:
			return c.Cancel(now, r.ticket.Ticket)
		default:
			return c.Find(now, r.ticket.Ticket)
		}
	}
}

// applyLocally applies the operation to the state of this entry and waits for the
// job to end. It returns false if the backup has taken over.
func (r *operationRouter) applyLocally(ctx context.Context, apply stateFunc) (Response, bool) {
	key := jobKey{r.ticket.Owner, r.ticket.Sequence}
	answers := make(chan *coordinator.Answer, 1)
	var answer *coordinator.Answer
	var err error
	peers := r.entry.apply(r.shard, func(c *coordinator.Coordinator, now time.Time) {
		if answer, err = apply(c, now); err == nil && answer == nil && r.request.Wait > 0 {
			r.shard.waiters[key] = append(r.shard.waiters[key], answers)
		}
	})
	peers.flush(&r.entry.hub)
	switch {
	case fault.KindOf[coordinator.Kind](err) == coordinator.KindSealed:
		return Response{}, false
	case err != nil:
		return r.refusal(err), true
	case answer != nil || r.request.Wait <= 0:
		return r.respond(answer), true
	}
	return r.await(ctx, key, answers)
}

func (r *operationRouter) await(ctx context.Context, key jobKey, answers chan *coordinator.Answer) (Response, bool) {
	timer := time.NewTimer(r.request.Wait - time.Since(r.startedAt))
	defer timer.Stop()
	select {
	case answer := <-answers:
		if answer == nil {
			return Response{}, false
		}
		return r.respond(answer), true
	case <-timer.C:
	case <-ctx.Done():
	}
	r.shard.removeWaiter(key, answers)
	return answerResponse(r.request.Ticket, nil), true
}

// respond returns the response with an answer, which is nil while the job runs. Without
// memory for it, the caller has to ask again.
func (r *operationRouter) respond(a *coordinator.Answer) Response {
	if a != nil && r.request.ReserveAnswer != nil && !r.request.ReserveAnswer(answerBytes(a)) {
		return failure(http.StatusServiceUnavailable, caller.Failure{
			Kind: string(coordinator.KindNoMemory), Message: "the job has ended, and there is no memory for its answer now; ask for it again",
			MayHaveRun: a.MayHaveRun(), Ticket: r.request.Ticket,
		})
	}
	return answerResponse(r.request.Ticket, a)
}

// removeWaiter removes a waiter that has stopped waiting.
func (s *entryShard) removeWaiter(key jobKey, c chan *coordinator.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeWaiterLocked(key, c)
}

// refusal returns the response to an operation that the coordinator refused.
func (r *operationRouter) refusal(err error) Response {
	kind := fault.KindOf[coordinator.Kind](err)
	details := caller.Failure{Kind: string(kind), Message: errorDetail(err), Ticket: r.request.Ticket}
	switch kind {
	case coordinator.KindExpired:
		details.MayHaveRun = true
		return failure(http.StatusGone, details)
	case coordinator.KindMismatch:
		details.MayHaveRun = true
		return failure(http.StatusConflict, details)
	case coordinator.KindNotOwner:
		details.Kind, details.MayHaveRun = string(KindOwnerLost), true
		details.Message = "the entry that ran this job is lost; submit the job again with the same ticket to complete it"
		return failure(http.StatusBadGateway, details)
	case coordinator.KindNoMemory:
		details.MayHaveRun = true
	case coordinator.KindNotFound:
		return failure(http.StatusNotFound, details)
	}
	return failure(http.StatusServiceUnavailable, details)
}

// forward sends the operation to another entry and waits for the reply. It returns
// false if that entry is lost, becomes unresponsive, redirects the operation or does
// not reply in time.
func (r *operationRouter) forward(ctx context.Context, peer string, takeOver bool) (Response, bool) {
	id, replies := r.entry.calls.add(peer)
	defer r.entry.calls.remove(id)
	wait := max(r.request.Wait-time.Since(r.startedAt), 0)
	request := &protocol.Forward{
		ID: id, Operation: string(r.request.Operation), Ticket: r.request.Ticket,
		Job: r.request.Body, WaitMillis: wait.Milliseconds(), TakeOver: takeOver,
	}
	if !r.entry.hub.Send(peer, protocol.Message{Forward: request}) {
		return Response{}, false
	}
	deadline := time.Now().Add(wait + replyTimeout)
	ticker := time.NewTicker(reachabilityInterval)
	defer ticker.Stop()
	for time.Now().Before(deadline) {
		select {
		case reply := <-replies:
			if reply == nil || reply.Redirect != "" {
				return Response{}, false
			}
			return Response{reply.Status, reply.Answer}, true
		case <-ticker.C:
			if !r.entry.hub.Reachable(peer, unresponsiveAfter) {
				return Response{}, false
			}
		case <-ctx.Done():
			return answerResponse(r.request.Ticket, nil), true
		}
	}
	return Response{}, false
}

// serveForward executes an operation forwarded by another entry and sends the reply.
func (e *Entry) serveForward(from string, f protocol.Forward) {
	reply := &protocol.Reply{ID: f.ID}
	request := Request{
		Operation: Operation(f.Operation), Ticket: f.Ticket, Body: f.Job,
		Wait: min(time.Duration(f.WaitMillis)*time.Millisecond, maxWait),
	}
	response, redirect := e.answerForward(request, f.TakeOver)
	reply.Status, reply.Answer, reply.Redirect = response.Status, response.Body, redirect
	e.hub.Send(from, protocol.Message{Reply: reply})
}

// answerForward executes a forwarded operation. If this entry cannot answer it, the
// returned redirect names the entry to ask instead.
func (e *Entry) answerForward(request Request, takeOver bool) (Response, protocol.Redirect) {
	ticket, err := e.coder.Decode(request.Ticket)
	shard := e.shards.find(ticket.Service)
	if err != nil || shard == nil {
		return failure(http.StatusBadRequest, caller.Failure{Kind: string(KindBadRequest), Message: "the ticket is invalid, or this entry does not serve its service"}), ""
	}
	job, err := parseJob(request)
	if err != nil {
		return invalidJob(err, request.Ticket), ""
	}
	r := operationRouter{entry: e, shard: shard, ticket: ticket, request: request, job: job, startedAt: time.Now()}
	if takeOver && ticket.Backup == r.self() {
		if response, done := r.tryBackup(e.ctx); done {
			return response, ""
		}
		return Response{}, protocol.RedirectOwner
	}
	if ticket.Owner != r.self() {
		return Response{}, protocol.RedirectBackup
	}
	if response, done := r.tryOwner(e.ctx); done {
		return response, ""
	}
	return Response{}, protocol.RedirectBackup
}
