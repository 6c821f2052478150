package coordinator

import (
	"time"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/protocol"
)

// Job is what a caller submits: 1 to 270 tasks, each one request to a backend
// server of the service.
type Job struct {
	Tasks          []protocol.Request
	DeadlineMillis int64  // zero: Settings.Deadline
	Digest         string // of the submission, to tell a resubmission from another job
	Name           string // caller's own id, for the record
	Restart        RestartPolicy
	Due            time.Duration // when it should be done, from its arrival; zero: no such time
	Priority       int           // 0 comes first
	RequiredLabel  string        // an agent must have it; empty: any agent
	PreferredLabel string        // label of agents near the job's data; empty: none
}

// LongestEstimate returns the longest estimate of the job's tasks.
func (in *Job) LongestEstimate() time.Duration {
	longest := int64(0)
	for i := range in.Tasks {
		longest = max(longest, in.Tasks[i].EstimateMillis)
	}
	return time.Duration(longest) * time.Millisecond
}

// RestartPolicy says whether and how tasks may be started again. The zero value
// starts no task twice.
type RestartPolicy struct {
	Attempts     int // how often a task may fail before its job does; zero: nothing is started again
	FirstAttempt int // number of the first start; later ones have higher numbers
}

// State is the state of a job.
type State string

// States of jobs.
const (
	StateRunning  State = "running"
	StateComplete State = "complete"
	StateFailed   State = "failed"
)

// TaskAnswer is what became of one task. Result is set when it ran and its
// result is known.
type TaskAnswer struct {
	State  protocol.TaskState
	Agent  string
	Result *protocol.Result
}

// Answer is the whole answer to a job. Tasks is nil while it runs.
type Answer struct {
	State           State
	Reason          protocol.Reason
	Tasks           []TaskAnswer
	Starts          int           // how many starts were sent
	FirstStartDelay time.Duration // from the job's arrival until the first start was sent; zero: none was
	RetryAfter      time.Duration // when to come back after an answer that nothing ran; zero: nothing is known
}

// MayHaveRun reports whether any task ran or may have run.
func (a *Answer) MayHaveRun() bool {
	for _, t := range a.Tasks {
		if t.State != protocol.TaskNotRun {
			return true
		}
	}
	return a.State == StateRunning
}

// taskState is the owner's view of a task.
type taskState int

const (
	pending taskState = iota // may be started
	sent                     // a start was sent and not answered
	ran                      // the result is here
	unknown                  // it may have run
	lapsing                  // it may run on a lost agent, and may be started again later
)

type task struct {
	state    taskState
	agent    string
	attempt  int  // grows each time the task is bound anew
	failures int  // starts that ended as failed
	begun    bool // an earlier start may have run
	lapses   time.Time
	sent     time.Time // when the last start was sent
	stopped  bool      // it stood still, and was told to stop
	result   *protocol.Result
}

// rebind makes a task pending again, whose last start does not run. Begun
// tells whether it may have run.
func (j *job) rebind(i int, begun bool) {
	t := &j.tasks[i]
	t.begun = t.begun || begun
	t.state, t.agent, t.result = pending, "", nil
	t.attempt++
}

// key names a job over all owners.
type key struct {
	owner    string
	sequence uint64
}

// job is a submitted job.
type job struct {
	key       key
	witness   string // empty for none, and for a job taken over
	adopted   bool   // taken over from a lost owner
	digest    string
	requests  []protocol.Request // nil once the job has ended
	tasks     []task
	place     dispatcher.Job[*job]
	submitted time.Time
	deadline  time.Time

	name      string    // caller's own id
	restarts  bool      // tasks are bound to this entry and may be started again
	attempts  int       // how often a task may fail
	starts    int       // sent so far
	firstSent time.Time // when the first start was sent
	avoided   []string  // agents on which a task of it failed or stood still

	waitsSeal   bool            // taken over, the seal is not complete
	stopping    protocol.Reason // no further task is started
	doubt       protocol.Reason // why a task is unknown
	settling    time.Time       // when the witness was asked to agree
	surrendered bool            // the witness has taken over
	answer      *Answer         // set when ended
	ended       time.Time
}

func (j *job) count(s taskState) int {
	n := 0
	for i := range j.tasks {
		if j.tasks[i].state == s {
			n++
		}
	}
	return n
}

// resultBytes is the size of the job's results.
func (j *job) resultBytes() int {
	n := 0
	for i := range j.tasks {
		if r := j.tasks[i].result; r != nil {
			n += len(r.Body) + len(r.Error)
		}
	}
	return n
}

// ticket returns the job's ticket as it is sent by self.
func (j *job) ticket(self string) protocol.Ticket {
	t := protocol.Ticket{Owner: j.key.owner, Backup: j.witness, Sequence: j.key.sequence}
	if j.adopted {
		t.Backup = self
	}
	if t.Owner == self {
		t.Owner = ""
	}
	return t
}

// mark sets every task in state from to state to.
func (j *job) mark(from, to taskState) {
	for i := range j.tasks {
		if j.tasks[i].state == from {
			j.tasks[i].state = to
		}
	}
}

// states returns the states to tell: what is pending is told as not run.
func (j *job) states() []protocol.TaskState {
	states := make([]protocol.TaskState, len(j.tasks))
	for i := range j.tasks {
		states[i] = j.tasks[i].told()
	}
	return states
}

func (t *task) told() protocol.TaskState {
	switch {
	case t.state == ran:
		return protocol.TaskRan
	case t.state == pending && !t.begun:
		return protocol.TaskNotRun
	}
	return protocol.TaskUnknown
}

// newAnswer builds the final answer of a job.
func (j *job) newAnswer(s State, r protocol.Reason) *Answer {
	a := &Answer{State: s, Reason: r, Starts: j.starts, Tasks: make([]TaskAnswer, len(j.tasks))}
	if j.starts > 0 {
		a.FirstStartDelay = j.firstSent.Sub(j.submitted)
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		a.Tasks[i] = TaskAnswer{State: t.told(), Agent: t.agent, Result: t.result}
	}
	return a
}
