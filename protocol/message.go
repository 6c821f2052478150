package protocol

import (
	"encoding/json"
	"strings"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/evacuator"
	"mustardlever.dev/mustardlever/sizer"
)

// Ticket identifies one job of one service. Owner is the entry incarnation that
// owns the job, Backup the entry incarnation that takes over when the owner is
// unreachable (empty for none), and Sequence the number of the ticket among the
// owner's tickets of the service.
type Ticket struct {
	Owner    string `json:"owner,omitempty"`
	Backup   string `json:"witness,omitempty"`
	Sequence uint64 `json:"sequence"`
}

// Request is the request that a task sends to its backend server: one HTTP POST
// of Body to Path. TimeoutMillis limits its duration; zero means the service's
// default. Need is the capacity that the task occupies; the zero value means one
// slot. EstimateMillis is the expected duration, zero if unknown. Name is set for
// tasks that their caller names.
type Request struct {
	Name           string          `json:"name,omitempty"`
	Path           string          `json:"path,omitempty"`
	Body           json.RawMessage `json:"body,omitempty"`
	TimeoutMillis  int64           `json:"timeout-ms,omitempty"`
	Need           sizer.Resources `json:"need,omitzero"`
	EstimateMillis int64           `json:"estimate-ms,omitempty"`
}

// Result is the response of a backend server, or, with Status 0, an error that
// occurred when the request may already have reached the backend server.
type Result struct {
	Status      int             `json:"status,omitempty"`
	Body        json.RawMessage `json:"body,omitempty"`
	Encoding    string          `json:"encoding,omitempty"` // "base64" when the response is not text
	Error       string          `json:"error,omitempty"`
	ServeMicros int64           `json:"serve-us,omitempty"`
}

// minErrorStatus is the lowest HTTP status code of a failed request.
const minErrorStatus = 400

// OK reports whether Status is below the HTTP error statuses. Status 0, of a
// request without a response, also counts as success; whether such a task ran is
// determined separately.
func (r *Result) OK() bool { return r.Status < minErrorStatus }

// Message is a message between processes. Exactly one of the fields besides Service is
// set.
// Service is the service that the message concerns. It is empty for messages
// about processes or the configuration, and for Forward and Reply.
type Message struct {
	Service string `json:"service,omitempty"`

	Announce      *Announce      `json:"announce,omitempty"`
	Start         *Start         `json:"start,omitempty"`
	Outcome       *Outcome       `json:"outcome,omitempty"`
	Stop          *Stop          `json:"stop,omitempty"`
	Load          *Load          `json:"load,omitempty"`
	Backlog       *Backlog       `json:"backlog,omitempty"`
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

	Demand       []Demand     `json:"demand,omitempty"`
	ServerLosses []ServerLoss `json:"server-losses,omitempty"`
	Evacuations  *Evacuations `json:"evacuations,omitempty"`
	Cancels      []Cancel     `json:"cancels,omitempty"`

	Configuration        *Configuration        `json:"configuration,omitempty"`
	ConfigurationRequest *ConfigurationRequest `json:"want-configuration,omitempty"`
}

// PayloadBytes returns the size of the contents that callers, backend servers or the
// platform determine. The rest of a message is small.
func (m *Message) PayloadBytes() int {
	switch {
	case m.Start != nil:
		return len(m.Start.Request.Body)
	case m.Outcome != nil && m.Outcome.Result != nil:
		return len(m.Outcome.Result.Body)
	case m.Forward != nil:
		return len(m.Forward.Job)
	case m.Reply != nil:
		return len(m.Reply.Answer)
	case m.Configuration != nil:
		return len(m.Configuration.Document)
	}
	return 0
}

// Evacuations (between entries, and between entries and agents) tells what the sender
// knows of evacuated zones. It is the first message of a session, if the sender knows
// anything, and is sent again on each change. Earlier releases ignore it.
type Evacuations = evacuator.Report

// ServerLoss (agent to entries, and between entries) reports that a backend server
// was lost while it ran an attempt of the named task: it crashed, or did not answer
// until the leases of its runs had expired. Agent is the agent incarnation beside it.
// The message precedes the outcome of the attempt. A presumed loss is one of a backend
// server that did not answer; the same loss without Presumed follows when another
// incarnation is known. A retracted loss was none: the backend server has answered again.
// Earlier releases ignore Presumed and Retracted.
type ServerLoss struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Agent   string `json:"agent"`

	Presumed  bool `json:"presumed,omitempty"`
	Retracted bool `json:"retracted,omitempty"`
}

// Cancel (entry to entry) reports that the named job was cancelled: it ends, and later
// submissions of it are not started. At orders the cancels of one name, RemainingMillis is
// how long the cancel stays in force. A receiver that did not know it passes it on. Earlier
// releases ignore it.
type Cancel struct {
	Name            string `json:"name"`
	At              int64  `json:"at-ms"`
	RemainingMillis int64  `json:"remaining-ms"`
}

