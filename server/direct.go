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

// SyncJob is a job that comes without a ticket: its caller waits for its end.
type SyncJob struct {
	Host      string
	Path      string
	RequestID string
	Deadline  time.Duration                            // how long the caller waits; 0: not said
	Read      func(id string) (coordinator.Job, error) // decodes the job; id is the path without the route's prefix
}

// Outcome is what became of a direct job.
type Outcome string

// Outcomes. After the last two the job may have run.
const (
	OutcomeComplete Outcome = "complete"
	OutcomeFailed   Outcome = "failed"   // a task failed as often as it may
	OutcomeNoRoute  Outcome = "no-route" // not run
	OutcomeInvalid  Outcome = "invalid"  // not run
	OutcomeOverload Outcome = "overload" // not run
	OutcomeNotRun   Outcome = "not-run"
	OutcomeTimeout  Outcome = "timeout"
	OutcomeUnknown  Outcome = "unknown"
)

// SyncReply answers a direct job. RetryAfter is when the caller should come back
// with a job that has not run; zero says nothing.
type SyncReply struct {
	Outcome    Outcome
	Cause      string
	RetryAfter time.Duration
	Reason     protocol.Reason // why the job ended, if it was taken
}

// routesPatience is how long a job waits for the first configuration of an entry
// that has just started: the store answers within some ms, or does not.
const routesPatience = 300 * time.Millisecond

// awaitRoutes waits for the first configuration. When all entries begin at once
// their callers are back before it is read.
func (e *Entry) awaitRoutes(ctx context.Context) {
	if e.Routes.Table() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, routesPatience)
	defer cancel()
	e.Routes.Await(ctx)
}

// comeBackLater is when to come back to an entry that cannot serve yet.
const comeBackLater = time.Second

// SubmitSync runs a direct job and returns its answer.
func (e *Entry) SubmitSync(ctx context.Context, q SyncJob) SyncReply {
	begin := time.Now()
	e.awaitRoutes(ctx)
	route, id, ready := e.find(q.Host, q.Path)
	if !ready {
		return e.answered(q, nil, begin, SyncReply{Outcome: OutcomeNotRun, Cause: "no configuration yet", RetryAfter: comeBackLater}, nil)
	}
	if route == nil {
		return e.answered(q, nil, begin, SyncReply{Outcome: OutcomeNoRoute, Cause: "no such route"}, nil)
	}
	job, err := q.Read(id)
	switch {
	case fault.KindOf[Kind](err) == KindUnsupported:
		return e.answered(q, route, begin, SyncReply{Outcome: OutcomeNotRun, Cause: err.Error()}, nil)
	case err != nil:
		return e.answered(q, route, begin, SyncReply{Outcome: OutcomeInvalid, Cause: err.Error()}, nil)
	}
	job.Restart = coordinator.RestartPolicy{Attempts: route.Attempts, FirstAttempt: firstNumber(begin)}
	job.Due, job.Priority = route.Due(job.LongestEstimate()), route.Priority
	job.DeadlineMillis = q.Deadline.Milliseconds()
	e.Log.WithFields(logrus.Fields{
		"request-id": q.RequestID, "job": job.Name, "route": route.Name, "service": route.Service, "tasks": len(job.Tasks),
		"due-ms": job.Due.Milliseconds(), "deadline-ms": job.DeadlineMillis, "configuration": e.Routes.Version(),
	}).Info("Entry takes a job.")
	answer, err := e.RunSync(ctx, route.Service, job)
	return e.answered(q, route, begin, reply(answer, err), answer)
}

// firstNumber is the number of a task's first start: it rises over all entries
// and their restarts, by a tenth of a second. A step back of the wall clock
// costs a start that is refused and sent again with a higher number.
func firstNumber(now time.Time) int {
	const wrap = 1_000_000_000 // some three years
	return int(now.UnixMilli()/100) % wrap
}

// reply says what an answer means to the caller.
func reply(a *coordinator.Answer, err error) SyncReply {
	switch {
	case err != nil && fault.KindOf[coordinator.Kind](err) == coordinator.KindOverload:
		return SyncReply{Outcome: OutcomeOverload, Cause: err.Error(), RetryAfter: comeBackLater}
	case err != nil:
		return SyncReply{Outcome: OutcomeNotRun, Cause: err.Error(), RetryAfter: comeBackLater}
	case a.State == coordinator.StateComplete:
		return SyncReply{Outcome: OutcomeComplete}
	case a.Reason == protocol.ReasonTaskFailed, a.Reason == protocol.ReasonNoFit:
		return SyncReply{Outcome: OutcomeFailed, Cause: string(a.Reason)}
	case !a.MayHaveRun():
		return SyncReply{Outcome: OutcomeNotRun, Cause: string(a.Reason), RetryAfter: a.RetryAfter}
	case a.Reason == protocol.ReasonDeadline:
		return SyncReply{Outcome: OutcomeTimeout, Cause: string(a.Reason)}
	}
	return SyncReply{Outcome: OutcomeUnknown, Cause: string(a.Reason)}
}

