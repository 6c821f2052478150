package coordinator

import (
	"cmp"
	"slices"
	"time"

	"mustardlever.dev/mustardlever/dispatcher"
)

// AgentView is what operators see of an agent.
type AgentView struct {
	Agent    string `json:"agent"`
	Address  string `json:"backend-server"`
	Running  int    `json:"running"` // tasks of this entry
	Draining bool   `json:"leaving"`
	dispatcher.AgentView
}

// Agents lists the agents with a session, by name.
func (k *Coordinator) Agents(now time.Time) []AgentView {
	views := make([]AgentView, 0, len(k.agents))
	for _, a := range k.agents {
		v := AgentView{Agent: a.name, Address: a.address, Draining: a.leaving, AgentView: k.queue.View(now, a.name)}
		for _, tasks := range a.inflight {
			v.Running += len(tasks)
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b AgentView) int { return cmp.Compare(a.Agent, b.Agent) })
	return views
}

// JobView is what operators see of an unfinished job.
type JobView struct {
	Name          string   `json:"job,omitempty"` // caller's own id
	Owner         string   `json:"owner"`         // entry incarnation that issued its ticket or took it
	Number        uint64   `json:"number"`        // of its ticket at the owner
	AgeMs         int64    `json:"age-ms"`
	DueMs         *int64   `json:"due-ms,omitempty"` // until it should be done; negative: it is late
	DeadlineMs    int64    `json:"deadline-ms"`      // until its caller's time is over
	Priority      int      `json:"priority"`
	Tasks         int      `json:"tasks"`
	Waiting       int      `json:"waiting"`  // not sent to an agent
	Sent          int      `json:"sent"`     // sent and not answered
	Ran           int      `json:"ran"`      // their result is here
	LeaseExpiring int      `json:"lapsing"`  // may run on a lost agent
	Unknown       int      `json:"unknown"`  // may have run
	Starts        int      `json:"starts"`   // sent so far, repeated ones included
	Stopping      string   `json:"stopping"` // why no further task is started; empty: some are
	Agents        []string `json:"agents"`   // to which tasks were sent
}

// Unfinished lists up to limit unfinished jobs, the oldest first.
func (k *Coordinator) Unfinished(now time.Time, limit int) []JobView {
	jobs := make([]*job, 0, len(k.active))
	for j := range k.active {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(a.submitted.Compare(b.submitted), cmp.Compare(a.key.sequence, b.key.sequence))
	})
	views := make([]JobView, 0, min(len(jobs), limit))
	for _, j := range jobs[:min(len(jobs), limit)] {
		views = append(views, j.view(now))
	}
	return views
}

func (j *job) view(now time.Time) JobView {
	v := JobView{
		Name: j.name, Owner: j.key.owner, Number: j.key.sequence, AgeMs: now.Sub(j.submitted).Milliseconds(),
		DeadlineMs: j.deadline.Sub(now).Milliseconds(), Priority: j.place.Priority, Tasks: len(j.tasks),
		Waiting: j.count(pending), Sent: j.count(sent), Ran: j.count(ran), LeaseExpiring: j.count(lapsing), Unknown: j.count(unknown),
		Starts: j.starts, Stopping: string(j.stopping),
	}
	if !j.place.Due.IsZero() {
		due := j.place.Due.Sub(now).Milliseconds()
		v.DueMs = &due
	}
	for i := range j.tasks {
		if a := j.tasks[i].agent; a != "" && !slices.Contains(v.Agents, a) {
			v.Agents = append(v.Agents, a)
		}
	}
	return v
}
