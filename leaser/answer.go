package leaser

import "time"

// HandleAnswer processes the answer to a call, or the lack of one
// (StatusNoAnswer).
func (l *Leaser) HandleAnswer(now time.Time, c Call, a Answer) {
	newestReconcile := c.serial == l.reconcileInFlight
	switch {
	case c.Kind == KindRenew && !c.reconcile:
		l.renewalsInFlight--
	case newestReconcile:
		l.reconcileInFlight = 0
	}
	defer l.settleWithheld(now, c, a)
	if a.Status == StatusWrongIncarnation {
		a = Answer{Status: a.Status} // of one that cannot be called before its report
	}
	switch l.originOf(c, a) {
	case originEarlier:
		return // resetAfterRestart has ended the runs of that incarnation
	case originLater:
		l.resetAfterRestart(now, a.StartedAt)
		return
	}
	if a.StartedAt != 0 {
		l.setIncarnation(a.StartedAt)
		l.retractLosses(c)
	}
	if a.ClockMillis != 0 {
		l.serverClock, l.clockReadAt = a.ClockMillis, now
	}
	if a.Status == StatusNoAnswer && c.LeaseEndMillis != 0 {
		l.unansweredSerial = l.serial
	}
	l.extendForeignExpiry(now, c, a)
	l.recordConfirmation(c, a)
	switch c.Kind {
	case KindStart:
		l.handleStartAnswer(now, c, a)
	case KindRenew:
		l.handleRenewalAnswer(now, c, a, newestReconcile)
	case KindStop:
		l.handleStopAnswer(now, c, a)
	}
	l.Tick(now)
}

// handleStopAnswer repeats a stop that was rejected for its token. Tick repeats any other
// one that has no effect.
func (l *Leaser) handleStopAnswer(now time.Time, c Call, a Answer) {
	if a.Status != StatusFenced {
		return
	}
	l.raiseToken(c)
	if r := l.runs[c.id]; r != nil && r.state == running {
		l.sendStop(now, r)
	}
}

func (l *Leaser) handleStartAnswer(now time.Time, c Call, a Answer) {
	r := l.runs[c.id]
	if r == nil || r.state != starting {
		return
	}
	switch a.Status {
	case StatusDone:
		r.state, r.confirmedSerial = running, l.serial
		r.acknowledged, r.startedBy = true, a.StartedAt
		if r.stopping {
			l.sendStop(now, r)
		}
	case StatusNoAnswer, StatusWrongIncarnation:
		l.markUnconfirmed(now, r)
	case StatusFenced:
		l.raiseToken(c)
		l.retryStart(now, r)
	case StatusStaleRunNumber:
		r.number += runNumberIncrement
		l.retryStart(now, r)
	case StatusLeaseExpired:
		l.retryStart(now, r)
	case StatusInvalid:
		l.endRun(now, r, EndFailed, true)
	default:
		l.endRun(now, r, EndStopped, false)
	}
}

// retryStart retries a start that the backend server has rejected, up to
// maxStartAttempts.
func (l *Leaser) retryStart(now time.Time, r *run) {
	if r.attempts >= maxStartAttempts || r.stopping {
		l.endRun(now, r, EndStopped, false)
		return
	}
	l.sendStart(now, r)
}

// markUnconfirmed handles a start without an answer (rule 1): it raises the token
// and sends a renewal with it, whose answer shows whether the run was started. It
// does not wait for a renewal that is in flight.
func (l *Leaser) markUnconfirmed(now time.Time, r *run) {
	r.state = unconfirmed
	if r.token == l.token {
		l.token++
		l.sendRenewal(now)
	}
}

func (l *Leaser) handleRenewalAnswer(now time.Time, c Call, a Answer, newestReconcile bool) {
	if a.Status != StatusDone {
		l.handleRenewalFailure(now, c, a)
		return
	}
	l.consecutiveFailures, l.lastContact, l.fenceIncrement = 0, now, 0
	l.ackedEnds = max(l.ackedEnds, c.AckedEnds)
	l.extendAfterUnanswered(now, c)
	active := make(map[ActiveRun]bool, len(a.Active))
	for _, e := range a.Active {
		active[e] = true
	}
	for _, e := range a.Ended {
		l.processEnd(now, e)
	}
	for _, r := range l.runs {
		l.reconcileRun(now, r, c, active, a.incomplete())
	}
	switch {
	case !l.reconciled && newestReconcile:
		l.advanceReconciliation(now, c, a)
	case l.reconciled && c.serial > l.endSerial && l.stopUnknown(c, a) > 0:
		l.Reconcile(now)
	}
}

