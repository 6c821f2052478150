package coordinator

import (
	"slices"
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

const (
	// maxServerLosses is the number of starts of a task that ended with the loss of
	// the backend server, after which the task is given up. Several tasks run on a
	// server, so one or two losses are no evidence against a task. The loss of an
	// agent does not count: its backend server usually runs on.
	maxServerLosses = 3
	// lossRetention is how long a loss is remembered after the last one of its task.
	// Callers submit a job again within seconds.
	lossRetention = 2 * time.Minute
	// presumedLossTimeout is how long a task may be exhausted by losses that are only
	// presumed before it is given up. A server that crashed stays silent for longer.
	presumedLossTimeout = time.Second
	maxLossTasks        = 4096 // tasks with losses; beyond that the oldest are forgotten
	// maxLossesPerTask bounds the losses of a task that are kept, retracted ones included.
	maxLossesPerTask = 16
	// maxLossesPerMessage keeps messages below 64 KiB.
	maxLossesPerMessage = 500
)

// lossTable holds the losses of backend servers by the name of the task that was
// running, across all entries. The zero value is an empty table.
type lossTable struct {
	byTask map[string]*taskLosses
	names  []string // of the tasks, in the order of their first loss
}

// taskLosses holds the losses of one task: up to maxServerLosses, and retracted ones, so
// that the loss itself, which may arrive later by way of another entry, does not count.
type taskLosses struct {
	losses []protocol.ServerLoss
	lastAt time.Time // when the last one became known, was confirmed or was retracted
}

// exhausted reports whether the task must not be started any more.
func (t *taskLosses) exhausted() bool {
	if t == nil {
		return false
	}
	n := 0
	for _, loss := range t.losses {
		if !loss.Retracted {
			n++
		}
	}
	return n >= maxServerLosses
}

// presumed reports whether the task is exhausted only if losses count that are presumed,
// so that it may be started again once they are retracted.
func (t *taskLosses) presumed(now time.Time) bool {
	if !t.exhausted() || now.Sub(t.lastAt) >= presumedLossTimeout {
		return false
	}
	return slices.ContainsFunc(t.losses, func(k protocol.ServerLoss) bool { return k.Presumed && !k.Retracted })
}

// index returns the index of a loss, or -1 if it is not known.
func (t *taskLosses) index(loss protocol.ServerLoss) int {
	return slices.IndexFunc(t.losses, func(k protocol.ServerLoss) bool {
		return k.Task == loss.Task && k.Attempt == loss.Attempt && k.Agent == loss.Agent
	})
}

// record records a loss, its confirmation or its retraction. It reports whether that is
// new. It records no further losses of an exhausted task.
func (t *taskLosses) record(loss protocol.ServerLoss) bool {
	i := t.index(loss)
	switch {
	case i >= 0 && (t.losses[i].Retracted || !loss.Retracted && (loss.Presumed || !t.losses[i].Presumed)):
		return false
	case i >= 0:
		t.losses[i] = loss
		return true
	case t.exhausted():
		return false
	}
	if len(t.losses) == maxLossesPerTask {
		i := slices.IndexFunc(t.losses, func(k protocol.ServerLoss) bool { return k.Retracted })
		t.losses = slices.Delete(t.losses, i, i+1)
	}
	t.losses = append(t.losses, loss)
	return true
}

// contains reports whether a loss is known, retracted or not.
func (l *lossTable) contains(loss protocol.ServerLoss) bool {
	t := l.byTask[loss.Task]
	return t != nil && t.index(loss) >= 0
}

// add adds a loss, its confirmation or its retraction. It reports whether that is new and
// of use.
func (l *lossTable) add(now time.Time, loss protocol.ServerLoss) bool {
	if l.byTask == nil {
		l.byTask = make(map[string]*taskLosses)
	}
	t := l.byTask[loss.Task]
	if t == nil {
		l.removeOld(now, maxLossTasks-1)
		t = new(taskLosses)
		l.byTask[loss.Task] = t
		l.names = append(l.names, loss.Task)
	}
	if !t.record(loss) {
		return false
	}
	t.lastAt = now
	return true
}

// removeOld removes the oldest tasks whose losses need not be retained, and as many
// others as needed to keep at most limit.
func (l *lossTable) removeOld(now time.Time, limit int) {
	n := 0
	for n < len(l.names) && (len(l.names)-n > limit || now.Sub(l.byTask[l.names[n]].lastAt) >= lossRetention) {
		delete(l.byTask, l.names[n])
		n++
	}
	l.names = l.names[n:]
}

// exhausted reports whether the task must not be started any more.
func (l *lossTable) exhausted(task string) bool { return l.byTask[task].exhausted() }

// presumed reports whether that may change, since losses of the task are only presumed.
func (l *lossTable) presumed(now time.Time, task string) bool { return l.byTask[task].presumed(now) }

// all returns all losses, in the order of the tasks' first ones.
func (l *lossTable) all() []protocol.ServerLoss {
	var losses []protocol.ServerLoss
	for _, name := range l.names {
		losses = append(losses, l.byTask[name].losses...)
	}
	return losses
}

// handleServerLosses records losses that an agent or another entry reported, and
// forwards new ones to the other entries: a caller may submit the job again at any of
// them, and each is connected to some agents only.
func (c *Coordinator) handleServerLosses(now time.Time, from string, losses []protocol.ServerLoss) {
	var added []protocol.ServerLoss
	for _, l := range losses {
		known := c.losses.contains(l)
		if c.losses.add(now, l) {
			added = append(added, l)
			c.applyLoss(now, l, known)
		}
	}
	if len(added) == 0 {
		return
	}
	if c.ConnectedEntries != nil {
		for _, name := range c.ConnectedEntries() {
			if name != from {
				c.sendLosses(name, added)
			}
		}
	}
	c.dispatch(now)
}

func (c *Coordinator) sendLosses(to string, losses []protocol.ServerLoss) {
	for len(losses) > 0 {
		n := min(len(losses), maxLossesPerMessage)
		c.send(to, protocol.Message{ServerLosses: losses[:n]})
		losses = losses[n:]
	}
}

// applyLoss applies a new loss, or the retraction or confirmation of a known one, to the
// job of its task.
func (c *Coordinator) applyLoss(now time.Time, l protocol.ServerLoss, known bool) {
	j := c.byName[protocol.JobName(l.Task)]
	if j == nil || j.answer != nil {
		return
	}
	i := slices.IndexFunc(j.requests, func(r protocol.Request) bool { return r.Name == l.Task })
	if i < 0 {
		return
	}
	switch {
	case l.Retracted:
		c.decide("server-ran-on", j, i, l.Agent, "the backend server that was reported as lost answers again")
	case !known && l.Presumed:
		c.decide("server-lost", j, i, l.Agent, "the backend server did not answer until the lease of the task had expired")
	case !known:
		c.decide("server-lost", j, i, l.Agent, "the backend server was lost while the task ran")
	}
	c.checkLosses(now, j)
}

// checkLosses ends a job of which a task is given up. While that depends on losses that
// are only presumed, no task of the job is started.
func (c *Coordinator) checkLosses(now time.Time, j *job) {
	givenUp, undecided := c.hasExhaustedTask(now, j)
	switch {
	case givenUp:
		c.stop(now, j, protocol.ReasonServersLost)
	case undecided && !j.suspended:
		j.suspended = true
		c.queue.Remove(&j.queueItem)
	case !undecided && j.suspended:
		j.suspended = false
		if c.stoppedNames[j.name] == 0 {
			c.enqueue(j)
		}
	}
}

// hasExhaustedTask reports whether a task of the job is given up, or else undecided: it
// is exhausted by losses some of which are only presumed.
func (c *Coordinator) hasExhaustedTask(now time.Time, j *job) (givenUp, undecided bool) {
	if len(c.losses.byTask) == 0 {
		return false, false
	}
	for i := range j.requests {
		switch name := j.requests[i].Name; {
		case !c.losses.exhausted(name):
		case c.losses.presumed(now, name):
			undecided = true
		default:
			return true, false
		}
	}
	return false, undecided
}
