package leaser

import "time"

// HandleAnswer takes the answer to a call, or that there was none.
func (l *Leaser) HandleAnswer(now time.Time, c Call, a Answer) {
	switch {
	case c.Kind == KindRenew && c.look:
		l.looking = false
	case c.Kind == KindRenew:
		l.holding--
	}
	if a.Status == StatusWrongInstance || a.StartedAt != 0 && l.born != 0 && a.StartedAt != l.born {
		l.reborn(now, a.StartedAt)
		return
	}
	if c.born != l.born && l.born != 0 && c.born != 0 {
		return // it was meant for an earlier incarnation, all of which is settled
	}
	if a.StartedAt != 0 {
		l.born = a.StartedAt
	}
	if a.Clock != 0 {
		l.clock, l.clockAt = a.Clock, now
	}
	switch c.Kind {
	case KindStart:
		l.startAnswered(now, c, a)
	case KindRenew:
		l.holdAnswered(now, c, a)
	case KindStop:
		if a.Status == StatusFenced {
			l.raise(c)
		}
	}
	l.Tick(now)
}

// HandleRestart notes that the backend server has begun anew: nothing of before runs,
// and it knows no fencing token.
func (l *Leaser) HandleRestart(now time.Time, born int64) {
	if born != l.born {
		l.reborn(now, born)
	}
}

func (l *Leaser) reborn(now time.Time, born int64) {
	l.endRunning(now)
	l.born, l.seen, l.through, l.granted = born, 0, 0, 0
	l.clockAt, l.retryAt, l.failures = time.Time{}, time.Time{}, 0
	l.looking = false
	l.Reconcile(now)
}

// raise lifts the token above one that was too low.
func (l *Leaser) raise(c Call) {
	if c.Token == l.fence {
		l.fence += fenceLeap
	}
}

func (l *Leaser) startAnswered(now time.Time, c Call, a Answer) {
	r := l.runs[c.id]
	if r == nil || r.state != starting {
		return
	}
	switch a.Status {
	case StatusDone:
		r.state, r.known = running, l.serial
		if r.stopping {
			l.stop(now, r)
		}
	case StatusNoAnswer, StatusWrongInstance:
		l.doubt(now, r)
	case StatusFenced:
		l.raise(c)
		l.again(now, r)
	case StatusStaleRunNumber:
		r.number += numberLeap
		l.again(now, r)
	case StatusLeaseExpired:
		l.again(now, r)
	case StatusInvalid:
		l.end(now, r, EndFailed, true)
	default:
		l.end(now, r, EndStopped, false)
	}
}

// again sends a start once more that was surely not carried out.
func (l *Leaser) again(now time.Time, r *run) {
	if r.tries >= maxTries || r.stopping {
		l.end(now, r, EndStopped, false)
		return
	}
	l.start(now, r)
}

// doubt carries out rule 1: the token is raised, and a hold with the new one
// will tell what became of the start. It does not wait for an earlier hold.
func (l *Leaser) doubt(now time.Time, r *run) {
	r.state = doubtful
	if r.fence == l.fence {
		l.fence++
		l.sendHold(now)
	}
}

func (l *Leaser) holdAnswered(now time.Time, c Call, a Answer) {
	if a.Status != StatusDone {
		l.holdFailed(now, c, a)
		return
	}
	l.failures, l.heard = 0, now
	l.through = max(l.through, c.AckedEnds)
	active := make(map[ActiveRun]bool, len(a.Active))
	for _, x := range a.Active {
		active[x] = true
	}
	for _, x := range a.Ended {
		l.ended(now, x)
	}
	for _, r := range l.runs {
		l.compare(now, r, c, active, len(a.Ended) >= fullPage)
	}
	if !l.clean && c.look {
		l.tidy(now, a)
	}
}

// holdFailed has a hold sent again by Tick. A look that was not answered must
// not act later.
func (l *Leaser) holdFailed(now time.Time, c Call, a Answer) {
	if a.Status == StatusFenced {
		l.raise(c)
		return
	}
	l.failures++
	if l.failures > silentHolds {
		l.retryAt = now.Add(holdRetry)
	}
	if c.look {
		l.fence++
	}
}

// ended takes in one end of the backend server's list.
func (l *Leaser) ended(now time.Time, x EndedRun) {
	if x.Serial <= l.seen {
		return
	}
	l.seen = x.Serial
	if r := l.byName[x.Task]; r != nil && r.number == x.Number {
		l.end(now, r, x.Reason, true)
	}
}

// compare settles a run by the list of what is active.
func (l *Leaser) compare(now time.Time, r *run, c Call, active map[ActiveRun]bool, more bool) {
	there := active[ActiveRun{r.task, r.number}]
	switch {
	case r.state == doubtful && there:
		// Answers to calls sent before may still come, and may be older than the run.
		r.state, r.known = running, l.serial
		if r.stopping {
			l.stop(now, r)
		}
	case r.state == doubtful && c.Token > r.fence && !more:
		l.end(now, r, EndStopped, false) // no older call can act any more
	case r.state == running && !there && c.serial > r.known && !more:
		l.end(now, r, EndStopped, true) // it ended, and its end was forgotten
	}
}

// tidy carries out rule 3: what runs and is not known here is stopped, and
// looked at again until it has ended. The first look of a process tells only
// that its token is not below those that were seen; an earlier process may have
// sent a start with a higher one. A leap above the accepted token passes it.
func (l *Leaser) tidy(now time.Time, a Answer) {
	foreign := 0
	for _, x := range a.Active {
		if r := l.byName[x.Task]; r == nil || r.number != x.Number {
			foreign++
			l.call(now, Call{Kind: KindStop, Task: x.Task, Number: x.Number})
		}
	}
	if foreign > 0 || len(a.Ended) >= fullPage {
		l.look(now, l.Settings.Poll)
		return
	}
	if !l.leapt {
		l.leapt = true
		l.fence += fenceLeap
		l.look(now, 0)
		return
	}
	l.clean = true
}
