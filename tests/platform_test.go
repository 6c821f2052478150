package tests

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/internal/relayer"
	"mustardlever.dev/mustardlever/platform/standin"
)

const (
	routeHost          = "desk.example"
	routePrefix        = "/checks/"
	executorMillicores = 8000
	taskMillicores     = 2000
)

const configurationFormat = `{"version":%d,"routes":[{"name":"checks","host":"desk.example","pathPrefix":"/checks/",
"service":"access-desk","attempts":3,"stretch":1.6,"targetLatencyMs":2000%s}]}`

// platformFleet is a set of daemon processes with stand-ins of the users'
// platform.
type platformFleet struct {
	*fleet
	store     *standin.Store
	checker   *standin.Checker
	executors []*standin.Executor
	settings  map[string]map[string]any

	platformSettings map[string]any // added to those of each process
	startsByAgent    sync.Map       // *atomic.Int64 by the index of the agent
}

func newPlatformFleet(t *testing.T, entries, agents int) *platformFleet {
	return newPlatformFleetWith(t, entries, agents, nil)
}

// newPlatformFleetWith returns a fleet whose processes have additional settings.
func newPlatformFleetWith(t *testing.T, entries, agents int, platformSettings map[string]any) *platformFleet {
	f := &platformFleet{
		fleet: &fleet{t: t, dir: t.TempDir()}, store: new(standin.Store), checker: new(standin.Checker), settings: map[string]map[string]any{},
		platformSettings: platformSettings,
	}
	require.NoError(t, f.store.Start("127.0.0.1:0"))
	f.store.Put("op", "config", fmt.Appendf(nil, configurationFormat, 1, ""))
	links := []string{}
	for i := range entries {
		links = append(links, f.addPlatformEntry(i, links))
	}
	for i := range agents {
		f.addPlatformAgent(i, links)
	}
	t.Cleanup(f.stopPlatform)
	require.Eventually(t, func() bool { return f.allAgentsConnected(agents) }, readyTimeout, 20*time.Millisecond)
	return f
}

// allAgentsConnected reports whether every entry is connected to all agents.
func (f *platformFleet) allAgentsConnected(agents int) bool {
	for _, e := range f.entries {
		if f.connectedAgents(e) != agents {
			return false
		}
	}
	return true
}

func (f *platformFleet) addPlatformEntry(i int, links []string) string {
	p := &process{name: fmt.Sprintf("entry-%d", i+1), operatorAddress: relayer.NewAddress()}
	link, callers, ready := relayer.NewAddress(), relayer.NewAddress(), relayer.NewAddress()
	p.callerURL, p.readyURL = "http://"+callers, "http://"+ready+"/readyz"
	p.relay = newRelay(f.t, link)
	f.settings[p.name] = map[string]any{
		"name": p.name, "role": "entry", "zone": fmt.Sprintf("zone-%d", i+1), "link-address": link, "link-advertised": p.relay.Address(),
		"caller-address": callers, "operator-address": p.operatorAddress, "entries": append([]string{}, links...),
		"platform": map[string]any{"store-address": f.store.Address(), "ready-address": ready},
	}
	f.addPlatformSettings(p.name)
	f.start(p, f.settings[p.name])
	f.entries = append(f.entries, p)
	return p.relay.Address()
}

func (f *platformFleet) addPlatformAgent(i int, links []string) {
	p := &process{name: fmt.Sprintf("agent-%d", i+1), operatorAddress: relayer.NewAddress()}
	reports := relayer.NewAddress()
	f.settings[p.name] = map[string]any{
		"name": p.name, "role": "agent", "zone": fmt.Sprintf("zone-%d", i+1), "operator-address": p.operatorAddress, "entries": links,
		"platform": map[string]any{"store-address": f.store.Address(), "reports-address": reports, "service": service},
	}
	f.addPlatformSettings(p.name)
	f.start(p, f.settings[p.name])
	f.agents = append(f.agents, p)
	x := &standin.Executor{Name: fmt.Sprintf("executor-%d", i+1), Service: service, Millicores: executorMillicores, ReportAddress: reports, Checker: f.checker}
	starts := new(atomic.Int64)
	f.startsByAgent.Store(i, starts)
	x.ObserveStart = func(string) { starts.Add(1) }
	require.NoError(f.t, x.Start())
	f.executors = append(f.executors, x)
}

func (f *platformFleet) addPlatformSettings(name string) {
	maps.Copy(f.settings[name]["platform"].(map[string]any), f.platformSettings)
}

