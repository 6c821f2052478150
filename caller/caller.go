// Package caller defines what callers and entries say to each other over HTTP:
// submissions, answers and errors, all in JSON with kebab-case names.
package caller

import "encoding/json"

// Limits on what callers send.
const (
	MaxTasks      = 270     // tasks of a job
	MaxTickets    = 1000    // tickets of one request
	MaxBodyBytes  = 4 << 20 // of a submission
	MaxPathBytes  = 1024
	RequestHeader = "X-Request-Id" // the caller's own request id, answered as it came
)

// Task is one request to a backend server: an HTTP POST of Body to Path.
type Task struct {
	Path          string          `json:"path,omitempty"` // default "/"
	Body          json.RawMessage `json:"body,omitempty"` // any JSON value
	TimeoutMillis int64           `json:"timeout-ms,omitempty"`
}

// Submission is a job of 1 to MaxTasks tasks. Idempotent allows the client
// package to submit the job anew under another ticket when it failed.
type Submission struct {
	Tasks          []Task `json:"tasks"`
	Idempotent     bool   `json:"idempotent,omitempty"`
	DeadlineMillis int64  `json:"deadline-ms,omitempty"`
}

// TicketsRequest asks for Count tickets, 1 to MaxTickets.
type TicketsRequest struct {
	Count int `json:"count"`
}

// Tickets answers a TicketsRequest. Each ticket is good for one job, submitted
// within ExpiresMillis.
type Tickets struct {
	Tickets       []string `json:"tickets"`
	ExpiresMillis int64    `json:"expires-in-ms"`
}

// TaskResult is what became of a task. State is "ran", "not-run" or "unknown".
// Status and Body are the backend server's; Error tells why there are none.
type TaskResult struct {
	Task     int             `json:"task"`
	State    string          `json:"state"`
	Agent    string          `json:"agent,omitempty"`
	Status   int             `json:"status,omitempty"`
	Body     json.RawMessage `json:"body,omitempty"`
	Encoding string          `json:"encoding,omitempty"`
	Error    string          `json:"error,omitempty"`
}

// States of an answer.
const (
	StateRunning  = "running"
	StateComplete = "complete"
	StateFailed   = "failed"
)

// Answer is the answer to a job: complete with every task's result, failed
// with what became of each task, or still running.
type Answer struct {
	Ticket     string       `json:"ticket"`
	RequestID  string       `json:"request-id,omitempty"`
	State      string       `json:"state"`
	Reason     string       `json:"reason,omitempty"`
	MayHaveRun bool         `json:"may-have-run"`
	Tasks      []TaskResult `json:"tasks,omitempty"`
}

// Failure is every error's body. MayHaveRun tells whether any task of the
// request may have run on account of it; where false, none has and none will.
type Failure struct {
	Kind       string `json:"kind"`
	Message    string `json:"message"`
	MayHaveRun bool   `json:"may-have-run"`
	Ticket     string `json:"ticket,omitempty"`
	RequestID  string `json:"request-id,omitempty"`
}