// JobName returns the name of the job of a named task: the part before the first dot.
func JobName(task string) string {
	name, _, _ := strings.Cut(task, ".")
	return name
}

// Announce (agent to entry) offers a backend server of a service. An agent that
// begins to drain announces itself once more with Draining set and refuses new
// tasks from then on. An agent announces itself only when no task that an
// earlier incarnation of it started is running any more.
type Announce struct {
	Capacity sizer.Resources `json:"capacity"`
	Labels   []string        `json:"labels,omitempty"`
	Address  string          `json:"address"`
	Draining bool            `json:"leaving,omitempty"`
	Load     Load            `json:"load"`

	Zone string `json:"-"` // of the agent, from its Identity; set by the receiver
}

// Start (entry to agent) asks the agent to start one task. Agent is the agent
// incarnation that the message is meant for. Ticket.Owner is empty when the
// sender owns the ticket. SessionBound marks a session-bound task: the agent
// stops it when the session with the sender is lost, so that it can be started
// on another agent. RequiredLabel is the label that the backend server must have: the
// agent, which knows its incarnation, refuses a start that this one does not meet.
// Earlier releases ignore it.
type Start struct {
	Agent        string  `json:"agent"`
	Ticket       Ticket  `json:"ticket"`
	Task         int     `json:"task"`
	Attempt      int     `json:"attempt,omitempty"` // increases each time the task is reassigned
	Request      Request `json:"request"`
	SessionBound bool    `json:"bound,omitempty"`

	RequiredLabel  string `json:"required-label,omitempty"`
	ExpectedMillis int64  `json:"expected-ms,omitempty"` // duration on a server of average speed, if it differs from the request's estimate

	Backlog *Backlog `json:"backlog,omitempty"` // after this start; nil: the sender does not share its demand
}

// Refusal is the reason why an agent did not start a task and never will.
type Refusal string

// Refusals of starts. RefusalUnreachable is the only one that follows an
// attempt: no connection to the backend server was established, so no data
// reached it.
const (
	RefusalSealed           Refusal = "sealed"      // a backup has sealed the owner at this agent
	RefusalWrongIncarnation Refusal = "incarnation" // the start is meant for another incarnation of the agent
	RefusalDraining         Refusal = "leaving"     // the agent is draining
	RefusalClosed           Refusal = "closed"      // the ticket is closed; the agent may have run the task and discarded its record
	RefusalNoCapacity       Refusal = "no-room"     // the agent has no capacity to start, queue or record the task
	RefusalEvacuated        Refusal = "evacuated"   // the agent's zone is evacuated
	RefusalUnreachable      Refusal = "unreachable" // no connection to the backend server was established
	RefusalLabel            Refusal = "label"       // the backend server's present incarnation lacks the required label
)

// Refusals of session-bound tasks that may have run for some time and are no
// longer running.
const (
	RefusalStopped      Refusal = "stopped" // the agent stopped the task, at its owner's request or when the session was lost
	RefusalLeaseExpired Refusal = "lapsed"  // the backend server ended the task before it was complete, or did not start it
)

// Outcome (agent to entry) answers a Start. Result is set when the task ran,
// Refusal when it did not run to completion and never will on this agent.
type Outcome struct {
	Ticket  Ticket  `json:"ticket"`
	Task    int     `json:"task"`
	Attempt int     `json:"attempt,omitempty"`
	Result  *Result `json:"result,omitempty"`
	Refusal Refusal `json:"refusal,omitempty"`
	Load    Load    `json:"load"`
}

// Load (agent to entry) reports the free capacity of the backend server.
type Load = dispatcher.Load

// Stop (entry to agent) stops session-bound tasks of a ticket that the sender
// owns: queued tasks are refused, running ones are stopped.
type Stop struct {
	Ticket Ticket `json:"ticket"`
	Tasks  []int  `json:"tasks"`
}

// Close (entry to agent, and owner to backup) closes the tickets of Owner with a
// sequence number less than Below: none of them starts another task. When a
// backup that has sealed the owner sends it, it applies only to the tickets of
// the pair Owner and Backup; Backup is empty when the owner sends it.
type Close struct {
	Owner  string `json:"owner"`
	Backup string `json:"witness,omitempty"`
	Below  uint64 `json:"below"`
}

// Seal (backup to agent) forbids further starts by Owner for tickets that name
// the sender as backup, and asks for the start records of these tickets.
type Seal struct {
	Owner string `json:"owner"`
}

// Sealed (agent to owner) reports that Backup has sealed the owner at this agent.
type Sealed struct {
	Backup string `json:"witness"`
}

// StartRecord describes a task that an agent was asked to start and did not
// refuse. Done reports whether it has a result.
type StartRecord struct {
	Sequence uint64 `json:"sequence"`
	Task     int    `json:"task"`
	Attempt  int    `json:"attempt,omitempty"`
	Done     bool   `json:"done,omitempty"`
}

