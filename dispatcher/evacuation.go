package dispatcher

import "slices"

// SetEvacuated sets whether the agent is in an evacuated zone and gets no tasks.
func (d *Dispatcher[J]) SetEvacuated(name string, evacuated bool) {
	a := d.agents[name]
	if a == nil || a.evacuated == evacuated {
		return
	}
	a.evacuated = evacuated
	if evacuated {
		d.evacuatedAgents++
	} else {
		d.evacuatedAgents--
	}
}

// EvacuatedAgents returns the number of agents in evacuated zones.
func (d *Dispatcher[J]) EvacuatedAgents() int { return d.evacuatedAgents }

// OnlyEvacuated reports whether agents could run a task of the job, whatever they run
// now, but all of them are in evacuated zones.
func (d *Dispatcher[J]) OnlyEvacuated(j *Job[J]) bool {
	found := false
	for _, a := range d.agentList {
		if !a.capacity.Covers(j.Need) || j.RequiredLabel != "" && !slices.Contains(a.labels, j.RequiredLabel) {
			continue
		}
		if !a.evacuated {
			return false
		}
		found = true
	}
	return found
}
