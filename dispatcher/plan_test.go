package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/profiler"
	"mustardlever.dev/mustardlever/sizer"
)

func planned(now time.Time) *dispatcher.Job[string] {
	return &dispatcher.Job[string]{Value: "planned", Arrived: now, Need: sizer.Slots(1), Estimate: 100 * time.Millisecond}
}

// candidate returns the agent of a plan.
func candidate(t *testing.T, p dispatcher.Plan, name string) dispatcher.Candidate {
	t.Helper()
	for _, k := range p.Candidates {
		if k.Name == name {
			return k
		}
	}
	t.Fatalf("no agent %s in the plan", name)
	return dispatcher.Candidate{}
}

// Guards against a plan that names another agent than the one that gets the task, or that
// omits the time at which it is expected to end.
func TestPlanNamesAgentThatGetsTask(t *testing.T) {
	d := newDispatcher()
	reportFree(d, "fast", 1)
	reportFree(d, "slow", 3)
	p := d.Plan(startTime, planned(startTime), 6, nil)
	require.Equal(t, "fast", p.Next)
	require.Equal(t, 4, p.Starts)
	require.Equal(t, dispatcher.HoldNoAgent, p.Hold)
	require.Equal(t, []string{"fast", "slow"}, []string{p.Candidates[0].Name, p.Candidates[1].Name})
	fast, slow := candidate(t, p, "fast"), candidate(t, p, "slow")
	require.Equal(t, 1, fast.Tasks)
	require.Equal(t, 3, slow.Tasks)
	require.Less(t, fast.Cost, slow.Cost)
	require.Equal(t, fast.RunMillis, *fast.EndMillis)
	d.Add(planned(startTime), 6, 6)
	_, agent := nextStart(t, d)
	require.Equal(t, "fast", agent)
}

// Guards against an explanation that names the wrong reason for an unusable agent.
func TestPlanNamesObstacles(t *testing.T) {
	d := newProfileDispatcher(0)
	for _, name := range []string{"ok", "evacuated", "excluded", "suspended", "on-probation", "full", "other-label", "slow", "not-eligible"} {
		labels := []string{"l"}
		if name == "other-label" {
			labels = nil
		}
		d.AddAgent(name, sizer.Slots(8), labels)
		reportFree(d, name, 8)
	}
	d.AddAgent("small", sizer.Slots(1), []string{"l"})
	reportFree(d, "small", 1)
	reportFree(d, "full", 1)
	reportProfile(d, "excluded", 8, failing)
	d.RecordDuration("slow", 100*time.Millisecond, 800*time.Millisecond)
	reportProfile(d, "slow", 8, profiler.Profile{Incarnation: 1, SlownessPercent: 800})
	d.Suspend(startTime, "on-probation")
	d.AddAgent("only", sizer.Slots(8), []string{"probe"})
	reportFree(d, "only", 0)
	later := startTime.Add(time.Second)
	d.Tick(later)
	d.SetEvacuated("evacuated", true)
	d.Suspend(later, "suspended")
	probe := &dispatcher.Job[string]{Value: "probe", Arrived: later, Need: sizer.Slots(1)}
	d.Add(probe, 1, 1)
	_, agent, ok := d.Next(later, func(_, agent string) bool { return agent == "on-probation" })
	require.True(t, ok)
	require.Equal(t, "on-probation", agent)

	j := planned(later)
	j.Need, j.RequiredLabel, j.Due = sizer.Slots(2), "l", later.Add(300*time.Millisecond)
	p := d.Plan(later, j, 1, func(_, agent string) bool { return agent != "not-eligible" })
	require.Equal(t, "ok", p.Next)
	for name, want := range map[string]dispatcher.Obstacle{
		"ok": "", "evacuated": dispatcher.ObstacleEvacuated, "excluded": dispatcher.ObstacleExcluded, "suspended": dispatcher.ObstacleSuspended,
		"on-probation": dispatcher.ObstacleProbation, "full": dispatcher.ObstacleNoCapacity, "other-label": dispatcher.ObstacleLabel,
		"slow": dispatcher.ObstacleTooSlow, "small": dispatcher.ObstacleTooSmall, "not-eligible": dispatcher.ObstacleNotEligible,
	} {
		k := candidate(t, p, name)
		require.Equal(t, want, k.Obstacle, name)
		require.Equal(t, want == "", k.EndMillis != nil, name)
	}
}

