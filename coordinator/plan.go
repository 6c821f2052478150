package coordinator

import (
	"time"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/protocol"
)

// Plan explains where the tasks of a synchronous job would start now.
type Plan struct {
	dispatcher.Plan
	Joins          bool        `json:"joins,omitempty"`       // an unfinished job has its name: its caller would join that job
	HeldBack       bool        `json:"held-back,omitempty"`   // tasks of an earlier copy of the job may run: it waits until they have stopped
	Undecided      bool        `json:"undecided,omitempty"`   // it waits until it is known whether one of its tasks is given up after losses of backend servers
	MaxWaitMillis  *int64      `json:"max-wait-ms,omitempty"` // time until the job is refused if nothing of it has started; nil: no such limit
	EstimateMillis int64       `json:"estimate-ms"`           // of a task; 0: unknown
	Agents         []PlanAgent `json:"agents"`                // those that can run the next task first, in the order of preference
}

// PlanAgent is an agent as a candidate for a job's next task.
type PlanAgent struct {
	AgentView
	dispatcher.Candidate
}

// ObstacleDraining is the obstacle of an agent that accepts no new work. The dispatcher
// does not know such agents.
const ObstacleDraining dispatcher.Obstacle = "draining"

// Plan explains what RunSync would do with a job now, without changing any state: the
// answer or error is that of RunSync, and without one the plan says where its tasks start.
func (c *Coordinator) Plan(now time.Time, spec Job) (Plan, *Answer, error) {
	p := Plan{EstimateMillis: spec.LongestEstimate().Milliseconds()}
	key := jobKey{c.Self, c.nextSequence}
	j := c.buildJob(now, key, spec)
	if c.Settings.Dispatcher.ServerProfiles {
		j.countFailed()
	}
	p.Plan = c.queue.Plan(now, &j.queueItem, len(j.tasks), c.eligibility(now))
	p.Agents = c.planAgents(now, p.Candidates)
	if wait, limited := c.usefulWait(now, j); limited {
		ms := max(wait.Milliseconds(), 0)
		p.MaxWaitMillis = &ms
	}
	if a := c.cancelledAnswer(spec.Name); a != nil {
		return p.withoutStart(), a, nil
	}
	if c.byName[spec.Name] != nil {
		p.Joins = true
		return p.withoutStart(), nil, nil
	}
	held, overloaded := c.stoppedNames[spec.Name] > 0, c.overloaded()
	if err := c.admissionError(held, overloaded); err != nil {
		return p.withoutStart(), nil, err
	}
	if held {
		c.holdBack(j)
	}
	reason, undecided := c.arrivalStopReason(now, j, overloaded)
	if reason != "" {
		j.stopReason = reason
		return p.withoutStart(), c.stoppedAnswer(j), nil
	}
	if !held && c.refusalByWorkAhead(now, j) != "" {
		j.stopReason = protocol.ReasonDueTimeUnreachable
		return p.withoutStart(), c.stoppedAnswer(j), nil
	}
	if held || undecided {
		p.HeldBack, p.Undecided = held, undecided
		return p.withoutStart(), nil, nil
	}
	return p, nil, nil
}

// withoutStart returns the plan of a job that starts nothing, whatever the agents are.
func (p Plan) withoutStart() Plan {
	p.Starts, p.Next, p.Hold, p.Place = 0, "", "", nil
	for i := range p.Agents {
		p.Agents[i].Tasks = 0
	}
	return p
}

// planAgents returns the views of all agents, candidates in their order and then those
// that the dispatcher does not know.
func (c *Coordinator) planAgents(now time.Time, candidates []dispatcher.Candidate) []PlanAgent {
	views := c.Agents(now)
	byName := make(map[string]AgentView, len(views))
	for _, v := range views {
		byName[v.Agent] = v
	}
	agents := make([]PlanAgent, 0, len(views))
	for _, k := range candidates {
		agents = append(agents, PlanAgent{byName[k.Name], k})
	}
	for _, v := range views {
		if v.Draining {
			agents = append(agents, PlanAgent{v, dispatcher.Candidate{Name: v.Agent, Obstacle: ObstacleDraining}})
		}
	}
	return agents
}