// answered logs and counts the answer to a direct job, and returns it.
func (e *Entry) answered(q SyncJob, route *router.Route, begin time.Time, r SyncReply, a *coordinator.Answer) SyncReply {
	took := time.Since(begin)
	f := logrus.Fields{
		"request-id": q.RequestID, "path": q.Path, "outcome": r.Outcome, "took-ms": took.Milliseconds(),
		"deadline-ms": q.Deadline.Milliseconds(), "configuration": e.Routes.Version(),
	}
	service := ""
	if route != nil {
		service = route.Service
		f["route"], f["service"] = route.Name, service
	}
	if a != nil {
		r.Reason = a.Reason
		f["tasks"], f["starts"], f["first-sent-us"] = len(a.Tasks), a.Starts, a.FirstStartDelay.Microseconds()
	}
	if e.ObserveAnswer != nil {
		e.ObserveAnswer(route, r, took)
	}
	l := e.Log.WithFields(f)
	if r.Outcome == OutcomeComplete {
		l.Info("Entry answered a job.")
		return r
	}
	l.WithFields(e.inputs(service)).
		WithFields(logrus.Fields{"cause": r.Cause, "come-back-ms": r.RetryAfter.Milliseconds()}).Warn("Entry answered a job.")
	return r
}

// inputs is what the entry knows of a service when a job of it is not served.
func (e *Entry) inputs(service string) logrus.Fields {
	s := e.shards.find(service)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.coordinator.Counts()
	return logrus.Fields{
		"waiting-tasks": c.Waiting, "room-cpu": c.FreeCPU, "agents": c.Agents, "suspect-agents": c.SuspectAgents,
	}
}

// RunSync runs a job whose caller waits here for its answer. When ctx ends and no
// other caller waits for the job of that name, the job is ended too, since
// nobody could be told. It errors with KindUnknownService or with a kind of
// coordinator: then nothing was or will be started.
func (e *Entry) RunSync(ctx context.Context, service string, job coordinator.Job) (*coordinator.Answer, error) {
	s := e.shards.find(service)
	switch {
	case s == nil && !e.Settings.Open:
		return nil, &Error{Op: "run", Kind: KindUnknownService, Detail: "no agent of " + service + " is known"}
	case s == nil: // its agents are not met yet
		s = e.shards.add(service, e.newShard(service, e.Settings.Coordinator))
	}
	ended := make(chan *coordinator.Answer, 1)
	var number uint64
	var answer *coordinator.Answer
	var err error
	to := e.decide(s, func(k *coordinator.Coordinator, now time.Time) {
		number, answer, err = k.RunSync(now, job)
		if err == nil && answer == nil {
			name := jobName{k.Self, number}
			s.waiters[name] = append(s.waiters[name], ended)
		}
	})
	to.flush(&e.hub)
	if err != nil || answer != nil {
		return answer, err
	}
	select {
	case answer = <-ended:
		return answer, nil
	case <-ctx.Done():
	}
	return e.leaveRun(s, number, ended), nil
}

// leaveRun ends a job whose last waiting caller has left.
func (e *Entry) leaveRun(s *entryShard, number uint64, ended chan *coordinator.Answer) *coordinator.Answer {
	e.act(s, func(k *coordinator.Coordinator, now time.Time) {
		name := jobName{k.Self, number}
		if len(s.waiters[name]) > 1 {
			s.drop(name, ended)
			ended <- &coordinator.Answer{State: coordinator.StateFailed, Reason: protocol.ReasonCancelled}
			return
		}
		k.CancelSync(now, number)
	})
	return <-ended
}

// LookupPath is what an entry knows of a path.
type PathStatus struct {
	Unready bool // there is no configuration yet, so that nothing can be said
	Route   bool // a route leads there
	Job     bool // the path names a job
	Pending int  // direct jobs of the route's service without a started task
}

// LookupPath returns what the entry knows of a path. Ended direct jobs are not kept.
func (e *Entry) LookupPath(host, path string) PathStatus {
	route, id, ready := e.find(host, path)
	if route == nil {
		return PathStatus{Unready: !ready}
	}
	v := PathStatus{Route: true, Job: id != ""}
	if s := e.shards.find(route.Service); s != nil {
		s.mu.Lock()
		v.Pending = s.coordinator.UnstartedSyncJobs()
		s.mu.Unlock()
	}
	return v
}

// Cancel ends the direct job that the path names and reports whether it ran
// here.
func (e *Entry) Cancel(host, path string) bool {
	route, id, _ := e.find(host, path)
	if route == nil {
		return false
	}
	s := e.shards.find(route.Service)
	if s == nil {
		return false
	}
	found := false
	e.act(s, func(k *coordinator.Coordinator, now time.Time) { found = k.CancelByName(now, id) })
	return found
}

// find returns the route of a path and the rest of the path; ready is false
// while there is no configuration.
func (e *Entry) find(host, path string) (route *router.Route, id string, ready bool) {
	t := e.Routes.Table()
	if t == nil {
		return nil, "", false
	}
	route, id = t.Find(host, path)
	return route, id, true
}

// AbortSync ends all direct jobs: their tasks are stopped and their callers told.
func (e *Entry) AbortSync(r protocol.Reason) {
	for _, s := range e.shards.list() {
		e.act(s, func(k *coordinator.Coordinator, now time.Time) { k.AbortSync(now, r) })
	}
}

// Serves reports whether any agent of any service is there.
func (e *Entry) Serves() bool {
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
