package coordinator

import (
	"time"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/protocol"
)

// Settings bounds a Keeper. Zero fields take the defaults.
type Settings struct {
	TicketLife      time.Duration // from issue to expiry; default 60 s
	Retention       time.Duration // how long an answer is kept after the job ended; default 60 s
	Deadline        time.Duration // a job's time when the caller names none; default 60 s
	FinalizeTimeout time.Duration // longest wait for the witness's agreement; default 1 s
	SealTimeout     time.Duration // longest wait for agents to be sealed; default 700 ms
	QueueTasks      int           // tasks that may wait; default 50,000
	KeptJobs        int           // jobs kept, ended ones included; default 200,000
	KeptBytes       int           // bytes of ended jobs' results kept; default 48 MiB
	UsefulFactor    float64       // times its due time after which an answer is of no use to the caller; default: for ever
	LeaseExpiryWait time.Duration // from an agent's loss until its bound tasks surely do not run; default 2 s
	Dispatcher      dispatcher.Settings
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.TicketLife, time.Minute)
	setDefault(&s.Retention, time.Minute)
	setDefault(&s.Deadline, time.Minute)
	setDefault(&s.FinalizeTimeout, time.Second)
	setDefault(&s.SealTimeout, 700*time.Millisecond)
	setDefault(&s.QueueTasks, 50_000)
	setDefault(&s.KeptJobs, 200_000)
	setDefault(&s.KeptBytes, 48<<20)
	setDefault(&s.LeaseExpiryWait, 2*time.Second)
	return s
}

func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

// Output is a message to a process incarnation.
type Output struct {
	To      string
	Message protocol.Message
}

// JobEnd tells that a job has its final answer, or, with a nil Answer, that its
// witness has taken over and has to be asked.
type JobEnd struct {
	Owner    string
	Sequence uint64
	Answer   *Answer
}

// Decision is something worth recording: Kind is a short kebab-case name.
type Decision struct {
	Kind     string
	Owner    string
	Sequence uint64
	Task     int // -1 for the whole job
	Peer     string
	Reason   string
	Name     string // caller's own id of the job, if it has one
}

// agent is an agent incarnation with which there is a session.
type agent struct {
	name     string
	address  string
	leaving  bool
	inflight map[*job]map[int]bool
}

// Coordinator is the decision state. Set Self and Service, call Init.
type Coordinator struct {
	Settings Settings
	Self     string // entry incarnation
	Zone     string // availability zone of the entry
	Service  string

	start     time.Time
	next      uint64 // number of the next ticket
	issued    []span // not expired yet, oldest first
	expired   uint64 // tickets below have expired
	below     uint64 // tickets below are closed
	jobs      map[key]*job
	active    map[*job]bool   // not ended
	names     map[string]*job // not ended, by their callers' own ids
	ended     []*job          // oldest first
	agents    map[string]*agent
	gone      map[string]uint64 // agents no longer used: from which ticket on
	witnesses map[string]*witness
	owners    map[string]*ownerState
	closed    map[string]bool // owners that are closed
	forgotten bool            // a closed owner was forgotten for room
	kept      []*job          // ended jobs with results, oldest first
	keptBytes int
	queue     dispatcher.Dispatcher[*job]
	lapsing   map[*job]bool // wait for tasks on lost agents to end
	draining  bool
	yielded   bool // unfinished jobs were given up to their witnesses
	lastClose time.Time

	out       []Output
	endings   []JobEnd
	decisions []Decision
}

// span is a run of tickets below end that expire together.
type span struct {
	end     uint64
	expires time.Time
}

// Init prepares the Keeper.
func (k *Coordinator) Init(now time.Time) {
	k.Settings = k.Settings.withDefaults()
	k.start = now
	k.next, k.expired, k.below = 1, 1, 1
	k.jobs = make(map[key]*job)
	k.active = make(map[*job]bool)
	k.names = make(map[string]*job)
	k.agents = make(map[string]*agent)
	k.gone = make(map[string]uint64)
	k.witnesses = make(map[string]*witness)
	k.owners = make(map[string]*ownerState)
	k.closed = make(map[string]bool)
	k.lapsing = make(map[*job]bool)
	k.queue.Settings = k.Settings.Dispatcher
	k.queue.Init(now)
}

// Drain returns and clears what was decided since the last call.
func (k *Coordinator) Drain() ([]Output, []JobEnd, []Decision) {
	out, endings, decisions := k.out, k.endings, k.decisions
	k.out, k.endings, k.decisions = nil, nil, nil
	return out, endings, decisions
}

func (k *Coordinator) send(to string, m protocol.Message) {
	m.Service = k.Service
	k.out = append(k.out, Output{to, m})
}

func (k *Coordinator) decide(kind string, j *job, task int, peer, reason string) {
	k.decisions = append(k.decisions, Decision{kind, j.key.owner, j.key.sequence, task, peer, reason, j.name})
}

// Drained reports whether no job is left unfinished.
func (k *Coordinator) Drained() bool { return len(k.active) == 0 }

// BeginDrain stops the issue of tickets.
func (k *Coordinator) BeginDrain() { k.draining = true }

// Counts are the sizes of a Keeper's state.
type Counts struct {
	Jobs          int `json:"jobs"`       // kept, ended ones included
	Unfinished    int `json:"unfinished"` // not ended
	Waiting       int `json:"waiting-tasks"`
	FreeCPU       int `json:"room-cpu"`       // thousandths of a core that are free
	SuspectAgents int `json:"suspect-agents"` // paused or on trial
	Agents        int `json:"agents"`
	AckedAgents   int `json:"witnessed-agents"` // acknowledged by the witness that has the most
	BackedOwners  int `json:"witnessed-owners"` // owners that this entry witnesses
}

// Counts returns the present sizes.
func (k *Coordinator) Counts() Counts {
	c := Counts{
		Jobs: len(k.jobs), Unfinished: len(k.active), Waiting: k.queue.Waiting(),
		FreeCPU: k.queue.FreeCapacity().CPU, SuspectAgents: k.queue.SuspectAgents(), Agents: len(k.agents), BackedOwners: len(k.owners),
	}
	for _, w := range k.witnesses {
		if !w.sealed {
			c.AckedAgents = max(c.AckedAgents, len(w.acked))
		}
	}
	return c
}

// Receive takes a message of this service from a peer.
func (k *Coordinator) Receive(now time.Time, from string, m protocol.Message) {
	switch {
	case m.Outcome != nil:
		k.outcome(now, from, m.Outcome)
	case m.Load != nil:
		k.queue.Report(from, *m.Load)
		k.dispatch(now)
	case m.Announce != nil:
		k.announce(now, from, m.Announce)
	case m.Membership != nil:
		k.roster(from, m.Membership)
	case m.MembershipAck != nil:
		k.rosterAck(now, from, m.MembershipAck)
	case m.Finalize != nil:
		k.settle(from, m.Finalize)
	case m.FinalizeAck != nil:
		k.settleAck(now, from, m.FinalizeAck)
	case m.Sealed != nil:
		k.sealedBy(now, m.Sealed.Backup)
	case m.StartRecords != nil:
		k.marks(now, from, m.StartRecords)
	case m.Close != nil:
		k.close(from, m.Close)
	}
}
