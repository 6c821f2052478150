package server

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/internal/fault"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/router"
)

// SyncJob is a request to run a synchronous job: it has no ticket, and its caller
// waits for the answer.
type SyncJob struct {
	Host       string
	Path       string
	RequestID  string
	Deadline   time.Duration                            // how long the caller waits; 0: unspecified
	Decode     func(id string) (coordinator.Job, error) // decodes the job; id is the path without the prefix of the route
	CallerLeft func() bool                              // reports whether the caller has closed its connection; nil: only the context shows it
	Since      time.Time                                // last sign of the caller on its connection before this request; zero: not known
	Age        func() time.Duration                     // time since the request arrived, also while it was not read; nil: time since SubmitSync was called
}

// Outcome classifies the result of a synchronous job.
type Outcome string

// Outcomes of a synchronous job. With OutcomeTimeout and OutcomeUnknown, some of
// its tasks may have run.
const (
	OutcomeComplete Outcome = "complete"
	OutcomeFailed   Outcome = "failed"   // the job was cancelled, a task failed in all its attempts or was given up after losses of backend servers, or no backend server is large enough for it
	OutcomeNoRoute  Outcome = "no-route" // not run
	OutcomeInvalid  Outcome = "invalid"  // not run
	OutcomeOverload Outcome = "overload" // not run
	OutcomeNotRun   Outcome = "not-run"
	OutcomeTimeout  Outcome = "timeout"
	OutcomeUnknown  Outcome = "unknown"
)

// SyncReply is the reply to a synchronous job. RetryAfter is the delay after which
// the caller should retry a job that did not run; zero gives no advice.
type SyncReply struct {
	Outcome    Outcome
	Cause      string // explanation for the caller and the logs: an error text or Reason; empty for a complete job
	RetryAfter time.Duration
	Reason     protocol.Reason // why the job ended, if it was accepted
}

// routesTimeout is the maximum time that a job waits for the first configuration of
// an entry that has just started. A reachable store answers within a few
// milliseconds.
const routesTimeout = 300 * time.Millisecond

// awaitRoutes waits for the first configuration, up to routesTimeout. When all
// entries restart at once, callers reconnect before the configuration is loaded.
func (e *Entry) awaitRoutes(ctx context.Context) {
	if e.Routes.Table() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, routesTimeout)
	defer cancel()
	e.Routes.Await(ctx)
}

// retryAfter is the retry delay given to callers while the entry cannot accept a
// job.
const retryAfter = time.Second

// SubmitSync runs a synchronous job and returns the reply to its caller.
func (e *Entry) SubmitSync(ctx context.Context, request SyncJob) SyncReply {
	startedAt := time.Now()
	e.awaitRoutes(ctx)
	route, id, ready := e.findRoute(request.Host, request.Path)
	if !ready {
		return e.finishSync(request, nil, startedAt, SyncReply{Outcome: OutcomeNotRun, Cause: "the entry has not loaded a configuration yet", RetryAfter: retryAfter}, nil)
	}
	if route == nil {
		return e.finishSync(request, nil, startedAt, SyncReply{Outcome: OutcomeNoRoute, Cause: "no route matches the host and path"}, nil)
	}
	job, err := request.Decode(id)
	switch {
	case fault.KindOf[Kind](err) == KindUnsupported:
		return e.finishSync(request, route, startedAt, SyncReply{Outcome: OutcomeNotRun, Cause: err.Error()}, nil)
	case err != nil:
		return e.finishSync(request, route, startedAt, SyncReply{Outcome: OutcomeInvalid, Cause: err.Error()}, nil)
	}
	job.Restart = coordinator.RestartPolicy{MaxAttempts: route.MaxAttempts, FirstAttempt: firstAttemptNumber(startedAt)}
	job.Due, job.Priority = route.Due(job.LongestEstimate()), route.Priority
	e.awaitEndOfConnection(ctx, request.Since)
	remaining := request.remaining(startedAt)
	if reply, gone := request.callerGone(ctx, remaining); gone {
		return e.finishSync(request, route, startedAt, reply, nil)
	}
	job.DeadlineMillis = max(remaining.Milliseconds(), 0)
	e.Log.WithFields(logrus.Fields{
		"request-id": request.RequestID, "job": job.Name, "route": route.Name, "service": route.Service, "tasks": len(job.Tasks),
		"due-ms": job.Due.Milliseconds(), "deadline-ms": job.DeadlineMillis, "configuration": e.Routes.Version(),
	}).Info("Entry takes a job.")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if request.CallerLeft != nil {
		job.CallerLeft = request.CallerLeft
		go request.watchCaller(ctx, cancel)
	}
	answer, err := e.RunSync(ctx, route.Service, job)
	return e.finishSync(request, route, startedAt, syncReply(answer, err), answer)
}

