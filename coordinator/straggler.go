package coordinator

import (
	"slices"
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

const (
	// stragglerFactor is how many times its expected time a task may take.
	// Estimates are rough: times spread by a factor of up to four around them.
	stragglerFactor = 5
	// stragglerFloor is the least time that a task gets; below it a restart
	// would cost more than it saves.
	stragglerFloor = 250 * time.Millisecond
	// maxAvoided bounds the agents that a job avoids, so that one whose tasks
	// are just long does not run out of them.
	maxAvoided = 2
)

// avoid keeps the job's tasks from an agent.
func (j *job) avoid(agent string) {
	if !j.avoids(agent) && len(j.avoided) < maxAvoided {
		j.avoided = append(j.avoided, agent)
	}
}

// avoids tells whether a task of the job stood still or failed on the agent.
func (j *job) avoids(agent string) bool { return slices.Contains(j.avoided, agent) }

// stopStragglers stops tasks that take far longer than expected, so that they
// are started again elsewhere. Each restart doubles the time that is allowed.
func (k *Coordinator) stopStragglers(now time.Time, j *job) {
	if !j.restarts || j.place.Estimate <= 0 || len(j.avoided) >= maxAvoided {
		return
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != sent || t.stopped {
			continue
		}
		allowed := max(k.queue.Expect(t.agent, j.place.Estimate)*stragglerFactor, stragglerFloor) << len(j.avoided)
		if now.Sub(t.sent) <= allowed {
			continue
		}
		t.stopped = true
		k.decide("task-stands-still", j, i, t.agent, "running for "+now.Sub(t.sent).Round(time.Millisecond).String())
		k.send(t.agent, protocol.Message{Stop: &protocol.Stop{Ticket: j.ticket(k.Self), Tasks: []int{i}}})
	}
}

// straggled notes that a task that stood still has been stopped.
func (k *Coordinator) straggled(now time.Time, j *job, agent string) {
	j.avoid(agent)
	k.queue.Fail(now, agent)
}
