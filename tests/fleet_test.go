package tests

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
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

// Paths of the built programs.
var daemon, controller string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "mustardlever")
	if err != nil {
		panic(err)
	}
	daemon, controller = filepath.Join(dir, "mustardleverd"), filepath.Join(dir, "mustardctl")
	args := []string{"build", "-o", dir}
	if os.Getenv("RACE") != "" { // .ci/run sets it
		args = append(args, "-race")
	}
	if out, err := exec.Command("go", append(args, "../cmd/mustardleverd", "../cmd/mustardctl")...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	flag.Parse()
	seed()
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// seed fixes rapid's seed and number of sequences unless the command names
// others.
func seed() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			f.Value.Set(value)
		}
	}
}

// process is one daemon.
type process struct {
	name     string
	callers  string // base URL, entries
	ready    string // URL that the balancer asks, entries on the platform
	operator string
	relay    *relayer.Relay // before the link address, entries
	command  *exec.Cmd
	log      *bytes.Buffer
	exited   chan struct{}
}

// fleet is a set of daemons with stand-ins of backend servers.
type fleet struct {
	t        testing.TB
	dir      string
	drain    time.Duration
	entries  []*process
	agents   []*process
	backends []*standin.Backend
}

// newFleet starts entries and agents and waits until all know each other.
func newFleet(t testing.TB, entries, agents int) *fleet {
	return newFleetDraining(t, entries, agents, time.Minute)
}

// newFleetDraining is newFleet with a longest time for a planned stop.
func newFleetDraining(t testing.TB, entries, agents int, drain time.Duration) *fleet {
	f := &fleet{t: t, dir: t.TempDir(), drain: drain}
	configuration := `{"services": {"access-desk": {"slots": 8}}}`
	require.NoError(t, os.WriteFile(filepath.Join(f.dir, "base.json"), []byte(configuration), 0o600))
	for i := range entries {
		f.addEntry(i)
	}
	for i := range agents {
		f.addAgent(i)
	}
	t.Cleanup(f.stop)
	f.awaitReady()
	return f
}

func (f *fleet) links() []string {
	list := []string{}
	for _, e := range f.entries {
		list = append(list, e.relay.Address())
	}
	return list
}

func (f *fleet) addEntry(i int) {
	p := &process{name: fmt.Sprintf("entry-%d", i+1), operator: relayer.NewAddress()}
	link, callers := relayer.NewAddress(), relayer.NewAddress()
	p.callers = "http://" + callers
	p.relay = newRelay(f.t, link)
	f.start(p, map[string]any{
		"name": p.name, "role": "entry", "zone": fmt.Sprintf("zone-%d", i+1),
		"link-address": link, "link-advertised": p.relay.Address(),
		"caller-address": callers, "operator-address": p.operator, "entries": f.links(),
		"ticket-key": strings.Repeat("k", 32), "drain-ms": f.drain.Milliseconds(), "configuration": map[string]string{"base": "base.json"},
	})
	f.entries = append(f.entries, p)
}

func (f *fleet) addAgent(i int) {
	b := &standin.Backend{Name: fmt.Sprintf("backend-%d", i+1)}
	require.NoError(f.t, b.Start("127.0.0.1:0"))
	f.backends = append(f.backends, b)
	p := &process{name: fmt.Sprintf("agent-%d", i+1), operator: relayer.NewAddress()}
	f.start(p, map[string]any{
		"name": p.name, "role": "agent", "zone": fmt.Sprintf("zone-%d", i%3+1),
		"operator-address": p.operator, "entries": f.links(),
		"backend-servers": []map[string]string{{"service": service, "address": b.Address()}},
		"configuration":   map[string]string{"base": "base.json"},
	})
	f.agents = append(f.agents, p)
}

