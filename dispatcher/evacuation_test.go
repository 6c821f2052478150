package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/sizer"
)

// TestEvacuatedAgentGetsNoTask guards against tasks that are placed in an evacuated zone
// although the agent there reports free capacity.
func TestEvacuatedAgentGetsNoTask(t *testing.T) {
	d := newDispatcher()
	reportFree(d, "fast", 8)
	reportFree(d, "slow", 8)
	d.SetEvacuated("fast", true)
	addJob(d, "a", 0, 2)
	for range 2 {
		_, agent := nextStart(t, d)
		require.Equal(t, "slow", agent)
	}
	d.SetEvacuated("slow", true)
	addJob(d, "b", 0, 1)
	requireNoStart(t, d)
	d.SetEvacuated("fast", false)
	_, agent := nextStart(t, d)
	require.Equal(t, "fast", agent)
}

// TestOnlyEvacuatedServersCouldRunJob guards against jobs that wait although no server
// can run them, and against the refusal of jobs that a busy server could run later.
func TestOnlyEvacuatedServersCouldRunJob(t *testing.T) {
	d := newDispatcher()
	job := func(slots int, label string) *dispatcher.Job[string] {
		return &dispatcher.Job[string]{Need: sizer.Slots(slots), RequiredLabel: label}
	}
	require.False(t, d.OnlyEvacuated(job(1, "")))
	d.SetEvacuated("fast", true)
	require.False(t, d.OnlyEvacuated(job(1, "")), "the other agent has no free capacity now")
	require.True(t, d.OnlyEvacuated(job(1, "a")), "its only server is in the evacuated zone")
	require.False(t, d.OnlyEvacuated(job(1, "b")))
	require.False(t, d.OnlyEvacuated(job(1, "unknown")), "an evacuation is not the reason")
	d.AddAgent("large", sizer.Slots(16), nil)
	d.SetEvacuated("large", true)
	require.True(t, d.OnlyEvacuated(job(12, "")))
	require.Equal(t, 2, d.EvacuatedAgents())
	d.RemoveAgent("large")
	d.SetEvacuated("fast", true)
	require.Equal(t, 1, d.EvacuatedAgents(), "each agent counts once")
}

// TestEvacuatedAgentsAreNoHeadroom guards against late jobs that never start, because
// the capacity of evacuated zones counts as capacity in use.
func TestEvacuatedAgentsAreNoHeadroom(t *testing.T) {
	d := newDispatcher()
	reportFree(d, "fast", 8)
	reportFree(d, "slow", 4)
	d.SetEvacuated("fast", true)
	addJobDue(d, "late", 100*time.Millisecond, time.Second)
	d.Tick(startTime.Add(time.Second))
	_, agent := nextStart(t, d)
	require.Equal(t, "slow", agent)
}
