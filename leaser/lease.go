package leaser

import "time"

// leaseEnd returns the end of a lease that begins now, in ms of the backend
// server's clock, or 0 while that clock is unknown. That clock may run slow, so the
// lease may be shorter than Settings.Lease, by maxClockDrift of the time since the clock
// was read, but not longer.
func (l *Leaser) leaseEnd(now time.Time) int64 {
	if l.clockReadAt.IsZero() {
		return 0
	}
	elapsed := float64(now.Sub(l.clockReadAt)) * (1 - maxClockDrift)
	return l.serverClock + time.Duration(elapsed).Milliseconds() + l.Settings.Lease.Milliseconds()
}

// onSlowClock returns the longest time in which d elapses on the backend server's clock.
func onSlowClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + 2*maxClockDrift))
}

// extendExpiry records that leases may last until t.
func (l *Leaser) extendExpiry(t time.Time) {
	if t.After(l.leaseExpiry) {
		l.leaseExpiry = t
	}
}

// expired reports whether the lease of a run has certainly expired. If the incarnation
// that executed its start is unknown, it may hold the longest lease.
func (l *Leaser) expired(now time.Time, r *run) bool {
	expiry := l.leaseExpiry
	if r.startedBy == 0 {
		expiry = expiry.Add(onSlowClock(l.Settings.MaxLease - l.Settings.Lease))
	}
	return now.After(expiry)
}

// endExpired ends the runs that were confirmed to be active and whose leases have
// certainly expired, and starts a reconciliation if there are any. A start without an
// answer may still be executed: it stays unconfirmed until the reconciliation call shows
// its outcome (rule 1), and whether the backend server was lost.
func (l *Leaser) endExpired(now time.Time) {
	lost, ended := l.Unresponsive(), false
	for _, r := range l.runs {
		if r.state == running && l.expired(now, r) {
			l.markLost(r, lost)
			if r.serverLost {
				l.presumeLost(r)
			}
			l.endRun(now, r, EndStopped, true)
			ended = true
		}
	}
	if !ended {
		return
	}
	for _, r := range l.runs {
		if r.state != running {
			r.state = unconfirmed
		}
	}
	l.Reconcile(now)
}
