package executor

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/leaser"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
	"mustardlever.dev/mustardlever/starter"
)

const (
	tickInterval     = 20 * time.Millisecond // interval between calls of Leaser.Tick
	callTimeout      = 30 * time.Millisecond // of a start or stop call; a call on the local machine takes 1 to 2 ms, and a longer timeout would delay starting the task elsewhere
	renewalSlack     = 40 * time.Millisecond // added to a renewal's wait time to get its timeout
	maxMissedReports = 3                     // missed reports after which a backend server is regarded as lost
	statusSucceeded  = 200                   // status of a task that completed
	statusFailed     = 500                   // status of a task that failed
)

// LeasedExecutor runs the tasks of one backend server under leases. Set the fields,
// then call Start.
type LeasedExecutor struct {
	Settings       leaser.Settings
	Service        string        // reports of other services are ignored
	ReportInterval time.Duration // between reports of the backend server
	Log            *logrus.Entry

	// Call executes one call to the backend server that sent the report.
	Call func(ctx context.Context, target Report, c leaser.Call) leaser.Answer
	// ObserveCall is called with the kind, status and duration of each call; it may
	// be nil.
	ObserveCall func(k leaser.Kind, s leaser.Status, elapsed time.Duration)
	// Offer is called when the backend server may receive tasks.
	Offer func(Report)
	// SetCapacity is called when the capacity of an offered backend server has changed.
	SetCapacity func(sizer.Resources)
	// SetCold is called when the reported end of the warm-up of an offered backend server
	// has changed. It may be nil.
	SetCold func(remaining time.Duration)
	// Save is called with a report that differs in readiness or incarnation from the
	// last one, or has less capacity. A later process of this agent restores it with
	// RestoreReport. It may be nil.
	Save func(Report)
	// Withdraw is called when it must not receive any more tasks.
	Withdraw func(Report)
	// OwnerContact returns the time of the last contact with the owner of a run. If it
	// is nil, runs have no owners.
	OwnerContact func(owner string) time.Time
	// SetUnresponsive is called when an offered backend server stops or resumes
	// answering; no task should be started on it while it is unresponsive.
	SetUnresponsive func(unresponsive bool)
	// Finish is called when a run has completed or failed.
	Finish func(id uint64, result *protocol.Result)
	// FinishStopped is called when a run was stopped before it completed, or did not
	// start. loss tells whether the backend server was lost meanwhile.
	FinishStopped func(id uint64, loss starter.Loss)
	// RetractLoss is called after FinishStopped with starter.PresumedLost when the backend
	// server turns out to have run on, and ConfirmLoss when it has restarted.
	RetractLoss, ConfirmLoss func(id uint64)

	notifyMu       sync.Mutex // serializes calls of Offer, SetCapacity, Withdraw and SetUnresponsive; acquired before mu
	mu             sync.Mutex // guards the fields below, up to unresponsive
	leaser         leaser.Leaser
	report         Report                 // in force: the backend server has confirmed its incarnation
	reportedAt     time.Time              // when that took effect
	deviating      reportSeries           // of reports that do not follow the one in force
	unconfirmed    []*unconfirmedReport   // oldest first
	rejectedProbes map[string]leaser.Call // by address: the last probe, if its fencing token was too low
	saved          Report                 // last passed to Save, or restored
	restored       bool                   // report was saved by an earlier process, and none has arrived since
	offered        bool                   // as last reported by Offer or Withdraw
	offeredReport  Report                 // as last reported by Offer or SetCapacity
	unresponsive   bool                   // as last reported by SetUnresponsive
	limited        bool                   // as last logged
	ctx            context.Context
	goroutines     sync.WaitGroup
}

// Start starts the renewal of leases, which continues until ctx is canceled.
func (x *LeasedExecutor) Start(ctx context.Context) {
	x.ctx = ctx
	x.leaser.Settings = x.Settings
	x.leaser.Init(time.Now())
	x.goroutines.Go(x.tickLoop)
}

// Wait waits until all calls have returned after ctx was canceled.
func (x *LeasedExecutor) Wait() { x.goroutines.Wait() }

func (x *LeasedExecutor) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-x.ctx.Done():
			return
		case <-ticker.C:
		}
		x.update(func(l *leaser.Leaser, now time.Time) {
			if x.report.Address != "" && !l.Idle() {
				l.Tick(now)
			}
		})
	}
}

// update runs one decision, sends its calls and reports changes and ends. Changes come
// first, since the end of a run lets others start.
func (x *LeasedExecutor) update(decide func(l *leaser.Leaser, now time.Time)) {
	ends := x.decide(decide)
	x.notifyChange()
	for _, e := range ends {
		x.reportEnd(e)
	}
}

