package executor

import (
	"context"
	"slices"
	"time"

	"mustardlever.dev/mustardlever/leaser"
	"mustardlever.dev/mustardlever/pausedetector"
)

const (
	maxUnconfirmed   = 8                      // reports of different incarnations that wait for confirmation
	minProbeInterval = 50 * time.Millisecond  // after the first probe without an answer; doubles with each further one
	maxProbeInterval = 400 * time.Millisecond // between two probes for one report
	fencedInterval   = 20 * time.Millisecond  // after a probe whose fencing token was too low
	maxNumberStep    = 1 << 20                // between the numbers of two reports in succession
	drainingSeries   = 8                      // reports of a server that it is ready, after one that it drains
)

// unconfirmedReport is a report of an incarnation that is not known to be present. A
// report is only a claim of its sender, who may be another writer, or have been replaced
// since: it takes effect once the backend server has answered a probe.
type unconfirmedReport struct {
	report     Report // newest of this incarnation
	restored   bool   // report was saved by an earlier process
	receivedAt time.Time
	probed     chan struct{} // closed after the first probe
}

// reportSeries is a series of reports with rising numbers that arrive about as often as
// reports are sent, as those of a server do whose number in force is of another writer.
type reportSeries struct {
	number int64
	at     time.Time
	length int
}

// add adds the report with the given number and returns the length of the series.
func (s *reportSeries) add(number int64, now time.Time, interval time.Duration) int {
	switch {
	case s.length > 0 && number <= s.number:
		return s.length
	case s.length == 0 || now.Sub(s.at) >= interval/2:
		s.length, s.at = s.length+1, now
	}
	s.number = number
	return s.length
}

// awaitConfirmation probes for a report, together with others of the same incarnation.
// The returned channel is closed after the first probe.
func (x *LeasedExecutor) awaitConfirmation(r Report, restored bool) <-chan struct{} {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	for _, u := range x.unconfirmed {
		if !u.report.sameServer(r) {
			continue
		}
		draining := !r.Ready || !u.report.Ready
		if r.Number > u.report.Number {
			u.report, u.restored = r, restored
		}
		u.report.Ready = !draining
		u.receivedAt = now
		return u.probed
	}
	u := &unconfirmedReport{report: r, restored: restored, receivedAt: now, probed: make(chan struct{})}
	if len(x.unconfirmed) == maxUnconfirmed {
		x.unconfirmed = x.unconfirmed[1:]
	}
	x.unconfirmed = append(x.unconfirmed, u)
	x.goroutines.Go(func() { x.confirm(u) })
	return u.probed
}

// confirm probes until the backend server has confirmed or contradicted the report, or
// the report is too old.
func (x *LeasedExecutor) confirm(u *unconfirmedReport) {
	interval := minProbeInterval
	for probes := 1; x.ctx.Err() == nil; probes++ {
		status, settled := x.probe(u)
		if probes == 1 {
			close(u.probed)
		}
		switch {
		case settled:
			return
		case status == leaser.StatusFenced:
			pausedetector.Sleep(x.ctx, fencedInterval)
		default:
			pausedetector.Sleep(x.ctx, interval)
			interval = min(2*interval, maxProbeInterval)
		}
	}
}

// probe makes one call for an unconfirmed report and puts the report into force if the
// answer confirms it. settled reports that no further probe is needed.
func (x *LeasedExecutor) probe(u *unconfirmedReport) (status leaser.Status, settled bool) {
	x.mu.Lock()
	target := u.report
	waiting := x.waits(u)
	c := x.leaser.Probe(x.rejectedProbes[target.Address])
	x.mu.Unlock()
	if !waiting {
		return 0, true
	}
	ctx, cancel := context.WithTimeout(x.ctx, renewalSlack)
	defer cancel()
	a, _ := x.call(ctx, target, c)
	x.update(func(l *leaser.Leaser, now time.Time) {
		moved := x.report.Address != "" && x.report.Address != target.Address
		confirmed := l.HandleProbe(now, c, a, target.StartedAt, moved)
		contradicted := a.Status == leaser.StatusWrongIncarnation || a.Status == leaser.StatusInvalid ||
			a.Status == leaser.StatusDone && a.StartedAt != target.StartedAt
		expired := now.Sub(u.receivedAt) >= maxMissedReports*x.ReportInterval
		x.recordRejection(target.Address, c, a)
		settled = confirmed || contradicted || expired || !x.waits(u)
		if settled {
			x.removeUnconfirmed(u)
		}
		log := x.Log.WithFields(logFields(u.report)).WithField("verdict", a.Status.String())
		switch {
		case confirmed:
			x.useReport(l, now, u.report, u.restored)
		case contradicted:
			log.WithField("answered-born-ms", a.StartedAt).Warn("Agent ignores a report: the backend server at its address is another one.")
		case expired:
			log.Warn("Agent ignores a report: no backend server at its address has confirmed it.")
		}
	})
	return a.Status, settled
}

// recordRejection remembers a probe whose fencing token was too low, so that the next
// probe of that address has a higher one, also if the backend server restarts before: calls
// of an earlier process with a higher token may still arrive there. The caller holds mu.
func (x *LeasedExecutor) recordRejection(address string, c leaser.Call, a leaser.Answer) {
	switch a.Status {
	case leaser.StatusDone:
		delete(x.rejectedProbes, address)
	case leaser.StatusFenced:
		if x.rejectedProbes == nil || len(x.rejectedProbes) > maxUnconfirmed {
			x.rejectedProbes = make(map[string]leaser.Call)
		}
		x.rejectedProbes[address] = c
	}
}

// waits reports whether u still waits for confirmation. The caller holds mu.
func (x *LeasedExecutor) waits(u *unconfirmedReport) bool { return slices.Contains(x.unconfirmed, u) }

// removeUnconfirmed removes u. The caller holds mu.
func (x *LeasedExecutor) removeUnconfirmed(u *unconfirmedReport) {
	x.unconfirmed = slices.DeleteFunc(x.unconfirmed, func(other *unconfirmedReport) bool { return other == u })
}
