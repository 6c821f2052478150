package protocol

import (
	"encoding/json"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/sizer"
)

// Ticket names one job of one service: the entry incarnation that owns it, the
// entry incarnation that witnesses it (empty for none) and its number among the
// owner's tickets of the service.
type Ticket struct {
	Owner    string `json:"owner,omitempty"`
	Backup   string `json:"witness,omitempty"`
	Sequence uint64 `json:"sequence"`
}

// Request is what a task sends to its backend server: one HTTP POST of Body to
// Path. TimeoutMillis bounds it; zero means the service's default. Need is the
// room it takes, one slot when it is nothing; EstimateMillis is how long it may
// take, zero if nobody said. Name is set for tasks whose caller names them.
type Request struct {
	Name           string          `json:"name,omitempty"`
	Path           string          `json:"path,omitempty"`
	Body           json.RawMessage `json:"body,omitempty"`
	TimeoutMillis  int64           `json:"timeout-ms,omitempty"`
	Need           sizer.Resources `json:"need,omitzero"`
	EstimateMillis int64           `json:"estimate-ms,omitempty"`
}

// Result is what a backend server answered, or the error met after the request
// may have reached it (Status 0).
type Result struct {
	Status      int             `json:"status,omitempty"`
	Body        json.RawMessage `json:"body,omitempty"`
	Encoding    string          `json:"encoding,omitempty"` // "base64" when Body is no text
	Error       string          `json:"error,omitempty"`
	ServeMicros int64           `json:"serve-us,omitempty"`
}

// badStatus is the first status of an HTTP answer that says that the request
// failed.
const badStatus = 400

// OK reports whether the status is one of success. Status 0, of a request
// that got no answer, counts as good here: whether it ran is told elsewhere.
func (r *Result) OK() bool { return r.Status < badStatus }

// Message is a message between processes: exactly one of the pointers is set.
// Service is the service it concerns, empty for those about processes.
type Message struct {
	Service string `json:"service,omitempty"`

	Announce      *Announce      `json:"announce,omitempty"`
	Start         *Start         `json:"start,omitempty"`
	Outcome       *Outcome       `json:"outcome,omitempty"`
	Stop          *Stop          `json:"stop,omitempty"`
	Load          *Load          `json:"load,omitempty"`
	Close         *Close         `json:"close,omitempty"`
	Seal          *Seal          `json:"seal,omitempty"`
	Sealed        *Sealed        `json:"sealed,omitempty"`
	StartRecords  *StartRecords  `json:"marks,omitempty"`
	Fetch         *Fetch         `json:"fetch,omitempty"`
	Membership    *Membership    `json:"roster,omitempty"`
	MembershipAck *MembershipAck `json:"roster-ack,omitempty"`
	Finalize      *Finalize      `json:"settle,omitempty"`
	FinalizeAck   *FinalizeAck   `json:"settle-ack,omitempty"`
	Forward       *Forward       `json:"forward,omitempty"`
	Reply         *Reply         `json:"reply,omitempty"`
	Entries       *Entries       `json:"entries,omitempty"`

	Configuration        *Configuration        `json:"configuration,omitempty"`
	ConfigurationRequest *ConfigurationRequest `json:"want-configuration,omitempty"`
}

// Configuration (entry to entry) tells which version of the configuration is in
// force. The document, as it was read from the platform, goes only to those who
// asked for it.
type Configuration struct {
	Version  int64  `json:"version"`
	Document []byte `json:"document,omitempty"`
}

// ConfigurationRequest (entry to entry) asks for the configuration in force.
type ConfigurationRequest struct{}

// Announce (agent to entry) offers a backend server of a service. A leaving
// agent announces itself once more with Leaving set and accepts no start of a
// new task from then on. An agent announces itself only when nothing that an
// earlier incarnation of it started runs any more.
type Announce struct {
	Capacity sizer.Resources `json:"capacity"`
	Labels   []string        `json:"labels,omitempty"`
	Address  string          `json:"address"`
	Draining bool            `json:"leaving,omitempty"`
	Load     Load            `json:"load"`
}

// Start (entry to agent) asks for one task to be started. Agent is the agent
// incarnation meant. Ticket.Owner is empty when the sender owns the ticket. A
// bound task ends with its owner: the agent stops it when the session with the
// sender is given up, so that it can be started elsewhere.
type Start struct {
	Agent        string  `json:"agent"`
	Ticket       Ticket  `json:"ticket"`
	Task         int     `json:"task"`
	Attempt      int     `json:"attempt,omitempty"` // grows each time the task is bound again
	Request      Request `json:"request"`
	SessionBound bool    `json:"bound,omitempty"`
}

// Refusal says why an agent did not start a task and never will.
type Refusal string

// Refusals. RefusalUnreachable is the only one after an attempt: the backend
// server refused the connection, so that no byte reached it.
const (
	RefusalSealed      Refusal = "sealed"
	RefusalIncarnation Refusal = "incarnation"
	RefusalDraining    Refusal = "leaving"
	RefusalClosed      Refusal = "closed"
	RefusalNoCapacity  Refusal = "no-room"
	RefusalUnreachable Refusal = "unreachable"
)

// Refusals of bound tasks that may have run for a while, and do not run any
// more.
const (
	RefusalStopped      Refusal = "stopped" // its owner asked for it
	RefusalLeaseExpired Refusal = "lapsed"  // the backend server ended it before it was done
)

// Outcome (agent to entry) answers a start: Result when the task ran, Refusal
// when it did not and never will on this agent.
type Outcome struct {
	Ticket  Ticket  `json:"ticket"`
	Task    int     `json:"task"`
	Attempt int     `json:"attempt,omitempty"`
	Result  *Result `json:"result,omitempty"`
	Refusal Refusal `json:"refusal,omitempty"`
	Load    Load    `json:"load"`
}

