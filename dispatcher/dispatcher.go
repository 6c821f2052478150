package dispatcher

import (
	"time"

	"github.com/google/btree"
)

const (
	defaultAgeing   = 0.05 // seconds of remaining work forgiven for each second of waiting and slot
	defaultEstimate = 300 * time.Millisecond
	estimateWeight  = 0.1 // weight of a new sample in the moving estimate
	treeDegree      = 16
	idlePreference  = 0.3                    // how much faster an agent with all slots free counts than a busy one
	minPause        = 500 * time.Millisecond // first pause of an agent that fails
	maxPause        = 10 * time.Second
)

// Settings tunes a Dispatcher. Zero fields take the defaults.
type Settings struct {
	Ageing float64 // seconds of remaining work forgiven for each second waited and slot; default 0.05
}

// Job is a job's place in the queue. J is the caller's own job.
type Job[J any] struct {
	Value   J
	Arrived time.Time
	Waiting int // tasks not started yet
	Left    int // tasks not finished yet

	number uint64
	key    float64
	queued bool
}

// agent is a source of granted slots.
type agent struct {
	name     string
	slots    int
	credits  int
	estimate float64 // seconds a task, zero before the first sample
	paused   time.Time
	pause    time.Duration
	inTree   bool
	key      float64
}

// Dispatcher holds the queue and the granted slots of one service. Init must
// be called first. It is not safe for concurrent use.
type Dispatcher[J any] struct {
	Settings Settings

	epoch    time.Time
	jobs     *btree.BTreeG[*Job[J]]
	free     *btree.BTreeG[*agent]
	agents   map[string]*agent
	paused   map[string]*agent
	numbers  uint64
	slots    int
	waiting  int
	credits  int
	estimate float64 // seconds a task, over all agents
}

// Init prepares the Dispatcher.
func (d *Dispatcher[J]) Init(now time.Time) {
	if d.Settings.Ageing == 0 {
		d.Settings.Ageing = defaultAgeing
	}
	d.epoch = now
	d.agents = make(map[string]*agent)
	d.paused = make(map[string]*agent)
	d.jobs = btree.NewG(treeDegree, func(a, b *Job[J]) bool {
		return a.key < b.key || a.key == b.key && a.number < b.number
	})
	d.free = btree.NewG(treeDegree, func(a, b *agent) bool {
		return a.key < b.key || a.key == b.key && a.name < b.name
	})
}

// Waiting returns the number of tasks in the queue.
func (d *Dispatcher[J]) Waiting() int { return d.waiting }

// Credits returns the number of granted slots not used yet.
func (d *Dispatcher[J]) Credits() int { return d.credits }

// Agents returns the number of agents known.
func (d *Dispatcher[J]) Agents() int { return len(d.agents) }

// AddAgent adds an agent without granted slots.
func (d *Dispatcher[J]) AddAgent(name string, slots int) {
	if a := d.agents[name]; a != nil {
		d.slots += slots - a.slots
		a.slots = slots
		return
	}
	d.agents[name] = &agent{name: name, slots: slots}
	d.slots += slots
}

// RemoveAgent removes an agent with its granted slots.
func (d *Dispatcher[J]) RemoveAgent(name string) {
	a := d.agents[name]
	if a == nil {
		return
	}
	d.take(a, a.credits)
	d.slots -= a.slots
	delete(d.agents, name)
	delete(d.paused, name)
}

// Credit adds n granted slots of an agent.
func (d *Dispatcher[J]) Credit(name string, n int) {
	a := d.agents[name]
	if a == nil {
		return
	}
	a.credits += n
	d.credits += n
	d.place(a)
}

// TakeBack removes up to n unused grants of an agent and returns how many.
func (d *Dispatcher[J]) TakeBack(name string, n int) int {
	a := d.agents[name]
	if a == nil {
		return 0
	}
	n = min(n, a.credits)
	d.take(a, n)
	return n
}

// take uses n credits of a.
func (d *Dispatcher[J]) take(a *agent, n int) {
	a.credits -= n
	d.credits -= n
	d.place(a)
}

// place puts a where its credits and its estimate belong.
func (d *Dispatcher[J]) place(a *agent) {
	if a.inTree {
		d.free.Delete(a)
		a.inTree = false
	}
	if a.credits == 0 || !a.paused.IsZero() {
		return
	}
	a.key = a.estimate * (1 - idlePreference*float64(a.credits)/float64(max(a.slots, a.credits)))
	a.inTree = true
	d.free.ReplaceOrInsert(a)
}

// Observe notes that a task took t on the agent.
func (d *Dispatcher[J]) Observe(name string, t time.Duration) {
	d.estimate = blend(d.estimate, t.Seconds())
	a := d.agents[name]
	if a == nil {
		return
	}
	a.pause = 0
	a.estimate = blend(a.estimate, t.Seconds())
	d.place(a)
}

func blend(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + estimateWeight*(sample-old)
}

// Pause takes an agent out for a while after a failure, twice as long at each
// failure in a row.
func (d *Dispatcher[J]) Pause(now time.Time, name string) {
	a := d.agents[name]
	if a == nil || !a.paused.IsZero() {
		return
	}
	a.pause = min(max(2*a.pause, minPause), maxPause)
	a.paused = now.Add(a.pause)
	d.paused[name] = a
	d.place(a)
}

// Tick brings paused agents back whose time is over.
func (d *Dispatcher[J]) Tick(now time.Time) {
	for name, a := range d.paused {
		if now.Before(a.paused) {
			continue
		}
		a.paused = time.Time{}
		delete(d.paused, name)
		d.place(a)
	}
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
}

// rank is the job's remaining work in seconds, plus the age term: since every
// job ages at the same rate, adding the arrival time orders jobs as
// subtracting the time waited does, and needs no update as time passes.
func (d *Dispatcher[J]) rank(j *Job[J]) float64 {
	estimate := d.estimate
	if estimate == 0 {
		estimate = defaultEstimate.Seconds()
	}
	rate := d.Settings.Ageing * float64(max(d.slots, 1))
	return float64(j.Left)*estimate + rate*j.Arrived.Sub(d.epoch).Seconds()
}

// Next chooses a job and an agent for one of its waiting tasks, and uses up
// the grant and the waiting task. Eligible tells whether an agent may be used
// for a job; nil means always.
func (d *Dispatcher[J]) Next(eligible func(J, string) bool) (j *Job[J], name string, ok bool) {
	if d.free.Len() == 0 || d.jobs.Len() == 0 {
		return nil, "", false
	}
	var chosen *agent
	d.jobs.Ascend(func(x *Job[J]) bool {
		d.free.Ascend(func(a *agent) bool {
			if eligible == nil || eligible(x.Value, a.name) {
				j, chosen = x, a
			}
			return chosen == nil
		})
		return chosen == nil
	})
	if chosen == nil {
		return nil, "", false
	}
	d.take(chosen, 1)
	j.Waiting--
	d.waiting--
	if j.Waiting == 0 {
		d.jobs.Delete(j)
		j.queued = false
	}
	return j, chosen.name, true
}
