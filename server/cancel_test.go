package server

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/canceller"
	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/router"
)

const (
	cancelHost = "desk.example"
	cancelPath = "/checks/a"
)

func checksRoute(service string) router.Route {
	return router.Route{Host: cancelHost, Prefix: "/checks/", Service: service, MaxAttempts: 3}
}

// awaitPeers waits until each entry is connected to all others.
func awaitPeers(t *testing.T, entries ...*Entry) {
	require.Eventually(t, func() bool {
		for _, e := range entries {
			if len(e.connectedEntries()) != len(entries)-1 {
				return false
			}
		}
		return true
	}, 5*time.Second, time.Millisecond)
}

// runJob runs the job at the entry, which has no agent, and returns the channel of its answer
// once the entry has it.
func runJob(t *testing.T, e *Entry, name string) <-chan *coordinator.Answer {
	answers := make(chan *coordinator.Answer, 1)
	go func() {
		a, err := e.RunSync(t.Context(), "desk", namedJob(name))
		if err == nil {
			answers <- a
		}
	}()
	require.Eventually(t, func() bool { return unfinishedJobs(e) > 0 }, 5*time.Second, time.Millisecond)
	return answers
}

func namedJob(name string) coordinator.Job {
	return coordinator.Job{Name: name, Tasks: []protocol.Request{{Name: name + ".0.0.0"}}, Restart: coordinator.RestartPolicy{MaxAttempts: 3}, DeadlineMillis: 20_000}
}

func unfinishedJobs(e *Entry) int {
	n := 0
	for _, s := range e.shards.list() {
		s.mu.Lock()
		n += s.coordinator.Counts().Unfinished
		s.mu.Unlock()
	}
	return n
}

func requireCancelled(t *testing.T, answers <-chan *coordinator.Answer) {
	select {
	case a := <-answers:
		require.Equal(t, protocol.ReasonJobCancelled, a.Reason)
		require.Equal(t, OutcomeFailed, syncReply(a, nil).Outcome, "final: the caller does not submit the job again")
	case <-time.After(5 * time.Second):
		require.Fail(t, "the job goes on")
	}
}

// A DELETE reaches another entry than the submission, whose retry is at a third one.
func TestCancelReachesJobAtOtherEntries(t *testing.T) {
	first, address := startEntry(t, "entry-1")
	second, _ := startEntry(t, "entry-2", address)
	third, _ := startEntry(t, "entry-3", address)
	awaitPeers(t, first, second, third)
	first.Routes.Adopt(router.NewTable(1, []router.Route{checksRoute("desk")}))
	atSecond, atThird := runJob(t, second, "a"), runJob(t, third, "a")
	require.Equal(t, CancelInForce, first.Cancel(cancelHost, cancelPath))
	requireCancelled(t, atSecond)
	requireCancelled(t, atThird)
}

// The submission of a cancelled job arrives again, at any entry.
func TestLaterSubmissionOfCancelledJobIsNotStarted(t *testing.T) {
	first, address := startEntry(t, "entry-1")
	second, _ := startEntry(t, "entry-2", address)
	awaitPeers(t, first, second)
	first.Routes.Adopt(router.NewTable(1, []router.Route{checksRoute("desk")}))
	answers := runJob(t, first, "a")
	require.Equal(t, CancelInForce, first.Cancel(cancelHost, cancelPath))
	requireCancelled(t, answers)
	require.Eventually(t, func() bool { return second.cancels.isCancelled("a") }, 5*time.Second, time.Millisecond)
	for _, e := range []*Entry{first, second} {
		a, err := e.RunSync(t.Context(), "desk", namedJob("a"))
		require.NoError(t, err)
		require.Equal(t, OutcomeFailed, syncReply(a, nil).Outcome)
		require.False(t, a.MayHaveRun())
	}
}

// An entry that was unreachable, or has restarted, learns of the cancels in force once it is
// connected.
func TestEntryLearnsOfCancelsWhenConnected(t *testing.T) {
	first, address := startEntry(t, "entry-1")
	first.Routes.Adopt(router.NewTable(1, []router.Route{checksRoute("desk")}))
	for i := range 2*maxCancelsPerMessage + 1 {
		require.Equal(t, CancelInForce, first.Cancel(cancelHost, "/checks/"+strconv.Itoa(i)))
	}
	second, _ := startEntry(t, "entry-2", address)
	require.Eventually(t, func() bool { n, _ := second.CancelCounts(); return n == 2*maxCancelsPerMessage+1 }, 5*time.Second, time.Millisecond)
}

