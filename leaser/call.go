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
	KindHold
)

// String names the kind.
func (k Kind) String() string { return [...]string{"start", "stop", "hold"}[k] }

// Call is a call to make to the backend server. It has to be answered by
// Leaser.Answered, once.
type Call struct {
	Kind    Kind
	Task    string          // of a start and a stop
	Number  int             // of the run, of a start and a stop
	Spec    json.RawMessage // of a start
	Fence   int64           // fencing token
	Until   int64           // end of the lease by the backend server's clock, ms; 0: unchanged
	Through int             // of a hold: ends up to this one may be forgotten
	Wait    time.Duration   // of a hold: how long it waits for an end

	look   bool   // a hold that finds out what runs, and renews nothing
	id     uint64 // of the run; 0 for one that this process did not start
	serial uint64
	born   int64
}

// Verdict is what an answer says.
type Verdict int

// Verdicts.
const (
	VerdictDone     Verdict = iota // carried out
	VerdictNone                    // no answer: it may be carried out, now or later
	VerdictRefused                 // the backend server is unwell and has done nothing
	VerdictFenced                  // the fencing token is too low
	VerdictOld                     // the run's number is too low
	VerdictLate                    // the lease would have ended already
	VerdictNoRoom                  // the backend server has no room
	VerdictInvalid                 // the call cannot be carried out
	VerdictInstance                // another incarnation of the backend server answered
)

// String names the verdict.
func (v Verdict) String() string {
	return [...]string{"done", "none", "refused", "fenced", "old", "late", "no-room", "invalid", "instance"}[v]
}

// How says how a run ended.
type How int

// Ways in which a run ends.
const (
	HowDone    How = iota
	HowFailed      // through its own fault or the backend server's
	HowStopped     // stopped, or its lease lapsed
)

// Active is a run that the backend server lists as running.
type Active struct {
	Task   string
	Number int
}

// Ended is a run that the backend server lists as ended. Serial counts the
// ends of one incarnation of it, from 1.
type Ended struct {
	Serial int
	Task   string
	Number int
	How    How
}

// Answer answers a call. Clock is the backend server's clock in ms, Born tells
// its incarnations apart; both are 0 where the answer had none. The lists are
// those of a hold.
type Answer struct {
	Verdict Verdict
	Clock   int64
	Born    int64
	Active  []Active
	Ended   []Ended
	Unread  int // rows of both lists that could not be read
}

// End tells that a run has ended, or surely did not start (Started is false).
type End struct {
	ID      uint64
	How     How
	Started bool
	Took    time.Duration // from the start to the end, as seen here
}
