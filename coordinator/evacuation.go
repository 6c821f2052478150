package coordinator

import (
	"time"

	"mustardlever.dev/mustardlever/evacuator"
	"mustardlever.dev/mustardlever/protocol"
)

const (
	// evacuatedRetryAfter is the retry delay given to callers whose job only servers of
	// evacuated zones could run. When an evacuation ends is not known.
	evacuatedRetryAfter = time.Second
	// agentsKnownAfter is the time from the start of a Coordinator after which the agents
	// are assumed to have connected. Before, a job may wait for agents of other zones.
	agentsKnownAfter = 500 * time.Millisecond
)

// SetEvacuations sets which zones are evacuated. No task is started on an agent of an
// evacuated zone; waiting tasks go elsewhere, and jobs that cannot are refused.
func (c *Coordinator) SetEvacuations(now time.Time, s *evacuator.State) {
	c.evacuations = s
	for name, a := range c.agents {
		c.queue.SetEvacuated(name, s.Evacuated(a.zone))
	}
	for j := range c.active {
		if c.onlyEvacuated(now, j) {
			c.stop(now, j, protocol.ReasonEvacuated)
		}
	}
	c.dispatch(now)
}

// Evacuations returns the state that was passed to SetEvacuations last.
func (c *Coordinator) Evacuations() *evacuator.State { return c.evacuations }

// onlyEvacuated reports whether the job has to be refused because only servers of
// evacuated zones could run it. A job that may have run in part is not refused.
func (c *Coordinator) onlyEvacuated(now time.Time, j *job) bool {
	return c.queue.EvacuatedAgents() > 0 && j.restartable && !j.mayHaveRun() &&
		now.Sub(c.startedAt) >= agentsKnownAfter && c.queue.OnlyEvacuated(&j.queueItem)
}
