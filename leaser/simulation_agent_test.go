package leaser

import (
	"cmp"
	"slices"
	"time"
)

// Timing of package executor.
const (
	simulatedTickInterval = 20 * time.Millisecond
	simulatedCallTimeout  = 30 * time.Millisecond
	simulatedRenewalSlack = 40 * time.Millisecond
)

// simulatedReport is a status report of the backend server. The zero value is none.
type simulatedReport struct {
	id        string
	startedAt int64
	number    int64
	restored  bool // saved by an earlier process of the agent
}

// sameServer reports whether both reports come from one incarnation.
func (r simulatedReport) sameServer(other simulatedReport) bool {
	return r.id == other.id && r.startedAt == other.startedAt
}

// sentCall is a call on its way.
type sentCall struct {
	Call
	serialNumber int // of all calls of the simulation
	process      int
	target       string // id in the report for which it was decided
	decidedAt    time.Duration
	answered     bool
	probed       simulatedReport // which the call is to confirm; zero: none
}

// agentRun is a run that an agent was told to start.
type agentRun struct {
	process  int
	id       uint64
	task     string
	duration time.Duration
	ended    bool
	end      End
	known    int64 // incarnation that the agent knew when it reported the end
}

// simulatedAgent drives a Leaser as executor.LeasedExecutor does.
type simulatedAgent struct {
	s           *simulation
	leaser      *Leaser
	process     int
	alive       bool
	frozenUntil time.Duration
	clockOffset time.Duration // of this process
	report      simulatedReport
	restored    bool
	rejected    Call // last probe of this process, if its token was too low
	saved       []simulatedReport
	runs        []*agentRun // of all processes, by ID from 1
	tries       map[string]int
}

// start starts a process of the agent.
func (g *simulatedAgent) start() {
	s := g.s
	g.process++
	g.alive, g.frozenUntil = true, 0
	g.report, g.restored, g.rejected = simulatedReport{}, false, Call{}
	if g.process > 1 {
		g.clockOffset = s.between(-3*time.Second, time.Second)
	}
	g.leaser = &Leaser{}
	g.leaser.Init(g.now())
	s.logf("agent: process %d starts, clock %v", g.process, g.clockOffset)
	s.after(s.between(0, simulatedTickInterval), func() { g.when(g.tick) })
	if n := len(g.saved); n > 0 && s.chance(0.8) {
		r := g.saved[n-1]
		if n > 1 && s.chance(0.2) {
			r = g.saved[n-2]
		}
		s.after(s.between(2*time.Millisecond, 60*time.Millisecond), func() { g.when(func() { g.restore(r) }) })
	}
}

// kill ends the process. Calls that it has sent may still be executed.
func (g *simulatedAgent) kill() {
	g.s.logf("agent: killed")
	g.alive = false
}

// now returns the time by the clock of the process.
func (g *simulatedAgent) now() time.Time {
	return time.UnixMilli(simulatedEpochMillis).Add(g.s.now + g.clockOffset)
}

// when calls f in the present process, after the thaw if it is frozen.
func (g *simulatedAgent) when(f func()) { g.inProcess(g.process, f) }

func (g *simulatedAgent) inProcess(process int, f func()) {
	switch {
	case !g.alive || g.process != process:
	case g.s.now < g.frozenUntil:
		g.s.at(g.frozenUntil+g.s.between(0, time.Millisecond), func() { g.inProcess(process, f) })
	default:
		f()
	}
}

func (g *simulatedAgent) tick() {
	p := g.process
	g.s.after(simulatedTickInterval, func() { g.inProcess(p, g.tick) })
	g.update(func(l *Leaser, now time.Time) {
		if g.report.id != "" && !l.Idle() {
			l.Tick(now)
		}
	})
}

