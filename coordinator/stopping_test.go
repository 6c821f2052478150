package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

// A caller leaves and submits its job again at the same entry before the stops of the first
// tasks have taken effect. Tasks of both must not run at the same time.
func TestResubmittedJobWaitsForStopsOfEarlierOne(t *testing.T) {
	for name, tt := range map[string]struct {
		end      func(c *Coordinator, starts []*protocol.Start)
		restarts bool
	}{
		"stops outstanding": {func(*Coordinator, []*protocol.Start) {}, false},
		"one stop outstanding": {func(c *Coordinator, starts []*protocol.Start) {
			refuseStart(c, testStart, starts[0], protocol.RefusalStopped, freeLoad)
		}, false},
		"outcome of an earlier attempt": {func(c *Coordinator, starts []*protocol.Start) {
			for _, s := range starts {
				earlier := *s
				earlier.Attempt--
				refuseStart(c, testStart, &earlier, protocol.RefusalStopped, freeLoad)
			}
		}, false},
		"stopped": {func(c *Coordinator, starts []*protocol.Start) {
			for _, s := range starts {
				refuseStart(c, testStart, s, protocol.RefusalStopped, freeLoad)
			}
		}, true},
		"done": {func(c *Coordinator, starts []*protocol.Start) {
			for _, s := range starts {
				completeTask(c, testStart, s)
			}
		}, true},
		"agent lost": {func(c *Coordinator, _ []*protocol.Start) {
			c.AgentLost(testStart, testAgent)
			c.Receive(testStart, "other.1", protocol.Message{Announce: &protocol.Announce{Capacity: sizer.Slots(4), Load: freeLoad}})
			c.Tick(testStart.Add(c.Settings.LeaseExpiryWait - time.Millisecond))
		}, false},
		"leases expired": {func(c *Coordinator, _ []*protocol.Start) {
			c.AgentLost(testStart, testAgent)
			c.Receive(testStart, "other.1", protocol.Message{Announce: &protocol.Announce{Capacity: sizer.Slots(4), Load: freeLoad}})
			c.Tick(testStart.Add(c.Settings.LeaseExpiryWait))
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCoordinator()
			job := syncJob("a")
			job.Due, job.DeadlineMillis = 0, 10_000
			first := mustRunSync(t, c, job)
			starts := drainStarts(c)
			require.Len(t, starts, 2)
			c.CancelSync(testStart, first)
			mustRunSync(t, c, job)
			require.Empty(t, drainStarts(c))
			tt.end(c, starts)
			require.Equal(t, tt.restarts, len(drainStarts(c)) == 2)
			other := syncJob("b")
			mustRunSync(t, c, other)
			require.Len(t, drainStarts(c), 2, "another job does not wait")
		})
	}
}

// A job waits for capacity, and its caller leaves. The context of its request ends later,
// if this process is slow; the caller may be back at another entry by then.
func TestWaitingJobOfCallerThatHasLeftIsNotStarted(t *testing.T) {
	for name, tt := range map[string]struct {
		callers []bool // whether each caller has left
		starts  int
	}{
		"left":            {[]bool{true}, 0},
		"waits":           {[]bool{false}, 2},
		"both left":       {[]bool{true, true}, 0},
		"first one waits": {[]bool{false, true}, 2},
		"last one waits":  {[]bool{true, false}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCoordinator()
			c.Receive(testStart, testAgent, protocol.Message{Announce: &protocol.Announce{Capacity: sizer.Slots(4), Load: fullLoad}})
			for _, left := range tt.callers {
				job := syncJob("a")
				job.CallerLeft = func() bool { return left }
				mustRunSync(t, c, job)
			}
			require.Empty(t, drainStarts(c))
			c.Receive(testStart, testAgent, protocol.Message{Load: &freeLoad})
			require.Len(t, drainStarts(c), tt.starts)
		})
	}
}
