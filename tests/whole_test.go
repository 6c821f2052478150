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

// prompt is the longest time, beyond the tasks' own, from the owner's death to
// the answer of a caller that submits again.
const prompt = 2 * time.Second

func TestWholePath(t *testing.T) {
	f := newFleet(t, 2, 3)
	for entry := range f.entries {
		name := fmt.Sprintf("whole-%d", entry)
		ticket := f.ticket(entry)
		body := job(name, caller.MaxTasks, 20)
		a := f.submit(f.client(entry), ticket, body).wait(t)
		require.Equal(t, caller.StateComplete, a.State)
		again := f.submit(f.client(1-entry), ticket, body).wait(t)
		require.Equal(t, a.Tasks, again.Tasks)
		starts := f.starts()
		requireTruth(t, a, name, starts)
		require.Len(t, starts, caller.MaxTasks*(entry+1))
	}
}

func TestOwnerKilled(t *testing.T) {
	f := newFleet(t, 3, 3)
	ticket := f.ticket(0)
	body := job("killed", 60, 400)
	f.submit(f.client(0), ticket, body)
	f.awaitServing(24)
	f.entries[0].kill()
	p := f.submit(f.client(1, 2), ticket, body)
	a := p.wait(t)
	requireTruth(t, a, "killed", f.starts())
	require.Equal(t, caller.StateComplete, a.State, a.Reason)
	own := 3 * 400 * time.Millisecond // 60 tasks on 24 slots
	require.Less(t, p.took, own+prompt)
	t.Logf("answered %s after the owner's death", p.took)
}

func TestOwnerFrozen(t *testing.T) {
	f := newFleet(t, 3, 3)
	ticket := f.ticket(0)
	body := job("frozen", 60, 400)
	first := f.submit(f.client(0), ticket, body)
	f.awaitServing(24)
	f.entries[0].signal(syscall.SIGSTOP)
	p := f.submit(f.client(1, 2), ticket, body)
	a := p.wait(t)
	f.entries[0].signal(syscall.SIGCONT)
	requireTruth(t, a, "frozen", f.starts())
	require.Equal(t, caller.StateComplete, a.State, a.Reason)
	require.Less(t, p.took, 3*400*time.Millisecond+prompt)
	requireTruth(t, first.wait(t), "frozen", f.starts())
	t.Logf("answered %s after the owner's freeze", p.took)
}

func TestAgentKilled(t *testing.T) {
	f := newFleet(t, 2, 3)
	ticket := f.ticket(0)
	p := f.submit(f.client(0), ticket, job("agent", 60, 300))
	f.awaitServing(24)
	f.agents[0].kill()
	a := p.wait(t)
	requireTruth(t, a, "agent", f.starts())
	require.Equal(t, caller.StateFailed, a.State)
	require.True(t, a.MayHaveRun)
}

func TestAgentFrozen(t *testing.T) {
	f := newFleet(t, 2, 3)
	ticket := f.ticket(0)
	p := f.submit(f.client(0), ticket, job("agent", 60, 300))
	f.awaitServing(24)
	f.agents[0].signal(syscall.SIGSTOP)
	requireTruth(t, p.wait(t), "agent", f.starts())
	f.agents[0].signal(syscall.SIGCONT)
	f.awaitReady()
	requireTruth(t, p.wait(t), "agent", f.starts())
	after := f.submit(f.client(0), f.ticket(0), job("after", 24, 10)).wait(t)
	require.Equal(t, caller.StateComplete, after.State)
}

func TestOwnerAndAgentKilled(t *testing.T) {
	f := newFleet(t, 3, 3)
	ticket := f.ticket(0)
	body := job("both", 60, 300)
	f.submit(f.client(0), ticket, body)
	f.awaitServing(24)
	f.entries[0].signal(syscall.SIGKILL)
	f.agents[1].signal(syscall.SIGKILL)
	a := f.submit(f.client(1, 2), ticket, body).wait(t)
	requireTruth(t, a, "both", f.starts())
	require.Equal(t, caller.StateFailed, a.State)
	require.True(t, a.MayHaveRun)
}

func TestOwnerAndWitnessKilled(t *testing.T) {
	f := newFleet(t, 3, 3)
	ticket := f.ticket(0)
	body := job("gone", 60, 300)
	f.submit(f.client(0), ticket, body)
	f.awaitServing(24)
	w := f.witness(ticket)
	f.entries[0].signal(syscall.SIGKILL)
	f.entries[w].signal(syscall.SIGKILL)
	_, err := f.client(3-w).SubmitTicket(t.Context(), ticket, "", body)
	require.ErrorContains(t, err, "may have run")
	for id, n := range f.starts() {
		require.Equal(t, 1, n, id)
	}
}

