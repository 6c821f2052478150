package leaser

import (
	"slices"
	"time"
)

// leaseDuration returns how long a lease that begins now may last, 0 or less if leases
// must not be extended (rule 4): beyond stopLease after a stop, or beyond a fixed time
// after the last contact with an owner of a run.
func (l *Leaser) leaseDuration(now time.Time) time.Duration {
	d := l.Settings.Lease
	for _, r := range l.runs {
		if r.stopIneffective(now) {
			return 0
		}
		if r.stopping {
			d = min(d, r.stopRequestedAt.Add(stopLease).Sub(now))
		}
		d = min(d, l.ownerLimit(now, r))
	}
	return d
}

// stopIneffective reports whether a stop has been without effect for stopTimeout.
func (r *run) stopIneffective(now time.Time) bool {
	return r.stopping && now.Sub(r.stopRequestedAt) >= stopTimeout
}

// ownerLimit returns how long a lease that begins now may last because of the last
// contact with the owner of a run.
func (l *Leaser) ownerLimit(now time.Time, r *run) time.Duration {
	if r.owner == "" {
		return l.Settings.Lease
	}
	return r.contactAt.Add(l.Settings.OwnerTimeout).Sub(now)
}

// Limited reports whether leases are kept short because an owner is silent or a stop has
// no effect.
func (l *Leaser) Limited(now time.Time) bool {
	for _, r := range l.runs {
		if r.stopIneffective(now) || l.ownerLimit(now, r) < l.Settings.Lease {
			return true
		}
	}
	return false
}

// Owners returns the owners of runs that are not being stopped, sorted.
func (l *Leaser) Owners() []string {
	var owners []string
	for _, r := range l.runs {
		if r.owner != "" && !r.stopping && !slices.Contains(owners, r.owner) {
			owners = append(owners, r.owner)
		}
	}
	slices.Sort(owners)
	return owners
}

// SetContact records when the last contact with an owner was. Runs that are being
// stopped keep the time of the contact before: the owner no longer vouches for them.
func (l *Leaser) SetContact(owner string, at time.Time) {
	for _, r := range l.runs {
		if r.owner == owner && !r.stopping && at.After(r.contactAt) {
			r.contactAt = at
		}
	}
}

// mayOutlast reports whether a run that starts now might hold a lease for longer than
// Settings.StartTimeout after the last contact with its owner: a lease that is longer than
// the run's own is not shortened.
func (l *Leaser) mayOutlast(now time.Time, r *run) bool {
	expiry := now.Add(onSlowClock(l.leaseDuration(now)))
	if l.leaseExpiry.After(expiry) {
		expiry = l.leaseExpiry
	}
	return r.owner != "" && expiry.Sub(r.contactAt) > l.Settings.StartTimeout
}

// extendLeases sets the lease end that a call names to that of a lease that begins now,
// in ms of the backend server's clock, or leaves it 0 while that clock is unknown. That
// clock may run slow, so the lease may be shorter than leaseDuration, by maxClockDrift of
// the time since the clock was read, but not longer. It reports whether leases may be
// extended.
func (l *Leaser) extendLeases(now time.Time, c *Call) bool {
	d := l.leaseDuration(now)
	if d <= 0 || l.clockReadAt.IsZero() {
		return d > 0
	}
	elapsed := time.Duration(float64(now.Sub(l.clockReadAt)) * (1 - maxClockDrift))
	c.LeaseEndMillis = l.serverClock + elapsed.Milliseconds() + d.Milliseconds()
	if c.LeaseEndMillis > l.maxUntil {
		l.maxUntil = c.LeaseEndMillis
		l.extendExpiry(now.Add(onSlowClock(d)))
	}
	return true
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

// extendAfterUnanswered processes the answer to a renewal after another call, which named
// a lease end, got no answer. That call may have been executed late, and the time that it
// grants may have counted from then. The renewal has a higher token: from its answer on the
// call is rejected.
func (l *Leaser) extendAfterUnanswered(now time.Time, c Call) {
	if l.unansweredSerial != 0 && c.serial > l.unansweredSerial {
		l.unansweredSerial = 0
		l.extendExpiry(now.Add(onSlowClock(l.Settings.MaxLease)))
	}
}

// extendForeignExpiry processes the answer to a call that names a lease end, or the lack of
// one. If the answer names no incarnation, one by whose clock the end is not meant may have
// executed the call, up to now, and may have granted the longest lease.
func (l *Leaser) extendForeignExpiry(now time.Time, c Call, a Answer) {
	if c.LeaseEndMillis != 0 && a.StartedAt == 0 {
		l.foreignExpiry = now.Add(onSlowClock(l.Settings.MaxLease))
	}
}

// expired reports whether the lease of a run has certainly expired. If the incarnation
// that executed its start is unknown, it may hold the longest lease.
func (l *Leaser) expired(now time.Time, r *run) bool {
	expiry := l.leaseExpiry
	if r.startedBy == 0 {
		expiry = expiry.Add(onSlowClock(l.Settings.MaxLease - l.Settings.Lease))
		if l.foreignExpiry.After(expiry) {
			expiry = l.foreignExpiry
		}
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