// startsAt returns the number of starts at the backend server of an agent.
func (f *platformFleet) startsAt(agent int) int64 {
	starts, ok := f.startsByAgent.Load(agent)
	require.True(f.t, ok)
	return starts.(*atomic.Int64).Load()
}

// restart starts a killed process again.
func (f *platformFleet) restart(p *process) { f.start(p, f.settings[p.name]) }

func (f *platformFleet) stopPlatform() {
	for _, x := range f.executors {
		x.Stop()
	}
	f.stop()
	f.store.Stop()
	for _, v := range f.checker.Violations() {
		f.t.Errorf("violation: %s", v)
	}
}

// postJob submits a job to an entry and returns the status and the body of the
// response. The status is 0 if there was no response.
func postJob(e *process, id, body string) (int, string) {
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 9 * time.Second}
	a := standin.Submit(context.Background(), &c, e.callerURL, routeHost, routePrefix, id, body, 8*time.Second)
	return a.Status, a.Body
}

// postUntilAnswered submits a job as callers do: it tries the next entry if there
// was no response, after status 502 or 504, and after a refusal. No task may have
// been started by a submission that was refused.
func (f *platformFleet) postUntilAnswered(first int, id, body string) (status int, answer string) {
	for try := range 8 {
		before := f.checker.Starts(id)
		status, answer = postJob(f.entries[(first+try)%len(f.entries)], id, body)
		switch status {
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			if f.checker.Starts(id) != before {
				f.t.Errorf("job %s was refused but tasks of it were started", id)
			}
		default:
			return status, answer
		}
		time.Sleep(standin.ResendAfter)
	}
	f.t.Errorf("job %s: %d %s", id, status, answer)
	return status, answer
}

func jobID(n int) string { return standin.JobID(uint64(n)) }

// startLoad submits jobs to all entries at the given interval. The function that
// it returns waits for their answers and returns the number of completed jobs.
func (f *platformFleet) startLoad(jobs int, w standin.Work, interval time.Duration) func() int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	completed := 0
	wg.Go(func() {
		for n := range jobs {
			wg.Go(func() {
				if _, answer := f.postUntilAnswered(n%len(f.entries), jobID(n+1), standin.Job(3, w)); answer == `{"state":"completed"}` {
					mu.Lock()
					completed++
					mu.Unlock()
				}
			})
			time.Sleep(interval)
		}
	})
	return func() int { wg.Wait(); return completed }
}

// requireCompletedDuring submits jobs with tasks of 200 ms, causes a fault at the
// given delay after the first submission, and requires that every job completes.
func (f *platformFleet) requireCompletedDuring(jobs int, interval, delay time.Duration, fault func()) {
	f.t.Helper()
	done := f.startLoad(jobs, standin.Work{DurationMillis: 200, Millicores: taskMillicores}, interval)
	time.Sleep(delay)
	fault()
	require.Equal(f.t, jobs, done())
}

// Guards against a wrong answer for a job that completes, a job that fails, and a
// job that fits no executor.
func TestPlatformJob(t *testing.T) {
	f := newPlatformFleet(t, 2, 2)
	status, answer := postJob(f.entries[0], jobID(1), standin.Job(6, standin.Work{DurationMillis: 50, Millicores: taskMillicores}))
	require.Equal(t, http.StatusOK, status)
	require.JSONEq(t, `{"state":"completed"}`, answer)
	require.Equal(t, 6, f.checker.Starts(jobID(1)))
	status, answer = postJob(f.entries[1], jobID(2), standin.Job(2, standin.Work{DurationMillis: 20, Millicores: taskMillicores, Fail: true}))
	require.Equal(t, http.StatusOK, status)
	require.JSONEq(t, `{"state":"failed"}`, answer)
	status, _ = postJob(f.entries[0], jobID(3), standin.Job(1, standin.Work{DurationMillis: 20, Millicores: executorMillicores + 1}))
	require.Equal(t, http.StatusOK, status, "a task that exceeds every executor fails its job")
	require.Zero(t, f.checker.Starts(jobID(3)))
}

// Guards against overloaded executors and against refused jobs whose tasks were
// started. A burst of jobs exceeds the capacity of the executors.
func TestPlatformOverload(t *testing.T) {
	f := newPlatformFleet(t, 2, 2)
	var wg sync.WaitGroup
	for n := range 60 {
		wg.Go(func() {
			status, _ := postJob(f.entries[n%2], jobID(n+1), standin.Job(2, standin.Work{DurationMillis: 300, Millicores: taskMillicores}))
			if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
				if f.checker.Starts(jobID(n+1)) > 0 {
					t.Errorf("job %d was refused but tasks of it were started", n+1)
				}
			}
		})
	}
	wg.Wait()
}

