package dispatcher

import (
	"math/rand/v2"
	"slices"
)

// Baseline is a simple policy that the regular one is compared with. Under each
// baseline, jobs are started in order of arrival and late jobs are not demoted.
// As under the regular policy, only agents with enough free capacity are used and
// failing agents are suspended. No released program uses a baseline: see
// deploy/baselines.md.
type Baseline string

// Baselines. BaselineArrival chooses agents as the regular policy does.
const (
	BaselineArrival    Baseline = "arrival"
	BaselineRoundRobin Baseline = "round-robin"
	BaselineRandom     Baseline = "random"
	BaselineLeastOfTwo Baseline = "least-of-two" // the less utilized of two random agents
)

// chooseBaseline returns the agent that the baseline uses for the job's next
// task, nil if no agent has enough free capacity.
func (d *Dispatcher[J]) chooseBaseline(j *Job[J], eligible func(J, string) bool) *agent {
	var candidates []*agent
	for _, a := range d.agentList {
		if a.available() && a.freeCapacity.Covers(j.Need) && a.hasRequired(j.RequiredLabel) && (eligible == nil || eligible(j.Value, a.name)) {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	switch d.Settings.Baseline {
	case BaselineRoundRobin:
		return d.nextRoundRobin(candidates)
	case BaselineLeastOfTwo:
		a, b := candidates[rand.IntN(len(candidates))], candidates[rand.IntN(len(candidates))]
		if b.utilization() < a.utilization() {
			return b
		}
		return a
	}
	return candidates[rand.IntN(len(candidates))]
}

// nextRoundRobin returns the first candidate after the agent used last, in the
// order of agentList.
func (d *Dispatcher[J]) nextRoundRobin(candidates []*agent) *agent {
	for n := range d.agentList {
		i := (d.lastAgentIndex + 1 + n) % len(d.agentList)
		if slices.Contains(candidates, d.agentList[i]) {
			d.lastAgentIndex = i
			return d.agentList[i]
		}
	}
	return nil
}
