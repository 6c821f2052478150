package dispatcher

import (
	"time"

	"mustardlever.dev/mustardlever/sizer"
)

// AgentView is what operators see of the queue's view of an agent.
type AgentView struct {
	Capacity   sizer.Resources `json:"capacity"`
	Room       sizer.Resources `json:"room"`              // by its last word, less the starts sent since
	Unreported int             `json:"unreported-starts"` // starts that its last word did not count
	Slowness   float64         `json:"slowness"`          // time of a task by its estimate
	Failures   int             `json:"failures-in-row"`   // of tasks
	PausedMs   int64           `json:"paused-ms"`         // until it is tried again; 0: it is not paused
	OnTrial    bool            `json:"on-trial"`          // one task at a time
}

// View returns what is known of an agent. It is zero for one that is not known.
func (d *Dispatcher[J]) View(now time.Time, name string) AgentView {
	a := d.agents[name]
	if a == nil {
		return AgentView{}
	}
	v := AgentView{
		Capacity: a.capacity, Room: a.room, Unreported: len(a.unreported), Slowness: a.slowness,
		Failures: a.failures, OnTrial: a.trial,
	}
	if !a.paused.IsZero() {
		v.PausedMs = max(a.paused.Sub(now).Milliseconds(), 0)
	}
	return v
}
