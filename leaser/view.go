package leaser

import (
	"cmp"
	"slices"
	"time"
)

// RunView is what operators see of a run.
type RunView struct {
	Task     string `json:"task"`
	Number   int    `json:"run"`
	State    string `json:"state"` // "starting", "doubtful" or "running"
	AgeMs    int64  `json:"age-ms"`
	Stopping bool   `json:"stopping"`
}

// View is what operators see of the leases at a backend server.
type View struct {
	Reconciled    bool      `json:"clean"`         // everything that may run there is known here
	Unresponsive  bool      `json:"silent"`        // several calls in a row were not answered
	Renewing      bool      `json:"renewing"`      // leases are renewed
	LeaseMs       int64     `json:"lease-left-ms"` // until what runs has surely ended, unless it is renewed
	LastContactMs int64     `json:"heard-ms"`      // since a call was answered; -1: none yet
	Token         int64     `json:"fence"`         // newest fencing token
	Runs          []RunView `json:"runs"`          // by task
}

// View returns what operators see of the leases.
func (l *Leaser) View(now time.Time) View {
	v := View{
		Reconciled: l.clean, Unresponsive: l.Unresponsive(), Renewing: l.mayRenew(now), Token: l.fence, LastContactMs: -1,
		LeaseMs: max(l.leased.Sub(now).Milliseconds(), 0), Runs: make([]RunView, 0, len(l.runs)),
	}
	if !l.heard.IsZero() {
		v.LastContactMs = now.Sub(l.heard).Milliseconds()
	}
	for _, r := range l.runs {
		v.Runs = append(v.Runs, RunView{r.task, r.number, r.state.String(), now.Sub(r.since).Milliseconds(), r.stopping})
	}
	slices.SortFunc(v.Runs, func(a, b RunView) int { return cmp.Compare(a.Task, b.Task) })
	return v
}
