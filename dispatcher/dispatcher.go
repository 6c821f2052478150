package dispatcher

import (
	"math"
	"slices"
	"time"

	"github.com/google/btree"

	"mustardlever.dev/mustardlever/sizer"
)

const (
	defaultAgeing   = 0.05 // seconds of remaining work forgiven for each second of waiting and agent
	defaultEstimate = 300 * time.Millisecond
	meanWeight      = 0.1 // weight of a new sample in the mean time of a task
	treeDegree      = 16
	rateSpan        = 0.5  // seconds over which the rate of starts is taken: a few times a short task
	maxScan         = 32   // jobs looked at for one that fits, so that a long queue costs no more
	prioritySpan    = 1e5  // seconds; puts jobs behind all of a lower number that can be in time
	begunOffset     = -1e9 // seconds; puts jobs of which a task was started before all others
	lateOffset      = 1e6  // seconds; puts jobs that can no longer be in time behind all others
	untimedOffset   = 1e3  // seconds; puts jobs without a due time behind those with one
	lateReserve     = 0.15 // part of its expected time that a job keeps in reserve to be in time
	lateHeadroom    = 0.3  // part of all room that must be free before a late job is started
)

// Settings tunes a Dispatcher. Zero fields take the defaults.
type Settings struct {
	Ageing   float64  // seconds of remaining work forgiven for each second waited and agent; default 0.05
	Baseline Baseline // simple policy in place of the present one, for comparisons; default: none
}

// Job is a job's place in the queue: tasks of one size. Value is the caller's
// own job.
type Job[J any] struct {
	Value          J
	Arrived        time.Time
	Due            time.Time       // when it should be done; zero: no such time
	Priority       int             // 0 comes first among jobs that can be in time
	Need           sizer.Resources // of each task
	Estimate       time.Duration   // of each task; zero: unknown
	RequiredLabel  string          // an agent must have it; empty: any agent
	PreferredLabel string          // an agent with this label needs less time; empty: none
	Waiting        int             // tasks not started yet
	Left           int             // tasks not finished yet

	number uint64
	key    float64
	late   bool
	begun  bool // a task was started
	queued bool
}

// Dispatcher holds the queue of one service and the room of its agents. Init
// must be called first. It is not safe for concurrent use.
type Dispatcher[J any] struct {
	Settings Settings

	epoch    time.Time
	jobs     *btree.BTreeG[*Job[J]]
	agents   map[string]*agent
	order    []*agent
	numbers  uint64
	waiting  int
	work     float64 // seconds of thousandths of a core that wait
	started  float64 // work that was started since measured
	rate     float64 // work that is started in a second while some waits
	watched  float64 // seconds over which rate was taken, up to rateSpan
	measured time.Time
	mean     float64         // seconds a task, over all agents
	largest  sizer.Resources // the most of each resource that any agent ever had
	turn     int             // agent used last, under BaselineRoundRobin
}

// Init prepares the Dispatcher.
func (d *Dispatcher[J]) Init(now time.Time) {
	if d.Settings.Ageing == 0 {
		d.Settings.Ageing = defaultAgeing
	}
	d.epoch, d.measured = now, now
	d.agents = make(map[string]*agent)
	d.jobs = btree.NewG(treeDegree, func(a, b *Job[J]) bool {
		return a.key < b.key || a.key == b.key && a.number < b.number
	})
}

// Late reports whether the job can no longer be done in time.
func (j *Job[J]) Late() bool { return j.late }

// Waiting returns the number of tasks in the queue.
func (d *Dispatcher[J]) Waiting() int { return d.waiting }

// Agents returns the number of agents known.
func (d *Dispatcher[J]) Agents() int { return len(d.agents) }

// FreeCapacity returns the free room of all agents that may get tasks.
func (d *Dispatcher[J]) FreeCapacity() sizer.Resources {
	var sum sizer.Resources
	for _, a := range d.order {
		if a.open() {
			sum = sum.Add(a.room)
		}
	}
	return sum
}

func blend(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + meanWeight*(sample-old)
}

