package server

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"mustardlever.dev/mustardlever/caller"
	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/ticketer"
)

// Operation is what a caller asks about a ticket.
type Operation string

// Operations.
const (
	OperationSubmit Operation = "submit"
	OperationFind   Operation = "find"
	OperationCancel Operation = "cancel"
)

const (
	silentAfter  = 900 * time.Millisecond // an owner not heard for so long is doubted
	pingTimeout  = 400 * time.Millisecond // the witness's own test of a doubted owner
	watchEvery   = 100 * time.Millisecond
	retryPause   = 50 * time.Millisecond
	noPeerGrace  = 1500 * time.Millisecond // wait for owner or witness to be met
	forwardGrace = 2 * time.Second         // beyond the wait asked for
	maxWait      = 2 * time.Minute
)

// Request is a caller's operation.
type Request struct {
	Operation Operation
	Ticket    string
	Body      []byte // of a submission
	Wait      time.Duration
}

// Response is an HTTP status and a JSON body: a caller.Answer or a
// caller.Failure.
type Response struct {
	Status int
	Body   json.RawMessage
}

// IssueTickets returns count tickets of a service and their life. It errors
// with KindUnknownService or with a kind of coordinator.
func (e *Entry) IssueTickets(service string, count int) ([]string, time.Duration, error) {
	s := e.shards.find(service)
	if s == nil {
		return nil, 0, &Error{Op: "issue", Kind: KindUnknownService, Detail: "there is no service " + service}
	}
	var tickets []ticketer.Ticket
	var err error
	e.act(s, func(k *coordinator.Coordinator, now time.Time) { tickets, err = k.Issue(now, count) })
	if err != nil {
		return nil, 0, err
	}
	list := make([]string, len(tickets))
	for i, t := range tickets {
		list[i] = e.coder.Encode(t)
	}
	return list, s.coordinator.Settings.TicketLife, nil
}

// Operate carries out a caller's operation, here or at the ticket's owner or
// witness, and returns what to answer.
func (e *Entry) Operate(ctx context.Context, q Request) Response {
	t, err := e.coder.Decode(q.Ticket)
	if err != nil {
		return failure(http.StatusBadRequest, caller.Failure{Kind: "forged-ticket", Message: "this is no ticket of this system"})
	}
	s := e.shards.find(t.Service)
	if s == nil {
		return failure(http.StatusNotFound, caller.Failure{Kind: string(KindUnknownService), Message: "there is no service " + t.Service})
	}
	in, err := parseJob(q)
	if err != nil {
		return badJob(err, q.Ticket)
	}
	q.Wait = min(q.Wait, maxWait)
	r := route{entry: e, shard: s, ticket: t, request: q, job: in, begin: time.Now()}
	return r.run(ctx)
}

// parseJob reads and checks the body of a submission.
func parseJob(q Request) (coordinator.Job, error) {
	if q.Operation != OperationSubmit {
		return coordinator.Job{}, nil
	}
	return ParseSubmission(q.Body)
}

// ParseSubmission reads a caller.Submission. It errors with KindBadRequest and
// says what is wrong and where.
func ParseSubmission(body []byte) (coordinator.Job, error) {
	bad := func(detail string) error {
		return &Error{Op: "read submission", Kind: KindBadRequest, Detail: detail}
	}
	if len(body) > caller.MaxBodyBytes {
		return coordinator.Job{}, &Error{Op: "read submission", Kind: KindTooLarge, Detail: "a submission is at most 4 MiB"}
	}
	var in caller.Submission
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		return coordinator.Job{}, bad(err.Error())
	}
	if d.More() {
		return coordinator.Job{}, bad("there is more after the JSON object")
	}
	switch n := len(in.Tasks); {
	case n == 0:
		return coordinator.Job{}, bad("a job has at least 1 task")
	case n > caller.MaxTasks:
		return coordinator.Job{}, bad("a job has at most 270 tasks")
	case in.DeadlineMillis < 0:
		return coordinator.Job{}, bad("deadline-ms is negative")
	}
	job := coordinator.Job{DeadlineMillis: in.DeadlineMillis, Digest: digest(in)}
	for _, t := range in.Tasks {
		switch {
		case t.Path != "" && t.Path[0] != '/':
			return coordinator.Job{}, bad("a task's path begins with /")
		case len(t.Path) > caller.MaxPathBytes:
			return coordinator.Job{}, bad("a task's path is at most 1024 bytes")
		case t.TimeoutMillis < 0:
			return coordinator.Job{}, bad("timeout-ms is negative")
		}
		job.Tasks = append(job.Tasks, protocol.Request{Path: t.Path, Body: t.Body, TimeoutMillis: t.TimeoutMillis})
	}
	return job, nil
}

// digest tells submissions apart. It is taken over the encoded form, so that
// white space, which a forwarding entry does not keep, makes no difference.
func digest(in caller.Submission) string {
	b, err := json.Marshal(in)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}

// badJob answers a submission that cannot be read. Nothing of it was started;
// an earlier submission under the same ticket is not touched.
func badJob(err error, ticket string) Response {
	var x *Error
	errors.As(err, &x)
	status := http.StatusBadRequest
	if x.Kind == KindTooLarge {
		status = http.StatusRequestEntityTooLarge
	}
	return failure(status, caller.Failure{Kind: string(x.Kind), Message: x.Detail, Ticket: ticket})
}

func failure(status int, f caller.Failure) Response {
	b, err := json.Marshal(f)
	if err != nil {
		panic(err) // strings and booleans always marshal
	}
	return Response{status, b}
}

// Status codes of answers: 200 complete, 202 running, 502 failed with tasks
// that may have run, 503 failed and nothing ran.
func respond(ticket string, a *coordinator.Answer) Response {
	if a == nil {
		return encode(http.StatusAccepted, caller.Answer{Ticket: ticket, State: caller.StateRunning, MayHaveRun: true})
	}
	out := caller.Answer{
		Ticket: ticket, State: string(a.State), Reason: string(a.Reason), MayHaveRun: a.MayHaveRun(),
		Tasks: make([]caller.TaskResult, len(a.Tasks)),
	}
	for i, t := range a.Tasks {
		out.Tasks[i] = taskResult(i, t)
	}
	switch {
	case a.State == coordinator.StateComplete:
		return encode(http.StatusOK, out)
	case out.MayHaveRun:
		return encode(http.StatusBadGateway, out)
	}
	return encode(http.StatusServiceUnavailable, out)
}

func taskResult(i int, t coordinator.TaskAnswer) caller.TaskResult {
	r := caller.TaskResult{Task: i, State: string(t.State)}
	if t.Agent != "" && t.State != protocol.TaskNotRun {
		r.Agent = protocol.NameOf(t.Agent)
	}
	if t.Result != nil {
		r.Status, r.Body, r.Encoding, r.Error = t.Result.Status, t.Result.Body, t.Result.Encoding, t.Result.Error
	}
	return r
}

func encode(status int, a caller.Answer) Response {
	b, err := json.Marshal(a)
	if err != nil {
		f := caller.Failure{Kind: "internal", Message: err.Error(), MayHaveRun: true, Ticket: a.Ticket}
		return failure(http.StatusInternalServerError, f)
	}
	return Response{status, b}
}
