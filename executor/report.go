package executor

import (
	"time"

	"mustardlever.dev/mustardlever/leaser"
	"mustardlever.dev/mustardlever/sizer"
)

// Report is a status report of a backend server.
type Report struct {
	ID        string          `json:"id"` // usually identifies one incarnation
	Service   string          `json:"service"`
	Address   string          `json:"address"` // host:port
	StartedAt int64           `json:"born-ms"` // start time, Unix ms
	Number    int64           `json:"number"`  // increases with each report of one incarnation
	Ready     bool            `json:"ready"`   // accepts tasks; false while draining
	Capacity  sizer.Resources `json:"capacity"`
	Labels    []string        `json:"labels,omitempty"`
	Zone      string          `json:"zone,omitempty"`

	ColdMillis int64 `json:"cold-ms,omitempty"` // until the backend server has warmed up; 0: it is warm, or does not say
}

// sameServer reports whether both reports come from one incarnation of a backend
// server at one address. A report without an address comes from none.
func (r Report) sameServer(other Report) bool {
	return r.Address != "" && r.Address == other.Address && r.ID == other.ID && r.StartedAt == other.StartedAt
}

// RestoreReport processes a report that an earlier process of this agent has saved, so
// that the backend server is used before its next report. Like any other report it has no
// effect unless the server confirms it.
func (x *LeasedExecutor) RestoreReport(r Report) {
	if !x.acceptsService(r) {
		return
	}
	x.mu.Lock()
	if x.saved.Address == "" {
		x.saved = r
	}
	x.mu.Unlock()
	x.awaitConfirmation(r, true)
}

// acceptsService reports whether the report is of the agent's service, and logs it if not.
func (x *LeasedExecutor) acceptsService(r Report) bool {
	if r.Service != x.Service {
		x.Log.WithFields(logFields(r)).Warn("Agent ignores a report of another service.")
	}
	return r.Service == x.Service
}

// HandleReport processes a report of the backend server. A report of the incarnation in
// force takes effect at once. Any other one takes effect when the server confirms it, for
// which HandleReport waits until the first probe has been answered. It reports whether r
// is in force.
func (x *LeasedExecutor) HandleReport(r Report) bool {
	if !x.acceptsService(r) {
		return false
	}
	known := false
	x.update(func(l *leaser.Leaser, now time.Time) {
		if known = x.report.sameServer(r) && l.Present(r.StartedAt); known {
			x.useReport(l, now, r, false)
		}
	})
	if !known {
		select {
		case <-x.awaitConfirmation(r, false):
		case <-x.ctx.Done():
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.report.sameServer(r) && x.report.Number == r.Number
}

// useReport puts a report of the present incarnation into force, unless it is older than
// the one in force or its number is far above. That the server drains takes effect in any
// case. The caller holds mu.
func (x *LeasedExecutor) useReport(l *leaser.Leaser, now time.Time, r Report, restored bool) {
	current := x.report
	log := x.Log.WithFields(logFields(r))
	needed := maxMissedReports // reports in a series that replace the one in force
	if !current.Ready {
		needed = drainingSeries
	}
	follows := r.Number > current.Number && r.Number-current.Number <= maxNumberStep
	switch {
	case !r.sameServer(current):
		log.Info("Backend server is new, restarted or at a new address.")
	case follows:
	case !r.Ready:
		x.report.Ready, x.deviating = false, reportSeries{}
		l.SetDraining(true)
		return
	case x.deviating.add(r.Number, now, x.ReportInterval) < needed:
		log.Debug("Agent ignores a report: its number does not follow the one in force.")
		return
	default:
		log.WithField("current", logFields(current)).Warn("Agent drops the report in force: the backend server goes on with other ones.")
	}
	x.deviating = reportSeries{}
	x.report, x.reportedAt, x.restored = r, now, restored
	l.SetDraining(!r.Ready)
}

// HandleStopped is called when the graceful shutdown of the backend server with the given
// id is announced. That has no effect: a server that leaves reports before that it drains,
// and the announcement may be late, or of another writer.
func (x *LeasedExecutor) HandleStopped(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.report.ID == id && x.report.Ready {
		x.Log.WithFields(logFields(x.report)).Info("Agent ignores the shutdown of its backend server, which has not reported that it drains.")
	}
}
