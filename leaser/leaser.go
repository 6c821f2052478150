package leaser

import (
	"encoding/json"
	"slices"
	"time"
)

const (
	runNumberIncrement   = 1 << 10                // raises a run number that was too low
	maxStartAttempts     = 4                      // of one start that was rejected for its token, run number or lease
	maxClockDrift        = 0.02                   // fraction by which the backend server's clock may run slow
	maxClockAge          = time.Second            // of a reading of the backend server's clock while there are runs
	stopRetryInterval    = 100 * time.Millisecond // between two stop calls for one run
	renewalRetryDelay    = 30 * time.Millisecond  // after more than unresponsiveFailures failed renewals in a row
	idleRetryDelay       = 200 * time.Millisecond // the same while there are no runs
	unresponsiveFailures = 2                      // failed renewals in a row after which the backend server counts as unresponsive
	renewalCutoff        = 200 * time.Millisecond // after the last answered renewal; then the leases are left to expire
	stopTimeout          = 250 * time.Millisecond // for a stop to take effect, with time for two retries; then the leases are left to expire
	stopLease            = 650 * time.Millisecond // no lease is extended beyond this time after a stop was requested: an entry may learn 0.6 s late that the caller has left, which returns after 1.3 s
	fullListLength       = 500                    // ended runs in one answer; a list of this length may be incomplete
	defaultLease         = 700 * time.Millisecond
	defaultMaxLease      = 1000 * time.Millisecond
	defaultOwnerTimeout  = 1000 * time.Millisecond
	defaultStartTimeout  = 1250 * time.Millisecond
	defaultRenewalWait   = 50 * time.Millisecond
)

// Settings configures a Leaser. Zero fields take the defaults.
type Settings struct {
	Lease        time.Duration // lease duration that starts and renewals ask for; default 700 ms
	MaxLease     time.Duration // longest lease that the backend server grants; default 1 s
	OwnerTimeout time.Duration // no lease is extended beyond this time after the last contact with an owner of a run; default 1 s
	StartTimeout time.Duration // nothing is started that might run longer than this after the last contact with its owner; default 1.25 s
	RenewalWait  time.Duration // how long a renewal may wait for a run to end; default 50 ms, kept short because ends go unnoticed while a renewal is unanswered
}

// state is what is known about a run.
type state int

const (
	starting    state = iota // the start was sent and is not answered yet
	unconfirmed              // the start was not answered in time and may still be executed
	running
)

// String returns the name of the state in operators' views.
func (s state) String() string { return [...]string{"starting", "doubtful", "running"}[s] }

// run is a run that this process has started or tries to start.
type run struct {
	id              uint64
	task            string
	number          int
	spec            json.RawMessage
	state           state
	owner           string    // process that vouches for the run; empty: none
	contactAt       time.Time // last contact with the owner before the run was to be stopped
	requestedAt     time.Time // when Start was called
	confirmedSerial uint64    // serial of the newest call when the run was confirmed to be active
	token           int64     // of the last start call
	attempts        int       // start calls sent
	calledAt        int64     // incarnation that the last start call was made to
	startedBy       int64     // start time of the incarnation that is known to have executed the start; 0: unknown
	acknowledged    bool      // a start call was answered with success
	serverLost      bool      // the backend server was lost since the start, which may be the cause or may have prevented it
	lossPresumed    bool      // serverLost was set because the backend server was unresponsive
	stopping        bool
	stopRequestedAt time.Time // when Stop was called
	stopSentAt      time.Time // when the last stop call was sent
	refused         []uint64  // IDs of other requests for the task, which are refused once this run has ended
}

