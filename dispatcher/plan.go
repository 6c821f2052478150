package dispatcher

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/google/btree"
)

// maxPlannedJobs is the number of queued jobs, in the order of the queue, that a plan
// considers. A scan examines at most maxScannedJobs jobs and those that wait, of which
// there are twice maxWaitingForPlace; the rest are for jobs that start first.
const maxPlannedJobs = 512

// Obstacle is why a task cannot start on an agent now. It is empty if it can.
type Obstacle string

// Obstacles, in the order in which they are examined.
const (
	ObstacleEvacuated   Obstacle = "evacuated"        // its zone is evacuated
	ObstacleExcluded    Obstacle = "excluded"         // nearly all of its runs fail
	ObstacleSuspended   Obstacle = "suspended"        // after failures
	ObstacleProbation   Obstacle = "on-probation"     // it runs the one task that it gets
	ObstacleTooSmall    Obstacle = "too-small"        // its capacity does not cover the task
	ObstacleLabel       Obstacle = "label"            // it does not have the required label
	ObstacleTooSlow     Obstacle = "too-slow"         // the task would take longer than the job has until it is due
	ObstacleNoCapacity  Obstacle = "no-free-capacity" // its free capacity does not cover the task
	ObstacleNotEligible Obstacle = "not-eligible"     // the coordinator does not allow it for the job
)

// Hold is why no further task of a job starts now. It is empty if all start.
type Hold string

// Holds.
const (
	HoldNoAgent Hold = "no-agent"         // every agent has an obstacle
	HoldPlace   Hold = "place"            // the job waits for capacity near its data, or must not run elsewhere yet
	HoldQueue   Hold = "queue"            // too many jobs are ahead of it
	HoldRetry   Hold = "known-to-succeed" // the task has failed before and waits for an agent that is known to succeed
)

// Plan explains where the tasks of a job would start now.
type Plan struct {
	Ahead       int         `json:"ahead"`              // jobs before it in the queue
	Starts      int         `json:"starts"`             // of its tasks, those that would start at once
	Next        string      `json:"next,omitempty"`     // the agent for its next task; empty: it would wait
	Hold        Hold        `json:"hold,omitempty"`     // why the rest would wait
	DrainMillis *int64      `json:"drain-ms,omitempty"` // time in which the waiting tasks of all jobs start at the present rate; nil: not known
	Place       *PlacePlan  `json:"place,omitempty"`    // nil: its place was not compared with agents elsewhere
	Candidates  []Candidate `json:"-"`                  // all agents; those that can start the next task first, by cost
}

// PlacePlan compares waiting for capacity near a job's data with starting its next task
// elsewhere now.
type PlacePlan struct {
	Label        string `json:"label"`
	WaitMillis   int64  `json:"wait-ms"`      // until the job's last waiting task can start there
	NearMillis   int64  `json:"run-ms"`       // duration there
	Elsewhere    string `json:"elsewhere"`    // the best agent elsewhere
	RemoteMillis int64  `json:"elsewhere-ms"` // duration there
	Pays         bool   `json:"wait-pays"`
	Waits        bool   `json:"waits"` // the task would not start elsewhere now
}

// Candidate is an agent as a job's next task is compared on it.
type Candidate struct {
	Name      string   `json:"-"`
	Obstacle  Obstacle `json:"obstacle,omitempty"` // why the task cannot start there now
	Near      bool     `json:"near"`               // it has the preferred label, or there is none
	RunMillis int64    `json:"run-ms"`             // expected duration of the task there
	EndMillis *int64   `json:"end-ms,omitempty"`   // time until its expected end there; nil: it cannot start there now
	Cost      float64  `json:"cost"`               // what agents are compared by, the least first: the duration with penalties, in seconds
	Tasks     int      `json:"tasks"`              // tasks of the job that would start there now
}

// comparison is what a job's place was compared with.
type comparison struct {
	forecast
	elsewhere string
	known     bool
}

// Plan explains where the tasks of a job that is not queued would start if it were added
// now. It takes the decisions on a copy of the Dispatcher, whose own state it does not
// change. Its cost is bounded by the number of agents and by maxPlannedJobs, apart from
// counting the jobs ahead.
func (d *Dispatcher[J]) Plan(now time.Time, job *Job[J], waiting int, eligible func(J, string) bool) Plan {
	var p Plan
	if seconds, known := d.DrainSeconds(); known && !math.IsInf(seconds, 1) {
		p.DrainMillis = new(int64)
		*p.DrainMillis = millis(seconds)
	}
	c := d.copyForPlan()
	j := *job
	var compared comparison
	j.compared = &compared
	c.Add(&j, waiting, waiting)
	d.jobs.AscendLessThan(&j, func(*Job[J]) bool {
		p.Ahead++
		return true
	})
	explained := false // the agents are compared as they are when the job's turn comes
	explain := func(started bool) {
		if explained {
			return
		}
		explained = true
		p.Candidates = c.candidates(now, &j, eligible)
		if compared.known {
			p.Place = compared.plan(j.PreferredLabel, !started)
		}
	}
	tasks := make(map[string]int)
	for j.queued {
		next, a := c.choose(now, eligible)
		if a == nil {
			break
		}
		if next == &j {
			explain(true)
			p.Starts++
			p.Next = cmp.Or(p.Next, a.name)
			tasks[a.name]++
		}
		c.start(now, next, a)
	}
	explain(false)
	for i := range p.Candidates {
		p.Candidates[i].Tasks = tasks[p.Candidates[i].Name]
	}
	if p.Starts == waiting {
		return p
	}
	held := compared
	p.Hold = c.hold(now, &j, eligible)
	if p.Place == nil && held.known {
		p.Place = held.plan(j.PreferredLabel, p.Hold == HoldPlace)
	}
	return p
}

