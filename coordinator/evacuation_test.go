package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/evacuator"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

// evacuationTime is a time at which the agents of a test coordinator are known.
var evacuationTime = testStart.Add(agentsKnownAfter)

// evacuated returns a state in which the zones are evacuated.
func evacuated(zones ...string) *evacuator.State {
	r := evacuator.Report{AsOf: 9}
	for _, z := range zones {
		r.Zones = append(r.Zones, evacuator.Zone{Name: z, Version: 9, Evacuated: true})
	}
	return new(evacuator.State).WithReport(r)
}

// newZonedCoordinator returns a Coordinator with the agents agent.1 in zone east, and
// agent.2 in zone west, of four slots each.
func newZonedCoordinator() *Coordinator {
	c := &Coordinator{Self: "self.1", Zone: "east", Service: "s"}
	c.Init(testStart)
	for name, zone := range map[string]string{"agent.1": "east", "agent.2": "west"} {
		c.Receive(testStart, name, protocol.Message{Announce: &protocol.Announce{Capacity: sizer.Slots(4), Load: freeLoad, Zone: zone}})
	}
	c.TakeDecisions()
	return c
}

// startsByAgent drains c and returns the starts among the messages by their agents.
func startsByAgent(c *Coordinator) map[string][]*protocol.Start {
	starts := make(map[string][]*protocol.Start)
	for _, s := range drainStarts(c) {
		starts[s.Agent] = append(starts[s.Agent], s)
	}
	return starts
}

// TestRefusedTaskOfEvacuatedZoneGoesElsewhere guards against tasks that wait, or go back
// to the same agent, after an agent of an evacuated zone has refused them.
func TestRefusedTaskOfEvacuatedZoneGoesElsewhere(t *testing.T) {
	c := newZonedCoordinator()
	c.SetEvacuations(evacuationTime, evacuated("west"))
	_, _, err := c.RunSync(evacuationTime, syncJob("a"))
	require.NoError(t, err)
	starts := startsByAgent(c)["agent.1"]
	require.Len(t, starts, 2)
	c.SetEvacuations(evacuationTime, evacuated("east"))
	require.Empty(t, drainStarts(c), "what was sent stays with the agent until it is refused")
	for _, s := range starts {
		refuseStart(c, evacuationTime, s, protocol.RefusalEvacuated, freeLoad)
	}
	require.Len(t, startsByAgent(c)["agent.2"], 2)
}

// TestJobOfEvacuatedZonesIsRefused guards against jobs that wait for their deadline, or
// are answered without Retry-After, while all servers that could run them are in
// evacuated zones, and against jobs that are still refused after the withdrawal.
func TestJobOfEvacuatedZonesIsRefused(t *testing.T) {
	c := newZonedCoordinator()
	big := syncJob("waiting")
	big.Tasks[0].Need, big.Tasks[1].Need = sizer.Slots(3), sizer.Slots(3)
	first := syncJob("running")
	first.Tasks[0].Need, first.Tasks[1].Need = sizer.Slots(3), sizer.Slots(3)
	mustRunSync(t, c, first)
	running := startsByAgent(c)
	mustRunSync(t, c, big)
	require.Empty(t, drainStarts(c), "no capacity is free")
	c.SetEvacuations(evacuationTime, evacuated("east", "west"))
	_, ends, _ := c.TakeDecisions()
	require.Len(t, ends, 1, "the running job goes on")
	require.Equal(t, protocol.ReasonEvacuated, ends[0].Answer.Reason)
	require.False(t, ends[0].Answer.MayHaveRun())
	require.Equal(t, evacuatedRetryAfter, ends[0].Answer.RetryAfter)
	_, a, err := c.RunSync(evacuationTime, syncJob("new"))
	require.NoError(t, err)
	require.Equal(t, protocol.ReasonEvacuated, a.Reason, "a new job is refused at once")
	for agent, starts := range running {
		for _, s := range starts {
			c.Receive(evacuationTime, agent, protocol.Message{Outcome: &protocol.Outcome{
				Ticket: s.Ticket, Task: s.Task, Attempt: s.Attempt, Result: &protocol.Result{Status: 200}, Load: freeLoad,
			}})
		}
	}
	_, ends, _ = c.TakeDecisions()
	require.Equal(t, StateComplete, ends[len(ends)-1].Answer.State)
	c.SetEvacuations(evacuationTime, evacuated("west"))
	_, a, err = c.RunSync(evacuationTime, syncJob("after"))
	require.NoError(t, err)
	require.Nil(t, a)
	require.Len(t, startsByAgent(c)["agent.1"], 2)
}

// TestRefusedStartsOfTheOnlyZone guards against a job that waits after its starts were
// refused in the zone of the only servers.
func TestRefusedStartsOfTheOnlyZone(t *testing.T) {
	c := newTestCoordinator()
	c.agents[testAgent].zone = "east"
	_, _, err := c.RunSync(evacuationTime, syncJob("a"))
	require.NoError(t, err)
	starts := drainStarts(c)
	require.Len(t, starts, 2)
	c.SetEvacuations(evacuationTime, evacuated("east"))
	for _, s := range starts {
		refuseStart(c, evacuationTime, s, protocol.RefusalEvacuated, fullLoad)
	}
	c.Tick(evacuationTime.Add(20 * time.Millisecond))
	a, _ := finalAnswer(t, c)
	require.Equal(t, protocol.ReasonEvacuated, a.Reason)
	require.False(t, a.MayHaveRun())
}

// TestAgentThatAppearsInEvacuatedZone guards against a server that is used because it
// announces itself after the evacuation, and against jobs that are refused before the
// agents of other zones can have connected.
func TestAgentThatAppearsInEvacuatedZone(t *testing.T) {
	c := &Coordinator{Self: "self.1", Zone: "east", Service: "s"}
	c.Init(testStart)
	c.SetEvacuations(testStart, evacuated("east"))
	announce := &protocol.Announce{Capacity: sizer.Slots(4), Load: freeLoad, Zone: "east"}
	c.Receive(testStart, testAgent, protocol.Message{Announce: announce})
	mustRunSync(t, c, syncJob("a"))
	require.Empty(t, drainStarts(c))
	c.Receive(testStart, "agent.2", protocol.Message{Announce: &protocol.Announce{Capacity: sizer.Slots(4), Load: freeLoad, Zone: "west"}})
	require.Len(t, startsByAgent(c)["agent.2"], 2)
	c.Receive(testStart, testAgent, protocol.Message{Announce: announce})
	require.Equal(t, 1, c.Counts().Evacuated, "an agent that announces itself again stays excluded")
}

// TestTaskAvoidsNoLastAgent guards against a task that is started nowhere, because it
// avoids the only agent outside evacuated zones.
func TestTaskAvoidsNoLastAgent(t *testing.T) {
	c := newZonedCoordinator()
	c.SetEvacuations(evacuationTime, evacuated("west"))
	_, _, err := c.RunSync(evacuationTime, syncJob("a"))
	require.NoError(t, err)
	failTask(c, evacuationTime, testAgent, drainStarts(c)[0])
	require.Len(t, startsByAgent(c)["agent.1"], 1)
}
