package coordinator

import (
	"slices"
	"time"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/protocol"
)

// Job is a submission by a caller: 1 to 270 tasks, each of which is one request
// to a backend server of the service.
type Job struct {
	Tasks          []protocol.Request
	DeadlineMillis int64  // zero: Settings.MaxDeadline
	Digest         string // digest of the submission, distinguishes a resubmission from another job
	Name           string // name set by the caller; appears in decisions and views
	Restart        RestartPolicy
	Due            time.Duration // target time from arrival to completion; zero: none
	Priority       int           // 0 is the highest
	RequiredLabel  string        // label that an agent must have; empty: any agent
	PreferredLabel string        // label of agents close to the job's data; empty: none
	CallerLeft     func() bool   // reports whether the caller has left, which ends the job soon; nil: not known
}

// LongestEstimate returns the longest run time estimate among the tasks.
func (j *Job) LongestEstimate() time.Duration {
	longest := int64(0)
	for i := range j.Tasks {
		longest = max(longest, j.Tasks[i].EstimateMillis)
	}
	return time.Duration(longest) * time.Millisecond
}

// RestartPolicy says whether and how often tasks may be restarted. The zero
// value starts each task at most once.
type RestartPolicy struct {
	MaxAttempts  int // number of failures of one task after which the job fails; zero: no restarts
	FirstAttempt int // attempt number of the first start; each restart has a higher number
}

// State is the state of a job.
type State string

// States of jobs.
const (
	StateRunning  State = "running"
	StateComplete State = "complete"
	StateFailed   State = "failed"
)

// TaskAnswer is the final state of one task. Result is set when the task ran and
// its result is held.
type TaskAnswer struct {
	State  protocol.TaskState
	Agent  string
	Result *protocol.Result
}

