package leaser

import (
	"slices"
	"time"
)

const (
	// confirmationAge is how long after it was sent an answered renewal shows which
	// incarnation is present, while another renewal is in flight: a crash breaks that one. It
	// exceeds the longest time that a renewal takes.
	confirmationAge = 100 * time.Millisecond
	// idleConfirmationAge is the same while no renewal is in flight. A backend server was
	// seen to be back under its id 30 ms after it had crashed.
	idleConfirmationAge = 25 * time.Millisecond
)

// withheldStart is a request that waits until the incarnation it is meant for is confirmed.
type withheldStart struct {
	Request
	attempts int // confirming renewals that were rejected for their token
}

// confirmed reports whether the known incarnation of the backend server is certainly the
// present one: it has answered a renewal that was sent a short time ago, and no call has
// gone unanswered since.
func (l *Leaser) confirmed(now time.Time) bool {
	limit := idleConfirmationAge
	if l.renewalsInFlight > 0 {
		limit = confirmationAge
	}
	return l.startedAt != 0 && l.confirmedSerial > l.suspectedSerial && now.Sub(l.confirmedAt) < limit
}

// withhold keeps a request back until a renewal confirms the incarnation it is meant for.
// A backend server without runs is not called, and may have been replaced under its id
// by one of another kind. That renewal is the one that runs need in any case; it is sent
// before the start instead of beside it.
func (l *Leaser) withhold(now time.Time, q Request) {
	l.withheld = append(l.withheld, withheldStart{Request: q})
	if l.confirmingSerial == 0 || now.Sub(l.confirmingSentAt) >= idleConfirmationAge {
		l.sendConfirming(now)
	}
}

// sendConfirming sends a renewal that does not wait for a run to end.
func (l *Leaser) sendConfirming(now time.Time) {
	c := Call{Kind: KindRenew, AckedEnds: l.lastEnd, sentAt: now}
	l.renewalsInFlight++
	l.queueCall(c)
	l.confirmingSerial, l.confirmingSentAt = l.serial, now
}

// recordConfirmation records what an answer to a call tells of the incarnation.
func (l *Leaser) recordConfirmation(c Call, a Answer) {
	switch {
	case a.Status == StatusNoAnswer, a.Status == StatusWrongIncarnation:
		l.suspectedSerial = l.serial
	case c.Kind == KindRenew && a.Status == StatusDone && l.Present(a.StartedAt) && c.serial > l.confirmedSerial:
		l.confirmedSerial, l.confirmedAt = c.serial, c.sentAt
	}
}

// settleWithheld starts the withheld requests once the renewal that they wait for has
// confirmed their incarnation. They do not start if it has not.
func (l *Leaser) settleWithheld(now time.Time, c Call, a Answer) {
	if c.serial != l.confirmingSerial {
		return
	}
	l.confirmingSerial = 0
	withheld := l.withheld
	l.withheld = nil
	for _, w := range withheld {
		switch {
		case l.confirmedSerial >= c.serial && l.confirmedSerial > l.suspectedSerial:
			l.start(now, w.Request)
		case a.Status == StatusFenced && w.attempts < maxStartAttempts:
			w.attempts++
			l.withheld = append(l.withheld, w)
		default:
			l.ends = append(l.ends, End{ID: w.ID})
		}
	}
	if len(l.withheld) > 0 {
		l.sendConfirming(now)
	}
}

// endWithheld ends all withheld requests: nothing was started for them.
func (l *Leaser) endWithheld() {
	for _, w := range l.withheld {
		l.ends = append(l.ends, End{ID: w.ID})
	}
	l.withheld, l.confirmingSerial = nil, 0
}

// stopWithheld ends a withheld request, and reports whether there was one.
func (l *Leaser) stopWithheld(id uint64) bool {
	i := slices.IndexFunc(l.withheld, func(w withheldStart) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	l.withheld = slices.Delete(l.withheld, i, i+1)
	l.ends = append(l.ends, End{ID: id})
	return true
}
