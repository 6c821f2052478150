package coordinator

import (
	"slices"
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

const (
	// stragglerFactor is the multiple of its expected run time that a task may
	// take. Run times differ from their estimates by a factor of up to four.
	stragglerFactor = 5
	// stragglerFloor is the minimum time that a task is allowed. For shorter
	// tasks a restart would cost more than it saves.
	stragglerFloor = 250 * time.Millisecond
	// maxAvoidedAgents bounds the number of agents that a job avoids, so that a
	// job whose tasks are merely long does not run out of agents.
	maxAvoidedAgents = 2
)

// avoid adds an agent to those that the job avoids, up to the limit.
func (j *job) avoid(agent string) {
	if !j.avoids(agent) && len(j.avoidedAgents) < maxAvoidedAgents {
		j.avoidedAgents = append(j.avoidedAgents, agent)
	}
}

// avoids reports whether the job avoids an agent because a task of it failed or
// was a straggler there.
func (j *job) avoids(agent string) bool { return slices.Contains(j.avoidedAgents, agent) }

// stopStragglers stops tasks that run far longer than expected, so that they are
// restarted on other agents. The allowed time doubles with each agent that the
// job avoids. While the job is suspended they could not be restarted.
func (c *Coordinator) stopStragglers(now time.Time, j *job) {
	if !j.restartable || j.suspended || j.queueItem.Estimate <= 0 || len(j.avoidedAgents) >= maxAvoidedAgents {
		return
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != sent || t.stopSent {
			continue
		}
		allowed := max(c.queue.ExpectedDuration(t.agent, c.queue.EstimateAt(&j.queueItem, t.agent))*stragglerFactor, stragglerFloor) << len(j.avoidedAgents)
		if now.Sub(t.sentAt) <= allowed {
			continue
		}
		t.stopSent = true
		c.decide("task-stands-still", j, i, t.agent, "running for "+now.Sub(t.sentAt).Round(time.Millisecond).String())
		c.send(t.agent, protocol.Message{Stop: &protocol.Stop{Ticket: j.ticket(c.Self), Tasks: []int{i}}})
	}
}

// recordStraggler records that a straggler on an agent has been stopped.
func (c *Coordinator) recordStraggler(now time.Time, j *job, agent string) {
	j.avoid(agent)
	c.queue.RecordFailure(now, agent)
}