// Answer is the complete answer to a job. Tasks is nil while the job runs.
type Answer struct {
	State           State
	Reason          protocol.Reason
	Tasks           []TaskAnswer
	Starts          int           // number of starts sent to agents
	FirstStartDelay time.Duration // time from the job's arrival to its first start; zero: nothing was started
	RetryAfter      time.Duration // delay after which the caller should retry a job of which nothing ran; zero: not known
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

// taskState is the state of a task as this entry knows it.
type taskState int

const (
	pending       taskState = iota // waits to be started
	sent                           // a start was sent and its outcome is outstanding
	ran                            // the result has arrived
	unknown                        // the task may have run
	leaseExpiring                  // the task may run on a lost agent and can be restarted after its lease has expired
)

// task is the state of one task of a job.
type task struct {
	state       taskState
	agent       string
	attempt     int       // incremented before each restart
	failures    int       // number of failed starts
	mayHaveRun  bool      // an earlier start may have been executed
	address     string    // of the backend server of a lost agent
	leaseExpiry time.Time // from then on a task on a lost agent does not run
	sentAt      time.Time // when the last start was sent
	stopSent    bool      // a stop was sent because the task was a straggler
	result      *protocol.Result
}

// requeueTask makes a task pending again when its last start does not run.
// mayHaveRun reports whether that start may have been executed.
func (j *job) requeueTask(i int, mayHaveRun bool) {
	t := &j.tasks[i]
	t.mayHaveRun = t.mayHaveRun || mayHaveRun
	t.state, t.agent, t.result = pending, "", nil
	t.attempt++
}

// jobKey identifies a job across all owners.
type jobKey struct {
	owner    string
	sequence uint64
}

// job is a submitted job.
type job struct {
	key         jobKey
	backup      string // empty if the ticket has none or the job was taken over
	takenOver   bool   // taken over from an unreachable owner
	digest      string
	requests    []protocol.Request // nil once the job has ended
	tasks       []task
	queueItem   dispatcher.Job[*job]
	submittedAt time.Time
	deadline    time.Time

	name           string        // name set by the caller
	callersLeft    []func() bool // Job.CallerLeft of each caller; some may have left
	pruneCallersAt int           // number of callers at which those that have left are removed
	restartable    bool          // synchronous job: its tasks are session-bound and may be restarted
	maxAttempts    int           // number of failures of one task after which the job fails
	starts         int           // number of starts sent
	firstSentAt    time.Time     // when the first start was sent
	avoidedAgents  []string      // agents on which a task of this job failed or was a straggler
	drainOnArrival time.Duration // drain time of all entries when the job arrived; zero: not known
	suspended      bool          // nothing is started while it is undecided whether a task is given up

	awaitingSeal   bool            // taken over, and the seal is not complete
	stopReason     protocol.Reason // why no further task is started; empty: tasks are started
	unknownReason  protocol.Reason // why the state of a task is unknown
	finalizeSentAt time.Time       // when the backup was asked to finalize; zero: not asked
	handedOver     bool            // the backup has the job
	heldBytes      int64           // reserved until the job is removed
	requestBytes   int64           // reserved for requests
	answer         *Answer         // set when ended
	endedAt        time.Time       // when the job ended or was handed over
}

// minPrunedCallers is the number of callers up to which those that have left are kept.
const minPrunedCallers = 16

// addCaller adds a caller that waits for the job. It removes those that have left whenever
// their number may have doubled, so that the cost of an addition stays constant.
func (j *job) addCaller(callerLeft func() bool) {
	if len(j.callersLeft) >= max(j.pruneCallersAt, minPrunedCallers) {
		j.callersLeft = slices.DeleteFunc(j.callersLeft, func(left func() bool) bool { return left != nil && left() })
		j.pruneCallersAt = 2 * len(j.callersLeft)
	}
	j.callersLeft = append(j.callersLeft, callerLeft)
}

// abandoned reports whether all callers of the job have left. A job without callers, as
// one with a ticket, is not abandoned.
func (j *job) abandoned() bool {
	waits := func(callerLeft func() bool) bool { return callerLeft == nil || !callerLeft() }
	return len(j.callersLeft) > 0 && !slices.ContainsFunc(j.callersLeft, waits)
}

// count returns the number of tasks in state s.
func (j *job) count(s taskState) int {
	n := 0
	for i := range j.tasks {
		if j.tasks[i].state == s {
			n++
		}
	}
	return n
}

// resultBytes returns the size of the job's results.
func (j *job) resultBytes() int {
	n := 0
	for i := range j.tasks {
		if r := j.tasks[i].result; r != nil {
			n += len(r.Body) + len(r.Error)
		}
	}
	return n
}

// ticket returns the job's ticket in the form in which self sends it: the owner is
// empty if it is self.
func (j *job) ticket(self string) protocol.Ticket {
	t := protocol.Ticket{Owner: j.key.owner, Backup: j.backup, Sequence: j.key.sequence}
	if j.takenOver {
		t.Backup = self
	}
	if t.Owner == self {
		t.Owner = ""
	}
	return t
}

// replaceState changes the state of every task in state old to next.
func (j *job) replaceState(old, next taskState) {
	for i := range j.tasks {
		if j.tasks[i].state == old {
			j.tasks[i].state = next
		}
	}
}

// reportedStates returns the states of all tasks as reported to callers and to
// the backup.
func (j *job) reportedStates() []protocol.TaskState {
	states := make([]protocol.TaskState, len(j.tasks))
	for i := range j.tasks {
		states[i] = j.tasks[i].reportedState()
	}
	return states
}

// reportedState returns the state to report. A pending task is not-run unless an
// earlier start of it may have been executed.
func (t *task) reportedState() protocol.TaskState {
	switch {
	case t.state == ran:
		return protocol.TaskRan
	case t.state == pending && !t.mayHaveRun:
		return protocol.TaskNotRun
	}
	return protocol.TaskUnknown
}

// newAnswer builds the final answer to a job.
func (j *job) newAnswer(s State, r protocol.Reason) *Answer {
	a := &Answer{State: s, Reason: r, Starts: j.starts, Tasks: make([]TaskAnswer, len(j.tasks))}
	if j.starts > 0 {
		a.FirstStartDelay = j.firstSentAt.Sub(j.submittedAt)
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		a.Tasks[i] = TaskAnswer{State: t.reportedState(), Agent: t.agent, Result: t.result}
	}
	return a
}
