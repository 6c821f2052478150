package soaker

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Settings configure a run.
type Settings struct {
	Seed       uint64
	Duration   time.Duration // approximate upper bound of the schedule; at least one round is run
	Entries    int
	Agents     int
	Callers    int
	DaemonPath string                        // path of mustardleverd
	Dir        string                        // for settings and logs of the processes
	Logf       func(format string, a ...any) // logs progress

	Liberties      bool // backend servers take the platform's liberties: the faults of a second schedule are added
	ForgottenFence bool // and so the one that no protocol can make harmless; see standin.Liberties

	Evacuations bool // zones are evacuated: faults of a further schedule are added, and the processes get the settings for them

	Crowds bool // crowds of other clients connect to the processes: faults of a further schedule are added, and the limits of the processes are lowered and checked

	ReportFaults []Kind // faults of these kinds, from ReportFaultKinds, are added by a third schedule; empty: none
}

// Report is the result of a run.
type Report struct {
	Seed         uint64        `json:"seed"`
	Seconds      float64       `json:"seconds"`
	Faults       []string      `json:"faults"`
	Jobs         int           `json:"jobs"`
	Completed    int           `json:"completed"`
	Failed       int           `json:"failed"`     // answered as failed; see Violations for jobs that should not have failed
	GivenUp      int           `json:"given-up"`   // of those, jobs that do not fail and under which lossLimit backend servers were lost
	Unanswered   int           `json:"unserved"`   // without a final answer
	Attempts     int           `json:"tries"`      // attempts of all jobs
	Slowest      time.Duration `json:"slowest-ns"` // longest time to a completed job
	Violations   []string      `json:"broken"`     // violated guarantees, each with its time
	Stalls       []string      `json:"stalls"`     // intervals in which this process was stalled
	Inconclusive []string      `json:"void"`       // violated timing guarantees that do not count because this process was stalled

	PeakMemoryKiB   int `json:"peak-memory-kib,omitempty"`  // of one process; with crowds only
	MostDescriptors int `json:"most-descriptors,omitempty"` // of one process; with crowds only
}

// soak is the state of a run.
type soak struct {
	system
	balancer  balancer
	startTime time.Time

	mu                   sync.Mutex
	report               Report
	jobs                 []*job
	attempts             []attempt
	configurationChanges []configurationChange
	steadyPhases         []interval           // no fault is injected and the system has recovered
	maintenancePhases    []interval           // graceful shutdowns, configuration changes and reloads
	crowdRequests        atomic.Uint64        // requests of crowds so far
	evacuations          map[string]time.Time // when the evacuation of a zone was acknowledged, by zone
	stalls               []interval           // this process was stalled, and usually the others too
}

// interval is the half-open time interval [from, to).
type interval struct{ from, to time.Time }

// contains reports whether t is in the interval.
func (v interval) contains(t time.Time) bool { return !t.Before(v.from) && t.Before(v.to) }

const (
	readyTimeout  = 20 * time.Second
	maxViolations = 100 // reported; later ones are left out
	watchInterval = 50 * time.Millisecond
	minStall      = 400 * time.Millisecond // a process is suspected to be lost after 300 ms without contact
)

// Run runs the rounds of a seed and returns the report. It returns an error if the
// processes cannot be started or are not ready in time.
func Run(s Settings) (*Report, error) {
	k := &soak{system: system{Settings: s}, startTime: time.Now()}
	k.balancer.ready = make([]bool, s.Entries)
	k.system.observeStart = k.checkEvacuation
	k.report.Seed = s.Seed
	defer k.stop()
	if err := k.system.start(); err != nil {
		return nil, err
	}
	quit := make(chan struct{})
	var monitors, callers sync.WaitGroup
	for i, e := range k.entries {
		monitors.Go(func() { k.pollReady(i, quit) })
		monitors.Go(func() { k.watchConfiguration(e, quit) })
	}
	monitors.Go(func() { k.watchProcesses(quit) })
	monitors.Go(func() { k.watchStalls(quit) })
	if s.Crowds {
		monitors.Go(func() { k.watchLimits(quit) })
	}
	if !k.awaitReady() {
		close(quit)
		monitors.Wait()
		return nil, fmt.Errorf("the system was not ready within %s; logs are in %s", readyTimeout, s.Dir)
	}
	stopCallers := make(chan struct{})
	for n := range s.Callers {
		c := &caller{soak: k, number: n, rand: rand.New(rand.NewPCG(s.Seed, uint64(n)+1))}
		callers.Go(func() { c.run(stopCallers) })
	}
	time.Sleep(warmUp)
	rounds := NewSchedule(s.Seed, s.Entries, s.Agents, s.Duration)
	if s.Liberties {
		rounds = addLiberties(rounds, s.Seed, s.Agents)
	}
	if len(s.ReportFaults) > 0 {
		rounds = addReportFaults(rounds, s.Seed, s.Agents, s.ReportFaults)
	}
	if s.Evacuations {
		rounds = addEvacuations(rounds, s.Seed, s.Agents)
	}
	if s.Crowds {
		rounds = addCrowds(rounds, s.Seed, s.Entries, s.Agents)
	}
	for _, r := range rounds {
		k.runRound(r)
	}
	close(stopCallers)
	callers.Wait()
	close(quit)
	monitors.Wait()
	k.stop()
	k.checkAtEnd()
	return &k.report, nil
}