// decide runs one decision and sends its calls. It returns the ends of runs,
// which must not be reported while the caller of Run or Stop holds its lock.
func (x *LeasedExecutor) decide(decide func(l *leaser.Leaser, now time.Time)) []leaser.End {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	x.updateContacts(now)
	decide(&x.leaser, now)
	calls, ends := x.leaser.TakeDecisions()
	report := x.report
	for _, c := range calls {
		x.goroutines.Go(func() { x.execute(report, c) })
	}
	return ends
}

// updateContacts passes the last contact with each owner to the leaser, before every
// decision: a decision that is made late must not rely on an earlier check. The caller
// holds mu.
func (x *LeasedExecutor) updateContacts(now time.Time) {
	for _, owner := range x.leaser.Owners() {
		x.leaser.SetContact(owner, x.OwnerContact(owner))
	}
	limited := x.leaser.Limited(now)
	if limited == x.limited {
		return
	}
	x.limited = limited
	log := x.Log.WithFields(logFields(x.report))
	if limited {
		log.WithField("owners", x.leaser.Owners()).Warn("Agent shortens leases: an entry with tasks here is silent, or a stop has no effect.")
		return
	}
	log.Info("Agent grants full leases again.")
}

// notifyChange reports a change of the backend server's availability since the
// last notification. notifyMu keeps the notifications in order.
func (x *LeasedExecutor) notifyChange() {
	x.notifyMu.Lock()
	defer x.notifyMu.Unlock()
	x.mu.Lock()
	notify := x.nextNotification(time.Now())
	save, report := x.needsSave(), x.report
	x.mu.Unlock()
	if save {
		x.Save(report)
	}
	if notify != nil {
		notify()
	}
}

// nextNotification returns the notification to send if the backend server has
// become available, unavailable, responsive or unresponsive, is another one, or has
// another capacity, and nil if nothing has changed. The caller holds mu.
func (x *LeasedExecutor) nextNotification(now time.Time) func() {
	report, unresponsive := x.report, x.leaser.Unresponsive()
	alive := report.Address != "" && now.Sub(x.reportedAt) < maxMissedReports*x.ReportInterval
	shouldOffer := alive && report.Ready && x.leaser.Reconciled() && x.leaser.Present(report.StartedAt)
	switch {
	case x.offered && !shouldOffer:
		x.offered = false
		x.Log.WithFields(logFields(report)).WithField("heard-ms", now.Sub(x.reportedAt).Milliseconds()).
			Info("Backend server no longer accepts tasks.")
		return func() { x.Withdraw(report) }
	case shouldOffer && (!x.offered || !report.sameServer(x.offeredReport)):
		x.offered, x.unresponsive, x.offeredReport = true, false, report
		x.Log.WithFields(logFields(report)).Info("Backend server accepts tasks.")
		return func() { x.Offer(report) }
	case x.offered && unresponsive != x.unresponsive:
		x.unresponsive = unresponsive
		return func() { x.SetUnresponsive(unresponsive) }
	case x.offered && report.Capacity != x.offeredReport.Capacity:
		x.offeredReport.Capacity = report.Capacity
		x.Log.WithFields(logFields(report)).Info("Backend server has changed its capacity.")
		return func() { x.SetCapacity(report.Capacity) }
	case x.offered && x.SetCold != nil && report.ColdMillis != x.offeredReport.ColdMillis:
		x.offeredReport.ColdMillis = report.ColdMillis
		return func() { x.SetCold(time.Duration(report.ColdMillis) * time.Millisecond) }
	}
	return nil
}

// needsSave reports whether the report has to be saved, and counts it as saved: the
// first one at which the backend server is offered, and every later one that differs
// in incarnation, address or readiness, or has less capacity than the saved one. After
// a restart of this process a server that drains must not be used again, and no server
// above its capacity. The caller holds mu.
func (x *LeasedExecutor) needsSave() bool {
	r, s := x.report, x.saved
	if x.Save == nil || x.restored || r.Address == "" || s.Address == "" && !x.offered {
		return false
	}
	if r.sameServer(s) && r.Ready == s.Ready && r.Capacity.Covers(s.Capacity) {
		return false
	}
	x.saved = r
	return true
}

func logFields(r Report) logrus.Fields {
	return logrus.Fields{
		"backend-server": r.ID, "address": r.Address, "service": r.Service, "born-ms": r.StartedAt, "number": r.Number,
		"ready": r.Ready, "cpu": r.Capacity.CPU,
	}
}

// call makes one call and observes it. It returns the duration too.
func (x *LeasedExecutor) call(ctx context.Context, target Report, c leaser.Call) (leaser.Answer, time.Duration) {
	start := time.Now()
	a := x.Call(ctx, target, c)
	elapsed := time.Since(start)
	if x.ObserveCall != nil {
		x.ObserveCall(c.Kind, a.Status, elapsed)
	}
	return a, elapsed
}