// hold returns why no further task of the job starts now.
func (d *Dispatcher[J]) hold(now time.Time, j *Job[J], eligible func(J, string) bool) Hold {
	switch {
	case d.bestAgent(now, j, d.agentList, eligible) == nil:
		return HoldNoAgent
	case j.retry.active:
		return HoldRetry
	case d.chooseAgent(now, j, eligible) == nil:
		return HoldPlace
	}
	return HoldQueue
}

// candidates returns the agents as the job's next task is compared on them: those that can
// start it first, by their cost.
func (d *Dispatcher[J]) candidates(now time.Time, j *Job[J], eligible func(J, string) bool) []Candidate {
	d.updateFreeTotal()
	estimate, maxSeconds, spread := d.expectedSeconds(j.Estimate), d.maxRunSeconds(now, j), d.hasFree(lateHeadroom)
	list := make([]Candidate, 0, len(d.agentList))
	for _, a := range d.agentList {
		k := Candidate{Name: a.name, Near: a.near(j.PreferredLabel), Cost: d.taskCost(j, a, estimate, spread)}
		run := estimate * a.slowness
		if !k.Near {
			run *= d.remoteFactor()
		}
		k.RunMillis = millis(run)
		if k.Obstacle = obstacle(j, a, estimate*a.slowness > maxSeconds, eligible); k.Obstacle == "" {
			end := k.RunMillis
			k.EndMillis = &end
		}
		list = append(list, k)
	}
	slices.SortStableFunc(list, func(a, b Candidate) int {
		return cmp.Or(compareFalseFirst(a.Obstacle != "", b.Obstacle != ""), cmp.Compare(a.Cost, b.Cost)) // stable: of equal ones bestAgent takes the first
	})
	return list
}

// obstacle returns why the job's next task cannot start on the agent now.
func obstacle[J any](j *Job[J], a *agent, tooSlow bool, eligible func(J, string) bool) Obstacle {
	switch {
	case a.evacuated:
		return ObstacleEvacuated
	case a.excluded:
		return ObstacleExcluded
	case !a.suspendedUntil.IsZero():
		return ObstacleSuspended
	case !a.available():
		return ObstacleProbation
	case !a.capacity.Covers(j.Need):
		return ObstacleTooSmall
	case !a.hasRequired(j.RequiredLabel):
		return ObstacleLabel
	case tooSlow:
		return ObstacleTooSlow
	case !a.freeCapacity.Covers(j.Need):
		return ObstacleNoCapacity
	case eligible != nil && !eligible(j.Value, a.name):
		return ObstacleNotEligible
	}
	return ""
}

func (c *comparison) plan(label string, waits bool) *PlacePlan {
	return &PlacePlan{
		Label: label, WaitMillis: millis(c.wait), NearMillis: millis(c.local),
		Elsewhere: c.elsewhere, RemoteMillis: millis(c.remote), Pays: c.waitPays(), Waits: waits,
	}
}

// copyForPlan returns a copy whose decisions do not change d. It has the first
// maxPlannedJobs jobs of the queue.
func (d *Dispatcher[J]) copyForPlan() *Dispatcher[J] {
	c := *d
	agents, places := make(map[*agent]*agent, len(d.agentList)), make(map[*place]*place, len(d.places))
	copyOf := func(list []*agent) []*agent {
		copies := make([]*agent, len(list))
		for i, a := range list {
			copies[i] = agents[a]
		}
		return copies
	}
	for _, a := range d.agentList {
		b := *a
		b.unreported = slices.Clone(a.unreported)
		agents[a] = &b
	}
	c.agentList, c.succeeding, c.failing = copyOf(d.agentList), copyOf(d.succeeding), copyOf(d.failing)
	c.agents = make(map[string]*agent, len(d.agents))
	for name, a := range d.agents {
		c.agents[name] = agents[a]
	}
	c.places = maps.Clone(d.places)
	for label, p := range d.places {
		q := *p
		q.agents = copyOf(p.agents)
		places[p], c.places[label] = &q, &q
	}
	for _, b := range c.agentList {
		b.places = slices.Clone(b.places)
		b.places = slices.DeleteFunc(b.places, func(p *place) bool { return places[p] == nil })
		for i, p := range b.places {
			b.places[i] = places[p]
		}
	}
	c.jobs = btree.NewG(treeDegree, before[J])
	d.jobs.Ascend(func(j *Job[J]) bool {
		k := *j
		c.jobs.ReplaceOrInsert(&k)
		return c.jobs.Len() < maxPlannedJobs
	})
	return &c
}

// compareFalseFirst orders false before true.
func compareFalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// millis returns s seconds in milliseconds, rounded.
func millis(s float64) int64 { return int64(math.Round(s * 1000)) }
