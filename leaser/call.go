package leaser

import (
	"encoding/json"
	"time"
)

// Kind is the kind of a call to the backend server.
type Kind int

// Kinds of calls.
const (
	KindStart Kind = iota // starts a run
	KindStop              // stops a run
	KindRenew             // renews the leases of all runs, or reconciles
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string { return [...]string{"start", "stop", "hold"}[k] }

// Request is a request to start a run of a task.
type Request struct {
	ID        uint64 // in the run's End
	Task      string
	Number    int // run number, from 1
	Spec      json.RawMessage
	StartedAt int64     // incarnation of the backend server that is meant; 0: any
	Owner     string    // process that vouches for the run: it ends some time after the last contact with it; empty: none
	ContactAt time.Time // last contact with the owner
	Confirm   bool      // nothing is started until the incarnation is confirmed to be the present one
}

// Call is a call to make to the backend server. Its answer, or the lack of one,
// must be passed to Leaser.HandleAnswer exactly once.
type Call struct {
	Kind           Kind
	Task           string          // for a start or a stop
	Number         int             // run number, for a start or a stop
	Spec           json.RawMessage // for a start
	Token          int64           // fencing token
	LeaseEndMillis int64           // lease end by the backend server's clock, ms; 0: unchanged
	AckedEnds      int             // for a renewal: the backend server may forget ends up to this serial
	Wait           time.Duration   // for a renewal: how long it may wait for a run to end

	reconcile  bool      // a reconciliation call: it lists the runs and renews no lease
	id         uint64    // of the run; 0 for one that this process did not start, and for a renewal
	serial     uint64    // calls are numbered from 1
	startedAt  int64     // incarnation that the call was made to; 0: unknown
	increment  int64     // of a probe: by which its token is above the one of the rejected probe before
	sentAt     time.Time // of a renewal
	resurfaced bool      // a stop of a run that had been reported as ended or not started
}

// Resurfaced reports whether the call stops a run that the backend server lists as active
// though the Leaser has reported it as ended or not started.
func (c Call) Resurfaced() bool { return c.resurfaced }

// Status is the outcome of a call.
type Status int

// Statuses of calls.
const (
	StatusDone             Status = iota // the call was executed
	StatusNoAnswer                       // no answer: the call may be executed, now or later
	StatusRefused                        // the backend server is overloaded or failing and did not execute the call
	StatusFenced                         // the fencing token is too low
	StatusStaleRunNumber                 // the run number is too low
	StatusLeaseExpired                   // the lease would have expired already
	StatusNoCapacity                     // the backend server has no free capacity
	StatusInvalid                        // the backend server cannot execute the call
	StatusWrongIncarnation               // another incarnation of the backend server answered
)

// String returns the name of the status in logs and metrics.
func (s Status) String() string {
	return [...]string{"done", "none", "refused", "fenced", "old", "late", "no-room", "invalid", "instance"}[s]
}

// EndReason is the reason why a run ended.
type EndReason int

// Reasons why a run ended.
const (
	EndCompleted EndReason = iota
	EndFailed              // because of a fault of the run or of the backend server
	EndStopped             // stopped, or its lease expired
)

// ActiveRun is a run that the backend server lists as active.
type ActiveRun struct {
	Task   string
	Number int
}

// EndedRun is a run that the backend server lists as ended. Serial numbers the
// ends within one incarnation of the backend server, from 1.
type EndedRun struct {
	Serial int
	Task   string
	Number int
	Reason EndReason
}

// Answer is the answer to a call. ClockMillis is the backend server's clock, and
// StartedAt identifies its incarnation; each is 0 if the answer did not have it.
// Only the answer to a renewal has the lists.
type Answer struct {
	Status         Status
	ClockMillis    int64
	StartedAt      int64
	Active         []ActiveRun
	Ended          []EndedRun
	UnreadableRows int // rows of both lists that could not be decoded
}

// incomplete reports whether the lists may lack runs.
func (a Answer) incomplete() bool { return len(a.Ended) >= fullListLength || a.UnreadableRows > 0 }

// End reports that a run has ended, or certainly did not start (Started is false).
type End struct {
	ID        uint64
	Reason    EndReason
	Started   bool
	Lost      bool          // the backend server was lost: it crashed, or was unresponsive until the leases had expired
	Presumed  bool          // with Lost: it was unresponsive
	RanOn     bool          // an earlier End with this ID was wrong about Lost: the backend server has answered since; no other field is set
	Confirmed bool          // an earlier End with this ID was right about Lost: the backend server has restarted; no other field is set
	Duration  time.Duration // from the call of Leaser.Start until the end was noticed
}