// firstAttemptNumber returns the attempt number for the first start of a task: the
// wall-clock time in tenths of a second, so that the numbers increase across all
// entries and their restarts. If the wall clock is set back, an agent may refuse a
// start, which is then sent again with a higher number.
func firstAttemptNumber(now time.Time) int {
	const wrap = 1_000_000_000 // about three years
	return int(now.UnixMilli()/100) % wrap
}

// syncReply converts the result of RunSync into the reply to the caller.
func syncReply(a *coordinator.Answer, err error) SyncReply {
	switch {
	case err != nil && fault.KindOf[coordinator.Kind](err) == coordinator.KindOverload:
		return SyncReply{Outcome: OutcomeOverload, Cause: err.Error(), RetryAfter: retryAfter}
	case err != nil:
		return SyncReply{Outcome: OutcomeNotRun, Cause: err.Error(), RetryAfter: retryAfter}
	case a.State == coordinator.StateComplete:
		return SyncReply{Outcome: OutcomeComplete}
	case a.Reason == protocol.ReasonJobCancelled, a.Reason == protocol.ReasonTaskFailed, a.Reason == protocol.ReasonServersLost, a.Reason == protocol.ReasonNoFit:
		return SyncReply{Outcome: OutcomeFailed, Cause: string(a.Reason)}
	case !a.MayHaveRun():
		return SyncReply{Outcome: OutcomeNotRun, Cause: string(a.Reason), RetryAfter: a.RetryAfter}
	case a.Reason == protocol.ReasonDeadline:
		return SyncReply{Outcome: OutcomeTimeout, Cause: string(a.Reason)}
	}
	return SyncReply{Outcome: OutcomeUnknown, Cause: string(a.Reason)}
}

// finishSync completes the reply to a synchronous job, logs it, passes it to
// ObserveAnswer and returns it.
func (e *Entry) finishSync(request SyncJob, route *router.Route, startedAt time.Time, reply SyncReply, answer *coordinator.Answer) SyncReply {
	elapsed := time.Since(startedAt)
	fields := logrus.Fields{
		"request-id": request.RequestID, "path": request.Path, "outcome": reply.Outcome, "took-ms": elapsed.Milliseconds(),
		"deadline-ms": request.Deadline.Milliseconds(), "configuration": e.Routes.Version(),
	}
	service := ""
	if route != nil {
		service = route.Service
		fields["route"], fields["service"] = route.Name, service
	}
	if answer != nil {
		reply.Reason = answer.Reason
		fields["tasks"], fields["starts"], fields["first-sent-us"] = len(answer.Tasks), answer.Starts, answer.FirstStartDelay.Microseconds()
	}
	if e.ObserveAnswer != nil {
		e.ObserveAnswer(route, reply, elapsed)
	}
	log := e.Log.WithFields(fields)
	if reply.Outcome == OutcomeComplete {
		log.Info("Entry answered a job.")
		return reply
	}
	log.WithFields(e.serviceState(service)).
		WithFields(logrus.Fields{"cause": reply.Cause, "come-back-ms": reply.RetryAfter.Milliseconds()}).Warn("Entry answered a job.")
	return reply
}

// serviceState returns the log fields that describe the load of a service. They are
// logged with each job that did not complete.
func (e *Entry) serviceState(service string) logrus.Fields {
	s := e.shards.find(service)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.coordinator.Counts()
	return logrus.Fields{
		"waiting-tasks": counts.Waiting, "room-cpu": counts.FreeMillicores, "agents": counts.Agents, "suspect-agents": counts.SuspectAgents,
	}
}