// Guards against a plan that does not state the wait for the place of the data, or states
// another decision than the dispatcher takes.
func TestPlanStatesWaitForPlace(t *testing.T) {
	d, now := newLocalityDispatcher()
	j := planned(now)
	j.PreferredLabel = "a"
	p := d.Plan(now, j, 1, nil)
	require.Equal(t, dispatcher.HoldPlace, p.Hold)
	require.Empty(t, p.Next)
	require.Equal(t, "a", p.Place.Label)
	require.Equal(t, "far", p.Place.Elsewhere)
	require.EqualValues(t, 300, p.Place.RemoteMillis)
	require.True(t, p.Place.Pays)
	require.True(t, p.Place.Waits)
	require.False(t, candidate(t, p, "far").Near)
	require.Zero(t, d.LocalityCounts().Begun-d.LocalityCounts().PaidOff-d.LocalityCounts().GivenUp, "no wait begins")
	addPreferring(d, now, "job", 0)
	requireWait(t, d, now)
}

// Guards against an order of the agents that contradicts the choice between equal ones.
func TestPlanOrdersEqualAgentsAsChosen(t *testing.T) {
	d := newProfileDispatcher(0)
	for _, name := range []string{"b", "a", "c"} {
		d.AddAgent(name, sizer.Slots(8), nil)
		reportFree(d, name, 8)
	}
	p := d.Plan(startTime, planned(startTime), 1, nil)
	require.Equal(t, "b", p.Next)
	require.Equal(t, p.Next, p.Candidates[0].Name)
}

// Guards against a plan that ignores jobs that come first.
func TestPlanCountsJobsAhead(t *testing.T) {
	d := newDispatcher()
	addJobDue(d, "first", time.Second, 100*time.Millisecond)
	reportFree(d, "fast", 1)
	p := d.Plan(startTime, planned(startTime), 1, nil)
	require.Equal(t, 1, p.Ahead)
	require.Equal(t, dispatcher.HoldNoAgent, p.Hold, "the first job takes the only slot")
	require.Equal(t, dispatcher.ObstacleNoCapacity, candidate(t, p, "fast").Obstacle)
	job, _ := nextStart(t, d)
	require.Equal(t, "first", job)
}

// Guards against a plan that says that nothing is free, or whose cost grows with the queue,
// when the jobs ahead are more than a scan examines.
func TestPlanBehindLongQueue(t *testing.T) {
	d := newDispatcher()
	reportFree(d, "fast", 1)
	for i := range 2000 {
		d.Add(&dispatcher.Job[string]{Value: fmt.Sprint(i), Arrived: startTime, Need: sizer.Slots(4), Due: startTime.Add(time.Second)}, 1, 1)
	}
	j := planned(startTime)
	j.Due = startTime.Add(time.Minute)
	p := d.Plan(startTime, j, 1, nil)
	require.Equal(t, 2000, p.Ahead)
	require.Zero(t, p.Starts)
	require.Equal(t, dispatcher.HoldQueue, p.Hold)
	require.Empty(t, candidate(t, p, "fast").Obstacle)
	d.Add(j, 1, 1)
	requireNoStart(t, d)
}

// Guards against plans that differ from the decisions: a job that is added right after its
// plan, with the same state and all features on, starts where and as far as the plan says.
func TestPlanAgreesWithDecisions(t *testing.T) {
	starts, waits := 0, 0
	for seed := range uint64(10) {
		d := &dispatcher.Dispatcher[string]{Settings: dispatcher.Settings{LocalityWait: true, RemoteFactor: 2.5, ServerProfiles: true}}
		d.Init(startTime)
		random := rand.New(rand.NewPCG(seed, 47))
		now := startTime
		for step := range 300 {
			now = now.Add(time.Duration(random.IntN(8)) * time.Millisecond)
			randomEvent(random, now, step)(d)
			j, tasks := randomPlanned(random, now), 1+random.IntN(4)
			p := d.Plan(now, j, tasks, nil)
			d.Add(j, tasks, tasks)
			agents := []string{}
			for {
				next, agent, ok := d.Next(now, nil)
				if !ok {
					break
				}
				if next == j {
					agents = append(agents, agent)
				}
			}
			require.Len(t, agents, p.Starts, "seed %d, step %d", seed, step)
			if len(agents) == 0 {
				waits++
				require.Empty(t, p.Next, "seed %d, step %d", seed, step)
				require.NotEmpty(t, p.Hold, "seed %d, step %d", seed, step)
			} else {
				starts++
				require.Equal(t, agents[0], p.Next, "seed %d, step %d", seed, step)
			}
			d.Remove(j) // otherwise the queue grows until little starts
		}
	}
	require.Greater(t, starts, 100)
	require.Greater(t, waits, 100)
}

