package tests

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/caller"
	"mustardlever.dev/mustardlever/internal/relayer"
)

// maxTakeoverTime limits the time from the loss of the owner to the answer for a
// caller that resubmits the job, in addition to the running time of the tasks.
const maxTakeoverTime = 2 * time.Second

// Guards against a job that does not complete, and against a resubmission to the
// other entry that starts tasks again or gets another answer.
func TestJobAndResubmission(t *testing.T) {
	f := newFleet(t, 2, 3)
	for entry := range f.entries {
		name := fmt.Sprintf("whole-%d", entry)
		ticket := f.issueTicket(entry)
		body := encodeJob(name, caller.MaxTasks, 20)
		a := f.submit(f.client(entry), ticket, body).awaitAnswer(t)
		require.Equal(t, caller.StateComplete, a.State)
		again := f.submit(f.client(1-entry), ticket, body).awaitAnswer(t)
		require.Equal(t, a.Tasks, again.Tasks)
		starts := f.startCounts()
		requireConsistent(t, a, name, starts)
		require.Len(t, starts, caller.MaxTasks*(entry+1))
	}
}

// Guards against a job that fails, is answered late or has tasks started twice when
// its owner is killed and the caller resubmits it to the other entries.
func TestOwnerKilled(t *testing.T) {
	f := newFleet(t, 3, 3)
	ticket := f.issueTicket(0)
	body := encodeJob("killed", 60, 400)
	f.submit(f.client(0), ticket, body)
	f.awaitRunning(24)
	f.entries[0].kill()
	p := f.submit(f.client(1, 2), ticket, body)
	a := p.awaitAnswer(t)
	requireConsistent(t, a, "killed", f.startCounts())
	require.Equal(t, caller.StateComplete, a.State, a.Reason)
	taskTime := 3 * 400 * time.Millisecond // 60 tasks on 24 slots
	require.Less(t, p.duration, taskTime+maxTakeoverTime)
	t.Logf("answered %s after the owner was killed", p.duration)
}

// Guards against tasks that are started twice when a paused owner continues after
// the backup has taken its job over.
func TestOwnerPaused(t *testing.T) {
	f := newFleet(t, 3, 3)
	ticket := f.issueTicket(0)
	body := encodeJob("frozen", 60, 400)
	first := f.submit(f.client(0), ticket, body)
	f.awaitRunning(24)
	f.entries[0].signal(syscall.SIGSTOP)
	p := f.submit(f.client(1, 2), ticket, body)
	a := p.awaitAnswer(t)
	f.entries[0].signal(syscall.SIGCONT)
	requireConsistent(t, a, "frozen", f.startCounts())
	require.Equal(t, caller.StateComplete, a.State, a.Reason)
	require.Less(t, p.duration, 3*400*time.Millisecond+maxTakeoverTime)
	requireConsistent(t, first.awaitAnswer(t), "frozen", f.startCounts())
	t.Logf("answered %s after the owner was paused", p.duration)
}

// Guards against an answer that does not report that tasks may have run. An agent
// is killed while it runs tasks of the job, so their outcome is unknown.
func TestAgentKilled(t *testing.T) {
	f := newFleet(t, 2, 3)
	ticket := f.issueTicket(0)
	p := f.submit(f.client(0), ticket, encodeJob("agent", 60, 300))
	f.awaitRunning(24)
	f.agents[0].kill()
	a := p.awaitAnswer(t)
	requireConsistent(t, a, "agent", f.startCounts())
	require.Equal(t, caller.StateFailed, a.State)
	require.True(t, a.MayHaveRun)
}

// Guards against an answer that contradicts the recorded starts when an agent is
// paused, and against an agent that gets no tasks after it continues.
func TestAgentPaused(t *testing.T) {
	f := newFleet(t, 2, 3)
	ticket := f.issueTicket(0)
	p := f.submit(f.client(0), ticket, encodeJob("agent", 60, 300))
	f.awaitRunning(24)
	f.agents[0].signal(syscall.SIGSTOP)
	requireConsistent(t, p.awaitAnswer(t), "agent", f.startCounts())
	f.agents[0].signal(syscall.SIGCONT)
	f.awaitReady()
	requireConsistent(t, p.awaitAnswer(t), "agent", f.startCounts())
	after := f.submit(f.client(0), f.issueTicket(0), encodeJob("after", 24, 10)).awaitAnswer(t)
	require.Equal(t, caller.StateComplete, after.State)
}

// Guards against a takeover that reports tasks as not-run although their agent,
// the only process that knew of their starts, was killed with the owner.
func TestOwnerAndAgentKilled(t *testing.T) {
	f := newFleet(t, 3, 3)
	ticket := f.issueTicket(0)
	body := encodeJob("both", 60, 300)
	f.submit(f.client(0), ticket, body)
	f.awaitRunning(24)
	f.entries[0].signal(syscall.SIGKILL)
	f.agents[1].signal(syscall.SIGKILL)
	a := f.submit(f.client(1, 2), ticket, body).awaitAnswer(t)
	requireConsistent(t, a, "both", f.startCounts())
	require.Equal(t, caller.StateFailed, a.State)
	require.True(t, a.MayHaveRun)
}

