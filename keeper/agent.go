package keeper

import (
	"time"

	"mustardlever.dev/mustardlever/messenger"
)

// announce takes an agent's offer of its backend server.
func (k *Keeper) announce(now time.Time, from string, m *messenger.Announce) {
	a := k.agents[from]
	if a == nil {
		a = &agent{name: from, inflight: make(map[*job]map[int]bool)}
		k.agents[from] = a
		k.untold = true
		delete(k.gone, from)
		k.tellRoster(from)
		k.ackWaiting(from)
	}
	a.address, a.leaving = m.Address, m.Leaving
	if m.Leaving {
		k.queue.RemoveAgent(from)
		return
	}
	k.queue.AddAgent(from, m.Slots)
}

// AgentLost notes that the session with an agent was given up: what it was
// sent and did not answer may have run.
func (k *Keeper) AgentLost(now time.Time, name string) {
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
			j.tasks[i].state, j.doubt = unknown, messenger.ReasonAgentLost
			k.decide("task-unknown", j, i, name, "agent lost")
		}
		k.advance(now, j)
	}
	k.sealMissing(now, name)
	k.dispatch()
}

// AgentView is what operators see of an agent.
type AgentView struct {
	Agent   string `json:"agent"`
	Address string `json:"backend-server"`
	Running int    `json:"running"`
	Leaving bool   `json:"leaving"`
}

// Agents lists the agents with a session.
func (k *Keeper) Agents() []AgentView {
	views := make([]AgentView, 0, len(k.agents))
	for _, a := range k.agents {
		v := AgentView{Agent: a.name, Address: a.address, Leaving: a.leaving}
		for _, tasks := range a.inflight {
			v.Running += len(tasks)
		}
		views = append(views, v)
	}
	return views
}