// update runs one decision, sends its calls and records its ends.
func (g *simulatedAgent) update(decide func(l *Leaser, now time.Time)) {
	s := g.s
	wasReconciled := g.leaser.Reconciled()
	decide(g.leaser, g.now())
	calls, ends := g.leaser.TakeDecisions()
	// The Leaser walks maps. Its stops and ends are sorted, so that a seed has one trace.
	slices.SortStableFunc(calls, func(a, b Call) int {
		if a.Kind != KindStop || b.Kind != KindStop {
			return 0
		}
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
	})
	slices.SortFunc(ends, func(a, b End) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range ends {
		if e.Confirmed {
			continue // tells nothing new of the run
		}
		r := g.runs[e.ID-1]
		r.ended, r.end, r.known = true, e, g.leaser.startedAt
		s.logf("agent: run %d of %s is reported as ended: reason %d, started %v, lost %v", r.id, r.task, e.Reason, e.Started, e.Lost)
	}
	if r := g.leaser.Reconciled(); r != wasReconciled {
		s.logf("agent: reconciled %v, known incarnation %d", r, g.leaser.startedAt)
	}
	for _, c := range calls {
		s.calls++
		sent := &sentCall{Call: c, serialNumber: s.calls, process: g.process, target: g.report.id, decidedAt: s.now}
		s.logf("agent: decides call %d: %v %s %d run %d token %d lease end %d acked %d wait %v reconcile %v, to %s %d",
			sent.serialNumber, c.Kind, c.Task, c.Number, c.id, c.Token, c.LeaseEndMillis, c.AckedEnds, c.Wait, c.reconcile, sent.target, c.startedAt)
		s.after(s.between(0, 200*time.Microsecond), func() { g.inProcess(sent.process, func() { s.send(sent) }) })
	}
	if !g.restored && g.report.id != "" && (len(g.saved) > 0 || g.leaser.Reconciled()) {
		if n := len(g.saved); n == 0 || g.saved[n-1].id != g.report.id || g.saved[n-1].startedAt != g.report.startedAt {
			g.saved = append(g.saved, g.report)
		}
	}
}

// handleAnswer handles the answer to a call, unless the call has had one.
func (g *simulatedAgent) handleAnswer(c *sentCall, a Answer) {
	g.inProcess(c.process, func() {
		if c.answered {
			return
		}
		c.answered = true
		g.s.logf("agent: call %d (%v) is answered: %v clock %d born %d active %v ended %v", c.serialNumber, c.Kind, a.Status, a.ClockMillis, a.StartedAt, a.Active, a.Ended)
		if c.probed.id != "" {
			switch a.Status {
			case StatusDone:
				g.rejected = Call{}
			case StatusFenced:
				g.rejected = c.Call
			}
			g.handleProbe(c, a)
			if a.Status == StatusFenced {
				g.probe(c.probed)
			}
			return
		}
		g.update(func(l *Leaser, now time.Time) { l.HandleAnswer(now, c.Call, a) })
	})
}

// handleReport is like executor.LeasedExecutor.HandleReport.
func (g *simulatedAgent) handleReport(r simulatedReport) {
	if !g.leaser.Present(r.startedAt) || !r.sameServer(g.report) {
		g.probe(r)
		return
	}
	if r.number > g.report.number {
		g.update(func(l *Leaser, _ time.Time) {
			g.report, g.restored = r, false
			l.SetDraining(false)
		})
	}
}

// probe asks the backend server to confirm a report.
func (g *simulatedAgent) probe(r simulatedReport) {
	s := g.s
	s.calls++
	c := &sentCall{Call: g.leaser.Probe(g.rejected), serialNumber: s.calls, process: g.process, target: r.id, decidedAt: s.now, probed: r}
	s.logf("agent: probes for report %d of %s %d by call %d", r.number, r.id, r.startedAt, c.serialNumber)
	s.send(c)
}

// handleProbe puts a confirmed report into force, unless a newer one of the same
// incarnation is.
func (g *simulatedAgent) handleProbe(c *sentCall, a Answer) {
	g.update(func(l *Leaser, now time.Time) {
		r := c.probed
		if !l.HandleProbe(now, c.Call, a, r.startedAt, false) || r.sameServer(g.report) && r.number <= g.report.number {
			return
		}
		g.s.logf("agent: report %d of %s %d is confirmed", r.number, r.id, r.startedAt)
		g.report, g.restored = r, r.restored
		l.SetDraining(false)
	})
}

// restore is like executor.LeasedExecutor.RestoreReport.
func (g *simulatedAgent) restore(r simulatedReport) {
	if g.report.id != "" {
		return
	}
	g.s.logf("agent: restores the report of %s %d", r.id, r.startedAt)
	r.restored = true
	g.probe(r)
}

// run starts a run of a task.
func (g *simulatedAgent) run(task string, duration time.Duration) *agentRun {
	s := g.s
	r := &agentRun{process: g.process, id: uint64(len(g.runs) + 1), task: task, duration: duration}
	g.runs = append(g.runs, r)
	number := 1
	if s.chance(0.5) {
		g.tries[task]++
		number += g.tries[task]
	}
	s.logf("agent: is told to start run %d of %s %d, %v", r.id, task, number, duration)
	g.update(func(l *Leaser, now time.Time) {
		l.Start(now, Request{ID: r.id, Task: task, Number: number, Confirm: s.confirmsStarts && r.id%2 == 0})
		l.Tick(now)
	})
	return r
}

// stop stops a run.
func (g *simulatedAgent) stop(r *agentRun) {
	g.s.logf("agent: is told to stop run %d", r.id)
	g.update(func(l *Leaser, now time.Time) { l.Stop(now, r.id) })
}

// busy reports whether the present process has an unfinished run of the task.
func (g *simulatedAgent) busy(task string) bool {
	return slices.ContainsFunc(g.runs, func(r *agentRun) bool { return r.process == g.process && !r.ended && r.task == task })
}
