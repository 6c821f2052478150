package coordinator

import (
	"time"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/evacuator"
	"mustardlever.dev/mustardlever/protocol"
)

// Settings configures a Coordinator. Zero fields take the defaults.
type Settings struct {
	TicketLife      time.Duration // time from issue to expiry; default 60 s
	Retention       time.Duration // how long an answer is kept after its job has ended; default 60 s
	MaxDeadline     time.Duration // maximum run time of a job, and the default when the caller sets none; default 60 s
	FinalizeTimeout time.Duration // maximum wait for the backup to acknowledge a final state; default 1 s
	SealTimeout     time.Duration // maximum wait for agents to answer a seal; default 700 ms
	MaxQueuedTasks  int           // maximum number of waiting tasks; default 50,000
	MaxJobs         int           // maximum number of jobs held, including ended ones; default 200,000
	MaxResultBytes  int           // maximum size of the results of ended jobs, in bytes; default 48 MiB
	UsefulFactor    float64       // multiple of the time until due after which the caller has no use for an answer; default: no limit
	LeaseExpiryWait time.Duration // time after the loss of an agent by which its session-bound tasks have stopped; default 2 s
	ShareAbove      int           // number of known entries above which the demand of all decides; default 6
	DivideCapacity  bool          // while the demand of all decides, report the backlog to the agents, which divide their free capacity by it
	ShedLoad        bool          // while the demand of all decides, refuse a share of the arriving jobs under overload
	Dispatcher      dispatcher.Settings
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.TicketLife, time.Minute)
	setDefault(&s.Retention, time.Minute)
	setDefault(&s.MaxDeadline, time.Minute)
	setDefault(&s.FinalizeTimeout, time.Second)
	setDefault(&s.SealTimeout, 700*time.Millisecond)
	setDefault(&s.MaxQueuedTasks, 50_000)
	setDefault(&s.MaxJobs, 200_000)
	setDefault(&s.MaxResultBytes, 48<<20)
	setDefault(&s.LeaseExpiryWait, 2*time.Second)
	setDefault(&s.ShareAbove, 6)
	return s
}

func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

// Output is a message to send to a process incarnation.
type Output struct {
	To      string
	Message protocol.Message
}

// JobEnd reports the final answer of a job. A nil Answer means that the job was
// handed over to the backup, which has to be asked for the answer.
type JobEnd struct {
	Owner    string
	Sequence uint64
	Answer   *Answer
}

// Decision records one decision about a job or task. Kind is a short kebab-case
// name.
type Decision struct {
	Kind     string
	Owner    string
	Sequence uint64
	Task     int // -1 for the whole job
	Peer     string
	Reason   string
	Name     string // job name set by the caller, if any
}

// agent is a connected agent incarnation.
type agent struct {
	name     string
	address  string
	zone     string
	draining bool
	inFlight map[*job]map[int]bool // tasks sent to it whose outcome is outstanding
}

// Coordinator holds the decision state of one service. Self, Zone and Service
// must be set before Init is called.
type Coordinator struct {
	Settings Settings
	Self     string // incarnation of this entry
	Zone     string // availability zone of this entry
	Service  string

	// ConnectedEntries returns the incarnations of the other entries with an open
	// session; nil: there are none.
	ConnectedEntries func() []string

	// IsCancelled reports whether the job with the given name was cancelled: it is not
	// started. nil: none is.
	IsCancelled func(name string) bool
	// SharesDemand reports whether entries exchange their demand now; nil: never. They
	// act by it while more than Settings.ShareAbove entries are known from it.
	SharesDemand func() bool

	// ReserveMemory reserves bytes for a job with a ticket and reports whether there is room
	// for them; ReleaseMemory returns them once they are free. nil: jobs have no such limit.
	ReserveMemory func(bytes int64) bool
	ReleaseMemory func(bytes int64)

	startedAt          time.Time
	nextSequence       uint64          // sequence number of the next ticket
	issued             []ticketRange   // tickets that have not expired, oldest first
	expiredBelow       uint64          // all tickets below this number have expired
	closedBelow        uint64          // all tickets below this number are closed
	jobs               map[jobKey]*job // all jobs held, including ended ones
	active             map[*job]bool   // jobs that have not ended
	byName             map[string]*job // jobs that have not ended, by the names that their callers set
	stopped            map[jobKey]*stoppedJob
	stoppedNames       map[string]int // number of jobs in stopped, by name
	ended              []*job         // ended jobs, oldest first
	agents             map[string]*agent
	lostAgents         map[string]uint64 // lost agents: the first ticket for which each is not used
	backups            map[string]*backupState
	owners             map[string]*ownerState
	closedOwners       map[string]bool // owners whose jobs are no longer taken over
	closedOwnerEvicted bool            // an owner was removed from closedOwners at its size limit
	withResults        []*job          // ended jobs whose results are held, oldest first
	resultBytes        int             // total size of the results of withResults
	queue              dispatcher.Dispatcher[*job]
	losses             lossTable
	leaseExpiring      map[*job]bool // jobs that wait for tasks on lost agents to stop
	evacuations        *evacuator.State
	sharing            bool // the demand of all entries decides, as of the last Tick
	demand             sharedDemand
	draining           bool
	handedOver         bool      // unfinished jobs were handed over to their backups
	lastClosedAt       time.Time // when closedBelow was last updated

	outputs   []Output
	jobEnds   []JobEnd
	decisions []Decision
}