func (x *LeasedExecutor) execute(target Report, c leaser.Call) {
	if c.Resurfaced() {
		x.Log.WithFields(logFields(target)).WithFields(logrus.Fields{"task": c.Task, "run": c.Number}).
			Warn("Backend server lists a run that the agent has reported as ended.")
	}
	timeout := callTimeout
	if c.Kind == leaser.KindRenew {
		timeout = c.Wait + renewalSlack
	}
	ctx, cancel := context.WithTimeout(x.ctx, timeout)
	defer cancel()
	a, elapsed := x.call(ctx, target, c)
	if c.Kind == leaser.KindStart && a.Status == leaser.StatusDone && x.Log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		x.Log.WithFields(logrus.Fields{"task": c.Task, "run": c.Number, "took-us": elapsed.Microseconds()}).Debug("Backend server has started a task.")
	}
	if a.Status != leaser.StatusDone {
		x.Log.WithFields(logrus.Fields{
			"call": c.Kind.String(), "task": c.Task, "run": c.Number, "fence": c.Token, "verdict": a.Status.String(),
			"waited-ms": elapsed.Milliseconds(),
		}).Warn("Call to the backend server failed.")
	}
	if a.UnreadableRows > 0 {
		x.Log.WithFields(logFields(target)).WithField("rows", a.UnreadableRows).Warn("Backend server lists runs that cannot be decoded.")
	}
	x.update(func(l *leaser.Leaser, now time.Time) { l.HandleAnswer(now, c, a) })
}

func (x *LeasedExecutor) reportEnd(e leaser.End) {
	switch {
	case e.RanOn:
		x.RetractLoss(e.ID)
	case e.Confirmed:
		x.ConfirmLoss(e.ID)
	case !e.Started:
		x.FinishStopped(e.ID, lossOf(e))
	case e.Reason == leaser.EndCompleted:
		x.Finish(e.ID, &protocol.Result{Status: statusSucceeded, ServeMicros: e.Duration.Microseconds()})
	case e.Reason == leaser.EndFailed:
		x.Finish(e.ID, &protocol.Result{Status: statusFailed, Error: "the task failed", ServeMicros: e.Duration.Microseconds()})
	default:
		x.FinishStopped(e.ID, lossOf(e))
	}
}

// lossOf returns the loss that an End reports.
func lossOf(e leaser.End) starter.Loss {
	switch {
	case !e.Lost:
		return starter.NotLost
	case e.Presumed:
		return starter.PresumedLost
	}
	return starter.Lost
}

// Run starts a task. It does not block. The end is reported by Finish or
// FinishStopped. A run whose label the offered incarnation lacks does not start.
func (x *LeasedExecutor) Run(r starter.Run) {
	x.decideAndReportAsync(func(l *leaser.Leaser, now time.Time) {
		if r.RequiredLabel != "" && !slices.Contains(x.offeredReport.Labels, r.RequiredLabel) {
			l.Refuse(r.ID)
			return
		}
		l.Start(now, x.newRequest(r))
		l.Tick(now)
	})
}

// newRequest returns the request to start a run, on the incarnation that was offered.
func (x *LeasedExecutor) newRequest(r starter.Run) leaser.Request {
	q := leaser.Request{ID: r.ID, Task: r.Request.Name, Number: r.Attempt, Spec: r.Request.Body, StartedAt: x.offeredReport.StartedAt, Confirm: x.needsConfirmation(r)}
	if x.OwnerContact != nil {
		q.Owner, q.ContactAt = r.Requester, x.OwnerContact(r.Requester)
	}
	return q
}

// unconfirmedShare is the reciprocal of the share of the capacity that is used for tasks
// without a required label before the incarnation is confirmed. The next incarnation of a
// server was seen to have two thirds of the capacity. The first tasks on an idle server
// start without a further call.
const unconfirmedShare = 2

// needsConfirmation reports whether a run relies on labels or capacity that the next
// incarnation of the backend server may lack. The caller holds mu.
func (x *LeasedExecutor) needsConfirmation(r starter.Run) bool {
	return r.RequiredLabel != "" || r.Used.DominantShare(x.offeredReport.Capacity)*unconfirmedShare > 1
}

// Stop stops a task. It does not block.
func (x *LeasedExecutor) Stop(r starter.Run) {
	x.decideAndReportAsync(func(l *leaser.Leaser, now time.Time) { l.Stop(now, r.ID) })
}

// decideAndReportAsync runs a decision synchronously and reports the ends of runs
// on a new goroutine, since the caller holds the lock that Finish and
// FinishStopped acquire.
func (x *LeasedExecutor) decideAndReportAsync(decide func(l *leaser.Leaser, now time.Time)) {
	ends := x.decide(decide)
	if len(ends) == 0 {
		return
	}
	x.goroutines.Go(func() {
		for _, e := range ends {
			x.reportEnd(e)
		}
	})
}
