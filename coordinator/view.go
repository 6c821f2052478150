package coordinator

import (
	"cmp"
	"slices"
	"time"

	"mustardlever.dev/mustardlever/dispatcher"
)

// AgentView is the state of an agent as shown to operators.
type AgentView struct {
	Agent    string `json:"agent"`
	Address  string `json:"backend-server"`
	Running  int    `json:"running"` // tasks started by this entry
	Draining bool   `json:"leaving"`

	Zone      string `json:"zone,omitempty"`
	Evacuated bool   `json:"evacuated,omitempty"` // the zone is evacuated
	dispatcher.AgentView
}

// Agents returns the connected agents, sorted by name.
func (c *Coordinator) Agents(now time.Time) []AgentView {
	views := make([]AgentView, 0, len(c.agents))
	for _, a := range c.agents {
		v := AgentView{Agent: a.name, Address: a.address, Draining: a.draining, AgentView: c.queue.View(now, a.name)}
		v.Zone, v.Evacuated = a.zone, c.evacuations.Evacuated(a.zone)
		for _, tasks := range a.inFlight {
			v.Running += len(tasks)
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b AgentView) int { return cmp.Compare(a.Agent, b.Agent) })
	return views
}

// JobView is the state of an unfinished job as shown to operators.
type JobView struct {
	Name           string   `json:"job,omitempty"` // set by the caller
	Owner          string   `json:"owner"`         // entry incarnation that issued its ticket or accepted the synchronous job
	Sequence       uint64   `json:"number"`        // sequence number at the owner
	AgeMillis      int64    `json:"age-ms"`
	DueMillis      *int64   `json:"due-ms,omitempty"` // time until due; negative: the due time has passed
	DeadlineMillis int64    `json:"deadline-ms"`      // time until the deadline
	Priority       int      `json:"priority"`
	Tasks          int      `json:"tasks"`
	Waiting        int      `json:"waiting"`  // tasks not sent to an agent
	Sent           int      `json:"sent"`     // tasks sent whose outcome is outstanding
	Ran            int      `json:"ran"`      // tasks whose result has arrived
	LeaseExpiring  int      `json:"lapsing"`  // tasks that may run on a lost agent
	Unknown        int      `json:"unknown"`  // tasks that may have run
	Starts         int      `json:"starts"`   // number of starts sent, including restarts
	StopReason     string   `json:"stopping"` // why no further task is started; empty: tasks are started
	Agents         []string `json:"agents"`   // agents of the tasks' last starts
}

// Unfinished returns up to limit unfinished jobs, oldest first.
func (c *Coordinator) Unfinished(now time.Time, limit int) []JobView {
	jobs := make([]*job, 0, len(c.active))
	for j := range c.active {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(a.submittedAt.Compare(b.submittedAt), cmp.Compare(a.key.sequence, b.key.sequence))
	})
	views := make([]JobView, 0, min(len(jobs), limit))
	for _, j := range jobs[:min(len(jobs), limit)] {
		views = append(views, j.view(now))
	}
	return views
}

func (j *job) view(now time.Time) JobView {
	v := JobView{
		Name: j.name, Owner: j.key.owner, Sequence: j.key.sequence, AgeMillis: now.Sub(j.submittedAt).Milliseconds(),
		DeadlineMillis: j.deadline.Sub(now).Milliseconds(), Priority: j.queueItem.Priority, Tasks: len(j.tasks),
		Waiting: j.count(pending), Sent: j.count(sent), Ran: j.count(ran), LeaseExpiring: j.count(leaseExpiring), Unknown: j.count(unknown),
		Starts: j.starts, StopReason: string(j.stopReason),
	}
	if !j.queueItem.Due.IsZero() {
		due := j.queueItem.Due.Sub(now).Milliseconds()
		v.DueMillis = &due
	}
	for i := range j.tasks {
		if a := j.tasks[i].agent; a != "" && !slices.Contains(v.Agents, a) {
			v.Agents = append(v.Agents, a)
		}
	}
	return v
}
