package executor

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/leaser"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
	"mustardlever.dev/mustardlever/starter"
)

const (
	leasedTick    = 20 * time.Millisecond // between two looks at what is due
	callTimeout   = 30 * time.Millisecond // of a start or a stop on this machine, which take one or two; longer ones delay the task elsewhere
	holdSlack     = 40 * time.Millisecond // of a hold beyond the time it may wait
	reportsMissed = 3                     // reports without which a backend server is taken as gone
	runSucceeded  = 200                   // status of a task that was done
	runFailed     = 500                   // status of a task that failed
)

// Report is what a backend server says of itself.
type Report struct {
	ID        string          `json:"id"` // names one life of it, as a rule
	Service   string          `json:"service"`
	Address   string          `json:"address"` // host:port
	StartedAt int64           `json:"born-ms"` // Unix ms of its start
	Number    int64           `json:"-"`       // rises with each report of one life
	Ready     bool            `json:"ready"`   // it takes work; not when it is leaving
	Capacity  sizer.Resources `json:"capacity"`
	Labels    []string        `json:"labels,omitempty"`
	Zone      string          `json:"zone,omitempty"`
}

// Leased runs the tasks of one backend server under leases. Set the fields,
// then call Start.
type Leased struct {
	Settings leaser.Settings
	Interval time.Duration // between two reports of the backend server
	Log      *logrus.Entry

	// Call carries out one call to the backend server of a report.
	Call func(ctx context.Context, to Report, c leaser.Call) leaser.Answer
	// ObserveCall is told of each answer; it may be nil.
	ObserveCall func(k leaser.Kind, v leaser.Status, took time.Duration)
	// Offer tells that the backend server may get tasks.
	Offer func(Report)
	// Withdraw tells that it must not get any more.
	Withdraw func(Report)
	// SetUnresponsive tells whether the backend server is silent; nothing new should be
	// started meanwhile.
	SetUnresponsive func(held bool)
	// Finish tells the end of a run; a nil result means that it did not start.
	Finish func(id uint64, result *protocol.Result)
	// FinishStopped tells that a run ended before it was done.
	FinishStopped func(id uint64)

	telling    sync.Mutex // orders Offer, Withdraw and Hold; taken before mu
	mu         sync.Mutex
	leaser     leaser.Leaser
	report     Report
	heard      time.Time // of the last report
	remembered bool      // report is one that an earlier process has kept
	offered    bool      // as told last
	held       bool      // as told last
	ctx        context.Context
	done       sync.WaitGroup
}

// Start begins to keep leases until ctx ends.
func (x *Leased) Start(ctx context.Context) {
	x.ctx = ctx
	x.leaser.Settings = x.Settings
	x.leaser.Init(time.Now())
	x.done.Go(x.tick)
}

// Wait returns when no call is on its way, after ctx has ended.
func (x *Leased) Wait() { x.done.Wait() }

func (x *Leased) tick() {
	ticker := time.NewTicker(leasedTick)
	defer ticker.Stop()
	for {
		select {
		case <-x.ctx.Done():
			return
		case <-ticker.C:
		}
		x.act(func(l *leaser.Leaser, now time.Time) {
			if x.report.Address != "" && (l.Running() > 0 || !l.Reconciled()) {
				l.Tick(now)
			}
		})
	}
}

// act runs one decision and carries out what it decided.
func (x *Leased) act(decide func(l *leaser.Leaser, now time.Time)) {
	for _, e := range x.decide(decide) {
		x.finish(e)
	}
	x.tellChange()
}

// decide runs one decision and sends its calls. It returns the ends to tell,
// which must not be told under the lock of the caller of Run and Stop.
func (x *Leased) decide(decide func(l *leaser.Leaser, now time.Time)) []leaser.End {
	x.mu.Lock()
	defer x.mu.Unlock()
	decide(&x.leaser, time.Now())
	calls, ends := x.leaser.Drain()
	report := x.report
	for _, c := range calls {
		x.done.Go(func() { x.carryOut(report, c) })
	}
	return ends
}

// tellChange tells what has changed since it was told last. The lock keeps the
// changes in order.
func (x *Leased) tellChange() {
	x.telling.Lock()
	defer x.telling.Unlock()
	x.mu.Lock()
	change := x.change(time.Now())
	x.mu.Unlock()
	if change != nil {
		change()
	}
}

// change returns what to tell when the backend server begins or ceases to take
// tasks or to answer, nil for nothing. The caller holds mu.
func (x *Leased) change(now time.Time) func() {
	if held := x.leaser.Unresponsive(); x.offered && held != x.held {
		x.held = held
		return func() { x.SetUnresponsive(held) }
	}
	alive := x.report.Address != "" && now.Sub(x.heard) < reportsMissed*x.Interval
	wanted := alive && x.report.Ready && x.leaser.Reconciled()
	if wanted == x.offered {
		return nil
	}
	x.offered, x.held = wanted, false
	report := x.report
	if !wanted {
		x.Log.WithFields(fields(report)).WithField("heard-ms", now.Sub(x.heard).Milliseconds()).
			Info("Backend server takes no more work.")
		return func() { x.Withdraw(report) }
	}
	x.Log.WithFields(fields(report)).Info("Backend server takes work.")
	return func() { x.Offer(report) }
}

