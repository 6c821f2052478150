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
	l.setIncarnation(startedAt)
	l.lastEnd, l.ackedEnds, l.maxUntil = 0, 0, 0
	l.presumedLosses = nil // they are certain now
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
