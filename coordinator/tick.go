package coordinator

import (
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

const (
	closeInterval      = time.Second // between two updates of the closed watermark
	maxClosedOwners    = 1 << 16     // maximum size of closedOwners
	lostOwnerLifetimes = 10          // ticket lifetimes, including run time and retention, after which a lost owner is closed
)

// Tick applies deadlines, timeouts, expiry and the removal of ended jobs. It must
// be called several times a second.
func (c *Coordinator) Tick(now time.Time) {
	for j := range c.active {
		c.checkJob(now, j)
		if j.answer == nil {
			c.stopStragglers(now, j)
		}
	}
	for owner, o := range c.owners {
		c.checkOwner(now, owner, o)
	}
	if len(c.leaseExpiring) > 0 {
		c.requeueEnded(now, func(t *task) bool { return !now.Before(t.leaseExpiry) })
	}
	c.expireStops(now)
	c.queue.Tick(now)
	c.expireTickets(now)
	c.removeEnded(now)
	if now.Sub(c.lastClosedAt) >= closeInterval {
		c.lastClosedAt = now
		c.advanceClosedBelow()
	}
	c.dispatch(now)
	c.shareDemand(now)
}

// checkJob applies the time limits of a job.
func (c *Coordinator) checkJob(now time.Time, j *job) {
	switch {
	case !j.finalizeSentAt.IsZero() && now.Sub(j.finalizeSentAt) >= c.Settings.FinalizeTimeout:
		c.endUnfinalized(now, j)
	case j.finalizeSentAt.IsZero() && !j.awaitingSeal && !now.Before(j.deadline):
		c.stop(now, j, protocol.ReasonDeadline)
	case c.onlyEvacuated(now, j):
		c.stop(now, j, protocol.ReasonEvacuated)
	case c.cannotMeetDueTime(now, j):
		c.refuseWaiting(now, j)
	case j.suspended:
		c.checkLosses(now, j)
	}
}

// checkOwner ends the wait for agents that do not answer a seal. It closes a
// sealed owner when all its tickets have expired, and an owner that is lost but
// not sealed after lostOwnerLifetimes times that long.
func (c *Coordinator) checkOwner(now time.Time, owner string, o *ownerState) {
	lifetime := c.Settings.TicketLife + c.Settings.MaxDeadline + c.Settings.Retention
	if !o.sealed {
		if !o.lostAt.IsZero() && now.Sub(o.lostAt) >= lostOwnerLifetimes*lifetime {
			c.closeOwner(owner)
			delete(c.owners, owner)
		}
		return
	}
	if !o.sealComplete && now.Sub(o.sealedAt) >= c.Settings.SealTimeout {
		for name := range o.awaiting {
			o.unsealed[name] = true
			delete(o.awaiting, name)
		}
		c.completeSeal(now, owner, o)
	}
	if now.Sub(o.sealedAt) < lifetime {
		return
	}
	c.closeOwner(owner)
	for name := range o.members {
		c.send(name, protocol.Message{Close: &protocol.Close{Owner: owner, Backup: c.Self, Below: allClosed}})
	}
	delete(c.owners, owner)
}

// closeOwner marks an owner as one whose jobs are no longer taken over.
func (c *Coordinator) closeOwner(owner string) {
	if len(c.closedOwners) >= maxClosedOwners {
		for o := range c.closedOwners {
			delete(c.closedOwners, o)
			c.closedOwnerEvicted = true
			break
		}
	}
	c.closedOwners[owner] = true
}

// expireTickets raises the number below which all tickets have expired.
func (c *Coordinator) expireTickets(now time.Time) {
	for len(c.issued) > 0 && !now.Before(c.issued[0].expires) {
		c.expiredBelow = c.issued[0].end
		c.issued = c.issued[1:]
	}
}

// removeEnded removes ended jobs after their retention. A job that mustRetain
// reports is kept longer.
func (c *Coordinator) removeEnded(now time.Time) {
	retained := c.ended[:0]
	for i, j := range c.ended {
		if now.Sub(j.endedAt) < c.Settings.Retention {
			retained = append(retained, c.ended[i:]...)
			break
		}
		if c.mustRetain(j) {
			retained = append(retained, j)
			continue
		}
		c.dropResults(j)
		c.releaseJob(j)
		delete(c.jobs, j.key)
	}
	clear(c.ended[len(retained):])
	c.ended = retained
	for len(c.withResults) > 0 && c.withResults[0].resultBytes() == 0 {
		c.withResults[0] = nil
		c.withResults = c.withResults[1:]
	}
}

// mustRetain reports whether a job could be started again if it were removed. This
// holds for a job that this entry owns until its ticket has expired, and for a job
// taken over until its owner is closed.
func (c *Coordinator) mustRetain(j *job) bool {
	if j.takenOver {
		return c.owners[j.key.owner] != nil
	}
	return j.key.sequence >= c.expiredBelow
}

// advanceClosedBelow raises the number below which every ticket has expired and
// every job was removed, and sends it to the agents and backups, which keep state
// for those tickets.
func (c *Coordinator) advanceClosedBelow() {
	below := c.expiredBelow
	for key := range c.jobs {
		if key.owner == c.Self {
			below = min(below, key.sequence)
		}
	}
	if below <= c.closedBelow {
		return
	}
	c.closedBelow = below
	m := protocol.Message{Close: &protocol.Close{Owner: c.Self, Below: below}}
	for name := range c.agents {
		c.send(name, m)
	}
	for name := range c.backups {
		c.send(name, m)
	}
	for name, until := range c.lostAgents {
		if until <= below {
			delete(c.lostAgents, name)
		}
	}
}
