package leaser

import (
	"encoding/json"
	"time"
)

// Kind says what a call asks for.
type Kind int

// Kinds of calls.
const (
	KindStart Kind = iota
	KindStop
	KindRenew
)

// String names the kind.
func (k Kind) String() string { return [...]string{"start", "stop", "hold"}[k] }

// Call is a call to make to the backend server. It has to be answered by
// Leaser.HandleAnswer, once.
type Call struct {
	Kind      Kind
	Task      string          // of a start and a stop
	Number    int             // of the run, of a start and a stop
	Spec      json.RawMessage // of a start
	Token     int64           // fencing token
	Until     int64           // end of the lease by the backend server's clock, ms; 0: unchanged
	AckedEnds int             // of a hold: ends up to this one may be forgotten
	Wait      time.Duration   // of a hold: how long it waits for an end

	look   bool   // a hold that finds out what runs, and renews nothing
	id     uint64 // of the run; 0 for one that this process did not start
	serial uint64
	born   int64
}

// Status is what an answer says.
type Status int

// Verdicts.
const (
	StatusDone           Status = iota // carried out
	StatusNoAnswer                     // no answer: it may be carried out, now or later
	StatusRefused                      // the backend server is unwell and has done nothing
	StatusFenced                       // the fencing token is too low
	StatusStaleRunNumber               // the run's number is too low
	StatusLeaseExpired                 // the lease would have ended already
	StatusNoCapacity                   // the backend server has no room
	StatusInvalid                      // the call cannot be carried out
	StatusWrongInstance                // another incarnation of the backend server answered
)

// String names the verdict.
func (v Status) String() string {
	return [...]string{"done", "none", "refused", "fenced", "old", "late", "no-room", "invalid", "instance"}[v]
}

// EndReason says how a run ended.
type EndReason int

// Ways in which a run ends.
const (
	EndCompleted EndReason = iota
	EndFailed              // through its own fault or the backend server's
	EndStopped             // stopped, or its lease lapsed
)

// ActiveRun is a run that the backend server lists as running.
type ActiveRun struct {
	Task   string
	Number int
}

// EndedRun is a run that the backend server lists as ended. Serial counts the
// ends of one incarnation of it, from 1.
type EndedRun struct {
	Serial int
	Task   string
	Number int
	Reason EndReason
}

// Answer answers a call. Clock is the backend server's clock in ms, Born tells
// its incarnations apart; both are 0 where the answer had none. The lists are
// those of a hold.
type Answer struct {
	Status         Status
	Clock          int64
	StartedAt      int64
	Active         []ActiveRun
	Ended          []EndedRun
	UnreadableRows int // rows of both lists that could not be read
}

// End tells that a run has ended, or surely did not start (Started is false).
type End struct {
	ID      uint64
	Reason  EndReason
	Started bool
	Took    time.Duration // from the start to the end, as seen here
}
