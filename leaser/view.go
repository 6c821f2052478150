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
	Clean    bool      `json:"clean"`         // everything that may run there is known here
	Silent   bool      `json:"silent"`        // several calls in a row were not answered
	Renewing bool      `json:"renewing"`      // leases are renewed
	LeaseMs  int64     `json:"lease-left-ms"` // until what runs has surely ended, unless it is renewed
	HeardMs  int64     `json:"heard-ms"`      // since a call was answered; -1: none yet
	Fence    int64     `json:"fence"`         // newest fencing token
	Runs     []RunView `json:"runs"`          // by task
}

// View returns what operators see of the leases.
func (l *Leaser) View(now time.Time) View {
	v := View{
		Clean: l.clean, Silent: l.Silent(), Renewing: l.mayRenew(now), Fence: l.fence, HeardMs: -1,
		LeaseMs: max(l.leased.Sub(now).Milliseconds(), 0), Runs: make([]RunView, 0, len(l.runs)),
	}
	if !l.heard.IsZero() {
		v.HeardMs = now.Sub(l.heard).Milliseconds()
	}
	for _, r := range l.runs {
		v.Runs = append(v.Runs, RunView{r.task, r.number, r.state.String(), now.Sub(r.since).Milliseconds(), r.stopping})
	}
	slices.SortFunc(v.Runs, func(a, b RunView) int { return cmp.Compare(a.Task, b.Task) })
	return v
}