// expected returns the seconds that a task is expected to take on an agent of
// ordinary speed.
func (d *Dispatcher[J]) expected(estimate time.Duration) float64 {
	switch {
	case estimate > 0:
		return estimate.Seconds()
	case d.mean > 0:
		return d.mean
	}
	return defaultEstimate.Seconds()
}

// Tick brings paused agents back whose time is over, and moves jobs that can
// no longer be done in time behind the others.
func (d *Dispatcher[J]) Tick(now time.Time) {
	d.resume(now)
	d.measure(now)
	d.demote(now)
}

// demote moves jobs that can no longer be in time behind the others. One of
// which a task was started keeps its place: its room is spent already.
func (d *Dispatcher[J]) demote(now time.Time) {
	if d.Settings.Baseline != "" {
		return
	}
	var late []*Job[J]
	d.jobs.Ascend(func(j *Job[J]) bool {
		if j.begun {
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
		j.key = d.rank(j)
		d.jobs.ReplaceOrInsert(j)
	}
}

// latestStart is when the job's next task has to start to be done in time.
func (d *Dispatcher[J]) latestStart(j *Job[J]) time.Time {
	expected := d.expected(j.Estimate) * (1 + lateReserve)
	return j.Due.Add(-time.Duration(expected * float64(time.Second)))
}

// Add puts a job with waiting tasks in the queue, or brings its place up to
// date after Waiting or Left changed.
func (d *Dispatcher[J]) Add(j *Job[J], waiting, left int) {
	d.Remove(j)
	j.Waiting, j.Left = waiting, left
	if waiting == 0 {
		return
	}
	if j.number == 0 {
		d.numbers++
		j.number = d.numbers
	}
	j.key = d.rank(j)
	j.queued = true
	d.waiting += waiting
	d.work += d.workOf(j)
	d.jobs.ReplaceOrInsert(j)
}

// Remove takes a job out of the queue.
func (d *Dispatcher[J]) Remove(j *Job[J]) {
	if !j.queued {
		return
	}
	d.jobs.Delete(j)
	j.queued = false
	d.waiting -= j.Waiting
	d.work -= d.workOf(j)
}

// workOf is the work of the job's waiting tasks, in seconds of thousandths of
// a core. It must not change while the job is queued.
func (d *Dispatcher[J]) workOf(j *Job[J]) float64 {
	return float64(j.Waiting) * d.taskWork(j)
}

func (d *Dispatcher[J]) taskWork(j *Job[J]) float64 {
	estimate := j.Estimate
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	return float64(j.Need.CPU) * estimate.Seconds()
}

// DrainSeconds is how long the waiting tasks will wait, in seconds, by the rate
// at which tasks were started of late; infinite when none were. Other entries
// use the same agents, so that their number says little of the rate. Known is
// false while the rate has not been seen for long enough, as after a start of
// this process.
func (d *Dispatcher[J]) DrainSeconds() (seconds float64, known bool) {
	switch {
	case d.work <= 0:
		return 0, true
	case d.watched < rateSpan:
		return 0, false
	case d.rate <= 0:
		return math.Inf(1), true
	}
	return d.work / d.rate, true
}

// measure takes the rate at which work was started since the last look. An
// empty queue says nothing of the rate that the agents would bear. Until it was
// watched for rateSpan the rate is the mean of all that was seen.
func (d *Dispatcher[J]) measure(now time.Time) {
	passed := now.Sub(d.measured).Seconds()
	if passed <= 0 {
		return
	}
	if d.waiting > 0 || d.started/passed > d.rate {
		d.watched = min(d.watched+passed, rateSpan)
		weight := min(passed/d.watched, 1)
		d.rate += weight * (d.started/passed - d.rate)
	}
	d.measured, d.started = now, 0
}

// rank orders the queue, the smallest first. A job with a due time ranks by
// its latest start, in seconds. One without ranks by its remaining work, plus
// the age term: since every job ages at the same rate, adding the arrival time
// orders jobs as subtracting the time waited does, and needs no update as time
// passes.
func (d *Dispatcher[J]) rank(j *Job[J]) float64 {
	if d.Settings.Baseline != "" {
		return j.Arrived.Sub(d.epoch).Seconds()
	}
	key := d.rankWaiting(j)
	if j.begun {
		key += begunOffset
	}
	return key
}

func (d *Dispatcher[J]) rankWaiting(j *Job[J]) float64 {
	if !j.Due.IsZero() {
		key := d.latestStart(j).Sub(d.epoch).Seconds() + prioritySpan*float64(j.Priority)
		if j.late {
			key += lateOffset
		}
		return key
	}
	rate := d.Settings.Ageing * float64(max(len(d.agents), 1))
	return float64(j.Left)*d.expected(j.Estimate) + rate*j.Arrived.Sub(d.epoch).Seconds() + untimedOffset
}

// Next chooses a job and an agent for one of its waiting tasks, and uses up
// the room and the waiting task. Eligible tells whether an agent may be used
// for a job; nil means always.
func (d *Dispatcher[J]) Next(now time.Time, eligible func(J, string) bool) (j *Job[J], name string, ok bool) {
	if d.jobs.Len() == 0 {
		return nil, "", false
	}
	var chosen *agent
	scanned := 0
	spare := d.spare()
	d.jobs.Ascend(func(x *Job[J]) bool {
		scanned++
		if x.late && !x.begun && !spare {
			return false
		}
		if a := d.best(now, x, eligible); a != nil {
			j, chosen = x, a
		}
		return chosen == nil && scanned < maxScan
	})
	if chosen == nil {
		return nil, "", false
	}
	chosen.take(j.Need)
	j.Waiting--
	d.waiting--
	d.work -= d.taskWork(j)
	d.started += d.taskWork(j)
	d.begin(j)
	return j, chosen.name, true
}

// begin notes that a task of the job was started: the others come next, so
// that no job holds room for long that cannot end.
func (d *Dispatcher[J]) begin(j *Job[J]) {
	if j.Waiting > 0 && j.begun {
		return
	}
	d.jobs.Delete(j)
	j.begun = true
	j.queued = j.Waiting > 0
	if j.queued {
		j.key = d.rank(j)
		d.jobs.ReplaceOrInsert(j)
	}
}

// spare tells whether enough room is free to start late jobs without making
// jobs late that come next. What runs cannot be stopped for them.
func (d *Dispatcher[J]) spare() bool {
	free, all := 0, 0
	for _, a := range d.order {
		all += a.capacity.CPU
		if a.open() {
			free += max(a.room.CPU, 0)
		}
	}
	return float64(free) >= lateHeadroom*float64(all)
}

// best returns the agent with room on which the job's next task is expected to
// end soonest, nil when there is none. While a job can still be in time no
// agent is used that is too slow for that: to wait for another one is better.
func (d *Dispatcher[J]) best(now time.Time, j *Job[J], eligible func(J, string) bool) *agent {
	if b := d.Settings.Baseline; b != "" && b != BaselineArrival {
		return d.choose(j, eligible)
	}
	estimate := d.expected(j.Estimate)
	limit := math.Inf(1)
	if !j.Due.IsZero() && !j.late && now.Before(d.latestStart(j)) {
		limit = j.Due.Sub(now).Seconds()
	}
	var best *agent
	var least float64
	for _, a := range d.order {
		if !a.open() || !a.room.Covers(j.Need) || j.RequiredLabel != "" && !slices.Contains(a.labels, j.RequiredLabel) {
			continue
		}
		if estimate*a.slowness > limit {
			continue
		}
		cost := a.cost(estimate)
		if j.PreferredLabel != "" && !slices.Contains(a.labels, j.PreferredLabel) {
			cost *= farFactor
		}
		if (best == nil || cost < least) && (eligible == nil || eligible(j.Value, a.name)) {
			best, least = a, cost
		}
	}
	return best
}

// farFactor is how much longer a task takes away from its data, as the
// platform states it.
const farFactor = 1.5

// TooLarge reports whether no agent ever seen was large enough for a task of
// the size. It is false before the first agent.
func (d *Dispatcher[J]) TooLarge(need sizer.Resources) bool {
	return d.largest != (sizer.Resources{}) && !d.largest.Covers(need)
}