// Guards against jobs that are lost when an entry is killed and restarted.
func TestPlatformEntryKilled(t *testing.T) {
	f := newPlatformFleet(t, 2, 2)
	f.requireCompletedDuring(40, 50*time.Millisecond, 700*time.Millisecond, func() {
		f.entries[0].kill()
		time.Sleep(300 * time.Millisecond)
		f.restart(f.entries[0])
	})
}

// Guards against a task that runs twice at the same time. An entry is killed while
// the executors ignore stops, so only the expiry of their leases ends the entry's
// tasks before the caller submits the job again. Calls for other jobs extend the
// leases of the same executors meanwhile.
func TestPlatformEntryKilledAndStopsLost(t *testing.T) {
	f := newPlatformFleet(t, 2, 2)
	for _, x := range f.executors {
		x.SetIgnoreStops(true)
	}
	done := f.startLoad(20, standin.Work{DurationMillis: 100, Millicores: 100}, 100*time.Millisecond)
	var wg sync.WaitGroup
	long := standin.Job(4, standin.Work{DurationMillis: 4000, Millicores: taskMillicores})
	wg.Go(func() { postJob(f.entries[0], jobID(901), long) })
	require.Eventually(t, func() bool { return f.checker.Starts(jobID(901)) == 4 }, 5*time.Second, 5*time.Millisecond)
	f.entries[0].kill()
	time.Sleep(standin.ResendAfter)
	wg.Go(func() { postJob(f.entries[1], jobID(901), long) })
	require.Equal(t, 20, done())
	wg.Wait()
}

// Guards against jobs that are lost when an entry is paused for 2 s and then
// continues with outdated state.
func TestPlatformEntryPaused(t *testing.T) {
	f := newPlatformFleet(t, 2, 2)
	f.requireCompletedDuring(30, 50*time.Millisecond, 600*time.Millisecond, func() {
		f.entries[0].signal(syscall.SIGSTOP)
		time.Sleep(2 * time.Second)
		f.entries[0].signal(syscall.SIGCONT)
	})
}

// Guards against jobs that are lost when an agent is killed and restarted.
func TestPlatformAgentKilled(t *testing.T) {
	f := newPlatformFleet(t, 2, 3)
	f.requireCompletedDuring(40, 50*time.Millisecond, 700*time.Millisecond, func() {
		f.agents[0].kill()
		time.Sleep(200 * time.Millisecond)
		f.restart(f.agents[0])
	})
}

