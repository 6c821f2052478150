package dispatcher

import (
	"math/rand/v2"
	"slices"
)

// Baseline is a simple policy to compare the present one with. Under each, jobs
// come in the order of their arrival and are never put behind others; only
// agents with room are used, and those that fail are paused as ever. No program
// that is delivered uses one: see deploy/baselines.md.
type Baseline string

// Baselines. The first keeps the present choice of agents.
const (
	BaselineArrival    Baseline = "arrival"
	BaselineRoundRobin Baseline = "round-robin"
	BaselineRandom     Baseline = "random"
	BaselineLeastOfTwo Baseline = "least-of-two" // of two agents drawn, the one that is used less
)

// choose returns the agent that the baseline uses for the job's next task, nil
// when none has room.
func (d *Dispatcher[J]) choose(j *Job[J], eligible func(J, string) bool) *agent {
	var list []*agent
	for _, a := range d.order {
		if a.open() && a.room.Covers(j.Need) && (j.RequiredLabel == "" || slices.Contains(a.labels, j.RequiredLabel)) && (eligible == nil || eligible(j.Value, a.name)) {
			list = append(list, a)
		}
	}
	if len(list) == 0 {
		return nil
	}
	switch d.Settings.Baseline {
	case BaselineRoundRobin:
		return d.nextInTurn(list)
	case BaselineLeastOfTwo:
		a, b := list[rand.IntN(len(list))], list[rand.IntN(len(list))]
		if b.used() < a.used() {
			return b
		}
		return a
	}
	return list[rand.IntN(len(list))]
}

// nextInTurn returns the agent of the list that comes first after the one that
// was used last, in the order of all agents.
func (d *Dispatcher[J]) nextInTurn(list []*agent) *agent {
	for n := range d.order {
		i := (d.turn + 1 + n) % len(d.order)
		if slices.Contains(list, d.order[i]) {
			d.turn = i
			return d.order[i]
		}
	}
	return nil
}