// Load (agent to entry) tells the backend server's room.
type Load = dispatcher.Load

// Stop (entry to agent) ends bound tasks of a ticket of the sender: those that
// wait are refused, those that run are stopped.
type Stop struct {
	Ticket Ticket `json:"ticket"`
	Tasks  []int  `json:"tasks"`
}

// Close (entry to agent and to witness) says that no ticket of Owner below
// Below can start anything any more. A witness that has sealed closes its own
// pair (Owner, Witness) only; Witness is empty when the owner itself closes.
type Close struct {
	Owner  string `json:"owner"`
	Backup string `json:"witness,omitempty"`
	Below  uint64 `json:"below"`
}

// Seal (witness to agent) forbids further starts by Owner for tickets of this
// witness, and asks for marks.
type Seal struct {
	Owner string `json:"owner"`
}

// Sealed (agent to owner) tells that a witness has sealed it here.
type Sealed struct {
	Backup string `json:"witness"`
}

// StartRecord is a task that an agent started. Done tells that its result is there.
type StartRecord struct {
	Sequence uint64 `json:"sequence"`
	Task     int    `json:"task"`
	Attempt  int    `json:"attempt,omitempty"`
	Done     bool   `json:"done,omitempty"`
}

// StartRecords (agent to witness) answers Seal. Tickets below ClosedBelow may have
// been forgotten and must not be started again.
type StartRecords struct {
	Owner       string        `json:"owner"`
	ClosedBelow uint64        `json:"closed-below,omitempty"`
	Records     []StartRecord `json:"marks,omitempty"`
}

// Fetch (witness to agent) asks for the outcomes of a ticket's tasks, now for
// those done and later for those that still run.
type Fetch struct {
	Ticket Ticket `json:"ticket"`
}

// Member is an agent incarnation on a roster. The owner uses it for tickets
// numbered below Until (zero: no end).
type Member struct {
	Agent string `json:"agent"`
	Until uint64 `json:"until,omitempty"`
}

// Membership (owner to witness) adds or changes members.
type Membership struct {
	Members []Member `json:"members"`
}

// MembershipAck (witness to owner) acknowledges members. Sealed says instead that
// the witness has taken over, and acknowledges nothing any more.
type MembershipAck struct {
	Agents []string `json:"agents,omitempty"`
	Sealed bool     `json:"sealed,omitempty"`
}

// TaskState is what is known of a task when its job ends.
type TaskState string

// States of a task in an answer.
const (
	TaskRan     TaskState = "ran"
	TaskNotRun  TaskState = "not-run"
	TaskUnknown TaskState = "unknown"
)

// Finalize (owner to witness) makes a failed job's answer final: no task whose
// state is not-run may be started by the witness. The owner answers its caller
// only after the acknowledgement.
type Finalize struct {
	Ticket Ticket      `json:"ticket"`
	Reason Reason      `json:"reason"`
	States []TaskState `json:"states"`
}

// Reason says why a job ended without being complete.
type Reason string

// Reasons of failed jobs.
const (
	ReasonDeadline           Reason = "deadline"        // not finished in time
	ReasonCancelled          Reason = "cancelled"       // the caller cancelled it
	ReasonAgentLost          Reason = "agent-lost"      // an agent was lost with a task of it
	ReasonNoResult           Reason = "no-result"       // a task was sent and not answered
	ReasonOwnerLost          Reason = "owner-lost"      // what the owner did cannot be known
	ReasonOverload           Reason = "overload"        // the queue is full
	ReasonTicketExpired      Reason = "ticket-expired"  // the ticket's time is over
	ReasonResultsDropped     Reason = "results-dropped" // it ran, but its results were dropped for room
	ReasonTaskFailed         Reason = "task-failed"     // a task failed as often as it may
	ReasonNoFit              Reason = "no-fit"          // no backend server is large enough
	ReasonDueTimeUnreachable Reason = "hopeless"        // it cannot be done in its time
	ReasonSuspended          Reason = "suspended"       // the entry did not run for a while
	ReasonStopping           Reason = "stopping"        // the entry stops
)

// FinalizeAck (witness to owner) answers Settle; Sealed means the witness has
// taken over and nothing may be called not-run.
type FinalizeAck struct {
	Ticket Ticket `json:"ticket"`
	Sealed bool   `json:"sealed,omitempty"`
}

// Forward (entry to entry) passes a caller's operation on to the ticket's
// owner, or to its witness (TakeOver) when the owner cannot be reached.
type Forward struct {
	ID         uint64          `json:"id"`
	Operation  string          `json:"operation"`
	Ticket     string          `json:"ticket"`
	Job        json.RawMessage `json:"job,omitempty"`
	WaitMillis int64           `json:"wait-ms,omitempty"`
	TakeOver   bool            `json:"take-over,omitempty"`
}

// Redirect says that a forwarded operation has to be put to another entry.
type Redirect string

// Redirects.
const (
	RedirectOwner  Redirect = "owner"   // the witness reached the owner and did not take over
	RedirectBackup Redirect = "witness" // the witness has taken over
)

// Reply (entry to entry) answers Forward with an HTTP status and a JSON answer,
// or with a Redirect.
type Reply struct {
	ID       uint64          `json:"id"`
	Status   int             `json:"status"`
	Answer   json.RawMessage `json:"answer,omitempty"`
	Redirect Redirect        `json:"redirect,omitempty"`
}

// Entries (entry to all) lists link addresses of entries the sender knows.
type Entries struct {
	Addresses []string `json:"addresses"`
}
