package leaser

import (
	"cmp"
	"slices"
	"time"
)

// RunView is the state of a run in operators' views.
type RunView struct {
	Task      string `json:"task"`
	Number    int    `json:"run"`
	State     string `json:"state"` // "starting", "doubtful" or "running"
	AgeMillis int64  `json:"age-ms"`
	Stopping  bool   `json:"stopping"`
}

// View is the state of the leases at a backend server in operators' views.
type View struct {
	Reconciled        bool      `json:"clean"`         // every run that may be active there is known
	Unresponsive      bool      `json:"silent"`        // several renewals in a row have failed
	Renewing          bool      `json:"renewing"`      // leases are renewed
	LeaseLeftMillis   int64     `json:"lease-left-ms"` // until all active runs have certainly ended, unless renewed
	LastContactMillis int64     `json:"heard-ms"`      // since a renewal or reconciliation call last succeeded; -1: none yet
	Token             int64     `json:"fence"`         // newest fencing token
	Runs              []RunView `json:"runs"`          // ordered by task
}

// View returns the state of the leases for operators.
func (l *Leaser) View(now time.Time) View {
	v := View{
		Reconciled: l.reconciled, Unresponsive: l.Unresponsive(), Renewing: l.leaseDuration(now) > 0, Token: l.token, LastContactMillis: -1,
		LeaseLeftMillis: max(l.leaseExpiry.Sub(now).Milliseconds(), 0), Runs: make([]RunView, 0, len(l.runs)),
	}
	if !l.lastContact.IsZero() {
		v.LastContactMillis = now.Sub(l.lastContact).Milliseconds()
	}
	for _, r := range l.runs {
		v.Runs = append(v.Runs, RunView{r.task, r.number, r.state.String(), now.Sub(r.requestedAt).Milliseconds(), r.stopping})
	}
	slices.SortFunc(v.Runs, func(a, b RunView) int { return cmp.Compare(a.Task, b.Task) })
	return v
}
