package tests

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/caller"
	"mustardlever.dev/mustardlever/internal/relayer"
	"mustardlever.dev/mustardlever/internal/standin"
	"mustardlever.dev/mustardlever/operator"
	"mustardlever.dev/mustardlever/server"
	"mustardlever.dev/mustardlever/submitter"
	"mustardlever.dev/mustardlever/ticketer"
)

const (
	service      = "access-desk"
	readyTimeout = 20 * time.Second
)

// Paths of the programs that TestMain builds.
var daemonPath, controllerPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "mustardlever")
	if err != nil {
		panic(err)
	}
	daemonPath, controllerPath = filepath.Join(dir, "mustardleverd"), filepath.Join(dir, "mustardctl")
	args := []string{"build", "-o", dir}
	if os.Getenv("RACE") != "" { // set by .ci/run
		args = append(args, "-race")
	}
	if out, err := exec.Command("go", append(args, "../cmd/mustardleverd", "../cmd/mustardctl")...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	flag.Parse()
	setRapidDefaults()
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// setRapidDefaults sets rapid's seed and number of checks unless the command
// line sets them.
func setRapidDefaults() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			f.Value.Set(value)
		}
	}
}

// process is a daemon process.
type process struct {
	name            string
	callerURL       string // base URL for callers, entries only
	readyURL        string // URL of the load balancer's readiness check, entries on the platform only
	operatorAddress string
	relay           *relayer.Relay // in front of the link address, entries only
	command         *exec.Cmd
	log             *bytes.Buffer
	exited          chan struct{}
}

// fleet is a set of daemon processes with stand-in backend servers.
type fleet struct {
	t            testing.TB
	dir          string
	drainTimeout time.Duration
	limits       map[string]any // added to the settings of each process
	service      string         // settings of the service; default `"slots": 8`
	entries      []*process
	agents       []*process
	backends     []*standin.Backend
}

// newFleet starts entries and agents and waits until all are connected.
func newFleet(t testing.TB, entries, agents int) *fleet {
	return newFleetWithDrainTimeout(t, entries, agents, time.Minute)
}

// newFleetWithDrainTimeout is newFleet with a time limit for a graceful shutdown.
func newFleetWithDrainTimeout(t testing.TB, entries, agents int, drainTimeout time.Duration) *fleet {
	return startFleet(&fleet{t: t, dir: t.TempDir(), drainTimeout: drainTimeout}, entries, agents)
}

// startFleet starts the processes of f and waits until all are connected.
func startFleet(f *fleet, entries, agents int) *fleet {
	configuration := fmt.Sprintf(`{"services": {"access-desk": {%s}}}`, cmp.Or(f.service, `"slots": 8`))
	require.NoError(f.t, os.WriteFile(filepath.Join(f.dir, "base.json"), []byte(configuration), 0o600))
	for i := range entries {
		f.addEntry(i)
	}
	for i := range agents {
		f.addAgent(i)
	}
	f.t.Cleanup(f.stop)
	f.awaitReady()
	return f
}

func (f *fleet) linkAddresses() []string {
	list := []string{}
	for _, e := range f.entries {
		list = append(list, e.relay.Address())
	}
	return list
}

func (f *fleet) addEntry(i int) {
	p := &process{name: fmt.Sprintf("entry-%d", i+1), operatorAddress: relayer.NewAddress()}
	link, callers := relayer.NewAddress(), relayer.NewAddress()
	p.callerURL = "http://" + callers
	p.relay = newRelay(f.t, link)
	f.start(p, map[string]any{
		"name": p.name, "role": "entry", "zone": fmt.Sprintf("zone-%d", i+1),
		"link-address": link, "link-advertised": p.relay.Address(),
		"caller-address": callers, "operator-address": p.operatorAddress, "entries": f.linkAddresses(),
		"ticket-key": strings.Repeat("k", 32), "drain-ms": f.drainTimeout.Milliseconds(), "configuration": map[string]string{"base": "base.json"},
	})
	f.entries = append(f.entries, p)
}

