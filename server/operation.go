package server

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"mustardlever.dev/mustardlever/caller"
	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/internal/lister"
	"mustardlever.dev/mustardlever/limiter"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/ticketer"
)

// Operation is an operation that a caller requests on a ticket.
type Operation string

// Operations.
const (
	OperationSubmit Operation = "submit"
	OperationFind   Operation = "find"
	OperationCancel Operation = "cancel"
)

// taskResultBytes is the size of an encoded caller.TaskResult beside its body and error.
const taskResultBytes = 120

const (
	unresponsiveAfter    = 900 * time.Millisecond  // time without contact after which a peer counts as unreachable
	ownerPingTimeout     = 400 * time.Millisecond  // timeout of the backup's ping of an owner suspected to be lost
	reachabilityInterval = 100 * time.Millisecond  // between checks of the peer during a forwarded operation
	retryInterval        = 50 * time.Millisecond   // between attempts to reach owner or backup
	noPeerTimeout        = 1500 * time.Millisecond // maximum wait for a connection to owner or backup
	replyTimeout         = 2 * time.Second         // wait for the reply of a peer, in addition to the requested wait
	maxWait              = 2 * time.Minute         // maximum of Request.Wait
)

// Request is an operation requested by a caller.
type Request struct {
	Operation Operation
	Ticket    string
	Body      []byte        // the submission, for OperationSubmit
	Wait      time.Duration // how long to wait for the job to end

	// ReserveAnswer reserves bytes for an answer and reports whether there is room for
	// them; nil: answers have no limit.
	ReserveAnswer func(bytes int64) bool
}

// Response is an HTTP status and a JSON body: a caller.Answer or a
// caller.Failure.
type Response struct {
	Status int
	Body   json.RawMessage
}

// IssueTickets issues count tickets for a service and returns them with their
// lifetime. Errors have KindUnknownService or a kind of package coordinator.
func (e *Entry) IssueTickets(service string, count int) ([]string, time.Duration, error) {
	s := e.shards.find(service)
	if s == nil {
		return nil, 0, &Error{Op: "issue", Kind: KindUnknownService, Detail: "there is no service " + service}
	}
	var tickets []ticketer.Ticket
	var err error
	e.applyAndWake(s, func(c *coordinator.Coordinator, now time.Time) { tickets, err = c.Issue(now, count) })
	if err != nil {
		return nil, 0, err
	}
	encoded := make([]string, len(tickets))
	for i, t := range tickets {
		encoded[i] = e.coder.Encode(t)
	}
	return encoded, s.coordinator.Settings.TicketLife, nil
}

// Execute executes an operation, on this entry or at the owner or backup of the
// ticket, and returns the response for the caller.
func (e *Entry) Execute(ctx context.Context, request Request) Response {
	ticket, err := e.coder.Decode(request.Ticket)
	if err != nil {
		return failure(http.StatusBadRequest, caller.Failure{Kind: "forged-ticket", Message: "the ticket is malformed or was not issued by this system"})
	}
	s := e.shards.find(ticket.Service)
	if s == nil {
		return failure(http.StatusNotFound, caller.Failure{Kind: string(KindUnknownService), Message: "there is no service " + ticket.Service})
	}
	job, err := parseJob(request)
	if err != nil {
		return invalidJob(err, request.Ticket)
	}
	request.Wait = min(request.Wait, maxWait)
	r := operationRouter{entry: e, shard: s, ticket: ticket, request: request, job: job, startedAt: time.Now()}
	return r.execute(ctx)
}

// parseJob parses and validates the body of a submission. For other operations it
// returns an empty job.
func parseJob(request Request) (coordinator.Job, error) {
	if request.Operation != OperationSubmit {
		return coordinator.Job{}, nil
	}
	return ParseSubmission(request.Body)
}

// ParseSubmission parses and validates a caller.Submission. Errors have
// KindBadRequest or KindTooLarge; their detail names the fault.
func ParseSubmission(body []byte) (coordinator.Job, error) {
	badRequest := func(detail string) error {
		return &Error{Op: "read submission", Kind: KindBadRequest, Detail: detail}
	}
	if len(body) > caller.MaxBodyBytes {
		return coordinator.Job{}, &Error{Op: "read submission", Kind: KindTooLarge, Detail: fmt.Sprintf("submission is %d bytes, limit %d", len(body), caller.MaxBodyBytes)}
	}
	defer limiter.BeginDecoding(len(body))()
	submission, count, err := decodeSubmission(body)
	if err != nil {
		return coordinator.Job{}, badRequest(err.Error())
	}
	switch n := count; {
	case n == 0:
		return coordinator.Job{}, badRequest("job has no tasks")
	case n > caller.MaxTasks:
		return coordinator.Job{}, badRequest(fmt.Sprintf("job has %d tasks, limit %d", n, caller.MaxTasks))
	case submission.DeadlineMillis < 0:
		return coordinator.Job{}, badRequest(fmt.Sprintf("deadline-ms is negative: %d", submission.DeadlineMillis))
	}
	job := coordinator.Job{DeadlineMillis: submission.DeadlineMillis, Digest: digest(submission)}
	for _, t := range submission.Tasks {
		switch {
		case t.Path != "" && t.Path[0] != '/':
			return coordinator.Job{}, badRequest(fmt.Sprintf("task path begins with %q, want /", t.Path[:1]))
		case len(t.Path) > caller.MaxPathBytes:
			return coordinator.Job{}, badRequest(fmt.Sprintf("task path is %d bytes, limit %d", len(t.Path), caller.MaxPathBytes))
		case t.TimeoutMillis < 0:
			return coordinator.Job{}, badRequest(fmt.Sprintf("timeout-ms is negative: %d", t.TimeoutMillis))
		}
		job.Tasks = append(job.Tasks, protocol.Request{Path: t.Path, Body: t.Body, TimeoutMillis: t.TimeoutMillis})
	}
	return job, nil
}