func fields(r Report) logrus.Fields {
	return logrus.Fields{"backend-server": r.ID, "born-ms": r.StartedAt, "ready": r.Ready, "cpu": r.Capacity.CPU}
}

func (x *Leased) carryOut(to Report, c leaser.Call) {
	timeout := callTimeout
	if c.Kind == leaser.KindRenew {
		timeout = c.Wait + holdSlack
	}
	ctx, cancel := context.WithTimeout(x.ctx, timeout)
	defer cancel()
	begin := time.Now()
	a := x.Call(ctx, to, c)
	took := time.Since(begin)
	if x.ObserveCall != nil {
		x.ObserveCall(c.Kind, a.Status, took)
	}
	if c.Kind == leaser.KindStart && a.Status == leaser.StatusDone && x.Log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		x.Log.WithFields(logrus.Fields{"task": c.Task, "run": c.Number, "took-us": took.Microseconds()}).Debug("Backend server has started a task.")
	}
	if a.Status != leaser.StatusDone {
		x.Log.WithFields(logrus.Fields{
			"call": c.Kind.String(), "task": c.Task, "run": c.Number, "fence": c.Token, "verdict": a.Status.String(),
			"waited-ms": took.Milliseconds(),
		}).Warn("Backend server did not carry out a call.")
	}
	if a.UnreadableRows > 0 {
		x.Log.WithFields(fields(to)).WithField("rows", a.UnreadableRows).Warn("Backend server lists runs that cannot be read.")
	}
	x.act(func(l *leaser.Leaser, now time.Time) {
		x.doubt(a)
		l.HandleAnswer(now, c, a)
	})
}

func (x *Leased) finish(e leaser.End) {
	switch {
	case !e.Started:
		x.FinishStopped(e.ID)
	case e.Reason == leaser.EndCompleted:
		x.Finish(e.ID, &protocol.Result{Status: runSucceeded, ServeMicros: e.Took.Microseconds()})
	case e.Reason == leaser.EndFailed:
		x.Finish(e.ID, &protocol.Result{Status: runFailed, Error: "the task failed", ServeMicros: e.Took.Microseconds()})
	default:
		x.FinishStopped(e.ID)
	}
}

// Run starts a task. It does not block.
func (x *Leased) Run(r starter.Run) {
	x.later(func(l *leaser.Leaser, now time.Time) {
		l.Start(now, r.ID, r.Request.Name, r.Attempt, r.Request.Body)
		l.Tick(now)
	})
}

// Stop stops a task. It does not block.
func (x *Leased) Stop(r starter.Run) {
	x.later(func(l *leaser.Leaser, now time.Time) { l.Stop(now, r.ID) })
}

// SetOwnerSuspected says whether an owner of something that runs may be gone. It does not
// block.
func (x *Leased) SetOwnerSuspected(suspect bool) {
	x.later(func(l *leaser.Leaser, _ time.Time) { l.SetOwnerSuspected(suspect) })
}

// later runs a decision now, and tells what follows from it on a goroutine of
// its own, since the caller holds the lock that the end of a run takes.
func (x *Leased) later(decide func(l *leaser.Leaser, now time.Time)) {
	ends := x.decide(decide)
	if len(ends) == 0 {
		return
	}
	x.done.Go(func() {
		for _, e := range ends {
			x.finish(e)
		}
	})
}

// RestoreReport gives a report that an earlier process of this agent has kept, so
// that the backend server is used before its next report. It is dropped when
// the backend server turns out to have begun anew since.
func (x *Leased) RestoreReport(r Report) {
	x.act(func(l *leaser.Leaser, now time.Time) {
		if x.report.Address != "" {
			return
		}
		x.report, x.heard, x.remembered = r, now, true
		l.HandleRestart(now, r.StartedAt)
	})
}

// doubt drops a remembered report that an answer belies. The caller holds mu.
func (x *Leased) doubt(a leaser.Answer) {
	if x.remembered && (a.Status == leaser.StatusWrongInstance || a.StartedAt != 0 && a.StartedAt != x.report.StartedAt) {
		x.Log.WithFields(fields(x.report)).Info("Backend server has begun anew since it was remembered.")
		x.report, x.remembered = Report{}, false
	}
}

// HandleReport takes a report of the backend server. It reports false for one that is
// older than what is known.
func (x *Leased) HandleReport(r Report) bool {
	x.mu.Lock()
	known := x.report
	x.mu.Unlock()
	if r.StartedAt < known.StartedAt || r.StartedAt == known.StartedAt && r.ID == known.ID && r.Number <= known.Number {
		return false
	}
	x.act(func(l *leaser.Leaser, now time.Time) {
		fresh := known.Address == "" || r.StartedAt != known.StartedAt || r.ID != known.ID || r.Address != known.Address
		x.report, x.heard, x.remembered = r, now, false
		if fresh {
			x.Log.WithFields(fields(r)).Info("Backend server is new.")
			l.HandleRestart(now, r.StartedAt)
		}
	})
	return true
}

// HandleStopped notes that the backend server of the id has ended as planned.
func (x *Leased) HandleStopped(id string) {
	x.act(func(l *leaser.Leaser, _ time.Time) {
		if x.report.ID == id {
			x.report.Ready = false
		}
	})
}
