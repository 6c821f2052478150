package soaker

import (
	"encoding/json"
	"fmt"
	"log"
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

// Service and route of the jobs, and settings of the processes.
const (
	service            = "access-desk"
	host               = "desk.example"
	pathPrefix         = "/checks/"
	executorMillicores = 8000
	stopTimeout        = 9 * time.Second // a graceful shutdown takes at most 6 s
)

// configurationFormat is the format string of the configuration document. Its
// argument is the version.
const configurationFormat = `{"version":%d,"routes":[{"name":"checks","host":"desk.example","pathPrefix":"/checks/",` +
	`"service":"access-desk","attempts":3,"stretch":1.6,"targetLatencyMs":1500}]}`

// process is one daemon process. Its mutex guards the fields below it, which change
// when the process is restarted or affected by a fault.
type process struct {
	name            string
	operatorAddress string
	storeRelay      relayer.Relay // for the process's connections to the store
	settings        map[string]any
	dir             string // for its settings file and log
	daemon          string // path of mustardleverd

	callerAddress string        // address of callerRelay; entries only
	readyAddress  string        // address of the readiness endpoint that the balancer polls; entries only
	callerRelay   relayer.Relay // for callers' connections; entries only
	linkRelay     relayer.Relay // for other processes' connections; entries only

	executor    *standin.Executor // stand-in of the backend server; agents only
	serverRelay relayer.Relay     // for the agent's calls to its backend server; agents only
	reportRelay relayer.Relay     // for the backend server's reports to its agent; agents only

	mu             sync.Mutex
	command        *exec.Cmd
	exited         chan struct{} // closed when command has exited
	exitExpected   bool          // the soaker has ended the process, or its exit has been recorded
	starts         int
	disturbedUntil time.Time // a fault may affect the process until then
}

// system is the processes under test and the stand-ins around them.
type system struct {
	Settings
	store                standin.Store
	checker              standin.Checker
	entries              []*process
	agents               []*process
	configurationVersion int64 // version of the newest configuration
	executorLog          *log.Logger
	executorLogFile      *os.File
	stopOnce             sync.Once
	observeStart         func(agent *process, task string) // called for each start of a task
}

// start starts the store, the stand-ins, the relays and the processes.
func (s *system) start() error {
	if err := s.store.Start("127.0.0.1:0"); err != nil {
		return err
	}
	if err := s.openExecutorLog(); err != nil {
		return err
	}
	s.writeConfiguration()
	linkAddresses := []string{}
	for i := range s.Entries {
		p, err := s.newEntry(i, linkAddresses)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, p)
		linkAddresses = append(linkAddresses, p.linkRelay.Address())
	}
	for i := range s.Agents {
		p, err := s.newAgent(i, linkAddresses)
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

// writeConfiguration writes the next version of the configuration to the store, as
// operators do.
func (s *system) writeConfiguration() {
	s.configurationVersion++
	s.store.Put("op", "config", fmt.Appendf(nil, configurationFormat, s.configurationVersion))
}

// processes returns a new slice of all entries and agents.
func (s *system) processes() []*process {
	return append(append([]*process{}, s.entries...), s.agents...)
}

// newProcess returns a process with the settings that entries and agents share. Its
// relay to the store is running.
func (s *system) newProcess(role string, index int, linkAddresses []string, platform map[string]any) (*process, error) {
	p := &process{name: fmt.Sprintf("%s-%d", role, index+1), operatorAddress: relayer.NewAddress(), dir: s.Dir, daemon: s.DaemonPath}
	p.storeRelay.Target = s.store.Address()
	if err := p.storeRelay.Start(); err != nil {
		return nil, err
	}
	platform["store-address"] = p.storeRelay.Address()
	s.addEvacuationSettings(platform)
	s.addCrowdSettings(platform)
	p.settings = map[string]any{
		"name": p.name, "role": role, "zone": zoneOf(index), "operator-address": p.operatorAddress,
		"entries": append([]string{}, linkAddresses...), "platform": platform,
	}
	return p, nil
}

// newEntry returns an entry that is not started yet; its relays are running.
// linkAddresses are those of the entries that were created before it.
func (s *system) newEntry(index int, linkAddresses []string) (*process, error) {
	readyAddress := relayer.NewAddress()
	p, err := s.newProcess("entry", index, linkAddresses, map[string]any{"ready-address": readyAddress})
	if err != nil {
		return nil, err
	}
	p.callerRelay.Target, p.linkRelay.Target, p.linkRelay.IdentifyPeer = relayer.NewAddress(), relayer.NewAddress(), relayer.PeerName
	for _, r := range []*relayer.Relay{&p.callerRelay, &p.linkRelay} {
		if err := r.Start(); err != nil {
			return nil, err
		}
	}
	p.callerAddress, p.readyAddress = p.callerRelay.Address(), readyAddress
	p.settings["link-address"], p.settings["link-advertised"] = p.linkRelay.Target, p.linkRelay.Address()
	p.settings["caller-address"] = p.callerRelay.Target
	return p, nil
}

// newAgent returns an agent that is not started yet; its relays and its backend
// server are running. linkAddresses are those of all entries.
func (s *system) newAgent(index int, linkAddresses []string) (*process, error) {
	reportsAddress := relayer.NewAddress()
	p, err := s.newProcess("agent", index, linkAddresses, map[string]any{"reports-address": reportsAddress, "service": service})
	if err != nil {
		return nil, err
	}
	p.executor = &standin.Executor{Name: fmt.Sprintf("executor-%d", index+1), Service: service, Millicores: executorMillicores, Checker: &s.checker, Seed: s.Seed + uint64(index)<<32, Logf: s.executorLog.Printf}
	p.executor.ObserveStart = func(task string) { s.observeStart(p, task) }
	if s.Evacuations {
		p.executor.Zone, p.executor.WarmUp = zoneOf(index), soakWarmUp
	}
	p.executor.SetLiberties(s.defaultLiberties())
	if err := p.executor.Listen(); err != nil {
		return nil, err
	}
	p.serverRelay.Target, p.reportRelay.Target = p.executor.Address(), reportsAddress
	for _, r := range []*relayer.Relay{&p.serverRelay, &p.reportRelay} {
		if err := r.Start(); err != nil {
			return nil, err
		}
	}
	p.executor.AdvertisedAddress, p.executor.ReportAddress = p.serverRelay.Address(), p.reportRelay.Address()
	return p, p.executor.Start()
}

// start starts the process if it is not running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return nil
	}
	document, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	path := filepath.Join(p.dir, p.name+".json")
	if err := os.WriteFile(path, document, 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close() // the child process has its own descriptor
	p.command = exec.Command(p.daemon, "run", "--settings", path)
	p.command.Stdout, p.command.Stderr = logFile, logFile
	if err := p.command.Start(); err != nil {
		return errors.Wrap(err, p.name)
	}
	p.starts++
	p.exitExpected, p.exited = false, make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		command.Wait() // the error is ignored: command.ProcessState holds the exit status
		close(exited)
	}(p.command, p.exited)
	return nil
}

