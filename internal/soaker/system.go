package soaker

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"mustardlever.dev/mustardlever/internal/relayer"
	"mustardlever.dev/mustardlever/platform/standin"
)

// What the stand-ins serve.
const (
	service     = "access-desk"
	host        = "desk.example"
	prefix      = "/checks/"
	executorCPU = 8000
	stopTimeout = 9 * time.Second // a planned stop takes 6 s at most
)

const configuration = `{"version":%d,"routes":[{"name":"checks","host":"desk.example","pathPrefix":"/checks/",` +
	`"service":"access-desk","attempts":3,"stretch":1.6,"targetLatencyMs":1500}]}`

// process is one daemon. The mutex guards what changes when it is started again.
type process struct {
	name     string
	operator string
	store    relayer.Relay // its way to the store
	settings map[string]any
	dir      string
	daemon   string

	callers string        // address through front, entries
	ready   string        // address that the balancer asks, entries
	front   relayer.Relay // callers' connections, entries
	links   relayer.Relay // other processes' connections, entries

	executor *standin.Executor // agents
	server   relayer.Relay     // the agent's way to its executor
	reports  relayer.Relay     // the executor's way to its agent

	mu        sync.Mutex
	command   *exec.Cmd
	exited    chan struct{}
	expected  bool      // its end is of the soak's doing
	starts    int       // so far
	disturbed time.Time // it is undisturbed since
}

// system is the processes and what is around them.
type system struct {
	Settings
	store   standin.Store
	judge   standin.Judge
	entries []*process
	agents  []*process
	version int64 // of the newest configuration
	ending  sync.Once
}

// start starts everything.
func (s *system) start() error {
	if err := s.store.Start("127.0.0.1:0"); err != nil {
		return err
	}
	s.configure()
	links := []string{}
	for i := range s.Entries {
		p, err := s.newEntry(i, links)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, p)
		links = append(links, p.links.Address())
	}
	for i := range s.Agents {
		p, err := s.newAgent(i, links)
		if err != nil {
			return err
		}
		s.agents = append(s.agents, p)
	}
	for _, p := range s.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// configure writes the next version of the configuration, as the operator does.
func (s *system) configure() {
	s.version++
	s.store.Put("op", "config", fmt.Appendf(nil, configuration, s.version))
}

func (s *system) processes() []*process {
	return append(append([]*process{}, s.entries...), s.agents...)
}

func (s *system) newProcess(role string, i int, links []string, platform map[string]any) (*process, error) {
	p := &process{name: fmt.Sprintf("%s-%d", role, i+1), operator: relayer.Address(), dir: s.Dir, daemon: s.Daemon}
	p.store.Target = s.store.Address()
	if err := p.store.Start(); err != nil {
		return nil, err
	}
	platform["store-address"] = p.store.Address()
	p.settings = map[string]any{
		"name": p.name, "role": role, "zone": fmt.Sprintf("zone-%d", i%3+1), "operator-address": p.operator,
		"entries": append([]string{}, links...), "platform": platform,
	}
	return p, nil
}

func (s *system) newEntry(i int, links []string) (*process, error) {
	ready := relayer.Address()
	p, err := s.newProcess("entry", i, links, map[string]any{"ready-address": ready})
	if err != nil {
		return nil, err
	}
	p.front.Target, p.links.Target, p.links.Name = relayer.Address(), relayer.Address(), relayer.PeerName
	for _, r := range []*relayer.Relay{&p.front, &p.links} {
		if err := r.Start(); err != nil {
			return nil, err
		}
	}
	p.callers, p.ready = p.front.Address(), ready
	p.settings["link-address"], p.settings["link-advertised"] = p.links.Target, p.links.Address()
	p.settings["caller-address"] = p.front.Target
	return p, nil
}

func (s *system) newAgent(i int, links []string) (*process, error) {
	reports := relayer.Address()
	p, err := s.newProcess("agent", i, links, map[string]any{"reports-address": reports, "service": service})
	if err != nil {
		return nil, err
	}
	p.executor = &standin.Executor{Name: fmt.Sprintf("executor-%d", i+1), Service: service, CPU: executorCPU, Judge: &s.judge}
	if err := p.executor.Listen(); err != nil {
		return nil, err
	}
	p.server.Target, p.reports.Target = p.executor.Address(), reports
	for _, r := range []*relayer.Relay{&p.server, &p.reports} {
		if err := r.Start(); err != nil {
			return nil, err
		}
	}
	p.executor.Advertised, p.executor.Reports = p.server.Address(), p.reports.Address()
	return p, p.executor.Start()
}

// start starts the process, unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return nil
	}
	text, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	path := filepath.Join(p.dir, p.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the process has it open too
	p.command = exec.Command(p.daemon, "run", "--settings", path)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return errors.Wrap(err, p.name)
	}
	p.starts++
	p.expected, p.exited = false, make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		c.Wait() // how it ended is seen by who waits for exited
		close(exited)
	}(p.command, p.exited)
	return nil
}

// running tells whether the process runs. The caller holds mu.
func (p *process) running() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal; ends tells that the process will end by it.
func (p *process) signal(sig syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		p.expected = p.expected || ends
		p.command.Process.Signal(sig) // it may have ended meanwhile
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL, true)
	p.await()
}

func (p *process) await() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// stop ends the process as planned, and tells whether it did in time.
func (p *process) stop() bool {
	p.signal(syscall.SIGTERM, true)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(stopTimeout):
		return false
	}
}

// surprise tells whether the process has ended by itself, once for each end.
func (p *process) surprise() (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.starts == 0 || p.running() || p.expected {
		return "", false
	}
	p.expected = true
	return fmt.Sprintf("%s ended by itself: %s", p.name, p.command.ProcessState), true
}

// disturb notes that something happens to the process until the time.
func (p *process) disturb(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until.After(p.disturbed) {
		p.disturbed = until
	}
}

// calmSince reports whether nothing has happened to the running process since.
func (p *process) calmSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running() && p.disturbed.Before(t)
}

// stop ends everything that was started.
func (s *system) stop() { s.ending.Do(s.end) }

func (s *system) end() {
	for _, p := range s.processes() {
		p.kill()
		if p.executor != nil {
			p.executor.Stop()
			p.server.Stop()
			p.reports.Stop()
		} else {
			p.front.Stop()
			p.links.Stop()
		}
		p.store.Stop()
	}
	s.store.Stop()
}