// decodeSubmission decodes a submission. It keeps the first caller.MaxTasks tasks and
// returns the number of all: a body of permitted size may have a million empty ones.
func decodeSubmission(body []byte) (submission caller.Submission, tasks int, err error) {
	var list struct {
		caller.Submission
		Tasks taskList `json:"tasks"`
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&list); err != nil {
		return submission, 0, err
	}
	if decoder.More() {
		return submission, 0, errors.New("unexpected data after the JSON object")
	}
	submission = list.Submission
	submission.Tasks = list.Tasks.kept
	return submission, list.Tasks.count, nil
}

// taskList is a JSON array of tasks, of which the first caller.MaxTasks are kept.
type taskList struct {
	kept  []caller.Task
	count int
}

// UnmarshalJSON decodes an array or null. Unknown fields of tasks are errors.
func (l *taskList) UnmarshalJSON(text []byte) error {
	*l = taskList{}
	return lister.Each(text, true, func(t caller.Task) {
		if l.count++; l.count <= caller.MaxTasks {
			l.kept = append(l.kept, t)
		}
	})
}

// digest returns a hash that identifies the content of a submission. It hashes the
// re-encoded form, since a forwarding entry does not preserve white space.
func digest(submission caller.Submission) string {
	encoded, err := json.Marshal(submission)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:8])
}

// invalidJob returns the response to an invalid submission. None of its tasks was
// started. An earlier submission with the same ticket is not affected.
func invalidJob(err error, ticket string) Response {
	var submissionErr *Error
	errors.As(err, &submissionErr)
	status := http.StatusBadRequest
	if submissionErr.Kind == KindTooLarge {
		status = http.StatusRequestEntityTooLarge
	}
	return failure(status, caller.Failure{Kind: string(submissionErr.Kind), Message: submissionErr.Detail, Ticket: ticket})
}

func failure(status int, f caller.Failure) Response {
	b, err := json.Marshal(f)
	if err != nil {
		panic(err) // strings and booleans always marshal
	}
	return Response{status, b}
}

// answerResponse converts an answer into a response. The status code is 200 if the
// job is complete, 202 if it is running (a is nil), 502 if it failed and tasks may
// have run, and 503 if it failed and no task ran.
func answerResponse(ticket string, a *coordinator.Answer) Response {
	if a == nil {
		return jsonResponse(http.StatusAccepted, caller.Answer{Ticket: ticket, State: caller.StateRunning, MayHaveRun: true})
	}
	body := caller.Answer{
		Ticket: ticket, State: string(a.State), Reason: string(a.Reason), MayHaveRun: a.MayHaveRun(),
		Tasks: make([]caller.TaskResult, len(a.Tasks)),
	}
	for i, t := range a.Tasks {
		body.Tasks[i] = taskResult(i, t)
	}
	switch {
	case a.State == coordinator.StateComplete:
		return jsonResponse(http.StatusOK, body)
	case body.MayHaveRun:
		return jsonResponse(http.StatusBadGateway, body)
	}
	return jsonResponse(http.StatusServiceUnavailable, body)
}

// answerBytes returns the memory that the response with an answer needs: its encoding,
// twice, and the copy with the caller's request id.
func answerBytes(a *coordinator.Answer) int64 {
	bytes := 0
	for _, t := range a.Tasks {
		bytes += taskResultBytes
		if t.Result != nil {
			bytes += len(t.Result.Body) + len(t.Result.Error)
		}
	}
	return 3 * int64(bytes)
}

func taskResult(i int, t coordinator.TaskAnswer) caller.TaskResult {
	r := caller.TaskResult{Task: i, State: string(t.State)}
	if t.Agent != "" && t.State != protocol.TaskNotRun {
		r.Agent = protocol.ProcessName(t.Agent)
	}
	if t.Result != nil {
		r.Status, r.Body, r.Encoding, r.Error = t.Result.Status, t.Result.Body, t.Result.Encoding, t.Result.Error
	}
	return r
}

func jsonResponse(status int, a caller.Answer) Response {
	b, err := json.Marshal(a)
	if err != nil {
		f := caller.Failure{Kind: "internal", Message: err.Error(), MayHaveRun: true, Ticket: a.Ticket}
		return failure(http.StatusInternalServerError, f)
	}
	return Response{status, b}
}