// An entry is connected to some of the others only: it passes on what is new, to all but the
// sender, once.
func TestCancelIsPassedOnOnce(t *testing.T) {
	first, address := startEntry(t, "entry-1")
	second, _ := startEntry(t, "entry-2", address)
	awaitPeers(t, first, second)
	list := []protocol.Cancel{{Name: "a", At: 1, RemainingMillis: 60_000}}
	first.receiveCancels("entry-9.1", list)
	require.Eventually(t, func() bool { return second.cancels.isCancelled("a") }, 5*time.Second, time.Millisecond)
	time.Sleep(300 * time.Millisecond) // so that heartbeats of the start have passed
	sent := first.Traffic().MessagesOut.Load() + second.Traffic().MessagesOut.Load()
	first.receiveCancels("entry-8.1", list)
	require.Equal(t, sent, first.Traffic().MessagesOut.Load()+second.Traffic().MessagesOut.Load())
}

// A job goes on under a route that has since been removed, or leads to another service.
func TestCancelFindsJobOfRemovedOrMovedRoute(t *testing.T) {
	for name, later := range map[string][]router.Route{"removed": nil, "moved": {checksRoute("other")}} {
		t.Run(name, func(t *testing.T) {
			e, _ := startEntry(t, "entry-1")
			e.AdoptRoutes(router.NewTable(1, []router.Route{checksRoute("desk")}), "test")
			answers := runJob(t, e, "a")
			e.AdoptRoutes(router.NewTable(2, later), "test")
			require.Equal(t, CancelInForce, e.Cancel(cancelHost, cancelPath))
			requireCancelled(t, answers)
		})
	}
}

// Callers outside our control must not fill the table with paths that never had a route.
func TestCancelWithoutRouteIsUnknown(t *testing.T) {
	e, _ := startEntry(t, "entry-1")
	require.Equal(t, CancelUnknown, e.Cancel(cancelHost, cancelPath), "no configuration")
	e.AdoptRoutes(router.NewTable(1, []router.Route{checksRoute("desk")}), "test")
	answers := runJob(t, e, "a")
	for _, path := range []string{"/other/a", "/a", "/checks/x/a"} {
		require.Equal(t, CancelUnknown, e.Cancel(cancelHost, path), path)
	}
	require.Empty(t, answers)
	n, _ := e.CancelCounts()
	require.Zero(t, n)
}

// At the limit the job ends, but the cancel is not acknowledged: a later submission would run.
func TestCancelBeyondLimitIsNotAcknowledged(t *testing.T) {
	e, _ := startEntry(t, "entry-1")
	e.cancels.canceller = canceller.Canceller{Limit: 1}
	e.AdoptRoutes(router.NewTable(1, []router.Route{checksRoute("desk")}), "test")
	answers := runJob(t, e, "a")
	require.Equal(t, CancelInForce, e.Cancel(cancelHost, "/checks/b"))
	require.Equal(t, CancelNotKept, e.Cancel(cancelHost, cancelPath))
	requireCancelled(t, answers)
	_, notKept := e.CancelCounts()
	require.Equal(t, 1, notKept)
}

// A submission at the time of the cancel either meets it or is ended by it.
func TestSubmissionBesideCancelDoesNotEscape(t *testing.T) {
	e, _ := startEntry(t, "entry-1")
	e.AdoptRoutes(router.NewTable(1, []router.Route{checksRoute("desk")}), "test")
	var submissions sync.WaitGroup
	for i := range 200 {
		name := strconv.Itoa(i)
		for range 2 {
			submissions.Go(func() { e.RunSync(t.Context(), "desk", namedJob(name)) })
		}
		submissions.Go(func() { e.Cancel(cancelHost, "/checks/"+name) })
	}
	submissions.Wait() // a job that escaped would go on for 20 s
	require.Zero(t, unfinishedJobs(e))
}