// running reports whether the process is running. The caller must hold mu.
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

// signal sends sig to the process if it is running. If exits is true, the signal
// ends the process and its exit is expected.
func (p *process) signal(sig syscall.Signal, exits bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		p.exitExpected = p.exitExpected || exits
		p.command.Process.Signal(sig) // an error means that it has just exited
	}
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL, true)
	p.awaitExit()
}

// awaitExit waits until the process has exited, if it was ever started.
func (p *process) awaitExit() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// stop shuts the process down gracefully and reports whether it exited within
// stopTimeout.
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

// unexpectedExit reports whether the process has exited although the soaker did not
// end it, and describes the exit. It reports each exit once.
func (p *process) unexpectedExit() (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.starts == 0 || p.running() || p.exitExpected {
		return "", false
	}
	p.exitExpected = true
	return fmt.Sprintf("%s exited unexpectedly: %s", p.name, p.command.ProcessState), true
}

// markDisturbed records that a fault may affect the process until the given time.
func (p *process) markDisturbed(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until.After(p.disturbedUntil) {
		p.disturbedUntil = until
	}
}

// undisturbedSince reports whether the process is running and no fault may have
// affected it since t.
func (p *process) undisturbedSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running() && p.disturbedUntil.Before(t)
}

// stop stops everything that was started. Only the first call has an effect.
func (s *system) stop() { s.stopOnce.Do(s.stopAll) }

// stopAll kills the processes and stops the stand-ins and relays.
func (s *system) stopAll() {
	for _, p := range s.processes() {
		p.kill()
		if p.executor != nil {
			p.executor.Stop()
			p.serverRelay.Stop()
			p.reportRelay.Stop()
		} else {
			p.callerRelay.Stop()
			p.linkRelay.Stop()
		}
		p.storeRelay.Stop()
	}
	s.store.Stop()
	if s.executorLogFile != nil {
		s.executorLogFile.Close()
	}
}
