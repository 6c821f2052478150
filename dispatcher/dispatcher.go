package dispatcher

import (
	"time"

	"github.com/google/btree"

	"mustardlever.dev/mustardlever/estimator"
	"mustardlever.dev/mustardlever/sizer"
)

const (
	defaultAgingRate = 0.05 // seconds of remaining work offset by each second of waiting, per agent
	defaultEstimate  = 300 * time.Millisecond
	averageWeight    = 0.1 // weight of a new sample in the moving average of task durations
	treeDegree       = 16
	rateWindow       = 0.5  // seconds over which the start rate is averaged: a few times the duration of a short task
	maxScannedJobs   = 32   // jobs examined for one that can start; bounds the cost of a long queue
	priorityOffset   = 1e5  // seconds per priority level; puts jobs behind all timely jobs with a lower priority number
	startedOffset    = -1e9 // seconds; puts jobs with a started task ahead of all others
	lateOffset       = 1e6  // seconds; puts jobs that can no longer meet their due time behind all others
	noDueTimeOffset  = 1e3  // seconds; puts jobs without a due time behind those with one
	dueTimeMargin    = 0.15 // fraction of the expected duration added as a safety margin before the due time
	lateHeadroom     = 0.3  // fraction of the total capacity that must be free before a late job starts
)

// Settings configures a Dispatcher. Zero fields take the defaults.
type Settings struct {
	AgingRate float64  // seconds of remaining work offset by each second of waiting, per agent; default 0.05
	Baseline  Baseline // simple policy used instead of the regular one, for comparisons; default: none

	RemoteFactor float64 // how many times longer a task takes on an agent without its preferred label; default 1.5
	LocalityWait bool    // jobs may wait for capacity on agents with their preferred label

	ServerProfiles bool // the profiles that agents report count for placement
}

// Job describes a job to the queue. All its tasks count as having the same need
// and estimate. Value identifies the job to the code that uses the queue.
type Job[J any] struct {
	Value          J
	Arrived        time.Time
	Due            time.Time       // time by which the job should complete; zero: none
	Priority       int             // lower numbers come first among jobs that can meet their due time; 0 is the highest priority
	Need           sizer.Resources // of each task
	Estimate       time.Duration   // of each task; zero: unknown
	RequiredLabel  string          // label that an agent must have; empty: any agent
	PreferredLabel string          // tasks take less time on an agent with this label; empty: none
	Waiting        int             // tasks not started yet
	Unfinished     int             // tasks not finished yet
	Failed         int             // of the waiting tasks, those that have failed before; used with Settings.ServerProfiles
	AttemptsLeft   int             // fewest attempts left to one of these
	ForFailed      bool            // set by Next: the start is for a task that has failed before

	sequence uint64  // order of Add; breaks ties between equal keys
	key      float64 // position in the queue, the smallest first; see rank
	late     bool    // whether it can no longer meet its due time
	started  bool    // whether a task was started
	queued   bool
	wait     wait // for capacity on an agent with the preferred label
	retry    retryWait
	compared *comparison // set by Plan: receives what the job's place was compared with
}

// Dispatcher holds the queue of one service and the free capacity of its
// agents. Init must be called first. It is not safe for concurrent use.
type Dispatcher[J any] struct {
	Settings Settings

	epoch           time.Time // time of Init
	jobs            *btree.BTreeG[*Job[J]]
	agents          map[string]*agent
	agentList       []*agent
	evacuatedAgents int // agents in evacuated zones
	lastSequence    uint64
	waiting         int                       // number of waiting tasks
	waitingWork     float64                   // work of all waiting tasks, in thousandths of a core times seconds
	workByLevel     [estimator.Levels]float64 // parts of waitingWork, by level of priority
	jobsByLevel     [estimator.Levels]int     // waiting jobs
	heldBackWork    float64                   // the part of waitingWork of late jobs without a started task
	headroom        bool                      // whether late jobs could start at the last call of Next
	startedWork     float64                   // work started since rateUpdatedAt
	startRate       float64                   // work started per second while tasks wait
	rateObserved    float64                   // seconds over which startRate was observed, at most rateWindow
	rateUpdatedAt   time.Time                 // time of the last update of startRate
	meanSeconds     float64                   // moving average of task durations over all agents
	largestCapacity sizer.Resources           // largest amount of each resource that any agent ever had
	firstToReport   int                       // index in agentList of the agent that learns of a backlog first
	reportsBacklog  bool                      // ReportBacklog was called since StopReportingBacklog
	lastAgentIndex  int                       // index in agentList of the agent used last, for BaselineRoundRobin

	agedAt      time.Time // last update of the weight of own samples
	succeeding  []*agent  // known to succeed by their profiles
	failing     []*agent  // nearly all of their runs fail by their profiles
	retryCounts WaitCounts

	places         map[string]*place // preferred labels of queued jobs, if jobs may wait for them
	localityCounts WaitCounts
	scan           uint64  // number of the scan of the queue
	freeCPU        int     // free CPU of the agents that may get tasks, at the beginning of the scan
	totalCPU       int     // CPU of all agents
	aheadElsewhere float64 // work of jobs without a place that the scan has passed by
}

