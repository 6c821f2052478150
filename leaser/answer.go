package leaser

import "time"

// Answered takes the answer to a call, or that there was none.
func (l *Leaser) Answered(now time.Time, c Call, a Answer) {
	switch {
	case c.Kind == KindHold && c.look:
		l.looking = false
	case c.Kind == KindHold:
		l.holding--
	}
	if a.Verdict == VerdictInstance || a.Born != 0 && l.born != 0 && a.Born != l.born {
		l.reborn(now, a.Born)
		return
	}
	if c.born != l.born && l.born != 0 && c.born != 0 {
		return // it was meant for an earlier incarnation, all of which is settled
	}
	if a.Born != 0 {
		l.born = a.Born
	}
	if a.Clock != 0 {
		l.clock, l.clockAt = a.Clock, now
	}
	switch c.Kind {
	case KindStart:
		l.startAnswered(now, c, a)
	case KindHold:
		l.holdAnswered(now, c, a)
	case KindStop:
		if a.Verdict == VerdictFenced {
			l.raise(c)
		}
	}
	l.Tick(now)
}

// Reborn notes that the backend server has begun anew: nothing of before runs,
// and it knows no fencing token.
func (l *Leaser) Reborn(now time.Time, born int64) {
	if born != l.born {
		l.reborn(now, born)
	}
}

func (l *Leaser) reborn(now time.Time, born int64) {
	l.endRunning(now)
	l.born, l.seen, l.through, l.granted = born, 0, 0, 0
	l.clockAt, l.retryAt, l.failures = time.Time{}, time.Time{}, 0
	l.looking = false
	l.Look(now)
}

// raise lifts the token above one that was too low.
func (l *Leaser) raise(c Call) {
	if c.Fence == l.fence {
		l.fence += fenceLeap
	}
}

func (l *Leaser) startAnswered(now time.Time, c Call, a Answer) {
	r := l.runs[c.id]
	if r == nil || r.state != starting {
		return
	}
	switch a.Verdict {
	case VerdictDone:
		r.state, r.known = running, l.serial
		if r.stopping {
			l.stop(now, r)
		}
	case VerdictNone, VerdictInstance:
		l.doubt(now, r)
	case VerdictFenced:
		l.raise(c)
		l.again(now, r)
	case VerdictOld:
		r.number += numberLeap
		l.again(now, r)
	case VerdictLate:
		l.again(now, r)
	case VerdictInvalid:
		l.end(now, r, HowFailed, true)
	default:
		l.end(now, r, HowStopped, false)
	}
}

// again sends a start once more that was surely not carried out.
func (l *Leaser) again(now time.Time, r *run) {
	if r.tries >= maxTries || r.stopping {
		l.end(now, r, HowStopped, false)
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
	if a.Verdict != VerdictDone {
		l.holdFailed(now, c, a)
		return
	}
	l.failures, l.heard = 0, now
	l.through = max(l.through, c.Through)
	active := make(map[Active]bool, len(a.Active))
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
	if a.Verdict == VerdictFenced {
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
func (l *Leaser) ended(now time.Time, x Ended) {
	if x.Serial <= l.seen {
		return
	}
	l.seen = x.Serial
	if r := l.byName[x.Task]; r != nil && r.number == x.Number {
		l.end(now, r, x.How, true)
	}
}

// compare settles a run by the list of what is active.
func (l *Leaser) compare(now time.Time, r *run, c Call, active map[Active]bool, more bool) {
	there := active[Active{r.task, r.number}]
	switch {
	case r.state == doubtful && there:
		// Answers to calls sent before may still come, and may be older than the run.
		r.state, r.known = running, l.serial
		if r.stopping {
			l.stop(now, r)
		}
	case r.state == doubtful && c.Fence > r.fence && !more:
		l.end(now, r, HowStopped, false) // no older call can act any more
	case r.state == running && !there && c.serial > r.known && !more:
		l.end(now, r, HowStopped, true) // it ended, and its end was forgotten
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