func (f *fleet) addAgent(i int) {
	b := &standin.Backend{Name: fmt.Sprintf("backend-%d", i+1)}
	require.NoError(f.t, b.Start("127.0.0.1:0"))
	f.backends = append(f.backends, b)
	p := &process{name: fmt.Sprintf("agent-%d", i+1), operatorAddress: relayer.NewAddress()}
	f.start(p, map[string]any{
		"name": p.name, "role": "agent", "zone": fmt.Sprintf("zone-%d", i%3+1),
		"operator-address": p.operatorAddress, "entries": f.linkAddresses(),
		"backend-servers": []map[string]string{{"service": service, "address": b.Address()}},
		"configuration":   map[string]string{"base": "base.json"},
	})
	f.agents = append(f.agents, p)
}

func (f *fleet) start(p *process, settings map[string]any) {
	maps.Copy(settings, f.limits)
	text, err := json.Marshal(settings)
	require.NoError(f.t, err)
	path := filepath.Join(f.dir, p.name+".json")
	require.NoError(f.t, os.WriteFile(path, text, 0o600))
	p.log = new(bytes.Buffer)
	p.command = exec.Command(daemonPath, "run", "--settings", path)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	require.NoError(f.t, p.command.Start())
	p.exited = make(chan struct{})
	go func() {
		p.command.Wait()
		close(p.exited)
	}()
}

func (p *process) signal(s syscall.Signal) { p.command.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (f *fleet) stop() {
	for _, p := range append(f.entries, f.agents...) {
		p.kill()
		if strings.Contains(p.log.String(), "DATA RACE") {
			f.t.Errorf("%s has a data race", p.name)
		}
		if f.t.Failed() {
			f.t.Logf("%s:\n%s", p.name, p.log.String())
		}
	}
	for _, p := range f.entries {
		p.relay.Stop()
	}
	for _, b := range f.backends {
		b.Stop()
	}
}

func get(address, path string, v any) error {
	return operator.Get(context.Background(), address, path, v)
}

// isReady reports whether each entry is connected to all peers and, if there are
// several entries, a backup has acknowledged every agent to it.
func (f *fleet) isReady() bool {
	for _, e := range f.entries {
		var p operator.Process
		var v []server.ServiceView
		if get(e.operatorAddress, "/v1/process", &p) != nil || get(e.operatorAddress, "/v1/services", &v) != nil {
			return false
		}
		if len(p.Peers) != len(f.entries)+len(f.agents)-1 || v[0].Counts.Agents != len(f.agents) {
			return false
		}
		if len(f.entries) > 1 && v[0].Counts.AckedAgents < len(f.agents) {
			return false
		}
	}
	return true
}

func (f *fleet) awaitReady() {
	require.Eventually(f.t, f.isReady, readyTimeout, 20*time.Millisecond, "not every entry and agent is connected and acknowledged")
}

// startCounts returns the number of starts of each task.
func (f *fleet) startCounts() map[string]int {
	counts := make(map[string]int)
	for _, b := range f.backends {
		for id, n := range b.Starts() {
			counts[id] += n
		}
	}
	return counts
}

// runningTasks returns the number of tasks that are running.
func (f *fleet) runningTasks() int64 {
	n := int64(0)
	for _, b := range f.backends {
		n += b.Serving()
	}
	return n
}

// connectedAgents returns the number of agents of the service that are connected
// to an entry.
func (f *fleet) connectedAgents(e *process) int {
	var v []server.ServiceView
	if get(e.operatorAddress, "/v1/services", &v) != nil || len(v) == 0 {
		return 0
	}
	return v[0].Counts.Agents
}

// awaitRunning waits until exactly n tasks are running.
func (f *fleet) awaitRunning(n int64) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return f.runningTasks() == n }, 5*time.Second, time.Millisecond)
}