// RunSync runs a synchronous job and waits for its answer. When ctx ends and no other
// caller waits for the job, the job is cancelled, since its answer could no longer be
// delivered. Errors have KindUnknownService or a kind of package coordinator. If
// RunSync returns an error, no task was or will be started.
func (e *Entry) RunSync(ctx context.Context, service string, job coordinator.Job) (*coordinator.Answer, error) {
	s := e.shards.find(service)
	switch {
	case s == nil && !e.Settings.AddAnnouncedServices:
		return nil, &Error{Op: "run", Kind: KindUnknownService, Detail: "no agent serves " + service}
	case s == nil: // its agents have not connected yet
		s = e.shards.getOrAdd(service, e.newShard(service, e.Settings.Coordinator))
	}
	if hasLeft := job.CallerLeft; hasLeft != nil {
		job.CallerLeft = func() bool { return ctx.Err() != nil || hasLeft() }
	}
	answers := make(chan *coordinator.Answer, 1)
	var sequence uint64
	var answer *coordinator.Answer
	var err error
	peers := e.apply(s, func(c *coordinator.Coordinator, now time.Time) {
		sequence, answer, err = c.RunSync(now, job)
		if err == nil && answer == nil {
			key := jobKey{c.Self, sequence}
			s.waiters[key] = append(s.waiters[key], answers)
		}
	})
	peers.flush(&e.hub)
	if err != nil || answer != nil {
		return answer, err
	}
	select {
	case answer = <-answers:
		return answer, nil
	case <-ctx.Done():
	}
	return e.cancelRun(s, sequence, answers), nil
}

// cancelRun stops waiting for a job. It cancels the job unless another caller waits
// for it, and returns the answer for the caller that has stopped waiting.
func (e *Entry) cancelRun(s *entryShard, sequence uint64, answers chan *coordinator.Answer) *coordinator.Answer {
	e.applyAndWake(s, func(c *coordinator.Coordinator, now time.Time) {
		key := jobKey{c.Self, sequence}
		if len(s.waiters[key]) > 1 {
			s.removeWaiterLocked(key, answers)
			answers <- &coordinator.Answer{State: coordinator.StateRunning, Reason: protocol.ReasonCancelled}
			return
		}
		c.CancelSync(now, sequence)
	})
	return <-answers
}

// PathStatus describes a path as known to an entry.
type PathStatus struct {
	NoConfiguration   bool // no configuration is loaded yet, so the other fields are unknown
	HasRoute          bool // a route matches the path
	NamesJob          bool // the path names a job
	UnstartedSyncJobs int  // synchronous jobs of the route's service without a started task
}

// LookupPath returns the status of a path. Ended synchronous jobs are not kept.
func (e *Entry) LookupPath(host, path string) PathStatus {
	route, id, ready := e.findRoute(host, path)
	if route == nil {
		return PathStatus{NoConfiguration: !ready}
	}
	status := PathStatus{HasRoute: true, NamesJob: id != ""}
	if s := e.shards.find(route.Service); s != nil {
		s.mu.Lock()
		status.UnstartedSyncJobs = s.coordinator.UnstartedSyncJobs()
		s.mu.Unlock()
	}
	return status
}

// findRoute returns the route that matches host and path, or nil, and the path
// without the prefix of the route. ready is false while no configuration is loaded.
func (e *Entry) findRoute(host, path string) (route *router.Route, id string, ready bool) {
	table := e.Routes.Table()
	if table == nil {
		return nil, "", false
	}
	route, id = table.Find(host, path)
	return route, id, true
}

// AbortSync ends all synchronous jobs with reason r, stops their tasks and notifies
// their callers.
func (e *Entry) AbortSync(r protocol.Reason) {
	for _, s := range e.shards.list() {
		e.applyAndWake(s, func(c *coordinator.Coordinator, now time.Time) { c.AbortSync(now, r) })
	}
}

// HasAgents reports whether at least one agent of any service is connected.
func (e *Entry) HasAgents() bool {
	for _, s := range e.shards.list() {
		s.mu.Lock()
		n := s.coordinator.Counts().Agents
		s.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}
