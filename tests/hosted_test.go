package tests

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/internal/relayer"
	"mustardlever.dev/mustardlever/platform/standin"
)

const (
	hostedHost   = "desk.example"
	hostedPrefix = "/checks/"
	executorCPU  = 8000
	taskCPU      = 2000
)

const hostedConfiguration = `{"version":%d,"routes":[{"name":"checks","host":"desk.example","pathPrefix":"/checks/",
"service":"access-desk","attempts":3,"stretch":1.6,"targetLatencyMs":2000%s}]}`

// hosted is a set of daemons on stand-ins of the users' platform.
type hosted struct {
	*fleet
	store     *standin.Store
	judge     *standin.Checker
	executors []*standin.Executor
	settings  map[string]map[string]any
}

func newHosted(t *testing.T, entries, agents int) *hosted {
	h := &hosted{
		fleet: &fleet{t: t, dir: t.TempDir()}, store: new(standin.Store), judge: new(standin.Checker), settings: map[string]map[string]any{},
	}
	require.NoError(t, h.store.Start("127.0.0.1:0"))
	h.store.Put("op", "config", fmt.Appendf(nil, hostedConfiguration, 1, ""))
	links := []string{}
	for i := range entries {
		links = append(links, h.addHostedEntry(i, links))
	}
	for i := range agents {
		h.addHostedAgent(i, links)
	}
	t.Cleanup(h.stopHosted)
	require.Eventually(t, func() bool { return h.meet(agents) }, readyTimeout, 20*time.Millisecond)
	return h
}

// meet tells whether every entry has met all agents.
func (h *hosted) meet(agents int) bool {
	for _, e := range h.entries {
		if h.agentsOf(e) != agents {
			return false
		}
	}
	return true
}

func (h *hosted) addHostedEntry(i int, links []string) string {
	p := &process{name: fmt.Sprintf("entry-%d", i+1), operator: relayer.NewAddress()}
	link, callers, ready := relayer.NewAddress(), relayer.NewAddress(), relayer.NewAddress()
	p.callers, p.ready = "http://"+callers, "http://"+ready+"/readyz"
	p.relay = newRelay(h.t, link)
	h.settings[p.name] = map[string]any{
		"name": p.name, "role": "entry", "zone": fmt.Sprintf("zone-%d", i+1), "link-address": link, "link-advertised": p.relay.Address(),
		"caller-address": callers, "operator-address": p.operator, "entries": append([]string{}, links...),
		"platform": map[string]any{"store-address": h.store.Address(), "ready-address": ready},
	}
	h.start(p, h.settings[p.name])
	h.entries = append(h.entries, p)
	return p.relay.Address()
}

func (h *hosted) addHostedAgent(i int, links []string) {
	p := &process{name: fmt.Sprintf("agent-%d", i+1), operator: relayer.NewAddress()}
	reports := relayer.NewAddress()
	h.settings[p.name] = map[string]any{
		"name": p.name, "role": "agent", "zone": fmt.Sprintf("zone-%d", i+1), "operator-address": p.operator, "entries": links,
		"platform": map[string]any{"store-address": h.store.Address(), "reports-address": reports, "service": service},
	}
	h.start(p, h.settings[p.name])
	h.agents = append(h.agents, p)
	x := &standin.Executor{Name: fmt.Sprintf("executor-%d", i+1), Service: service, Millicores: executorCPU, ReportAddress: reports, Checker: h.judge}
	require.NoError(h.t, x.Start())
	h.executors = append(h.executors, x)
}

// restart starts a process that was killed.
func (h *hosted) restart(p *process) { h.start(p, h.settings[p.name]) }

func (h *hosted) stopHosted() {
	for _, x := range h.executors {
		x.Stop()
	}
	h.stop()
	h.store.Stop()
	for _, b := range h.judge.Violations() {
		h.t.Errorf("broken: %s", b)
	}
}

// post submits a job at an entry and returns the status and the body, 0 when
// there was no answer.
func post(e *process, id, body string) (int, string) {
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 9 * time.Second}
	a := standin.Submit(context.Background(), &c, e.callers, hostedHost, hostedPrefix, id, body, 8*time.Second)
	return a.Status, a.Body
}