// awaitReady waits until every entry is ready, for at most readyTimeout, and
// reports whether all are.
func (k *soak) awaitReady() bool {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(watchInterval) {
		k.balancer.mu.Lock()
		allReady := true
		for _, r := range k.balancer.ready {
			allReady = allReady && r
		}
		k.balancer.mu.Unlock()
		if allReady {
			return true
		}
	}
	return false
}

// runRound runs one round.
func (k *soak) runRound(r Round) {
	k.injectAll(r.Faults)
	// A process that restarts reads the configuration and passes it to its peers.
	// No process restarts soon after this change, so it must spread without that.
	k.changeConfiguration()
	time.Sleep(recoveryTime)
	steadyFrom := time.Now()
	time.Sleep(steadyTime)
	maintenanceFrom := time.Now()
	k.injectAll(r.Maintenance)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.steadyPhases = append(k.steadyPhases, interval{steadyFrom, maintenanceFrom})
	k.maintenancePhases = append(k.maintenancePhases, interval{maintenanceFrom, time.Now()})
}

// injectAll injects faults at their times and waits until all have ended.
func (k *soak) injectAll(faults []Fault) {
	var injections sync.WaitGroup
	start := time.Now()
	for _, f := range faults {
		time.Sleep(time.Until(start.Add(f.At)))
		line := fmt.Sprintf("%7.2f s: %s", time.Since(k.startTime).Seconds(), f)
		k.mu.Lock()
		k.report.Faults = append(k.report.Faults, line)
		k.mu.Unlock()
		k.Logf("%s", line)
		injections.Go(func() { k.inject(f) })
	}
	injections.Wait()
}

// watchProcesses records processes that exit unexpectedly and restarts them.
func (k *soak) watchProcesses(quit <-chan struct{}) {
	for {
		select {
		case <-quit:
			return
		case <-time.After(watchInterval):
		}
		for _, p := range k.processes() {
			if description, ended := p.unexpectedExit(); ended {
				k.recordViolation("%s", description)
				if err := p.start(); err != nil {
					k.recordViolation("start %s: %v", p.name, err)
				}
			}
		}
	}
}

// checkAtEnd checks the guarantees that need the records of the whole run, and the
// processes' logs. It is called after all processes have been stopped.
func (k *soak) checkAtEnd() {
	for _, phase := range k.steadyPhases {
		k.checkSteady(phase)
	}
	for _, phase := range k.maintenancePhases {
		k.checkMaintenance(phase)
	}
	for _, violation := range k.checker.Violations() {
		k.recordViolation("%s", violation)
	}
	for _, p := range k.processes() {
		logText, err := os.ReadFile(filepath.Join(k.Dir, p.name+".log"))
		if err != nil {
			k.recordViolation("%v", err)
		}
		for _, pattern := range []string{"panic: ", "DATA RACE", "fatal error: "} {
			if bytes.Contains(logText, []byte(pattern)) {
				k.recordViolation("the log of %s contains %q", p.name, pattern)
			}
		}
	}
	k.report.Seconds = time.Since(k.startTime).Seconds()
}

// watchStalls records the intervals in which this process was stalled. On a machine
// that stalls, timing guarantees can be neither met nor checked.
func (k *soak) watchStalls(quit <-chan struct{}) {
	for last := time.Now(); ; {
		select {
		case <-quit:
			return
		case <-time.After(watchInterval):
		}
		now := time.Now()
		if now.Sub(last) > minStall {
			k.mu.Lock()
			k.stalls = append(k.stalls, interval{last, now})
			k.report.Stalls = append(k.report.Stalls, fmt.Sprintf("%7.2f s: %s", now.Sub(k.startTime).Seconds(), now.Sub(last).Round(time.Millisecond)))
			k.mu.Unlock()
		}
		last = now
	}
}

// recordTimingViolation records the violation of a timing guarantee in the interval
// during. If this process was stalled in that interval, the violation is reported as
// inconclusive.
func (k *soak) recordTimingViolation(during interval, format string, a ...any) {
	k.mu.Lock()
	stalled := slices.ContainsFunc(k.stalls, func(s interval) bool { return s.from.Before(during.to) && s.to.After(during.from) })
	if stalled {
		k.report.Inconclusive = append(k.report.Inconclusive, fmt.Sprintf(format, a...))
	}
	k.mu.Unlock()
	if !stalled {
		k.recordViolation(format, a...)
	}
}

// recordViolation records a violated guarantee.
func (k *soak) recordViolation(format string, a ...any) {
	line := fmt.Sprintf("%7.2f s: ", time.Since(k.startTime).Seconds()) + fmt.Sprintf(format, a...)
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.report.Violations) < maxViolations {
		k.report.Violations = append(k.report.Violations, line)
		k.Logf("BROKEN %s", line)
	}
}

// recordJob checks and counts a job after its caller's last attempt.
func (k *soak) recordJob(j *job) {
	k.checkAnswer(j)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.jobs = append(k.jobs, j)
	r := &k.report
	r.Jobs++
	r.Attempts += j.attempts
	switch {
	case j.answer.Completed():
		r.Completed++
		r.Slowest = max(r.Slowest, j.elapsed)
	case j.served():
		r.Failed++
	default:
		r.Unanswered++
	}
}

// recordAttempt checks an attempt and keeps it for the checks at the end.
func (k *soak) recordAttempt(a attempt) {
	k.checkAttempt(a)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.attempts = append(k.attempts, a)
}