// Leaser decides which calls are made to one backend server. Call Init first. It
// is not safe for concurrent use.
type Leaser struct {
	Settings Settings

	token               int64           // newest fencing token
	startedAt           int64           // start time of the backend server's incarnation; 0: unknown
	knownSince          uint64          // serial of the newest call when that became known
	replacedAt          int64           // start time of the incarnation before; 0: none known
	tokenRaised         bool            // the token has been raised above those of all earlier processes
	fenceIncrement      int64           // last increment of the token after a rejection; 0 once a renewal has been accepted
	reconciled          bool            // a reconciliation call showed that there are no unknown runs
	inherited           bool            // runs of earlier processes may be active
	reconcileInFlight   uint64          // serial of the newest reconciliation call while it is in flight, else 0
	renewalsInFlight    int             // without reconciliation calls
	retryAt             time.Time       // no renewal is sent earlier, since several have failed
	consecutiveFailures int             // failed renewals and reconciliation calls in a row
	runs                map[uint64]*run // by ID
	byTask              map[string]*run
	lastEnd             int            // serial of the newest end that was processed
	ackedEnds           int            // serial of the newest end that the backend server was told to forget
	serial              uint64         // of the newest call
	endSerial           uint64         // serial of the newest call when a run was last removed
	unansweredSerial    uint64         // serial of the newest call when one that names a lease end got no answer; 0 once a later renewal was answered
	serverClock         int64          // backend server's clock at clockReadAt, ms
	clockReadAt         time.Time      // by the local clock; zero while the backend server's clock is unknown
	maxUntil            int64          // latest lease end that was sent, by the backend server's clock, ms
	leaseExpiry         time.Time      // all active runs have ended by then, unless renewed; local clock
	foreignExpiry       time.Time      // an unknown incarnation may have granted leases until then; local clock
	draining            bool           // the backend server leaves as planned, which ends its runs
	presumedLosses      []presumedLoss // oldest first
	confirmedSerial     uint64         // serial of the newest renewal that the known incarnation has answered
	confirmedAt         time.Time      // when that was sent
	suspectedSerial     uint64         // serial of the newest call when one had no answer of the known incarnation
	withheld            []withheldStart
	confirmingSerial    uint64    // serial of the renewal in flight that withheld starts wait for; 0: none
	confirmingSentAt    time.Time // when that was sent
	lastContact         time.Time // when a renewal or reconciliation call last succeeded, or Start found no runs

	calls []Call
	ends  []End
}

// Init prepares the Leaser.
func (l *Leaser) Init(now time.Time) {
	if l.Settings.Lease == 0 {
		l.Settings.Lease = defaultLease
	}
	if l.Settings.MaxLease == 0 {
		l.Settings.MaxLease = defaultMaxLease
	}
	if l.Settings.OwnerTimeout == 0 {
		l.Settings.OwnerTimeout = defaultOwnerTimeout
	}
	if l.Settings.StartTimeout == 0 {
		l.Settings.StartTimeout = defaultStartTimeout
	}
	if l.Settings.RenewalWait == 0 {
		l.Settings.RenewalWait = defaultRenewalWait
	}
	l.token, l.inherited = initialToken(now), true
	l.runs = make(map[uint64]*run)
	l.byTask = make(map[string]*run)
}

// TakeDecisions returns and clears the calls and ends decided since the last call.
func (l *Leaser) TakeDecisions() ([]Call, []End) {
	calls, ends := l.calls, l.ends
	l.calls, l.ends = nil, nil
	return calls, ends
}

// Reconciled reports whether every run that may be active is known, so that tasks
// may be started.
func (l *Leaser) Reconciled() bool { return l.reconciled }

// Unresponsive reports whether several renewals in a row have failed. A single
// failure is not significant, since calls may be lost.
func (l *Leaser) Unresponsive() bool { return l.consecutiveFailures >= unresponsiveFailures }

// RunCount returns the number of runs that take up capacity, unconfirmed ones and
// those being stopped included.
func (l *Leaser) RunCount() int { return len(l.runs) }

// Reconcile starts a reconciliation, which finds out which runs are active. It is
// needed after a restart of this process or of the backend server.
func (l *Leaser) Reconcile(now time.Time) {
	l.reconciled, l.reconcileInFlight = false, 0 // a call with an older token proves less
	l.token++
	l.sendReconcile(now, 0)
}

