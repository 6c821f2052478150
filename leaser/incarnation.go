package leaser

import "time"

// origin tells which incarnation of the backend server an answer describes.
type origin int

const (
	originPresent origin = iota
	originEarlier        // one that has been replaced
	originLater          // one that has replaced the known one
)

// originOf returns the origin of the answer to a call. Answers may overtake each
// other, so that those of an earlier incarnation may arrive after the first ones of
// the present one. A call that was made to the known incarnation cannot be answered by
// an earlier one.
func (l *Leaser) originOf(c Call, a Answer) origin {
	sameTarget := c.startedAt == l.startedAt
	switch {
	case a.Status == StatusWrongIncarnation && l.startedAt == 0:
		return originPresent // the call fails, as all do until the next report
	case a.Status == StatusWrongIncarnation && sameTarget:
		return originLater
	case a.Status == StatusWrongIncarnation:
		return originEarlier
	case a.StartedAt == 0: // no answer, or one that does not say
		if sameTarget || c.startedAt == 0 || l.startedAt == 0 {
			return originPresent
		}
		return originEarlier
	case a.StartedAt == l.replacedAt, l.startedAt == 0 && a.StartedAt < l.replacedAt:
		return originEarlier
	case l.startedAt == 0 || a.StartedAt == l.startedAt:
		return originPresent
	case sameTarget || a.StartedAt > l.startedAt:
		return originLater
	}
	return originEarlier
}

// Present reports whether the known incarnation of the backend server started at
// startedAt.
func (l *Leaser) Present(startedAt int64) bool { return startedAt != 0 && startedAt == l.startedAt }

// Outdated reports whether a later incarnation of the backend server is known than the
// one that started at startedAt.
func (l *Leaser) Outdated(startedAt int64) bool {
	return startedAt < l.startedAt || startedAt != 0 && startedAt == l.replacedAt
}

// HandleRestart records that the backend server has restarted: its earlier runs
// have ended, and it has no fencing token. It has no effect if startedAt is that of
// the known incarnation or of an earlier one.
func (l *Leaser) HandleRestart(now time.Time, startedAt int64) {
	if startedAt != l.startedAt && !l.Outdated(startedAt) {
		l.resetAfterRestart(now, startedAt)
	}
}

// resetAfterRestart ends the active runs, clears what was known of the earlier
// incarnation and starts a reconciliation. startedAt is 0 if the start time of the new
// incarnation is unknown.
func (l *Leaser) resetAfterRestart(now time.Time, startedAt int64) {
	l.endRestarted(now)
	if l.startedAt != 0 {
		l.replacedAt = l.startedAt
	}
	l.startedAt, l.lastEnd, l.ackedEnds, l.maxUntil = startedAt, 0, 0, 0
	l.presumedLosses = nil // they are certain now
	l.clockReadAt, l.retryAt, l.consecutiveFailures = time.Time{}, time.Time{}, 0
	l.Reconcile(now)
}