// Guards against jobs that are lost or run twice when an agent is paused for 3 s
// and then continues with outdated state.
func TestPlatformAgentPaused(t *testing.T) {
	f := newPlatformFleet(t, 2, 3)
	f.requireCompletedDuring(30, 50*time.Millisecond, 600*time.Millisecond, func() {
		f.agents[0].signal(syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		f.agents[0].signal(syscall.SIGCONT)
	})
}

// Guards against jobs that are lost when the connections between one entry and
// all other processes are refused for 2.5 s.
func TestPlatformEntryDisconnected(t *testing.T) {
	f := newPlatformFleet(t, 2, 2)
	f.requireCompletedDuring(30, 50*time.Millisecond, 600*time.Millisecond, func() {
		f.entries[0].relay.SetFaults(relayer.Faults{Refuse: true}, "agent-1", "agent-2", "entry-2")
		time.Sleep(2500 * time.Millisecond)
		f.entries[0].relay.ClearFaults()
	})
}

// Guards against jobs that are lost when one executor crashes while another is
// unresponsive for 1.5 s.
func TestPlatformExecutorsCrashedAndUnresponsive(t *testing.T) {
	f := newPlatformFleet(t, 2, 3)
	f.requireCompletedDuring(40, 60*time.Millisecond, 500*time.Millisecond, func() {
		f.executors[0].Crash()
		f.executors[1].SetUnresponsive(true)
		time.Sleep(1500 * time.Millisecond)
		f.executors[1].SetUnresponsive(false)
	})
}

// Guards against tasks that run twice at the same time, and against jobs that are lost,
// when another writer sends status reports to the agents (issue 33). The load lasts until
// a backend server whose own reports are rejected would count as lost.
func TestPlatformForeignReports(t *testing.T) {
	f := newPlatformFleet(t, 2, 2)
	f.requireCompletedDuring(70, 100*time.Millisecond, 300*time.Millisecond, func() {
		for _, kind := range standin.ForeignKinds() {
			for _, x := range f.executors {
				x.SendForeign(kind)
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Guards against a run that is reported as ended, and started elsewhere, because of what
// another writer reports (issue 33).
func TestPlatformForeignReportEndsNoRun(t *testing.T) {
	f := newPlatformFleet(t, 1, 2)
	var wg sync.WaitGroup
	var answer string
	wg.Go(func() {
		_, answer = postJob(f.entries[0], jobID(1), standin.Job(1, standin.Work{DurationMillis: 2500, Millicores: taskMillicores}))
	})
	require.Eventually(t, func() bool { return f.checker.Starts(jobID(1)) == 1 }, 5*time.Second, 5*time.Millisecond)
	for _, kind := range standin.ForeignKinds() {
		for _, x := range f.executors {
			if x.Name == f.checker.ExecutorOf(jobID(1)) {
				x.SendForeign(kind)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	require.JSONEq(t, `{"state":"completed"}`, answer)
	require.Equal(t, 1, f.checker.Starts(jobID(1)))
}

// Guards against a run that is reported as ended, and started elsewhere, because of late
// reports of an earlier incarnation, when the clock of the executor was set back before
// the next one and it has restarted again since (issue 33).
func TestPlatformExecutorClockSetBack(t *testing.T) {
	f := newPlatformFleet(t, 1, 3)
	load := f.startLoad(100, standin.Work{DurationMillis: 50, Millicores: 100}, 20*time.Millisecond) // lets the agent call each incarnation
	time.Sleep(200 * time.Millisecond)
	f.executors[0].Restart(standin.Restart{ClockStep: -time.Minute, LateReports: 3 * time.Second})
	time.Sleep(300 * time.Millisecond)
	f.executors[0].Restart(standin.Restart{})
	time.Sleep(300 * time.Millisecond)
	const tasks = 9 // at least one on each executor, beside the load
	_, answer := postJob(f.entries[0], jobID(901), standin.Job(tasks, standin.Work{DurationMillis: 2500, Millicores: taskMillicores}))
	require.Equal(t, 100, load())
	require.JSONEq(t, `{"state":"completed"}`, answer)
	require.Equal(t, tasks, f.checker.Starts(jobID(901)))
}

// Guards against an entry that misses a change of the configuration, and against one
// that has no configuration after it restarts while the store is down. It must get
// the configuration from its peer.
func TestPlatformConfigurationWithStoreDown(t *testing.T) {
	f := newPlatformFleet(t, 2, 1)
	f.store.Put("op", "config", fmt.Appendf(nil, configurationFormat, 7, `},{"name":"more","host":"desk.example","pathPrefix":"/more/","service":"access-desk"`))
	require.Eventually(t, func() bool { return f.isRouted(0, "/more/") && f.isRouted(1, "/more/") }, 2*time.Second, 10*time.Millisecond)
	f.store.SetFaults(standin.Faults{Down: true})
	f.entries[1].kill()
	f.restart(f.entries[1])
	require.Eventually(t, func() bool { return f.isRouted(1, "/more/") }, 5*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return f.isEntryReady(1) }, 5*time.Second, 10*time.Millisecond)
	status, _ := postJob(f.entries[1], jobID(9), standin.Job(1, standin.Work{DurationMillis: 20, Millicores: taskMillicores}))
	require.Equal(t, http.StatusOK, status)
}

// Guards against requests that a graceful shutdown leaves unanswered. The entry
// must report itself as not ready first, so that the load balancer sends it no
// further requests.
func TestPlatformGracefulShutdown(t *testing.T) {
	f := newPlatformFleet(t, 2, 2)
	done := f.startLoad(20, standin.Work{DurationMillis: 400, Millicores: taskMillicores}, 20*time.Millisecond)
	time.Sleep(450 * time.Millisecond)
	f.entries[0].signal(syscall.SIGTERM)
	require.Eventually(t, func() bool { return !f.isEntryReady(0) }, time.Second, 5*time.Millisecond)
	require.Equal(t, 20, done())
	select {
	case <-f.entries[0].exited:
	case <-time.After(7 * time.Second):
		t.Fatal("the entry did not stop within 7 s")
	}
}

func (f *platformFleet) isRouted(entry int, path string) bool {
	request, err := http.NewRequest(http.MethodGet, f.entries[entry].callerURL+path, nil)
	require.NoError(f.t, err)
	request.Host = routeHost
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *platformFleet) isEntryReady(entry int) bool {
	response, err := http.Get(f.entries[entry].readyURL)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
