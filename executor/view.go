package executor

import (
	"time"

	"mustardlever.dev/mustardlever/leaser"
)

// View is what operators see of a backend server.
type View struct {
	Report
	ReportMs   int64 `json:"report-age-ms"` // since its last report; -1: none yet
	Remembered bool  `json:"remembered"`    // known from an earlier process, and not heard of since
	Offered    bool  `json:"offered"`       // entries may send it tasks
	leaser.View
}

// View returns what operators see of the backend server.
func (x *Leased) View() View {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	v := View{Report: x.report, ReportMs: -1, Remembered: x.remembered, Offered: x.offered, View: x.leaser.View(now)}
	if !x.heard.IsZero() {
		v.ReportMs = now.Sub(x.heard).Milliseconds()
	}
	return v
}
