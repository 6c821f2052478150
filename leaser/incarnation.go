package leaser

import "time"

// origin tells which incarnation of the backend server an answer describes.
type origin int

const (
	originPresent origin = iota
	originEarlier        // one that has been replaced
	originLater          // one that has replaced the known one
)

// originOf returns the origin of the answer to a call. The order of incarnations follows
// from the order of calls alone: a call that was sent after an answer of the known
// incarnation cannot be answered by an earlier one, and an answer to a call that was sent
// before may be late. Start times are wall-clock times and may go back.
func (l *Leaser) originOf(c Call, a Answer) origin {
	sentSince := c.serial > l.knownSince
	switch {
	case a.StartedAt != 0 && a.StartedAt == l.startedAt:
		return originPresent
	case !sentSince, a.StartedAt != 0 && l.startedAt == 0 && a.StartedAt == l.replacedAt:
		return originEarlier
	case l.startedAt == 0, a.StartedAt == 0 && a.Status != StatusWrongIncarnation:
		return originPresent // while none is known, every call fails until the next report
	}
	return originLater
}

// Present reports whether the known incarnation of the backend server started at
// startedAt.
func (l *Leaser) Present(startedAt int64) bool { return startedAt != 0 && startedAt == l.startedAt }

// Probe returns a call that asks for the incarnation of the backend server that a status
// report names, without an effect on leases and runs. Its answer must be passed to
// HandleProbe instead of HandleAnswer. rejected is the probe before at this address if
// its token was too low, else the zero value.
func (l *Leaser) Probe(rejected Call) Call {
	l.serial++
	c := Call{Kind: KindRenew, Token: l.token, serial: l.serial, startedAt: l.startedAt}
	if rejected.serial != 0 {
		c.increment = nextIncrement(rejected.increment)
		c.Token = min(max(c.Token, rejected.Token)+c.increment, maxToken)
	}
	return c
}

// HandleProbe processes the answer to a probe for the incarnation that started at
// startedAt. It reports whether the answer shows that incarnation as the present one. The
// earlier incarnation has then ended, with its runs, and no fencing token is known to the
// present one. If moved is set, the probe was sent to another address than the calls
// before, where the earlier incarnation may run on: then the answer counts only once the
// leases there have expired.
func (l *Leaser) HandleProbe(now time.Time, c Call, a Answer, startedAt int64, moved bool) bool {
	switch {
	case a.Status != StatusDone, a.StartedAt != startedAt:
		return false
	case l.Present(startedAt):
		return true
	case c.serial <= l.knownSince, moved && l.holdsLease(now):
		return false
	}
	l.token = max(l.token, c.Token)
	l.resetAfterRestart(now, startedAt)
	return true
}

// holdsLease reports whether a run may be active, if the backend server gets no further
// calls.
func (l *Leaser) holdsLease(now time.Time) bool {
	for _, r := range l.runs {
		if !l.expired(now, r) {
			return true
		}
	}
	return false
}

// resetAfterRestart ends the active runs, clears what was known of the earlier
// incarnation and starts a reconciliation. startedAt is 0 if the start time of the new
// incarnation is unknown.
func (l *Leaser) resetAfterRestart(now time.Time, startedAt int64) {
	l.endRestarted(now)
	l.endWithheld()
	if l.startedAt != 0 {
		l.replacedAt = l.startedAt
	}
	l.setIncarnation(startedAt)
	l.lastEnd, l.ackedEnds, l.maxUntil, l.inherited = 0, 0, 0, true
	l.confirmLosses()
	l.clockReadAt, l.retryAt, l.consecutiveFailures = time.Time{}, time.Time{}, 0
	l.Reconcile(now)
}

// setIncarnation sets the known incarnation. Calls that were sent before do not tell of
// later ones.
func (l *Leaser) setIncarnation(startedAt int64) {
	if startedAt != l.startedAt || startedAt == 0 {
		l.startedAt, l.knownSince = startedAt, l.serial
	}
}