// postUntil submits as callers do: after no answer, 502 or 504 the job comes
// again at the next entry, and after a refusal too. What was refused must not
// have run since it was submitted.
func (h *hosted) postUntil(first int, id, body string) (status int, answer string) {
	for try := range 8 {
		before := h.judge.Starts(id)
		status, answer = post(h.entries[(first+try)%len(h.entries)], id, body)
		switch status {
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			if h.judge.Starts(id) != before {
				h.t.Errorf("job %s was refused and has run", id)
			}
		default:
			return status, answer
		}
		time.Sleep(standin.ResendAfter)
	}
	h.t.Errorf("job %s: %d %s", id, status, answer)
	return status, answer
}

func hostedID(n int) string { return standin.JobID(uint64(n)) }

// load submits jobs at all entries for a while and counts those completed.
func (h *hosted) load(jobs int, w standin.Work, gap time.Duration) func() int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	completed := 0
	wg.Go(func() {
		for n := range jobs {
			wg.Go(func() {
				if _, answer := h.postUntil(n%len(h.entries), hostedID(n+1), standin.Job(3, w)); answer == `{"state":"completed"}` {
					mu.Lock()
					completed++
					mu.Unlock()
				}
			})
			time.Sleep(gap)
		}
	})
	return func() int { wg.Wait(); return completed }
}

// servesThrough submits jobs of tasks of 200 ms, has something go wrong a while
// after the first, and requires that every job is completed.
func (h *hosted) servesThrough(jobs int, gap, before time.Duration, disturb func()) {
	h.t.Helper()
	done := h.load(jobs, standin.Work{Millis: 200, CPU: taskCPU}, gap)
	time.Sleep(before)
	disturb()
	require.Equal(h.t, jobs, done())
}

func TestHostedJob(t *testing.T) {
	h := newHosted(t, 2, 2)
	status, answer := post(h.entries[0], hostedID(1), standin.Job(6, standin.Work{Millis: 50, CPU: taskCPU}))
	require.Equal(t, http.StatusOK, status)
	require.JSONEq(t, `{"state":"completed"}`, answer)
	require.Equal(t, 6, h.judge.Starts(hostedID(1)))
	status, answer = post(h.entries[1], hostedID(2), standin.Job(2, standin.Work{Millis: 20, CPU: taskCPU, Fail: true}))
	require.Equal(t, http.StatusOK, status)
	require.JSONEq(t, `{"state":"failed"}`, answer)
	status, _ = post(h.entries[0], hostedID(3), standin.Job(1, standin.Work{Millis: 20, CPU: executorCPU + 1}))
	require.Equal(t, http.StatusOK, status, "it can never be done")
	require.Zero(t, h.judge.Starts(hostedID(3)))
}

// A burst beyond the capacity: no executor is given more than it has room for,
// and who is refused has not run.
func TestHostedOverload(t *testing.T) {
	h := newHosted(t, 2, 2)
	var wg sync.WaitGroup
	for n := range 60 {
		wg.Go(func() {
			status, _ := post(h.entries[n%2], hostedID(n+1), standin.Job(2, standin.Work{Millis: 300, CPU: taskCPU}))
			if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
				if h.judge.Starts(hostedID(n+1)) > 0 {
					t.Errorf("job %d was refused and has run", n+1)
				}
			}
		})
	}
	wg.Wait()
}

func TestHostedEntryKilled(t *testing.T) {
	h := newHosted(t, 2, 2)
	h.servesThrough(40, 50*time.Millisecond, 700*time.Millisecond, func() {
		h.entries[0].kill()
		time.Sleep(300 * time.Millisecond)
		h.restart(h.entries[0])
	})
}

// An entry dies while stops do not reach the backend servers: what it started
// must have lapsed when its caller sends the job again. Other jobs keep the
// backend servers' leases alive meanwhile.
func TestHostedEntryKilledAndStopsLost(t *testing.T) {
	h := newHosted(t, 2, 2)
	for _, x := range h.executors {
		x.SetIgnoreStops(true)
	}
	done := h.load(20, standin.Work{Millis: 100, CPU: 100}, 100*time.Millisecond)
	var wg sync.WaitGroup
	long := standin.Job(4, standin.Work{Millis: 4000, CPU: taskCPU})
	wg.Go(func() { post(h.entries[0], hostedID(901), long) })
	require.Eventually(t, func() bool { return h.judge.Starts(hostedID(901)) == 4 }, 5*time.Second, 5*time.Millisecond)
	h.entries[0].kill()
	time.Sleep(standin.ResendAfter)
	wg.Go(func() { post(h.entries[1], hostedID(901), long) })
	require.Equal(t, 20, done())
	wg.Wait()
}