// ticketRangeSpan is the longest time between the expiries of the tickets of a range. The
// first of them are accepted for that much longer than their callers were told.
const ticketRangeSpan = 100 * time.Millisecond

// ticketRange is a run of consecutive tickets that expire together. End is the number
// after the last one.
type ticketRange struct {
	end     uint64
	first   time.Time // when the first of them was to expire
	expires time.Time // when the last of them expires, and with it all
}

// Init prepares the Coordinator for use.
func (c *Coordinator) Init(now time.Time) {
	c.Settings = c.Settings.withDefaults()
	c.startedAt = now
	c.nextSequence, c.expiredBelow, c.closedBelow = 1, 1, 1
	c.jobs = make(map[jobKey]*job)
	c.active = make(map[*job]bool)
	c.byName = make(map[string]*job)
	c.stopped, c.stoppedNames = make(map[jobKey]*stoppedJob), make(map[string]int)
	c.agents = make(map[string]*agent)
	c.lostAgents = make(map[string]uint64)
	c.backups = make(map[string]*backupState)
	c.owners = make(map[string]*ownerState)
	c.closedOwners = make(map[string]bool)
	c.leaseExpiring = make(map[*job]bool)
	c.queue.Settings = c.Settings.Dispatcher
	c.queue.Init(now)
	c.demand.table.Self = c.Self
}

// TakeDecisions returns the messages, job ends and decisions since the last call, and
// clears them.
func (c *Coordinator) TakeDecisions() ([]Output, []JobEnd, []Decision) {
	outputs, jobEnds, decisions := c.outputs, c.jobEnds, c.decisions
	c.outputs, c.jobEnds, c.decisions = nil, nil, nil
	return outputs, jobEnds, decisions
}

func (c *Coordinator) send(to string, m protocol.Message) {
	m.Service = c.Service
	c.outputs = append(c.outputs, Output{to, m})
}

func (c *Coordinator) decide(kind string, j *job, task int, peer, reason string) {
	c.decisions = append(c.decisions, Decision{kind, j.key.owner, j.key.sequence, task, peer, reason, j.name})
}

// Drained reports whether every job has ended.
func (c *Coordinator) Drained() bool { return len(c.active) == 0 }

// BeginDrain stops issuing tickets and accepting synchronous jobs.
func (c *Coordinator) BeginDrain() { c.draining = true }

// Counts are the sizes of a Coordinator's state.
type Counts struct {
	Jobs           int `json:"jobs"`       // jobs held, including ended ones
	Unfinished     int `json:"unfinished"` // jobs that have not ended
	Waiting        int `json:"waiting-tasks"`
	FreeMillicores int `json:"room-cpu"`       // free capacity in thousandths of a core
	SuspectAgents  int `json:"suspect-agents"` // agents that are suspended or on probation
	Agents         int `json:"agents"`
	Evacuated      int `json:"evacuated-agents,omitempty"` // agents in evacuated zones
	AckedAgents    int `json:"witnessed-agents"`           // agents acknowledged by the backup that acknowledged the most
	BackedOwners   int `json:"witnessed-owners"`           // owners for which this entry is the backup

	Locality dispatcher.WaitCounts    `json:"locality,omitzero"`
	Profiles dispatcher.ProfileCounts `json:"profiles,omitzero"`

	// SharedDemand is set while entries exchange their demand.
	SharedDemand *DemandView `json:"shared-demand,omitempty"`
}

// Counts returns the current sizes.
func (c *Coordinator) Counts() Counts {
	counts := Counts{
		Jobs: len(c.jobs), Unfinished: len(c.active), Waiting: c.queue.Waiting(),
		FreeMillicores: c.queue.FreeCapacity().CPU, SuspectAgents: c.queue.SuspectAgents(), Agents: len(c.agents), Evacuated: c.queue.EvacuatedAgents(), BackedOwners: len(c.owners),
		Locality: c.queue.LocalityCounts(), Profiles: c.queue.ProfileCounts(),
	}
	for _, b := range c.backups {
		if !b.sealed {
			counts.AckedAgents = max(counts.AckedAgents, len(b.acked))
		}
	}
	counts.SharedDemand = c.demandView()
	return counts
}

// Receive handles a message about this service from a peer.
func (c *Coordinator) Receive(now time.Time, from string, m protocol.Message) {
	switch {
	case m.Outcome != nil:
		c.handleOutcome(now, from, m.Outcome)
	case m.Load != nil:
		c.queue.Report(from, *m.Load)
		c.dispatch(now)
	case m.Announce != nil:
		c.handleAnnounce(now, from, m.Announce)
	case m.Membership != nil:
		c.handleMembership(from, m.Membership)
	case m.MembershipAck != nil:
		c.handleMembershipAck(now, from, m.MembershipAck)
	case m.Finalize != nil:
		c.handleFinalize(from, m.Finalize)
	case m.FinalizeAck != nil:
		c.handleFinalizeAck(now, from, m.FinalizeAck)
	case m.Sealed != nil:
		c.handleSealed(now, m.Sealed.Backup)
	case m.StartRecords != nil:
		c.handleStartRecords(now, from, m.StartRecords)
	case m.Close != nil:
		c.handleClose(from, m.Close)
	case m.Demand != nil:
		c.demand.table.Merge(now, from, m.Demand)
	case m.ServerLosses != nil:
		c.handleServerLosses(now, from, m.ServerLosses)
	}
}