// sendReconcile sends a reconciliation call, which waits up to wait for a run to
// end. It does nothing while one is in flight or before the retry time.
func (l *Leaser) sendReconcile(now time.Time, wait time.Duration) {
	if l.reconcileInFlight != 0 || now.Before(l.retryAt) {
		return
	}
	l.queueCall(Call{Kind: KindRenew, AckedEnds: l.lastEnd, Wait: wait, reconcile: true, sentAt: now})
	l.reconcileInFlight = l.serial
}

// Start starts a run of a task. The run's End carries the ID of the request. If
// Reconciled is false, another incarnation is known, the task has a run already, or the
// run might last too long after the last contact with its owner, the End reports that
// nothing was started. If the task has a run, that follows once the run has ended: the
// task is started elsewhere then. A request with Confirm is withheld until the incarnation
// is confirmed; the End follows if it is not.
func (l *Leaser) Start(now time.Time, q Request) {
	if q.Confirm && l.reconciled && l.byTask[q.Task] == nil && !l.confirmed(now) {
		l.withhold(now, q)
		return
	}
	l.start(now, q)
}

// Refuse reports that nothing was started for the request with the given ID.
func (l *Leaser) Refuse(id uint64) { l.ends = append(l.ends, End{ID: id}) }

func (l *Leaser) start(now time.Time, q Request) {
	if r := l.byTask[q.Task]; r != nil {
		r.refused = append(r.refused, q.ID)
		return
	}
	anotherMeant := q.StartedAt != 0 && q.StartedAt != l.startedAt
	if !l.reconciled || anotherMeant {
		l.ends = append(l.ends, End{ID: q.ID})
		return
	}
	if len(l.runs) == 0 {
		l.lastContact = now // without runs no renewals were sent, so an old contact is no sign of a failure
	}
	q.Number = max(q.Number, 1)
	r := &run{id: q.ID, task: q.Task, number: q.Number, spec: q.Spec, owner: q.Owner, contactAt: q.ContactAt, requestedAt: now}
	l.runs[r.id], l.byTask[r.task] = r, r
	l.sendStart(now, r)
}

// sendStart sends a start call. A start has to name a lease end: while leases must not
// be extended, the run joins the current lease. Without one, or if that lasts too long for
// the run, it cannot start.
func (l *Leaser) sendStart(now time.Time, r *run) {
	c := Call{Kind: KindStart, Task: r.task, Number: r.number, Spec: r.spec, id: r.id}
	if l.mayOutlast(now, r) {
		l.endRun(now, r, EndStopped, false)
		return
	}
	extended := l.extendLeases(now, &c)
	if now.Before(l.leaseExpiry) && l.maxUntil > c.LeaseEndMillis {
		c.LeaseEndMillis, extended = l.maxUntil, true
	}
	if !extended {
		l.endRun(now, r, EndStopped, false)
		return
	}
	r.state, r.token, r.calledAt = starting, l.token, l.startedAt
	r.attempts++
	l.queueCall(c)
}

// Stop stops a run. Its End follows once the run has ended, or at once if nothing was
// started for the request.
func (l *Leaser) Stop(now time.Time, id uint64) {
	r := l.runs[id]
	switch {
	case r == nil:
		if !l.stopWithheld(id) {
			l.stopRefused(id)
		}
	case !r.stopping:
		r.stopping, r.stopRequestedAt = true, now
		if r.state == running {
			l.sendStop(now, r)
		}
	}
}

// stopRefused reports the end of a request that waits for the end of another run.
func (l *Leaser) stopRefused(id uint64) {
	for _, r := range l.runs {
		if i := slices.Index(r.refused, id); i >= 0 {
			r.refused = slices.Delete(r.refused, i, i+1)
			l.ends = append(l.ends, End{ID: id})
			return
		}
	}
}

// SetDraining sets whether the backend server leaves as planned. Runs that end with it
// are then not reported as lost.
func (l *Leaser) SetDraining(draining bool) { l.draining = draining }

func (l *Leaser) sendStop(now time.Time, r *run) {
	r.stopSentAt = now
	l.queueCall(Call{Kind: KindStop, Task: r.task, Number: r.number, id: r.id})
}