func TestHostedEntryFrozen(t *testing.T) {
	h := newHosted(t, 2, 2)
	h.servesThrough(30, 50*time.Millisecond, 600*time.Millisecond, func() {
		h.entries[0].signal(syscall.SIGSTOP)
		time.Sleep(2 * time.Second)
		h.entries[0].signal(syscall.SIGCONT)
	})
}

func TestHostedAgentKilled(t *testing.T) {
	h := newHosted(t, 2, 3)
	h.servesThrough(40, 50*time.Millisecond, 700*time.Millisecond, func() {
		h.agents[0].kill()
		time.Sleep(200 * time.Millisecond)
		h.restart(h.agents[0])
	})
}

func TestHostedAgentFrozen(t *testing.T) {
	h := newHosted(t, 2, 3)
	h.servesThrough(30, 50*time.Millisecond, 600*time.Millisecond, func() {
		h.agents[0].signal(syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		h.agents[0].signal(syscall.SIGCONT)
	})
}

// The links between one entry and everything else break and come back.
func TestHostedEntryCutOff(t *testing.T) {
	h := newHosted(t, 2, 2)
	h.servesThrough(30, 50*time.Millisecond, 600*time.Millisecond, func() {
		h.entries[0].relay.SetFaults(relayer.Faults{Refuse: true}, "agent-1", "agent-2", "entry-2")
		time.Sleep(2500 * time.Millisecond)
		h.entries[0].relay.ClearFaults()
	})
}

func TestHostedExecutorCrashesAndFallsSilent(t *testing.T) {
	h := newHosted(t, 2, 3)
	h.servesThrough(40, 60*time.Millisecond, 500*time.Millisecond, func() {
		h.executors[0].Crash()
		h.executors[1].SetUnresponsive(true)
		time.Sleep(1500 * time.Millisecond)
		h.executors[1].SetUnresponsive(false)
	})
}

// The configuration changes while the store serves, and stays in force while
// it is away; an entry that starts meanwhile takes it from its peer.
func TestHostedConfigurationAndStoreDown(t *testing.T) {
	h := newHosted(t, 2, 1)
	h.store.Put("op", "config", fmt.Appendf(nil, hostedConfiguration, 7, `},{"name":"more","host":"desk.example","pathPrefix":"/more/","service":"access-desk"`))
	require.Eventually(t, func() bool { return h.routed(0, "/more/") && h.routed(1, "/more/") }, 2*time.Second, 10*time.Millisecond)
	h.store.SetFaults(standin.Faults{Down: true})
	h.entries[1].kill()
	h.restart(h.entries[1])
	require.Eventually(t, func() bool { return h.routed(1, "/more/") }, 5*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return h.isReady(1) }, 5*time.Second, 10*time.Millisecond)
	status, _ := post(h.entries[1], hostedID(9), standin.Job(1, standin.Work{Millis: 20, CPU: taskCPU}))
	require.Equal(t, http.StatusOK, status)
}

// A planned stop answers everybody who is here, and takes the entry out of
// rotation first.
func TestHostedPlannedStop(t *testing.T) {
	h := newHosted(t, 2, 2)
	done := h.load(20, standin.Work{Millis: 400, CPU: taskCPU}, 20*time.Millisecond)
	time.Sleep(450 * time.Millisecond)
	h.entries[0].signal(syscall.SIGTERM)
	require.Eventually(t, func() bool { return !h.isReady(0) }, time.Second, 5*time.Millisecond)
	require.Equal(t, 20, done())
	select {
	case <-h.entries[0].exited:
	case <-time.After(7 * time.Second):
		t.Fatal("it has not stopped")
	}
}

func (h *hosted) routed(entry int, path string) bool {
	q, err := http.NewRequest(http.MethodGet, h.entries[entry].callers+path, nil)
	require.NoError(h.t, err)
	q.Host = hostedHost
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	p.Body.Close()
	return p.StatusCode == http.StatusOK
}

func (h *hosted) isReady(entry int) bool {
	p, err := http.Get(h.entries[entry].ready)
	if err != nil {
		return false
	}
	p.Body.Close()
	return p.StatusCode == http.StatusOK
}
