package executor

import (
	"time"

	"mustardlever.dev/mustardlever/leaser"
)

// View is the state of a backend server as shown to operators.
type View struct {
	Report
	ReportAgeMillis int64 `json:"report-age-ms"` // ms since the last report arrived or was restored; -1: none yet
	Restored        bool  `json:"remembered"`    // the report was saved by an earlier process, and none has arrived since
	Unconfirmed     int   `json:"unconfirmed"`   // reports that wait for an answer of the backend server that they name
	Offered         bool  `json:"offered"`       // offered to the entries for tasks
	leaser.View

	// State of a warm-up, set by the agent.
	WarmUpMillis  int64   `json:"warm-up-ms,omitempty"` // until the backend server has warmed up; 0: its load is not limited
	AdmittedShare float64 `json:"admitted-share,omitempty"`
	WarmUpSlack   int     `json:"warm-up-slack,omitempty"` // tasks that may be started above that share
}

// View returns the state of the backend server as shown to operators.
func (x *LeasedExecutor) View() View {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	v := View{Report: x.report, ReportAgeMillis: -1, Restored: x.restored, Unconfirmed: len(x.unconfirmed), Offered: x.offered, View: x.leaser.View(now)}
	if !x.reportedAt.IsZero() {
		v.ReportAgeMillis = now.Sub(x.reportedAt).Milliseconds()
	}
	return v
}