// handleRenewalFailure records a failed renewal, which Tick retries. If there was no answer
// or it was a reconciliation call, it raises the token, so that the failed call is rejected
// if it arrives after the next one. The token rejects starts in flight too: it is not raised
// again if the next call has a higher one already.
func (l *Leaser) handleRenewalFailure(now time.Time, c Call, a Answer) {
	if a.Status == StatusFenced {
		l.raiseToken(c)
		return
	}
	l.consecutiveFailures++
	switch {
	case l.consecutiveFailures < unresponsiveFailures:
	case len(l.runs) == 0 && l.reconciled:
		l.retryAt = now.Add(idleRetryDelay)
	case l.consecutiveFailures > unresponsiveFailures:
		l.retryAt = now.Add(renewalRetryDelay)
	}
	if c.reconcile || a.Status == StatusNoAnswer && c.Token == l.token {
		l.token++
	}
}

// processEnd processes one ended run of the backend server's list, unless an
// earlier answer listed it.
func (l *Leaser) processEnd(now time.Time, e EndedRun) {
	if e.Serial <= l.lastEnd {
		return
	}
	l.lastEnd = e.Serial
	if r := l.byTask[e.Task]; r != nil && r.number == e.Number {
		l.endRun(now, r, e.Reason, true)
	}
}

// reconcileRun updates a run from the list of active runs. While the lists are
// incomplete, a run that is not listed as active may be active or have an end that is
// yet to be read.
func (l *Leaser) reconcileRun(now time.Time, r *run, c Call, active map[ActiveRun]bool, incomplete bool) {
	listed := active[ActiveRun{r.task, r.number}]
	if listed && r.startedBy == 0 {
		r.startedBy = l.startedAt
		if r.calledAt != l.startedAt {
			l.extendExpiry(now.Add(onSlowClock(l.Settings.MaxLease))) // its lease end is by another clock
		}
	}
	switch {
	case r.state == unconfirmed && listed:
		// Answers to calls that were sent earlier may still arrive, and may list the
		// state before the run began.
		r.state, r.confirmedSerial, r.serverLost = running, l.serial, false
		if r.stopping {
			l.sendStop(now, r)
		}
	case r.state == unconfirmed && c.Token > r.token && !incomplete:
		l.endRun(now, r, EndStopped, r.acknowledged) // calls with an older token are rejected from now on
	case r.state == running && !listed && c.serial > r.confirmedSerial && !incomplete:
		l.endRun(now, r, EndStopped, true) // it ended, and the backend server has forgotten its end
	}
}

// advanceReconciliation stops the unknown runs of an answer and repeats the
// reconciliation call until they have ended (rule 3). The first accepted call of a
// process shows only that its token is not below those that the backend server has
// seen; an earlier process may have sent a start with a higher token that arrives
// later. One more call with the token raised by tokenIncrement fences that start.
func (l *Leaser) advanceReconciliation(now time.Time, c Call, a Answer) {
	if l.stopUnknown(c, a) > 0 || a.incomplete() {
		l.sendReconcile(now, l.Settings.RenewalWait)
		return
	}
	if !l.tokenRaised {
		l.tokenRaised = true
		l.token += tokenIncrement
		l.sendReconcile(now, 0)
		return
	}
	l.reconciled, l.inherited = true, false
	// Calls that the backend server executed before this one may have set a longer lease.
	l.extendExpiry(now.Add(onSlowClock(l.Settings.MaxLease)))
}

// stopUnknown stops the active runs of the answer to c that this process does not know,
// and returns their number.
func (l *Leaser) stopUnknown(c Call, a Answer) int {
	unknown := 0
	for _, e := range a.Active {
		if r := l.byTask[e.Task]; r == nil || r.number != e.Number {
			unknown++
			l.queueCall(Call{Kind: KindStop, Task: e.Task, Number: e.Number, resurfaced: !l.inherited && c.serial > l.endSerial})
		}
	}
	return unknown
}