// Guards against plans that change what the dispatcher decides later, with all features on:
// two dispatchers get the same events, one of them plans in between. Its whole state after
// each plan must be that before.
func TestPlanChangesNoDecision(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			settings := dispatcher.Settings{LocalityWait: true, RemoteFactor: 2.5, ServerProfiles: true}
			a, b := &dispatcher.Dispatcher[string]{Settings: settings}, &dispatcher.Dispatcher[string]{Settings: settings}
			a.Init(startTime)
			b.Init(startTime)
			random := rand.New(rand.NewPCG(seed, 46))
			now := startTime
			for step := range 300 {
				now = now.Add(time.Duration(random.IntN(8)) * time.Millisecond)
				event := randomEvent(random, now, step)
				event(a)
				event(b)
				j := randomPlanned(random, now)
				copied, before := *j, b.State()
				p := b.Plan(now, j, 1+random.IntN(4), nil)
				require.Equal(t, copied, *j)
				require.True(t, reflect.DeepEqual(before, b.State()), "step %d", step)
				require.Len(t, p.Candidates, b.Agents())
				jobA, agentA, okA := a.Next(now, nil)
				jobB, agentB, okB := b.Next(now, nil)
				require.Equal(t, okA, okB, "step %d", step)
				require.Equal(t, agentA, agentB, "step %d", step)
				if okA {
					require.Equal(t, *jobA, *jobB, "step %d", step)
				}
			}
		})
	}
}

// randomEvent returns an event that can be applied to several dispatchers.
func randomEvent(random *rand.Rand, now time.Time, step int) func(d *dispatcher.Dispatcher[string]) {
	name, n, k := fmt.Sprint("agent-", random.IntN(8)), random.IntN(9), random.IntN(100)
	tasks := 1 + random.IntN(5)
	job := *randomPlanned(random, now)
	job.Value = fmt.Sprint("job-", step)
	switch {
	case step < 8 || k < 4:
		return func(d *dispatcher.Dispatcher[string]) {
			d.AddAgent(name, sizer.Slots(8), []string{fmt.Sprint("rack-", n%3)})
		}
	case k < 6:
		return func(d *dispatcher.Dispatcher[string]) { d.RemoveAgent(name) }
	case k < 9:
		return func(d *dispatcher.Dispatcher[string]) { d.SetEvacuated(name, n%2 == 0) }
	case k < 14:
		return func(d *dispatcher.Dispatcher[string]) { d.RecordFailure(now, name) }
	case k < 24:
		return func(d *dispatcher.Dispatcher[string]) {
			d.RecordOutcome(name)
			d.RecordDuration(name, 100*time.Millisecond, time.Duration(20+40*n)*time.Millisecond)
		}
	case k < 70:
		return func(d *dispatcher.Dispatcher[string]) {
			d.Report(name, dispatcher.Load{Free: sizer.Slots(n), Received: 1 << 32, Profile: &profiler.Profile{Incarnation: 1, SlownessPercent: 60 + 20*n, FailurePercent: 12 * n, Samples: 4 * n}})
		}
	case k < 85:
		return func(d *dispatcher.Dispatcher[string]) { d.Tick(now) }
	}
	return func(d *dispatcher.Dispatcher[string]) {
		j := job
		d.Add(&j, tasks, tasks)
	}
}

// randomPlanned returns a job that is not queued.
func randomPlanned(random *rand.Rand, now time.Time) *dispatcher.Job[string] {
	j := planned(now)
	j.Need, j.Estimate = sizer.Slots(1+random.IntN(2)), time.Duration(50+random.IntN(200))*time.Millisecond
	j.Failed, j.AttemptsLeft = random.IntN(2), 1+random.IntN(2)
	if random.IntN(2) == 0 {
		j.PreferredLabel = fmt.Sprint("rack-", random.IntN(3))
	}
	if random.IntN(2) == 0 {
		j.Due = now.Add(time.Duration(random.IntN(500)) * time.Millisecond)
	}
	return j
}
