package soaker

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// Settings are those of a run.
type Settings struct {
	Seed    uint64
	Length  time.Duration // of the schedule, about; a round at least is played
	Entries int
	Agents  int
	Callers int
	Daemon  string // path of mustardleverd
	Dir     string // for settings and logs
	Say     func(format string, a ...any)
}

// Report is what a run has seen.
type Report struct {
	Seed      uint64        `json:"seed"`
	Seconds   float64       `json:"seconds"`
	Faults    []string      `json:"faults"`
	Jobs      int           `json:"jobs"`
	Completed int           `json:"completed"`
	Failed    int           `json:"failed"` // as they had to
	Unserved  int           `json:"unserved"`
	Tries     int           `json:"tries"`
	Slowest   time.Duration `json:"slowest-ns"`
	Broken    []string      `json:"broken"` // promises, with when
	Stalls    []string      `json:"stalls"` // spans in which this process itself did not run
	Void      []string      `json:"void"`   // promises of time that could not be judged for a stall
}

// soak is a run.
type soak struct {
	system
	balancer balancer
	begin    time.Time

	mu       sync.Mutex
	report   Report
	jobs     []*job
	attempts []attempt
	changes  []change
	calm     []span // in which nothing was wrong
	planned  []span // of planned work
	stalls   []span // in which this process did not run, nor the others as a rule
}

// span is a span of time.
type span struct{ from, to time.Time }

func (s span) holds(t time.Time) bool { return !t.Before(s.from) && t.Before(s.to) }

const (
	readyTimeout = 20 * time.Second
	maxBroken    = 100 // lines kept
	watchEvery   = 50 * time.Millisecond
	stallLeast   = 400 * time.Millisecond // a process is suspected after 300 ms of silence
)

// Run plays the rounds of a seed and reports what was seen. It errors when the
// processes cannot be started.
func Run(s Settings) (*Report, error) {
	k := &soak{system: system{Settings: s}, begin: time.Now()}
	k.balancer.ready = make([]bool, s.Entries)
	k.report.Seed = s.Seed
	defer k.stop()
	if err := k.system.start(); err != nil {
		return nil, err
	}
	quit := make(chan struct{})
	var helpers, callers sync.WaitGroup
	for i, e := range k.entries {
		helpers.Go(func() { k.askReady(i, quit) })
		helpers.Go(func() { k.watchConfiguration(e, quit) })
	}
	helpers.Go(func() { k.watchProcesses(quit) })
	helpers.Go(func() { k.watchStalls(quit) })
	if !k.awaitReady() {
		close(quit)
		helpers.Wait()
		return nil, fmt.Errorf("the system was not ready after %s; its logs are in %s", readyTimeout, s.Dir)
	}
	leave := make(chan struct{})
	for n := range s.Callers {
		c := &caller{soak: k, number: n, rand: rand.New(rand.NewPCG(s.Seed, uint64(n)+1))}
		callers.Go(func() { c.run(leave) })
	}
	time.Sleep(warmUp)
	for _, r := range NewSchedule(s.Seed, s.Entries, s.Agents, s.Length) {
		k.play(r)
	}
	close(leave)
	callers.Wait()
	close(quit)
	helpers.Wait()
	k.stop()
	k.checkEnd()
	return &k.report, nil
}

// awaitReady waits until every entry takes connections.
func (k *soak) awaitReady() bool {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(watchEvery) {
		k.balancer.mu.Lock()
		all := true
		for _, r := range k.balancer.ready {
			all = all && r
		}
		k.balancer.mu.Unlock()
		if all {
			return true
		}
	}
	return false
}

// play plays one round.
func (k *soak) play(r Round) {
	k.injectAll(r.Storm)
	k.changeConfiguration() // no process begins anew soon, which would read it and tell its peers
	time.Sleep(settleTime)
	recovered := time.Now()
	time.Sleep(calmTime)
	begun := time.Now()
	k.injectAll(r.Planned)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calm = append(k.calm, span{recovered, begun})
	k.planned = append(k.planned, span{begun, time.Now()})
}

