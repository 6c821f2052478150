// Package caller defines the HTTP messages between callers and entries: submissions,
// answers and errors, encoded as JSON with kebab-case names.
package caller

import "encoding/json"

// Limits of requests from callers, and the header with their request id.
const (
	MaxTasks        = 270     // tasks per job
	MaxTickets      = 1000    // tickets per request
	MaxBodyBytes    = 4 << 20 // body of a submission
	MaxPathBytes    = 1024
	RequestIDHeader = "X-Request-Id" // request id chosen by the caller, returned unchanged in the answer
)

// Task is one request to a backend server: an HTTP POST of Body to Path.
type Task struct {
	Path          string          `json:"path,omitempty"` // default "/"
	Body          json.RawMessage `json:"body,omitempty"` // any JSON value
	TimeoutMillis int64           `json:"timeout-ms,omitempty"`
}

// Submission is a job of 1 to MaxTasks tasks. Idempotent allows package submitter to
// submit a failed job once more under a new ticket.
type Submission struct {
	Tasks          []Task `json:"tasks"`
	Idempotent     bool   `json:"idempotent,omitempty"`
	DeadlineMillis int64  `json:"deadline-ms,omitempty"`
}

// TicketsRequest asks for Count tickets, 1 to MaxTickets.
type TicketsRequest struct {
	Count int `json:"count"`
}

// Tickets is the answer to a TicketsRequest. Each ticket is valid for one job, which
// must be submitted within ExpiresMillis.
type Tickets struct {
	Tickets       []string `json:"tickets"`
	ExpiresMillis int64    `json:"expires-in-ms"`
}

// TaskResult is the result of a task. State is "ran", "not-run" or "unknown". Status
// and Body are from the backend server's response. Error says why there is no
// response.
type TaskResult struct {
	Task     int             `json:"task"`
	State    string          `json:"state"`
	Agent    string          `json:"agent,omitempty"`
	Status   int             `json:"status,omitempty"`
	Body     json.RawMessage `json:"body,omitempty"`
	Encoding string          `json:"encoding,omitempty"` // of Body; "base64" when the response is not text
	Error    string          `json:"error,omitempty"`
}

// States of an answer.
const (
	StateRunning  = "running"
	StateComplete = "complete"
	StateFailed   = "failed"
)

// Answer is the answer to a job: complete or failed, both with the result of every
// task, or still running.
type Answer struct {
	Ticket     string       `json:"ticket"`
	RequestID  string       `json:"request-id,omitempty"`
	State      string       `json:"state"`
	Reason     string       `json:"reason,omitempty"`
	MayHaveRun bool         `json:"may-have-run"`
	Tasks      []TaskResult `json:"tasks,omitempty"`
}

// Failure is the body of every error response. MayHaveRun reports whether the request
// may have caused a task to run. If it is false, no task of the request has run or
// will run.
type Failure struct {
	Kind       string `json:"kind"`
	Message    string `json:"message"`
	MayHaveRun bool   `json:"may-have-run"`
	Ticket     string `json:"ticket,omitempty"`
	RequestID  string `json:"request-id,omitempty"`
}
