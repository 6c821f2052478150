package coordinator

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

// requirePlanAsRunSync plans a job, submits it, and requires that the answer or the error
// are the same and that the starts are those planned. It returns the plan.
func requirePlanAsRunSync(t *testing.T, c *Coordinator, now time.Time, spec Job) (Plan, *Answer, error) {
	t.Helper()
	p, planned, planErr := c.Plan(now, spec)
	_, answer, err := c.RunSync(now, spec)
	require.Equal(t, err, planErr)
	require.Equal(t, answer, planned)
	starts := 0
	for agent, list := range startsByAgent(c) {
		starts += len(list)
		for _, a := range p.Agents {
			if a.Agent == agent {
				require.Len(t, list, a.Tasks, agent)
			}
		}
	}
	require.Equal(t, starts, p.Starts)
	return p, planned, planErr
}

// Guards against a plan that gives another reason or retry delay than a submission gets.
func TestPlanOfRefusedJob(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(c *Coordinator)
		spec    func(j *Job)
		reason  protocol.Reason
		kind    Kind
	}{
		"evacuated": {prepare: func(c *Coordinator) { c.SetEvacuations(evacuationTime, evacuated("east", "west")) }, reason: protocol.ReasonEvacuated},
		"too large": {spec: func(j *Job) { j.Tasks[0].Need = sizer.Slots(9) }, reason: protocol.ReasonNoFit},
		"cancelled": {prepare: func(c *Coordinator) { c.IsCancelled = func(string) bool { return true } }, reason: protocol.ReasonJobCancelled},
		"draining":  {prepare: func(c *Coordinator) { c.BeginDrain() }, kind: KindDraining},
		"full": {prepare: func(c *Coordinator) {
			c.Settings.MaxQueuedTasks = 1
			for range 5 {
				c.RunSync(evacuationTime, syncJob(""))
			}
		}, kind: KindOverload},
		"loses servers": {prepare: func(c *Coordinator) {
			for i := range maxServerLosses {
				c.Receive(testStart, "entry.2", protocol.Message{ServerLosses: []protocol.ServerLoss{{Task: "job.0", Agent: "x", Attempt: i}}})
			}
		}, spec: func(j *Job) { j.Tasks[0].Name = "job.0" }, reason: protocol.ReasonServersLost},
	} {
		t.Run(name, func(t *testing.T) {
			c := newZonedCoordinator()
			if test.prepare != nil {
				test.prepare(c)
			}
			c.TakeDecisions()
			spec := syncJob("job")
			if test.spec != nil {
				test.spec(&spec)
			}
			p, answer, err := requirePlanAsRunSync(t, c, evacuationTime, spec)
			require.Empty(t, p.Next)
			require.Len(t, p.Agents, 2, "the agents are shown with the refusal")
			if test.kind != "" {
				var coordinatorErr *Error
				require.ErrorAs(t, err, &coordinatorErr)
				require.Equal(t, test.kind, coordinatorErr.Kind)
				return
			}
			require.Equal(t, test.reason, answer.Reason)
		})
	}
}

// Guards against a plan without the zone, its evacuation, or an agent that drains.
func TestPlanShowsAgents(t *testing.T) {
	c := newZonedCoordinator()
	addAgents(c, "agent.3")
	c.Receive(testStart, "agent.3", protocol.Message{Announce: &protocol.Announce{Draining: true}})
	c.SetEvacuations(evacuationTime, evacuated("west"))
	c.TakeDecisions()
	p, answer, err := requirePlanAsRunSync(t, c, evacuationTime, syncJob("job"))
	require.NoError(t, err)
	require.Nil(t, answer)
	require.Equal(t, "agent.1", p.Next)
	require.Equal(t, 2, p.Starts)
	require.Equal(t, []string{"agent.1", "agent.2", "agent.3"}, []string{p.Agents[0].Agent, p.Agents[1].Agent, p.Agents[2].Agent})
	require.Equal(t, "east", p.Agents[0].Zone)
	require.Equal(t, 4000, p.Agents[0].FreeCapacity.CPU)
	require.True(t, p.Agents[1].Evacuated)
	require.Equal(t, dispatcher.ObstacleEvacuated, p.Agents[1].Obstacle)
	require.Equal(t, ObstacleDraining, p.Agents[2].Obstacle)
}

