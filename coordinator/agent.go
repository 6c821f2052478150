package coordinator

import (
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

// announce takes an agent's offer of its backend server. A new incarnation
// announces itself when nothing of an earlier one runs any more, so that tasks
// bound to that one can start elsewhere at once.
func (k *Coordinator) announce(now time.Time, from string, m *protocol.Announce) {
	a := k.agents[from]
	if a == nil {
		a = &agent{name: from, inflight: make(map[*job]map[int]bool)}
		k.agents[from] = a
		delete(k.gone, from)
		k.tellRoster(from)
		k.ackWaiting(from)
		k.endLapses(now, func(t *task) bool { return protocol.NameOf(t.agent) == protocol.NameOf(from) })
	}
	a.address, a.leaving = m.Address, m.Draining
	if m.Draining {
		k.queue.RemoveAgent(from)
		return
	}
	k.queue.AddAgent(from, m.Capacity, m.Labels)
	k.queue.Report(from, m.Load)
	k.dispatch(now)
}

// AgentLost notes that the session with an agent was given up: what it was
// sent and did not answer may have run, and may run on for a while.
func (k *Coordinator) AgentLost(now time.Time, name string) {
	a := k.agents[name]
	if a == nil {
		return
	}
	delete(k.agents, name)
	k.queue.RemoveAgent(name)
	k.gone[name] = k.next
	k.tellRoster(name)
	for j, tasks := range a.inflight {
		for i := range tasks {
			k.loseTask(now, j, i)
		}
		k.advance(now, j)
	}
	k.sealMissing(now, name)
	k.dispatch(now)
}

// loseTask notes that a task's agent is lost.
func (k *Coordinator) loseTask(now time.Time, j *job, i int) {
	t := &j.tasks[i]
	if j.restarts {
		t.state, t.lapses = lapsing, now.Add(k.Settings.LeaseExpiryWait)
		k.lapsing[j] = true
		k.decide("task-lapsing", j, i, t.agent, "agent lost")
		return
	}
	t.state, j.doubt = unknown, protocol.ReasonAgentLost
	k.decide("task-unknown", j, i, t.agent, "agent lost")
}

// endLapses makes tasks pending again whose earlier start surely does not run
// any more.
func (k *Coordinator) endLapses(now time.Time, over func(*task) bool) {
	for j := range k.lapsing {
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.state == lapsing && over(t) {
				j.rebind(i, true)
				k.decide("task-restarts", j, i, t.agent, "its earlier start has ended")
			}
		}
		if j.count(lapsing) == 0 {
			delete(k.lapsing, j)
		}
		k.advance(now, j)
	}
}