// client returns a client of the entries with the given indexes, or of all
// entries if there are none.
func (f *fleet) client(indexes ...int) *submitter.Client {
	c := &submitter.Client{TicketBatch: 1, HTTP: &http.Client{Transport: new(http.Transport)}}
	for i, e := range f.entries {
		selected := len(indexes) == 0
		for _, n := range indexes {
			selected = selected || n == i
		}
		if selected {
			c.Entries = append(c.Entries, e.callerURL)
		}
	}
	return c
}

// issueTicket obtains a ticket from the entry with the given index.
func (f *fleet) issueTicket(entry int) string {
	t, err := f.client(entry).Ticket(f.t.Context(), service)
	require.NoError(f.t, err)
	return t
}

// backup returns the index of the ticket's backup.
func (f *fleet) backup(ticket string) int {
	t, err := ticketer.Peek(ticket)
	require.NoError(f.t, err)
	for i, e := range f.entries {
		if strings.HasPrefix(t.Backup, e.name+".") {
			return i
		}
	}
	f.t.Fatalf("the ticket names no known backup")
	return -1
}

// encodeJob encodes a job whose tasks have IDs that begin with name.
func encodeJob(name string, tasks, millis int) []byte {
	var s caller.Submission
	for i := range tasks {
		body, err := json.Marshal(standin.Work{ID: fmt.Sprintf("%s-%d", name, i), DurationMillis: millis})
		if err != nil {
			panic(err)
		}
		s.Tasks = append(s.Tasks, caller.Task{Body: body})
	}
	b, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return b
}

// submission is a job submission that runs in the background.
type submission struct {
	done     chan struct{}
	answer   *caller.Answer
	err      error
	duration time.Duration
}

// submit submits a job in the background.
func (f *fleet) submit(c *submitter.Client, ticket string, body []byte) *submission {
	p := &submission{done: make(chan struct{})}
	begin := time.Now()
	go func() {
		defer close(p.done)
		p.answer, p.err = c.SubmitTicket(context.Background(), ticket, ticket[len(ticket)-8:], body)
		p.duration = time.Since(begin)
	}()
	return p
}

func (p *submission) awaitAnswer(t testing.TB) *caller.Answer {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(40 * time.Second):
		t.Fatal("no answer in 40 s")
	}
	require.NoError(t, p.err)
	t.Logf("%s after %s", p.answer.State, p.duration.Round(time.Millisecond))
	return p.answer
}

// requireConsistent checks an answer against the recorded starts: the answer is
// complete or failed, each task has its own result, no task was started twice,
// and no task that was started is reported as not-run.
func requireConsistent(t testing.TB, a *caller.Answer, name string, starts map[string]int) {
	t.Helper()
	for id, n := range starts {
		require.LessOrEqual(t, n, 1, "task %s was started %d times", id, n)
	}
	require.Contains(t, []string{caller.StateComplete, caller.StateFailed}, a.State)
	for _, r := range a.Tasks {
		id := fmt.Sprintf("%s-%d", name, r.Task)
		switch {
		case r.State == "not-run":
			require.Zero(t, starts[id], "%s was reported as not-run", id)
		case r.State == "ran":
			require.Equal(t, 1, starts[id], "%s was reported as ran", id)
		}
		if a.State != caller.StateComplete {
			continue
		}
		var result standin.TaskResult
		require.Equal(t, "ran", r.State)
		require.NoError(t, json.Unmarshal(r.Body, &result))
		require.Equal(t, id, result.ID)
	}
}

// newRelay returns a relay to an entry's link address. It identifies peers by the
// names in their hello messages.
func newRelay(t testing.TB, target string) *relayer.Relay {
	r := &relayer.Relay{Target: target, IdentifyPeer: relayer.PeerName}
	require.NoError(t, r.Start())
	return r
}