// Guards against a plan that promises a start to a job which joins another one, or is held
// back while tasks of an earlier copy stop.
func TestPlanOfJobThatDoesNotStart(t *testing.T) {
	c := newTestCoordinator()
	number := mustRunSync(t, c, syncJob("a"))
	p, _, _ := c.Plan(testStart, syncJob("a"))
	require.True(t, p.Joins)
	require.Zero(t, p.Starts)
	c.CancelSync(testStart, number)
	c.TakeDecisions()
	p, answer, err := requirePlanAsRunSync(t, c, testStart, syncJob("a"))
	require.NoError(t, err)
	require.Nil(t, answer)
	require.True(t, p.HeldBack)
}

// Guards against plans that change later decisions: two coordinators get the same jobs,
// outcomes and ticks, and one of them plans in between.
func TestPlanChangesNoDecision(t *testing.T) {
	// Without UsefulFactor, since Tick ends hopeless jobs in the order of a map.
	settings := Settings{MaxQueuedTasks: 40, Dispatcher: dispatcher.Settings{LocalityWait: true, ServerProfiles: true}}
	newCoordinator := func() *Coordinator {
		c := &Coordinator{Settings: settings, Self: "self.1", Zone: "east", Service: "s"}
		c.Init(testStart)
		for _, name := range []string{"agent.1", "agent.2", "agent.3"} {
			c.Receive(testStart, name, protocol.Message{Announce: &protocol.Announce{Capacity: sizer.Slots(4), Load: freeLoad, Labels: []string{name}}})
		}
		c.TakeDecisions()
		return c
	}
	a, b := newCoordinator(), newCoordinator()
	random := rand.New(rand.NewPCG(46, 0))
	now := testStart
	var running []Output
	planned := 0
	for step := range 2000 {
		now = now.Add(time.Duration(random.IntN(10)) * time.Millisecond)
		spec := syncJob("")
		spec.PreferredLabel = []string{"", "agent.1", "agent.2"}[random.IntN(3)]
		var event func(c *Coordinator)
		switch k := random.IntN(10); {
		case k < 3:
			event = func(c *Coordinator) { c.RunSync(now, spec) } // also refuses jobs, by MaxQueuedTasks
		case k < 8 && len(running) > 0:
			o := running[0]
			running = running[1:]
			start, status := o.Message.Start, []int{200, 200, 200, 500}[random.IntN(4)]
			free := protocol.Load{Free: sizer.Slots(1 + random.IntN(3)), Received: 1 << 32}
			event = func(c *Coordinator) {
				c.Receive(now, o.To, protocol.Message{Outcome: &protocol.Outcome{
					Ticket: start.Ticket, Task: start.Task, Attempt: start.Attempt, Result: &protocol.Result{Status: status}, Load: free,
				}})
			}
		default:
			event = func(c *Coordinator) { c.Tick(now) }
		}
		event(a)
		event(b)
		counts, views, sequence := b.Counts(), b.Agents(now), b.nextSequence
		if p, _, _ := b.Plan(now, spec); p.Starts > 0 {
			planned++
		}
		require.Equal(t, counts, b.Counts(), "step %d", step)
		require.Equal(t, views, b.Agents(now), "step %d", step)
		require.Equal(t, sequence, b.nextSequence, "step %d", step)
		outputsA, endsA, decisionsA := a.TakeDecisions()
		outputsB, endsB, decisionsB := b.TakeDecisions()
		require.Equal(t, outputsA, outputsB, "step %d", step)
		require.Equal(t, endsA, endsB, "step %d", step)
		require.Equal(t, decisionsA, decisionsB, "step %d", step)
		for _, o := range outputsA {
			if o.Message.Start != nil {
				running = append(running, o)
			}
		}
	}
	require.Positive(t, planned)
}
