package dispatcher

import (
	"math"
	"time"

	"mustardlever.dev/mustardlever/sizer"
)

const (
	slownessWeight = 0.08                   // weight of a new sample in an agent's slowness: about its last dozen tasks count
	maxSample      = 8.0                    // a task's slowness counts as this at most, so that one hung task does not brand its agent
	busyPenalty    = 0.15                   // how much slower a full agent counts than an empty one of the same speed
	failurePenalty = 1.0                    // how much slower an agent counts for each task that failed there in a row
	failuresInRow  = 3                      // failed tasks in a row after which an agent is paused
	minPause       = 500 * time.Millisecond // first pause of an agent that fails
	maxPause       = 10 * time.Second
)

// Load is what an agent says of its backend server. Free is capacity less what
// runs and waits there, and may be negative. Received counts the starts that
// the agent has received from this entry, all of which are in Free.
type Load struct {
	Free     sizer.Resources `json:"free"`
	Received uint64          `json:"received"`
}

// unreported is a start that the agent's last Load did not count.
type unreported struct {
	number uint64
	size   sizer.Resources
}

// agent is the entry's view of one backend server.
type agent struct {
	name       string
	capacity   sizer.Resources
	labels     []string
	free       sizer.Resources // by the last report
	sent       uint64          // starts sent
	unreported []unreported
	room       sizer.Resources // free less unreported
	logSlow    float64         // logarithm of the moving mean of a task's time by its estimate
	slowness   float64         // expected time of a task by its estimate: the exponential of logSlow
	failures   int             // failed tasks in a row
	paused     time.Time       // no task before; zero when not paused
	pause      time.Duration
	trial      bool // one task at a time until one succeeds
	running    int  // starts sent and not ended
}

func (a *agent) count() {
	a.room = a.free
	for _, u := range a.unreported {
		a.room = a.room.Sub(u.size)
	}
}

// report takes the agent's own word on its room.
func (a *agent) report(l Load) {
	k := 0
	for k < len(a.unreported) && a.unreported[k].number <= l.Received {
		k++
	}
	a.unreported = a.unreported[k:]
	a.free = l.Free
	a.count()
}

// take notes a start.
func (a *agent) take(s sizer.Resources) {
	a.sent++
	a.running++
	a.unreported = append(a.unreported, unreported{a.sent, s})
	a.room = a.room.Sub(s)
}

// open reports whether the agent may get a task now.
func (a *agent) open() bool {
	return a.paused.IsZero() && (!a.trial || a.running == 0)
}

// observe notes a task that took ratio times its estimate. Logarithms make a
// task that took half as long count as much as one that took twice as long.
func (a *agent) observe(ratio float64) {
	ratio = min(max(ratio, 1/maxSample), maxSample)
	a.logSlow += slownessWeight * (math.Log(ratio) - a.logSlow)
	a.slowness = math.Exp(a.logSlow)
}

// cost is the time that a task of the estimate is expected to take on the
// agent, with a preference for agents with room and for those where the last
// task did not fail: one that fails at once is always empty.
func (a *agent) cost(estimate float64) float64 {
	return estimate * a.slowness * (1 + busyPenalty*a.used()) * (1 + failurePenalty*float64(a.failures))
}

// used is the part of the agent's capacity that is in use.
func (a *agent) used() float64 { return a.capacity.Sub(a.room).DominantShare(a.capacity) }

// AddAgent adds an agent, or brings its capacity up to date. It has no room
// before its first Report.
func (d *Dispatcher[J]) AddAgent(name string, capacity sizer.Resources, labels []string) {
	d.largest = d.largest.Max(capacity)
	if a := d.agents[name]; a != nil {
		a.capacity, a.labels = capacity, labels
		return
	}
	a := &agent{name: name, capacity: capacity, labels: labels, slowness: 1}
	d.agents[name] = a
	d.order = append(d.order, a)
}

// RemoveAgent removes an agent.
func (d *Dispatcher[J]) RemoveAgent(name string) {
	delete(d.agents, name)
	for i, a := range d.order {
		if a.name == name {
			d.order = append(d.order[:i], d.order[i+1:]...)
			return
		}
	}
}

// Report takes an agent's own word on its room.
func (d *Dispatcher[J]) Report(name string, l Load) {
	if a := d.agents[name]; a != nil {
		a.report(l)
	}
}

// Ended notes that a start on the agent was answered, however it ended.
func (d *Dispatcher[J]) Ended(name string) {
	if a := d.agents[name]; a != nil && a.running > 0 {
		a.running--
	}
}

// Expect returns how long a task with the estimate is expected to take on the
// agent.
func (d *Dispatcher[J]) Expect(name string, estimate time.Duration) time.Duration {
	if a := d.agents[name]; a != nil {
		return time.Duration(float64(estimate) * a.slowness)
	}
	return estimate
}

// Observe notes that a task with the estimate took t on the agent. A zero
// estimate stands for the mean of all tasks.
func (d *Dispatcher[J]) Observe(name string, estimate, t time.Duration) {
	expected := estimate.Seconds()
	if expected <= 0 {
		expected = d.expected(0)
	}
	d.mean = blend(d.mean, t.Seconds())
	a := d.agents[name]
	if a == nil || t <= 0 {
		return
	}
	a.failures, a.pause, a.trial = 0, 0, false
	a.observe(t.Seconds() / expected)
}

// Fail notes that a task failed on the agent. Several in a row take the agent
// out for a while; then it gets one task at a time until one succeeds.
func (d *Dispatcher[J]) Fail(now time.Time, name string) {
	a := d.agents[name]
	if a == nil {
		return
	}
	a.failures++
	if a.failures >= failuresInRow || a.trial {
		d.Pause(now, name)
	}
}

// Pause takes an agent out for a while, twice as long at each time in a row.
// Never more than half of the agents are out at once: when all fail, the fault
// is elsewhere.
func (d *Dispatcher[J]) Pause(now time.Time, name string) {
	a := d.agents[name]
	if a == nil || !a.paused.IsZero() || 2*(d.out()+1) > len(d.order)+1 {
		return
	}
	a.pause = min(max(2*a.pause, minPause), maxPause)
	a.paused = now.Add(a.pause)
}

// out returns the number of agents that are paused.
func (d *Dispatcher[J]) out() int {
	n := 0
	for _, a := range d.order {
		if !a.paused.IsZero() {
			n++
		}
	}
	return n
}

// SuspectAgents returns the number of agents that are paused or on trial.
func (d *Dispatcher[J]) SuspectAgents() int {
	n := 0
	for _, a := range d.order {
		if !a.paused.IsZero() || a.trial {
			n++
		}
	}
	return n
}

// resume lets paused agents whose time is over have a task on trial.
func (d *Dispatcher[J]) resume(now time.Time) {
	for _, a := range d.order {
		if !a.paused.IsZero() && !now.Before(a.paused) {
			a.paused = time.Time{}
			a.trial = true
		}
	}
}
