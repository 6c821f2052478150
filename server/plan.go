package server

import (
	"encoding/json"
	"strings"
	"time"

	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/internal/fault"
	"mustardlever.dev/mustardlever/pausedetector"
	"mustardlever.dev/mustardlever/router"
)

// PlanRequest asks where a job would go now. Either Service or Host and Path are set.
type PlanRequest struct {
	Host    string          `json:"host,omitempty"`
	Path    string          `json:"path,omitempty"`    // of the route, or of the job
	Service string          `json:"service,omitempty"` // without a route the job has no due time and priority 0
	Job     json.RawMessage `json:"job"`               // as callers submit it
}

// PlanDecision says what an entry would do with a job.
type PlanDecision string

// Decisions.
const (
	PlanStarts   PlanDecision = "starts"    // at least one of its tasks starts at once
	PlanWaits    PlanDecision = "waits"     // it is queued
	PlanJoins    PlanDecision = "joins"     // its caller waits for the unfinished job of the same name
	PlanAnswered PlanDecision = "answered"  // it ends at once with a final answer
	PlanRefused  PlanDecision = "refused"   // nothing of it runs, and its caller may submit it again
	PlanInvalid  PlanDecision = "malformed" // nothing of it runs
)

// PlanView explains where a job would go now, and why. The JSON keys of the fields of
// coordinator.Plan are beside those of PlanView.
type PlanView struct {
	Entry            string       `json:"entry"` // incarnation that answers
	Service          string       `json:"service"`
	Route            string       `json:"route,omitempty"`
	Decision         PlanDecision `json:"decision"`
	Outcome          Outcome      `json:"outcome,omitempty"` // of a job that is answered or refused
	Cause            string       `json:"cause,omitempty"`
	RetryAfterMillis int64        `json:"retry-after-ms,omitempty"` // of a refused job
	Tasks            int          `json:"tasks"`
	Priority         int          `json:"priority"`
	DueMillis        int64        `json:"due-ms,omitempty"` // time from submission until it is due; 0: none
	coordinator.Plan
}

// firstAttempts is the number of attempts that a planned job without a route has for each
// task. It must be positive for a synchronous job, and does not affect where tasks start.
const firstAttempts = 1

// Plan explains where a job would go now, without submitting it: no state of the entry
// changes. Decode decodes the job as SyncJob.Decode does; its id is empty if the path of the
// request names a route. Errors have KindNoRoute, KindUnknownService or KindBadRequest.
func (e *Entry) Plan(r PlanRequest, decode func(id string, job []byte) (coordinator.Job, error)) (PlanView, error) {
	v := PlanView{Entry: e.hub.Self.Incarnation, Service: r.Service}
	route, id, err := e.plannedRoute(r)
	if err != nil {
		return v, err
	}
	if route != nil {
		v.Service, v.Route, v.Priority = route.Service, route.Name, route.Priority
	}
	s := e.shards.find(v.Service)
	if s == nil {
		return v, &Error{Op: "plan", Kind: KindUnknownService, Detail: "the entry knows no agent of " + v.Service}
	}
	job, err := decode(id, r.Job)
	switch {
	case fault.KindOf[Kind](err) == KindUnsupported:
		return v.withReply(SyncReply{Outcome: OutcomeNotRun, Cause: err.Error()}), nil
	case err != nil:
		return v.withReply(SyncReply{Outcome: OutcomeInvalid, Cause: err.Error()}), nil
	}
	job.Restart.MaxAttempts = firstAttempts
	if route != nil {
		job.Restart.MaxAttempts = route.MaxAttempts
		job.Due, job.Priority = route.Due(job.LongestEstimate()), route.Priority
	}
	v.Tasks, v.DueMillis = len(job.Tasks), job.Due.Milliseconds()
	plan, answer, err := s.plan(job)
	v.Plan = plan
	switch {
	case err != nil || answer != nil:
		return v.withReply(syncReply(answer, err)), nil
	case plan.Joins:
		v.Decision = PlanJoins
	case plan.Starts > 0:
		v.Decision = PlanStarts
	default:
		v.Decision = PlanWaits
	}
	return v, nil
}

// plan asks the coordinator under the lock of the shard.
func (s *entryShard) plan(job coordinator.Job) (coordinator.Plan, *coordinator.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coordinator.Plan(pausedetector.Now(), job)
}

// plannedRoute returns the route of a request, nil if it names a service, and the job's id,
// empty if the path is that of the route.
func (e *Entry) plannedRoute(r PlanRequest) (route *router.Route, id string, err error) {
	switch {
	case len(r.Job) == 0:
		return nil, "", &Error{Op: "plan", Kind: KindBadRequest, Detail: "job is missing"}
	case r.Service != "" && (r.Host != "" || r.Path != ""):
		return nil, "", &Error{Op: "plan", Kind: KindBadRequest, Detail: "expected either service or host and path"}
	case r.Service != "":
		return nil, "", nil
	case r.Host == "" || r.Path == "":
		return nil, "", &Error{Op: "plan", Kind: KindBadRequest, Detail: "host and path, or service, are missing"}
	}
	route, id, ready := e.findRoute(r.Host, r.Path)
	if route == nil && !strings.HasSuffix(r.Path, "/") {
		route, id, ready = e.findRoute(r.Host, r.Path+"/")
	}
	switch {
	case !ready:
		return nil, "", &Error{Op: "plan", Kind: KindNoRoute, Detail: "the entry has not loaded a configuration yet"}
	case route == nil:
		return nil, "", &Error{Op: "plan", Kind: KindNoRoute, Detail: "no route matches host " + r.Host + " and path " + r.Path}
	}
	return route, strings.TrimPrefix(id, "/"), nil
}

// withReply returns the view of a job that gets the reply at once.
func (v PlanView) withReply(r SyncReply) PlanView {
	v.Outcome, v.Cause, v.RetryAfterMillis = r.Outcome, r.Cause, int64(r.RetryAfter/time.Millisecond)
	switch r.Outcome {
	case OutcomeOverload, OutcomeNotRun:
		v.Decision = PlanRefused
	case OutcomeInvalid:
		v.Decision = PlanInvalid
	default:
		v.Decision = PlanAnswered
	}
	return v
}
