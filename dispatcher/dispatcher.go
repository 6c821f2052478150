package dispatcher

import (
	"math"
	"time"

	"github.com/google/btree"

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
	waiting         int             // number of waiting tasks
	waitingWork     float64         // work of all waiting tasks, in thousandths of a core times seconds
	workByLevel     [levels]float64 // parts of waitingWork, by level of priority
	jobsByLevel     [levels]int     // waiting jobs
	heldBackWork    float64         // the part of waitingWork of late jobs without a started task
	headroom        bool            // whether late jobs could start at the last call of Next
	startedWork     float64         // work started since rateUpdatedAt
	startRate       float64         // work started per second while tasks wait
	rateObserved    float64         // seconds over which startRate was observed, at most rateWindow
	rateUpdatedAt   time.Time       // time of the last update of startRate
	meanSeconds     float64         // moving average of task durations over all agents
	largestCapacity sizer.Resources // largest amount of each resource that any agent ever had
	firstToReport   int             // index in agentList of the agent that learns of a backlog first
	reportsBacklog  bool            // ReportBacklog was called since StopReportingBacklog
	lastAgentIndex  int             // index in agentList of the agent used last, for BaselineRoundRobin

	agedAt      time.Time // last update of the weight of own samples
	succeeding  []*agent  // known to succeed by their profiles
	failing     []*agent  // nearly all of their runs fail by their profiles
	retryCounts RetryCounts

	places         map[string]*place // preferred labels of queued jobs, if jobs may wait for them
	localityCounts LocalityCounts
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

// before reports whether a comes before b in the queue.
func before[J any](a, b *Job[J]) bool {
	return a.key < b.key || a.key == b.key && a.sequence < b.sequence
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

// demoteLateJobs moves jobs that can no longer meet their due time behind the
// others. A job with a started task keeps its place, since it already uses
// capacity.
func (d *Dispatcher[J]) demoteLateJobs(now time.Time) {
	if d.Settings.Baseline != "" {
		return
	}
	var late []*Job[J]
	d.jobs.Ascend(func(j *Job[J]) bool {
		if j.started {
			return true
		}
		if j.late || j.Due.IsZero() {
			return false
		}
		if now.After(d.latestStart(j)) {
			late = append(late, j)
		}
		return true
	})
	for _, j := range late {
		d.jobs.Delete(j)
		j.late = true
		d.heldBackWork += d.jobWork(j)
		j.key = d.rank(j)
		d.jobs.ReplaceOrInsert(j)
	}
}

// latestStart returns the latest time at which the job's next task can start for
// the job to meet its due time.
func (d *Dispatcher[J]) latestStart(j *Job[J]) time.Time {
	expectedSeconds := d.expectedSeconds(j.Estimate) * (1 + dueTimeMargin)
	return j.Due.Add(-time.Duration(expectedSeconds * float64(time.Second)))
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
	d.jobsByLevel[level(j.Priority)]++
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
	d.jobsByLevel[level(j.Priority)]--
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

// DrainSeconds estimates how many seconds it takes to start all waiting tasks,
// from the recent start rate; it is infinite when no task was started recently.
// The number of agents would be a poor basis, since other entries use the same
// agents. Known is false until the rate has been observed for long enough, as
// just after the process started.
func (d *Dispatcher[J]) DrainSeconds() (seconds float64, known bool) {
	switch {
	case d.waitingWork <= 0:
		return 0, true
	case d.rateObserved < rateWindow:
		return 0, false
	case d.startRate <= 0:
		return math.Inf(1), true
	}
	return d.waitingWork / d.startRate, true
}

// updateStartRate updates the start rate with the work started since the last
// update. While the queue is empty, a sample counts only if it raises the rate:
// with nothing waiting, a low rate says nothing about what the agents can handle.
// Until rateWindow has passed, the rate is the average of all samples; later ones
// are averaged exponentially.
func (d *Dispatcher[J]) updateStartRate(now time.Time) {
	elapsed := now.Sub(d.rateUpdatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	if d.waiting > 0 || d.startedWork/elapsed > d.startRate {
		d.rateObserved = min(d.rateObserved+elapsed, rateWindow)
		weight := min(elapsed/d.rateObserved, 1)
		d.startRate += weight * (d.startedWork/elapsed - d.startRate)
	}
	d.updatePlaceRates(elapsed)
	d.rateUpdatedAt, d.startedWork = now, 0
}

// rank returns the job's key in the queue; the smallest key comes first. A job
// with a due time ranks by its latest start, in seconds since epoch. A job
// without one ranks by its remaining work plus a term for its age: all jobs age
// at the same rate, so adding the arrival time gives the same order as
// subtracting the time waited, and the key needs no update as time passes.
func (d *Dispatcher[J]) rank(j *Job[J]) float64 {
	if d.Settings.Baseline != "" {
		return j.Arrived.Sub(d.epoch).Seconds()
	}
	key := d.baseRank(j)
	if j.started {
		key += startedOffset
	}
	return key
}

// baseRank returns the job's key without the offset for a started job.
func (d *Dispatcher[J]) baseRank(j *Job[J]) float64 {
	if !j.Due.IsZero() {
		key := d.latestStart(j).Sub(d.epoch).Seconds() + priorityOffset*float64(j.Priority)
		if j.late {
			key += lateOffset
		}
		return key
	}
	agingRate := d.Settings.AgingRate * float64(max(len(d.agents), 1))
	return float64(j.Unfinished)*d.expectedSeconds(j.Estimate) + agingRate*j.Arrived.Sub(d.epoch).Seconds() + noDueTimeOffset
}

// Next chooses a job and an agent for one of its waiting tasks. It counts the
// task as started and reserves its capacity on the agent. Eligible reports
// whether an agent may be used for a job; nil allows every agent.
func (d *Dispatcher[J]) Next(now time.Time, eligible func(J, string) bool) (j *Job[J], name string, ok bool) {
	j, chosen := d.choose(now, eligible)
	if chosen == nil {
		return nil, "", false
	}
	d.start(now, j, chosen)
	return j, chosen.name, true
}

// choose chooses a job and an agent for one of its waiting tasks, nil if none can start.
func (d *Dispatcher[J]) choose(now time.Time, eligible func(J, string) bool) (j *Job[J], chosen *agent) {
	if d.jobs.Len() == 0 {
		return nil, nil
	}
	scanned := 0
	d.scan++
	d.aheadElsewhere = 0
	d.updateFreeTotal()
	d.headroom = d.hasFree(lateHeadroom)
	d.jobs.Ascend(func(candidate *Job[J]) bool {
		scanned++
		if candidate.heldBack() && !d.headroom {
			return false
		}
		if a := d.chooseAgent(now, candidate, eligible); a != nil {
			j, chosen = candidate, a
			return false
		}
		d.passBy(candidate)
		if candidate.wait.active || candidate.retry.active {
			scanned-- // other jobs may use the capacity that it passes by; maxWaitingForPlace bounds their number
		}
		return scanned < maxScannedJobs
	})
	return j, chosen
}

// start counts a task of the job as started on chosen.
func (d *Dispatcher[J]) start(now time.Time, j *Job[J], chosen *agent) {
	chosen.addStart(j.Need)
	d.addWork(j, -d.taskWork(j))
	j.Waiting--
	d.waiting--
	d.startedWork += d.taskWork(j)
	d.countPlaceStart(j, chosen)
	d.endWaitByStart(now, j, chosen)
	d.endRetryByStart(j, chosen)
	d.markStarted(j)
}

// markStarted records that a task of the job was started. Its other tasks then
// come next, so that a job does not use capacity for long while the rest of its
// tasks wait.
func (d *Dispatcher[J]) markStarted(j *Job[J]) {
	if j.Waiting > 0 && j.started {
		return
	}
	d.jobs.Delete(j)
	if j.heldBack() {
		d.heldBackWork -= d.jobWork(j)
	}
	j.started = true
	j.queued = j.Waiting > 0
	if !j.queued {
		d.jobsByLevel[level(j.Priority)]--
	} else {
		j.key = d.rank(j)
		d.jobs.ReplaceOrInsert(j)
	}
}

// updateFreeTotal computes freeCPU and totalCPU.
func (d *Dispatcher[J]) updateFreeTotal() {
	free, total := 0, 0
	for _, a := range d.agentList {
		if a.evacuated {
			continue
		}
		total += a.capacity.CPU
		if a.available() {
			free += max(a.freeCapacity.CPU, 0) + max(a.offeredElsewhere, 0)
		}
	}
	d.freeCPU, d.totalCPU = free, total
}

// hasFree reports whether the fraction of the total capacity was free at the beginning of
// the scan. With lateHeadroom, late jobs can start without delaying the next timely jobs
// past their due time. Running tasks are not preempted.
func (d *Dispatcher[J]) hasFree(fraction float64) bool {
	return float64(d.freeCPU) >= fraction*float64(d.totalCPU)
}

// bestAgent returns the one of the agents with enough free capacity on which the job's next
// task is expected to end soonest, nil if there is none. While a job can still
// meet its due time, agents too slow for that are skipped: it is better to wait
// for another agent.
func (d *Dispatcher[J]) bestAgent(now time.Time, j *Job[J], agents []*agent, eligible func(J, string) bool) *agent {
	if b := d.Settings.Baseline; b != "" && b != BaselineArrival {
		return d.chooseBaseline(j, eligible)
	}
	estimate := d.expectedSeconds(j.Estimate)
	maxSeconds := d.maxRunSeconds(now, j)
	spread := d.Settings.ServerProfiles && d.hasFree(lateHeadroom) // otherwise every agent's capacity is needed
	var bestAgent *agent
	var leastCost float64
	for _, a := range agents {
		if !a.available() || !a.freeCapacity.Covers(j.Need) || !a.hasRequired(j.RequiredLabel) {
			continue
		}
		if estimate*a.slowness > maxSeconds {
			continue
		}
		cost := d.taskCost(j, a, estimate, spread)
		if (bestAgent == nil || cost < leastCost) && (eligible == nil || eligible(j.Value, a.name)) {
			bestAgent, leastCost = a, cost
		}
	}
	return bestAgent
}

// maxRunSeconds returns the time that a task of the job may take for the job to meet its due
// time. It is infinite for a job without a due time, and for one that can no longer meet it.
func (d *Dispatcher[J]) maxRunSeconds(now time.Time, j *Job[J]) float64 {
	if !j.Due.IsZero() && !j.late && now.Before(d.latestStart(j)) {
		return j.Due.Sub(now).Seconds() - d.startDelay()
	}
	return math.Inf(1)
}

// taskCost returns the cost by which agents are compared for a task of the job. Spread
// means that the agent's failures by its profile count.
func (d *Dispatcher[J]) taskCost(j *Job[J], a *agent, estimate float64, spread bool) float64 {
	cost := a.cost(estimate)
	if spread && a.failurePenalty > 1 {
		cost *= a.failurePenalty
	}
	if !a.near(j.PreferredLabel) {
		cost *= d.remoteFactor()
	}
	return cost
}

// TooLarge reports whether the need of a task exceeds, in any resource, the
// capacity of every agent seen so far. It is false before the first agent.
func (d *Dispatcher[J]) TooLarge(need sizer.Resources) bool {
	return d.largestCapacity != (sizer.Resources{}) && !d.largestCapacity.Covers(need)
}