func TestResubmissionStorm(t *testing.T) {
	f := newFleet(t, 3, 3)
	ticket := f.ticket(0)
	body := job("storm", 120, 50)
	var wait sync.WaitGroup
	for range 30 {
		wait.Go(func() {
			a, err := f.client().SubmitTicket(t.Context(), ticket, "", body)
			if err != nil || a.State != caller.StateComplete || len(a.Tasks) != 120 {
				t.Errorf("a resubmission ended with %v, %v", a, err)
			}
		})
	}
	wait.Wait()
	starts := f.starts()
	require.Len(t, starts, 120)
	for id, n := range starts {
		require.Equal(t, 1, n, id)
	}
}

func TestOwnerCutFromAgents(t *testing.T) {
	f := newFleet(t, 3, 3)
	ticket := f.ticket(0)
	p := f.submit(f.client(0), ticket, job("cut", 60, 300))
	f.awaitServing(24)
	f.entries[0].relay.SetFaults(relayer.Faults{Refuse: true}, "agent-1", "agent-2", "agent-3")
	time.Sleep(700 * time.Millisecond)
	f.entries[0].relay.ClearFaults()
	a := p.wait(t)
	requireTruth(t, a, "cut", f.starts())
	require.Equal(t, caller.StateComplete, a.State, "a short cut must not cost the job")
}

func TestOwnerCutFromWitness(t *testing.T) {
	f := newFleet(t, 3, 3)
	ticket := f.ticket(0)
	body := job("split", 60, 300)
	first := f.submit(f.client(0), ticket, body)
	f.awaitServing(24)
	w := f.witness(ticket)
	f.entries[0].relay.SetFaults(relayer.Faults{Refuse: true}, "entry-2", "entry-3")
	f.entries[1].relay.SetFaults(relayer.Faults{Refuse: true}, "entry-1")
	f.entries[2].relay.SetFaults(relayer.Faults{Refuse: true}, "entry-1")
	second := f.submit(f.client(w), ticket, body)
	a := second.wait(t)
	requireTruth(t, a, "split", f.starts())
	require.Equal(t, caller.StateComplete, a.State, a.Reason)
	for _, e := range f.entries {
		e.relay.ClearFaults()
	}
	requireTruth(t, first.wait(t), "split", f.starts())
}

// TestPlannedStop stops an entry and an agent while callers wait. No request
// may fail or be cut off.
func TestPlannedStop(t *testing.T) {
	f := newFleet(t, 3, 4)
	var all []*pending
	for i := range 6 {
		all = append(all, f.submit(f.client(0), f.ticket(0), job(fmt.Sprintf("stop-%d", i), 30, 300)))
	}
	f.awaitServing(32)
	f.entries[0].signal(syscall.SIGTERM)
	f.agents[0].signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	before := f.backends[0].Total()
	for i, p := range all {
		a := p.wait(t)
		require.Equal(t, caller.StateComplete, a.State, a.Reason)
		requireTruth(t, a, fmt.Sprintf("stop-%d", i), f.starts())
	}
	require.Equal(t, before, f.backends[0].Total(), "a leaving agent got new tasks")
	for _, p := range []*process{f.entries[0], f.agents[0]} {
		select {
		case <-p.exited:
		case <-time.After(10 * time.Second):
			t.Fatalf("%s did not stop", p.name)
		}
	}
}

// put sends one request and returns the answer's status, 0 if there was none.
func put(address string, body []byte) int {
	q, err := http.NewRequest(http.MethodPut, address, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0
	}
	defer p.Body.Close()
	return p.StatusCode
}

// TestPlannedStopPassesLongJobsOn stops an entry whose jobs take longer than it
// may: its callers are passed on to the witness.
func TestPlannedStopPassesLongJobsOn(t *testing.T) {
	f := newFleetDraining(t, 3, 3, 3*time.Second)
	ticket := f.ticket(0)
	body := job("long", 30, 3000)
	status := make(chan int, 1)
	go func() { status <- put(f.entries[0].callers+"/v1/jobs/"+ticket, body) }()
	f.awaitServing(24)
	f.entries[0].signal(syscall.SIGTERM)
	require.Equal(t, http.StatusAccepted, <-status, "the caller must be told, not cut off")
	a := f.submit(f.client(), ticket, body).wait(t)
	select {
	case <-f.entries[0].exited:
	case <-time.After(6 * time.Second):
		t.Fatal("the entry did not stop in time")
	}
	requireTruth(t, a, "long", f.starts())
	require.Equal(t, caller.StateComplete, a.State, a.Reason)
}