// Init prepares the Dispatcher.
func (d *Dispatcher[J]) Init(now time.Time) {
	if d.Settings.AgingRate == 0 {
		d.Settings.AgingRate = defaultAgingRate
	}
	d.epoch, d.rateUpdatedAt, d.agedAt = now, now, now
	d.agents = make(map[string]*agent)
	d.jobs = btree.NewG(treeDegree, before[J])
}

// heldBack reports whether the job starts only while there is headroom.
func (j *Job[J]) heldBack() bool { return j.late && !j.started }

// Late reports whether the job can no longer meet its due time.
func (j *Job[J]) Late() bool { return j.late }

// Waiting returns the number of tasks in the queue.
func (d *Dispatcher[J]) Waiting() int { return d.waiting }

// Agents returns the number of known agents.
func (d *Dispatcher[J]) Agents() int { return len(d.agents) }

// FreeCapacity returns the total free capacity of the agents that may get tasks.
func (d *Dispatcher[J]) FreeCapacity() sizer.Resources {
	var sum sizer.Resources
	for _, a := range d.agentList {
		if a.available() {
			sum = sum.Add(a.freeCapacity)
		}
	}
	return sum
}

func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + averageWeight*(sample-old)
}

// expectedSeconds returns how long a task with the estimate is expected to take
// on an agent of average speed. Without an estimate it is the average duration
// of all tasks.
func (d *Dispatcher[J]) expectedSeconds(estimate time.Duration) float64 {
	switch {
	case estimate > 0:
		return estimate.Seconds()
	case d.meanSeconds > 0:
		return d.meanSeconds
	}
	return defaultEstimate.Seconds()
}

// Tick puts agents whose suspension is over on probation, updates the start
// rate, and moves jobs that can no longer meet their due time behind the others.
// It must be called at short intervals.
func (d *Dispatcher[J]) Tick(now time.Time) {
	d.resumeSuspended(now)
	d.ageOwnSamples(now)
	d.updateStartRate(now)
	d.demoteLateJobs(now)
}

// Add adds a job with the numbers of its waiting and unfinished tasks to the
// queue. If the job is queued already, Add updates the numbers and its position.
// A job without waiting tasks is removed.
func (d *Dispatcher[J]) Add(j *Job[J], waiting, unfinished int) {
	d.remove(j)
	j.Waiting, j.Unfinished = waiting, unfinished
	if waiting == 0 {
		d.endWait(j, false)
		d.endRetryWait(j, false)
		return
	}
	if j.sequence == 0 {
		d.lastSequence++
		j.sequence = d.lastSequence
	}
	j.key = d.rank(j)
	j.queued = true
	d.waiting += waiting
	d.jobsByLevel[estimator.Level(j.Priority)]++
	d.addWork(j, d.jobWork(j))
	d.jobs.ReplaceOrInsert(j)
	d.preferPlace(j)
}

// Remove removes a job from the queue. It does nothing if the job is not queued.
func (d *Dispatcher[J]) Remove(j *Job[J]) {
	d.remove(j)
	d.endWait(j, false)
	d.endRetryWait(j, false)
}

func (d *Dispatcher[J]) remove(j *Job[J]) {
	if !j.queued {
		return
	}
	d.jobs.Delete(j)
	j.queued = false
	d.waiting -= j.Waiting
	d.jobsByLevel[estimator.Level(j.Priority)]--
	d.addWork(j, -d.jobWork(j))
}

// jobWork returns the work of the job's waiting tasks, in thousandths of a core
// times seconds. Need and Estimate must not change while the job is queued, since
// Remove subtracts what Add has added.
func (d *Dispatcher[J]) jobWork(j *Job[J]) float64 {
	return float64(j.Waiting) * d.taskWork(j)
}

func (d *Dispatcher[J]) taskWork(j *Job[J]) float64 {
	estimate := j.Estimate
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	return float64(j.Need.CPU) * estimate.Seconds()
}

// TooLarge reports whether the need of a task exceeds, in any resource, the
// capacity of every agent seen so far. It is false before the first agent.
func (d *Dispatcher[J]) TooLarge(need sizer.Resources) bool {
	return d.largestCapacity != (sizer.Resources{}) && !d.largestCapacity.Covers(need)
}
