package coordinator

import (
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

// handleAnnounce adds an agent that offers its backend server, or updates it. It
// announces itself only after its session-bound tasks of earlier sessions, and those of
// earlier processes at this backend server, have stopped: they can be restarted at once.
func (c *Coordinator) handleAnnounce(now time.Time, from string, m *protocol.Announce) {
	a := c.agents[from]
	if a == nil {
		a = &agent{name: from, inFlight: make(map[*job]map[int]bool)}
		c.agents[from] = a
		delete(c.lostAgents, from)
		c.sendMember(from)
		c.acknowledgePending(from)
		c.requeueEnded(now, func(t *task) bool {
			return t.agent == from || t.address == m.Address && protocol.ProcessName(t.agent) == protocol.ProcessName(from)
		})
	}
	a.address, a.zone, a.draining = m.Address, m.Zone, m.Draining
	if m.Draining {
		c.queue.RemoveAgent(from)
		return
	}
	c.queue.AddAgent(from, m.Capacity, m.Labels)
	c.queue.SetEvacuated(from, c.evacuations.Evacuated(m.Zone))
	c.queue.Report(from, m.Load)
	c.dispatch(now)
}

// AgentLost removes an agent whose session was closed as lost. Tasks sent to it
// without a reported outcome may have run, and may still be running.
func (c *Coordinator) AgentLost(now time.Time, name string) {
	a := c.agents[name]
	if a == nil {
		return
	}
	delete(c.agents, name)
	c.queue.RemoveAgent(name)
	c.lostAgents[name] = c.nextSequence
	c.sendMember(name)
	for j, tasks := range a.inFlight {
		for i := range tasks {
			c.recordAgentLoss(now, j, i, a)
		}
		c.advance(now, j)
	}
	c.sealAgentLost(now, name)
	c.dispatch(now)
}

// recordAgentLoss updates a task whose agent is lost: a restartable task waits
// for its lease to expire, any other becomes unknown.
func (c *Coordinator) recordAgentLoss(now time.Time, j *job, i int, a *agent) {
	t := &j.tasks[i]
	if j.restartable {
		t.state, t.address, t.leaseExpiry = leaseExpiring, a.address, now.Add(c.Settings.LeaseExpiryWait)
		c.leaseExpiring[j] = true
		c.decide("task-lapsing", j, i, t.agent, "agent lost")
		return
	}
	t.state, j.unknownReason = unknown, protocol.ReasonAgentLost
	c.decide("task-unknown", j, i, t.agent, "agent lost")
}

// requeueEnded makes lease-expiring tasks pending again if ended reports that
// their earlier start can no longer be running.
func (c *Coordinator) requeueEnded(now time.Time, ended func(*task) bool) {
	for j := range c.leaseExpiring {
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.state == leaseExpiring && ended(t) {
				j.requeueTask(i, true)
				c.decide("task-restarts", j, i, t.agent, "the earlier start is no longer running")
			}
		}
		if j.count(leaseExpiring) == 0 {
			delete(c.leaseExpiring, j)
		}
		c.advance(now, j)
	}
}