// StartRecords (agent to backup) answers Seal. The agent may have discarded its
// records of tickets with a sequence number less than ClosedBelow, so tasks of
// these must not be started again.
type StartRecords struct {
	Owner       string        `json:"owner"`
	ClosedBelow uint64        `json:"closed-below,omitempty"`
	Records     []StartRecord `json:"marks,omitempty"`
}

// Fetch (backup to agent) asks for the outcomes of a ticket's tasks: at once for
// completed tasks, and on completion for those still running.
type Fetch struct {
	Ticket Ticket `json:"ticket"`
}

// Member is an agent incarnation in a membership. The owner uses it only for
// tickets with a sequence number less than Until; zero means no limit.
type Member struct {
	Agent string `json:"agent"`
	Below uint64 `json:"until,omitempty"`
}

// Membership (owner to backup) adds or updates members.
type Membership struct {
	Members []Member `json:"members"`
}

// MembershipAck (backup to owner) acknowledges members. If Sealed is set, it
// acknowledges none: the backup has taken over and acknowledges no more members
// of this owner.
type MembershipAck struct {
	Agents []string `json:"agents,omitempty"`
	Sealed bool     `json:"sealed,omitempty"`
}

// TaskState is the final state of a task, as known when its job ends.
type TaskState string

// States of a task in a job's answer.
const (
	TaskRan     TaskState = "ran"
	TaskNotRun  TaskState = "not-run"
	TaskUnknown TaskState = "unknown" // it may have run
)

// Finalize (owner to backup) makes the answer of a failed job final: the backup
// must not start a task whose state is TaskNotRun. The owner answers its caller
// only after the backup has acknowledged.
type Finalize struct {
	Ticket Ticket      `json:"ticket"`
	Reason Reason      `json:"reason"`
	States []TaskState `json:"states"`
}

// Reason is the reason why a job ended without being complete.
type Reason string

// Reasons of failed jobs.
const (
	ReasonDeadline           Reason = "deadline"        // the job missed its deadline
	ReasonCancelled          Reason = "cancelled"       // the caller cancelled the job or no longer waits for it
	ReasonJobCancelled       Reason = "job-cancelled"   // a synchronous job was cancelled by its name
	ReasonAgentLost          Reason = "agent-lost"      // an agent was lost while it had a task of the job
	ReasonNoResult           Reason = "no-result"       // a task's request was sent and got no response
	ReasonOwnerLost          Reason = "owner-lost"      // the owner was lost and may have started tasks of the job
	ReasonOverload           Reason = "overload"        // the queue is full
	ReasonTicketExpired      Reason = "ticket-expired"  // the ticket has expired or is closed
	ReasonResultsDropped     Reason = "results-dropped" // the job ran, but its results were discarded to free memory
	ReasonTaskFailed         Reason = "task-failed"     // a task failed in its last permitted attempt
	ReasonServersLost        Reason = "servers-lost"    // several backend servers were lost while they ran a task
	ReasonNoFit              Reason = "no-fit"          // no backend server is large enough for a task
	ReasonDueTimeUnreachable Reason = "hopeless"        // the job cannot meet its due time
	ReasonPaused             Reason = "suspended"       // the entry's process was paused
	ReasonStopping           Reason = "stopping"        // the entry is shutting down
	ReasonEvacuated          Reason = "evacuated"       // only servers of evacuated zones could run the job
)

// FinalizeAck (backup to owner) answers Finalize. If Sealed is set, the backup
// has taken over and the owner must not report any task as TaskNotRun.
type FinalizeAck struct {
	Ticket Ticket `json:"ticket"`
	Sealed bool   `json:"sealed,omitempty"`
}

// Forward (entry to entry) forwards a caller's operation to the ticket's owner,
// or, with TakeOver set, to its backup when the owner is unreachable.
type Forward struct {
	ID         uint64          `json:"id"`
	Operation  string          `json:"operation"`
	Ticket     string          `json:"ticket"`
	Job        json.RawMessage `json:"job,omitempty"`
	WaitMillis int64           `json:"wait-ms,omitempty"`
	TakeOver   bool            `json:"take-over,omitempty"`
}

// Redirect names the entry to which a forwarded operation must be sent instead.
type Redirect string

// Redirects.
const (
	RedirectOwner  Redirect = "owner"   // the backup reached the owner and did not take over
	RedirectBackup Redirect = "witness" // the backup has taken over
)

// Reply (entry to entry) answers Forward with an HTTP status and a JSON body, or
// with a Redirect.
type Reply struct {
	ID       uint64          `json:"id"`
	Status   int             `json:"status"`
	Answer   json.RawMessage `json:"answer,omitempty"`
	Redirect Redirect        `json:"redirect,omitempty"`
}

// Entries (entry to all peers) lists the addresses, as in Identity.Address, of
// entries that the sender knows.
type Entries struct {
	Addresses []string `json:"addresses"`
}
