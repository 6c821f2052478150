package dispatcher

import (
	"time"

	"mustardlever.dev/mustardlever/profiler"
	"mustardlever.dev/mustardlever/sizer"
)

// AgentView describes an agent to operators as the dispatcher sees it.
type AgentView struct {
	Capacity            sizer.Resources `json:"capacity"`
	FreeCapacity        sizer.Resources `json:"room"`              // free capacity: as last reported, minus the unreported starts
	OfferedElsewhere    int             `json:"offered-elsewhere"` // free capacity that it has offered to other entries, in thousandths of a core
	UnreportedStarts    int             `json:"unreported-starts"` // starts that its last report did not include
	Slowness            float64         `json:"slowness"`          // expected ratio of a task's duration to its estimate
	ConsecutiveFailures int             `json:"failures-in-row"`   // failed tasks since the last success
	SuspendedMillis     int64           `json:"paused-ms"`         // time until its suspension ends; 0: not suspended
	OnProbation         bool            `json:"on-trial"`          // on probation: gets one task at a time until one succeeds

	Cold     bool              `json:"cold,omitempty"`     // its backend server warms up, which may limit the free capacity
	Profile  *profiler.Profile `json:"profile,omitempty"`  // as last reported; nil: none
	Excluded bool              `json:"excluded,omitempty"` // gets no tasks, since by its profile nearly all of them fail
}

// View describes an agent to operators. It is zero for an unknown agent.
func (d *Dispatcher[J]) View(now time.Time, name string) AgentView {
	a := d.agents[name]
	if a == nil {
		return AgentView{}
	}
	v := AgentView{
		Capacity: a.capacity, FreeCapacity: a.freeCapacity, OfferedElsewhere: a.offeredElsewhere, UnreportedStarts: len(a.unreported), Slowness: a.slowness,
		ConsecutiveFailures: a.consecutiveFailures, OnProbation: a.onProbation,
	}
	v.Excluded, v.Cold = a.excluded, a.cold
	if a.profile != (profiler.Profile{}) {
		p := a.profile
		v.Profile = &p
	}
	if !a.suspendedUntil.IsZero() {
		v.SuspendedMillis = max(a.suspendedUntil.Sub(now).Milliseconds(), 0)
	}
	return v
}