// injectAll has faults happen at their times and waits for their ends.
func (k *soak) injectAll(list []Fault) {
	var all sync.WaitGroup
	begin := time.Now()
	for _, f := range list {
		time.Sleep(time.Until(begin.Add(f.At)))
		line := fmt.Sprintf("%7.2f s: %s", time.Since(k.begin).Seconds(), f)
		k.mu.Lock()
		k.report.Faults = append(k.report.Faults, line)
		k.mu.Unlock()
		k.Say("%s", line)
		all.Go(func() { k.inject(f) })
	}
	all.Wait()
}

// watchProcesses notes processes that end by themselves, and starts them again.
func (k *soak) watchProcesses(quit <-chan struct{}) {
	for {
		select {
		case <-quit:
			return
		case <-time.After(watchEvery):
		}
		for _, p := range k.processes() {
			if what, ended := p.surprise(); ended {
				k.broken("%s", what)
				if err := p.start(); err != nil {
					k.broken("start %s: %v", p.name, err)
				}
			}
		}
	}
}

// checkEnd checks what can be told when all is over.
func (k *soak) checkEnd() {
	for _, x := range k.calm {
		k.checkCalm(x)
	}
	for _, x := range k.planned {
		k.checkPlanned(x)
	}
	for _, b := range k.judge.Broken() {
		k.broken("%s", b)
	}
	for _, p := range k.processes() {
		text, err := os.ReadFile(filepath.Join(k.Dir, p.name+".log"))
		if err != nil {
			k.broken("%v", err)
		}
		for _, mark := range []string{"panic: ", "DATA RACE", "fatal error: "} {
			if bytes.Contains(text, []byte(mark)) {
				k.broken("the log of %s has %q", p.name, mark)
			}
		}
	}
	k.report.Seconds = time.Since(k.begin).Seconds()
}

// watchStalls notes when this process did not run: on a machine that stands
// still nobody keeps a promise of time, and nobody can judge one.
func (k *soak) watchStalls(quit <-chan struct{}) {
	for last := time.Now(); ; {
		select {
		case <-quit:
			return
		case <-time.After(watchEvery):
		}
		now := time.Now()
		if now.Sub(last) > stallLeast {
			k.mu.Lock()
			k.stalls = append(k.stalls, span{last, now})
			k.report.Stalls = append(k.report.Stalls, fmt.Sprintf("%7.2f s: %s", now.Sub(k.begin).Seconds(), now.Sub(last).Round(time.Millisecond)))
			k.mu.Unlock()
		}
		last = now
	}
}

// late notes a promise of time that was not kept in a span, as void when this
// process did not run meanwhile.
func (k *soak) late(x span, format string, a ...any) {
	k.mu.Lock()
	stalled := slices.ContainsFunc(k.stalls, func(s span) bool { return s.from.Before(x.to) && s.to.After(x.from) })
	if stalled {
		k.report.Void = append(k.report.Void, fmt.Sprintf(format, a...))
	}
	k.mu.Unlock()
	if !stalled {
		k.broken(format, a...)
	}
}

// broken notes a promise that was not kept.
func (k *soak) broken(format string, a ...any) {
	line := fmt.Sprintf("%7.2f s: ", time.Since(k.begin).Seconds()) + fmt.Sprintf(format, a...)
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.report.Broken) < maxBroken {
		k.report.Broken = append(k.report.Broken, line)
		k.Say("BROKEN %s", line)
	}
}

// note takes a job that its caller is done with.
func (k *soak) note(j *job) {
	k.checkAnswer(j)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.jobs = append(k.jobs, j)
	r := &k.report
	r.Jobs++
	r.Tries += j.tries
	switch {
	case j.answer.Completed():
		r.Completed++
		r.Slowest = max(r.Slowest, j.took)
	case j.served():
		r.Failed++
	default:
		r.Unserved++
	}
}

func (k *soak) attempted(a attempt) {
	k.checkAttempt(a)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.attempts = append(k.attempts, a)
}