// Guards against tasks that are started twice when both the owner and the backup
// are killed. The third entry must report that the job may have run.
func TestOwnerAndBackupKilled(t *testing.T) {
	f := newFleet(t, 3, 3)
	ticket := f.issueTicket(0)
	body := encodeJob("gone", 60, 300)
	f.submit(f.client(0), ticket, body)
	f.awaitRunning(24)
	backup := f.backup(ticket)
	f.entries[0].signal(syscall.SIGKILL)
	f.entries[backup].signal(syscall.SIGKILL)
	_, err := f.client(3-backup).SubmitTicket(t.Context(), ticket, "", body)
	require.ErrorContains(t, err, "may have run")
	for id, n := range f.startCounts() {
		require.Equal(t, 1, n, id)
	}
}

// Guards against tasks that are started twice or answers that differ when 30
// callers submit the same job to all entries at the same time.
func TestConcurrentResubmissions(t *testing.T) {
	f := newFleet(t, 3, 3)
	ticket := f.issueTicket(0)
	body := encodeJob("storm", 120, 50)
	var wg sync.WaitGroup
	for range 30 {
		wg.Go(func() {
			a, err := f.client().SubmitTicket(t.Context(), ticket, "", body)
			if err != nil || a.State != caller.StateComplete || len(a.Tasks) != 120 {
				t.Errorf("answer of a concurrent submission: %v, error: %v", a, err)
			}
		})
	}
	wg.Wait()
	starts := f.startCounts()
	require.Len(t, starts, 120)
	for id, n := range starts {
		require.Equal(t, 1, n, id)
	}
}

// Guards against a job that fails because its owner could not connect to the
// agents for 700 ms.
func TestOwnerDisconnectedFromAgents(t *testing.T) {
	f := newFleet(t, 3, 3)
	ticket := f.issueTicket(0)
	p := f.submit(f.client(0), ticket, encodeJob("cut", 60, 300))
	f.awaitRunning(24)
	f.entries[0].relay.SetFaults(relayer.Faults{Refuse: true}, "agent-1", "agent-2", "agent-3")
	time.Sleep(700 * time.Millisecond)
	f.entries[0].relay.ClearFaults()
	a := p.awaitAnswer(t)
	requireConsistent(t, a, "cut", f.startCounts())
	require.Equal(t, caller.StateComplete, a.State, "a short disconnection must not fail the job")
}

// Guards against tasks that are started twice when the owner and the backup cannot
// reach each other, both reach the agents, and both have the job.
func TestOwnerDisconnectedFromBackup(t *testing.T) {
	f := newFleet(t, 3, 3)
	ticket := f.issueTicket(0)
	body := encodeJob("split", 60, 300)
	first := f.submit(f.client(0), ticket, body)
	f.awaitRunning(24)
	backup := f.backup(ticket)
	f.entries[0].relay.SetFaults(relayer.Faults{Refuse: true}, "entry-2", "entry-3")
	f.entries[1].relay.SetFaults(relayer.Faults{Refuse: true}, "entry-1")
	f.entries[2].relay.SetFaults(relayer.Faults{Refuse: true}, "entry-1")
	second := f.submit(f.client(backup), ticket, body)
	a := second.awaitAnswer(t)
	requireConsistent(t, a, "split", f.startCounts())
	require.Equal(t, caller.StateComplete, a.State, a.Reason)
	for _, e := range f.entries {
		e.relay.ClearFaults()
	}
	requireConsistent(t, first.awaitAnswer(t), "split", f.startCounts())
}

// Guards against requests that fail or lose their connection when an entry and an
// agent shut down gracefully, and against new tasks on a draining agent.
func TestGracefulShutdown(t *testing.T) {
	f := newFleet(t, 3, 4)
	var all []*submission
	for i := range 6 {
		all = append(all, f.submit(f.client(0), f.issueTicket(0), encodeJob(fmt.Sprintf("stop-%d", i), 30, 300)))
	}
	f.awaitRunning(32)
	f.entries[0].signal(syscall.SIGTERM)
	f.agents[0].signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	before := f.backends[0].Total()
	for i, p := range all {
		a := p.awaitAnswer(t)
		require.Equal(t, caller.StateComplete, a.State, a.Reason)
		requireConsistent(t, a, fmt.Sprintf("stop-%d", i), f.startCounts())
	}
	require.Equal(t, before, f.backends[0].Total(), "a draining agent was sent new tasks")
	for _, p := range []*process{f.entries[0], f.agents[0]} {
		select {
		case <-p.exited:
		case <-time.After(10 * time.Second):
			t.Fatalf("%s did not stop within 10 s", p.name)
		}
	}
}

// putJob sends one PUT request and returns the status of the response, 0 if there
// was none.
func putJob(address string, body []byte) int {
	request, err := http.NewRequest(http.MethodPut, address, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// Guards against callers that lose their connection when the jobs of an entry take
// longer than its graceful shutdown may take. The entry must answer 202, hand the jobs
// over to the backup and stop in time.
func TestGracefulShutdownHandsOverLongJobs(t *testing.T) {
	f := newFleetWithDrainTimeout(t, 3, 3, 3*time.Second)
	ticket := f.issueTicket(0)
	body := encodeJob("long", 30, 3000)
	status := make(chan int, 1)
	go func() { status <- putJob(f.entries[0].callerURL+"/v1/jobs/"+ticket, body) }()
	f.awaitRunning(24)
	f.entries[0].signal(syscall.SIGTERM)
	require.Equal(t, http.StatusAccepted, <-status, "the caller must get an answer before the entry stops")
	a := f.submit(f.client(), ticket, body).awaitAnswer(t)
	select {
	case <-f.entries[0].exited:
	case <-time.After(6 * time.Second):
		t.Fatal("the entry did not stop within 6 s")
	}
	requireConsistent(t, a, "long", f.startCounts())
	require.Equal(t, caller.StateComplete, a.State, a.Reason)
}
