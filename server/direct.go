package server

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/internal/fault"
	"mustardlever.dev/mustardlever/keeper"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/router"
)

// Direct is a job that comes without a ticket: its caller waits for its end.
type Direct struct {
	Host      string
	Path      string
	RequestID string
	Deadline  time.Duration                       // how long the caller waits; 0: not said
	Read      func(id string) (keeper.Job, error) // decodes the job; id is the path without the route's prefix
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

// Reply answers a direct job. ComeBack is when the caller should come back
// with a job that has not run; zero says nothing.
type Reply struct {
	Outcome  Outcome
	Cause    string
	ComeBack time.Duration
	Reason   protocol.Reason // why the job ended, if it was taken
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

// Submit runs a direct job and returns its answer.
func (e *Entry) Submit(ctx context.Context, q Direct) Reply {
	begin := time.Now()
	e.awaitRoutes(ctx)
	route, id, ready := e.find(q.Host, q.Path)
	if !ready {
		return e.answered(q, nil, begin, Reply{Outcome: OutcomeNotRun, Cause: "no configuration yet", ComeBack: comeBackLater}, nil)
	}
	if route == nil {
		return e.answered(q, nil, begin, Reply{Outcome: OutcomeNoRoute, Cause: "no such route"}, nil)
	}
	job, err := q.Read(id)
	switch {
	case fault.KindOf[Kind](err) == KindUnsupported:
		return e.answered(q, route, begin, Reply{Outcome: OutcomeNotRun, Cause: err.Error()}, nil)
	case err != nil:
		return e.answered(q, route, begin, Reply{Outcome: OutcomeInvalid, Cause: err.Error()}, nil)
	}
	job.Restarts = keeper.Restarts{Attempts: route.Attempts, First: firstNumber(begin)}
	job.Due, job.Priority = route.Due(job.Longest()), route.Priority
	job.DeadlineMillis = q.Deadline.Milliseconds()
	e.Log.WithFields(logrus.Fields{
		"request-id": q.RequestID, "job": job.Name, "route": route.Name, "service": route.Service, "tasks": len(job.Tasks),
		"due-ms": job.Due.Milliseconds(), "deadline-ms": job.DeadlineMillis, "configuration": e.Routes.Version(),
	}).Info("Entry takes a job.")
	answer, err := e.Run(ctx, route.Service, job)
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
func reply(a *keeper.Answer, err error) Reply {
	switch {
	case err != nil && fault.KindOf[keeper.Kind](err) == keeper.KindOverload:
		return Reply{Outcome: OutcomeOverload, Cause: err.Error(), ComeBack: comeBackLater}
	case err != nil:
		return Reply{Outcome: OutcomeNotRun, Cause: err.Error(), ComeBack: comeBackLater}
	case a.State == keeper.StateComplete:
		return Reply{Outcome: OutcomeComplete}
	case a.Reason == protocol.ReasonTask, a.Reason == protocol.ReasonNoFit:
		return Reply{Outcome: OutcomeFailed, Cause: string(a.Reason)}
	case !a.MayHaveRun():
		return Reply{Outcome: OutcomeNotRun, Cause: string(a.Reason), ComeBack: a.Wait}
	case a.Reason == protocol.ReasonDeadline:
		return Reply{Outcome: OutcomeTimeout, Cause: string(a.Reason)}
	}
	return Reply{Outcome: OutcomeUnknown, Cause: string(a.Reason)}
}

// answered logs and counts the answer to a direct job, and returns it.
func (e *Entry) answered(q Direct, route *router.Route, begin time.Time, r Reply, a *keeper.Answer) Reply {
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
		f["tasks"], f["starts"], f["first-sent-us"] = len(a.Tasks), a.Starts, a.ToSend.Microseconds()
	}
	if e.Answered != nil {
		e.Answered(route, r, took)
	}
	l := e.Log.WithFields(f)
	if r.Outcome == OutcomeComplete {
		l.Info("Entry answered a job.")
		return r
	}
	l.WithFields(e.inputs(service)).
		WithFields(logrus.Fields{"cause": r.Cause, "come-back-ms": r.ComeBack.Milliseconds()}).Warn("Entry answered a job.")
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
	c := s.keeper.Counts()
	return logrus.Fields{
		"waiting-tasks": c.Waiting, "room-cpu": c.RoomCPU, "agents": c.Agents, "suspect-agents": c.Suspect,
	}
}

// Run runs a job whose caller waits here for its answer. When ctx ends and no
// other caller waits for the job of that name, the job is ended too, since
// nobody could be told. It errors with KindUnknownService or with a kind of
// keeper: then nothing was or will be started.
func (e *Entry) Run(ctx context.Context, service string, job keeper.Job) (*keeper.Answer, error) {
	s := e.shards.find(service)
	switch {
	case s == nil && !e.Settings.Open:
		return nil, &Error{Op: "run", Kind: KindUnknownService, Detail: "no agent of " + service + " is known"}
	case s == nil: // its agents are not met yet
		s = e.shards.add(service, e.newShard(service, e.Settings.Keeper))
	}
	ended := make(chan *keeper.Answer, 1)
	var number uint64
	var answer *keeper.Answer
	var err error
	to := e.decide(s, func(k *keeper.Keeper, now time.Time) {
		number, answer, err = k.Run(now, job)
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
func (e *Entry) leaveRun(s *entryShard, number uint64, ended chan *keeper.Answer) *keeper.Answer {
	e.act(s, func(k *keeper.Keeper, now time.Time) {
		name := jobName{k.Self, number}
		if len(s.waiters[name]) > 1 {
			s.drop(name, ended)
			ended <- &keeper.Answer{State: keeper.StateFailed, Reason: protocol.ReasonCancelled}
			return
		}
		k.CancelRun(now, number)
	})
	return <-ended
}

// View is what an entry knows of a path.
type View struct {
	Unready bool // there is no configuration yet, so that nothing can be said
	Route   bool // a route leads there
	Job     bool // the path names a job
	Pending int  // direct jobs of the route's service without a started task
}

// Look returns what the entry knows of a path. Ended direct jobs are not kept.
func (e *Entry) Look(host, path string) View {
	route, id, ready := e.find(host, path)
	if route == nil {
		return View{Unready: !ready}
	}
	v := View{Route: true, Job: id != ""}
	if s := e.shards.find(route.Service); s != nil {
		s.mu.Lock()
		v.Pending = s.keeper.Unbegun()
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
	e.act(s, func(k *keeper.Keeper, now time.Time) { found = k.CancelName(now, id) })
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

// Abandon ends all direct jobs: their tasks are stopped and their callers told.
func (e *Entry) Abandon(r protocol.Reason) {
	for _, s := range e.shards.list() {
		e.act(s, func(k *keeper.Keeper, now time.Time) { k.AbandonRuns(now, r) })
	}
}

// Serves reports whether any agent of any service is there.
func (e *Entry) Serves() bool {
	for _, s := range e.shards.list() {
		s.mu.Lock()
		n := s.keeper.Counts().Agents
		s.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}