func (f *fleet) start(p *process, settings map[string]any) {
	text, err := json.Marshal(settings)
	require.NoError(f.t, err)
	path := filepath.Join(f.dir, p.name+".json")
	require.NoError(f.t, os.WriteFile(path, text, 0o600))
	p.log = new(bytes.Buffer)
	p.command = exec.Command(daemon, "run", "--settings", path)
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

// ready tells whether each entry sees all peers and has a witness that
// acknowledged every agent.
func (f *fleet) ready() bool {
	for _, e := range f.entries {
		var p operator.Process
		var v []server.ServiceView
		if get(e.operator, "/v1/process", &p) != nil || get(e.operator, "/v1/services", &v) != nil {
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
	require.Eventually(f.t, f.ready, readyTimeout, 20*time.Millisecond, "the fleet is not ready")
}

// starts returns how often each task was started.
func (f *fleet) starts() map[string]int {
	all := make(map[string]int)
	for _, b := range f.backends {
		for id, n := range b.Starts() {
			all[id] += n
		}
	}
	return all
}

// serving returns the number of tasks that run.
func (f *fleet) serving() int64 {
	n := int64(0)
	for _, b := range f.backends {
		n += b.Serving()
	}
	return n
}

// agentsOf returns how many agents of the service an entry has met.
func (f *fleet) agentsOf(e *process) int {
	var v []server.ServiceView
	if get(e.operator, "/v1/services", &v) != nil || len(v) == 0 {
		return 0
	}
	return v[0].Counts.Agents
}

// awaitServing waits until exactly n tasks run.
func (f *fleet) awaitServing(n int64) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return f.serving() == n }, 5*time.Second, time.Millisecond)
}

// client returns a client of the entries numbered, all if none is.
func (f *fleet) client(numbers ...int) *submitter.Client {
	c := &submitter.Client{TicketBatch: 1, HTTP: &http.Client{Transport: new(http.Transport)}}
	for i, e := range f.entries {
		wanted := len(numbers) == 0
		for _, n := range numbers {
			wanted = wanted || n == i
		}
		if wanted {
			c.Entries = append(c.Entries, e.callers)
		}
	}
	return c
}

// ticket takes a ticket of the entry numbered.
func (f *fleet) ticket(entry int) string {
	t, err := f.client(entry).Ticket(f.t.Context(), service)
	require.NoError(f.t, err)
	return t
}

// witness returns the number of the ticket's witness.
func (f *fleet) witness(ticket string) int {
	t, err := ticketer.Peek(ticket)
	require.NoError(f.t, err)
	for i, e := range f.entries {
		if strings.HasPrefix(t.Backup, e.name+".") {
			return i
		}
	}
	f.t.Fatalf("ticket without witness")
	return -1
}

// job encodes a job whose tasks have ids that begin with name.
func job(name string, tasks, millis int) []byte {
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

// pending is a submission under way.
type pending struct {
	done   chan struct{}
	answer *caller.Answer
	err    error
	took   time.Duration
}

// submit submits in the background.
func (f *fleet) submit(c *submitter.Client, ticket string, body []byte) *pending {
	p := &pending{done: make(chan struct{})}
	begin := time.Now()
	go func() {
		defer close(p.done)
		p.answer, p.err = c.SubmitTicket(context.Background(), ticket, ticket[len(ticket)-8:], body)
		p.took = time.Since(begin)
	}()
	return p
}

func (p *pending) wait(t testing.TB) *caller.Answer {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(40 * time.Second):
		t.Fatal("no answer in 40 s")
	}
	require.NoError(t, p.err)
	t.Logf("%s after %s", p.answer.State, p.took.Round(time.Millisecond))
	return p.answer
}

// requireTruth checks an answer against the record of starts: whole or failed,
// each task with its own result, none started twice, none called not-run that
// was started.
func requireTruth(t testing.TB, a *caller.Answer, name string, starts map[string]int) {
	t.Helper()
	for id, n := range starts {
		require.LessOrEqual(t, n, 1, "task %s was started %d times", id, n)
	}
	require.Contains(t, []string{caller.StateComplete, caller.StateFailed}, a.State)
	for _, r := range a.Tasks {
		id := fmt.Sprintf("%s-%d", name, r.Task)
		switch {
		case r.State == "not-run":
			require.Zero(t, starts[id], "%s was called not-run", id)
		case r.State == "ran":
			require.Equal(t, 1, starts[id], "%s was called ran", id)
		}
		if a.State != caller.StateComplete {
			continue
		}
		var done standin.TaskResult
		require.Equal(t, "ran", r.State)
		require.NoError(t, json.Unmarshal(r.Body, &done))
		require.Equal(t, id, done.ID)
	}
}

// newRelay returns a relay to an entry's link address, which tells peers apart
// by the names in their hellos.
func newRelay(t testing.TB, target string) *relayer.Relay {
	r := &relayer.Relay{Target: target, IdentifyPeer: relayer.PeerName}
	require.NoError(t, r.Start())
	return r
}