// queueCall queues a call with the current token.
func (l *Leaser) queueCall(c Call) {
	l.serial++
	c.serial, c.startedAt, c.Token = l.serial, l.startedAt, l.token
	l.calls = append(l.calls, c)
}

// Tick sends the renewals and stops that are due, and ends runs whose leases have
// certainly expired. Call it several times per lease duration; HandleAnswer calls
// it too, unless the call or the answer belongs to another incarnation.
func (l *Leaser) Tick(now time.Time) {
	for _, r := range l.runs {
		if r.stopping && r.state == running && now.Sub(r.stopSentAt) >= stopRetryInterval {
			l.sendStop(now, r)
		}
	}
	l.endExpired(now)
	l.renewIfDue(now)
}

// anyInState reports whether any run is in the given state.
func (l *Leaser) anyInState(s state) bool {
	for _, r := range l.runs {
		if r.state == s {
			return true
		}
	}
	return false
}

// endRestarted ends the runs that an earlier incarnation of the backend server is known
// to have executed. The present incarnation may execute, or may have executed, the
// other starts: they are unconfirmed until the reconciliation call that follows shows
// their outcome (rules 1 and 3).
func (l *Leaser) endRestarted(now time.Time) {
	for _, r := range l.runs {
		l.markLost(r, true)
		if r.state == running && r.startedBy != 0 {
			l.endRun(now, r, EndStopped, true)
			continue
		}
		r.state = unconfirmed
	}
}

// renewIfDue keeps one renewal in flight while there are runs, and sends a last
// one to acknowledge ends that the backend server may forget. It renews without runs
// while the backend server is unresponsive, since it gets no runs until a renewal
// succeeds. Until the Leaser is reconciled, it sends reconciliation calls instead.
func (l *Leaser) renewIfDue(now time.Time) {
	switch {
	case now.Before(l.retryAt) || l.renewalsInFlight > 0:
		return
	case !l.reconciled:
		l.sendReconcile(now, 0)
		return
	case l.Idle():
		return
	}
	l.sendRenewal(now)
}

// Idle reports whether no call is due until the next run, so that Tick need not be called.
func (l *Leaser) Idle() bool {
	return l.reconciled && len(l.runs) == 0 && l.ackedEnds >= l.lastEnd && !l.Unresponsive()
}

// sendRenewal sends a renewal. It extends the leases, unless leaseDuration forbids that
// or no renewal was answered for renewalCutoff: unanswered renewals may have been
// executed, and the leases would never expire. The call waits for a run to end,
// unless a start is unconfirmed, the previous renewal failed, or the backend server's clock
// was read too long ago, so that the lease may be short.
func (l *Leaser) sendRenewal(now time.Time) {
	c := Call{Kind: KindRenew, AckedEnds: l.lastEnd, sentAt: now}
	if len(l.runs) > 0 && now.Sub(l.lastContact) < renewalCutoff {
		l.extendLeases(now, &c)
	}
	clockKnown := now.Sub(l.clockReadAt) < maxClockAge
	if len(l.runs) > 0 && !l.anyInState(unconfirmed) && l.consecutiveFailures == 0 && clockKnown {
		c.Wait = l.Settings.RenewalWait
	}
	l.renewalsInFlight++
	l.queueCall(c)
	if c.Wait == 0 {
		l.confirmingSerial, l.confirmingSentAt = l.serial, now
	}
}

// endRun removes a run and records its End. It reports started as false only for a
// run that certainly did not start.
func (l *Leaser) endRun(now time.Time, r *run, reason EndReason, started bool) {
	delete(l.runs, r.id)
	delete(l.byTask, r.task)
	l.endSerial = l.serial
	l.ends = append(l.ends, End{ID: r.id, Reason: reason, Started: started, Lost: r.serverLost, Presumed: r.lossPresumed, Duration: now.Sub(r.requestedAt)})
	for _, id := range r.refused {
		l.ends = append(l.ends, End{ID: id})
	}
}
