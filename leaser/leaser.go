package leaser

import (
	"encoding/json"
	"time"
)

const (
	fenceLeap    = 1 << 20                // added to a fencing token that was too low
	numberLeap   = 1 << 10                // added to a run's number that was too low
	maxTries     = 4                      // of one start that was refused for its token, number or lease
	clockDrift   = 0.02                   // the backend server's clock may be this much slow
	stopRetry    = 100 * time.Millisecond // between two stops of one run
	holdRetry    = 30 * time.Millisecond  // after several holds that failed
	silentHolds  = 2                      // holds in a row without an answer after which the backend server counts as silent
	renewFor     = 200 * time.Millisecond // after the last answer; then what runs is left to lapse
	stopPatience = 250 * time.Millisecond // for a stop to take effect, two repeats included; then what runs is left to lapse
	fullPage     = 500                    // ends in one list; there may be more
	defaultLease = 700 * time.Millisecond
	defaultPoll  = 50 * time.Millisecond
)

// Settings bounds a Leaser. Zero fields take the defaults.
type Settings struct {
	Lease time.Duration // of what runs, by each call; default 700 ms
	Poll  time.Duration // how long a hold waits for an end; default 50 ms, since ends go unseen while one is not answered
}

// state is what is known of a run.
type state int

const (
	starting state = iota // a start was sent and not answered yet
	doubtful              // a start was not answered in time
	running
)

// String names the state.
func (s state) String() string { return [...]string{"starting", "doubtful", "running"}[s] }

// run is a run that this process has started.
type run struct {
	id       uint64
	task     string
	number   int
	spec     json.RawMessage
	state    state
	since    time.Time // when the start was sent
	known    uint64    // serial of the newest call when it was first seen to run
	fence    int64     // of the last start that was sent
	tries    int
	stopping bool
	stopFrom time.Time // when it was to be stopped
	stopSent time.Time
}

// Leaser is the decision state of one backend server. Call Init first. It is
// not safe for concurrent use.
type Leaser struct {
	Settings Settings

	fence    int64
	born     int64
	leapt    bool      // the token is above any of an earlier process
	clean    bool      // a hold showed that nothing runs that is not known here
	looking  bool      // a look is on its way
	holding  int       // holds on their way, looks not counted
	retryAt  time.Time // no hold before, since one has failed
	failures int       // holds in a row that were not answered
	runs     map[uint64]*run
	byName   map[string]*run
	seen     int // newest end taken in
	through  int // newest end that the backend server was told may be forgotten
	serial   uint64
	clock    int64     // the backend server's, at clockAt
	clockAt  time.Time // by our clock; zero when nothing is known
	granted  int64     // newest end of a lease that was sent, by the backend server's clock
	leased   time.Time // what runs has surely ended by then, unless it is held again
	suspect  bool      // an owner of something that runs may be gone
	heard    time.Time // when a hold was answered last

	calls []Call
	ends  []End
}

// Init prepares the Leaser. The fencing token starts from the wall clock, which
// saves the backend server's word that it is too low, as a rule.
func (l *Leaser) Init(now time.Time) {
	if l.Settings.Lease == 0 {
		l.Settings.Lease = defaultLease
	}
	if l.Settings.Poll == 0 {
		l.Settings.Poll = defaultPoll
	}
	l.fence = now.UnixMilli()
	l.runs = make(map[uint64]*run)
	l.byName = make(map[string]*run)
}

// Drain returns and clears the calls and ends decided since the last call.
func (l *Leaser) Drain() ([]Call, []End) {
	calls, ends := l.calls, l.ends
	l.calls, l.ends = nil, nil
	return calls, ends
}

// Reconciled reports whether everything that may run is known here, so that tasks
// may be started.
func (l *Leaser) Reconciled() bool { return l.clean }

// Unresponsive reports whether several holds in a row were not answered. One alone
// says little where some calls are lost.
func (l *Leaser) Unresponsive() bool { return l.failures >= silentHolds }

// Running returns the number of runs that take room.
func (l *Leaser) Running() int { return len(l.runs) }

// Reconcile begins to find out what runs, after a start of this process or of the
// backend server.
func (l *Leaser) Reconcile(now time.Time) {
	l.clean = false
	l.fence++
	l.look(now, 0)
}

// look sends a look that waits for an end for a while.
func (l *Leaser) look(now time.Time, wait time.Duration) {
	if l.looking || now.Before(l.retryAt) {
		return
	}
	l.looking = true
	l.call(now, Call{Kind: KindRenew, AckedEnds: l.seen, Wait: wait, look: true})
}

// Start starts a run. The id is the caller's, and comes back with its end.
func (l *Leaser) Start(now time.Time, id uint64, task string, number int, spec json.RawMessage) {
	if !l.clean || l.byName[task] != nil {
		l.ends = append(l.ends, End{ID: id})
		return
	}
	if len(l.runs) == 0 {
		l.heard = now // nothing was held meanwhile
	}
	r := &run{id: id, task: task, number: max(number, 1), spec: spec, since: now}
	l.runs[id], l.byName[task] = r, r
	l.start(now, r)
}

func (l *Leaser) start(now time.Time, r *run) {
	r.state, r.fence = starting, l.fence
	r.tries++
	c := Call{Kind: KindStart, Task: r.task, Number: r.number, Spec: r.spec, Until: l.until(now), id: r.id}
	if !l.mayRenew(now) && now.Before(l.leased) {
		c.Until = l.granted // it runs under the lease that there is; a start has to name one
	}
	l.call(now, c)
}

// Stop stops a run. Its end follows.
func (l *Leaser) Stop(now time.Time, id uint64) {
	if r := l.runs[id]; r != nil && !r.stopping {
		r.stopping, r.stopFrom = true, now
		if r.state == running {
			l.stop(now, r)
		}
	}
}

// SetOwnerSuspected says whether an owner of something that runs may be gone.
func (l *Leaser) SetOwnerSuspected(suspect bool) { l.suspect = suspect }

// mayRenew carries out rule 4.
func (l *Leaser) mayRenew(now time.Time) bool {
	if l.suspect {
		return false
	}
	for _, r := range l.runs {
		if r.stopping && now.Sub(r.stopFrom) >= stopPatience {
			return false
		}
	}
	return true
}

func (l *Leaser) stop(now time.Time, r *run) {
	r.stopSent = now
	l.call(now, Call{Kind: KindStop, Task: r.task, Number: r.number, id: r.id})
}

// until is the end of a lease that begins now, by the backend server's clock,
// 0 when that clock is not known.
func (l *Leaser) until(now time.Time) int64 {
	if l.clockAt.IsZero() {
		return 0
	}
	return l.clock + now.Sub(l.clockAt).Milliseconds() + l.Settings.Lease.Milliseconds()
}

// call sends a call with the present token. A lease that it may begin ends
// later by our clock than by the slow one of the backend server.
func (l *Leaser) call(now time.Time, c Call) {
	l.serial++
	c.serial, c.born, c.Token = l.serial, l.born, l.fence
	if c.Until > l.granted {
		l.granted = c.Until
		end := now.Add(time.Duration(float64(l.Settings.Lease) * (1 + 2*clockDrift)))
		if end.After(l.leased) {
			l.leased = end
		}
	}
	l.calls = append(l.calls, c)
}

// Tick sends the holds and stops that are due, and ends runs whose leases have
// surely lapsed. It is to be called several times in a lease, and after each
// Answered.
func (l *Leaser) Tick(now time.Time) {
	for _, r := range l.runs {
		if r.stopping && r.state == running && now.Sub(r.stopSent) >= stopRetry {
			l.stop(now, r)
		}
	}
	if now.After(l.leased) && l.anyIn(running) {
		l.endRunning(now)
		l.Reconcile(now)
	}
	l.hold(now)
}

// anyIn tells whether a run is in a state.
func (l *Leaser) anyIn(s state) bool {
	for _, r := range l.runs {
		if r.state == s {
			return true
		}
	}
	return false
}

// endRunning ends what was known to run, since its lease has lapsed or the
// backend server has begun anew. A start that was not answered may still be
// carried out: it is settled by the look that follows, as in rule 1.
func (l *Leaser) endRunning(now time.Time) {
	for _, r := range l.runs {
		if r.state == running {
			l.end(now, r, EndStopped, true)
			continue
		}
		r.state = doubtful
	}
}

// hold keeps one hold on its way while something runs, and sends one more for
// ends that the backend server may forget.
func (l *Leaser) hold(now time.Time) {
	switch {
	case now.Before(l.retryAt) || l.holding > 0:
		return
	case !l.clean:
		l.look(now, 0)
		return
	case len(l.runs) == 0 && l.through >= l.seen:
		return
	}
	l.sendHold(now)
}

// sendHold sends a hold that renews the leases, unless rule 4 forbids it or none
// was answered for renewFor: each may have been carried out, and the leases would
// never end. It waits for an end unless something is in doubt.
func (l *Leaser) sendHold(now time.Time) {
	c := Call{Kind: KindRenew, AckedEnds: l.seen}
	if len(l.runs) > 0 && now.Sub(l.heard) < renewFor && l.mayRenew(now) {
		c.Until = l.until(now)
	}
	if len(l.runs) > 0 && !l.anyIn(doubtful) && l.failures == 0 {
		c.Wait = l.Settings.Poll
	}
	l.holding++
	l.call(now, c)
}

func (l *Leaser) end(now time.Time, r *run, how EndReason, started bool) {
	delete(l.runs, r.id)
	delete(l.byName, r.task)
	l.ends = append(l.ends, End{ID: r.id, Reason: how, Started: started, Took: now.Sub(r.since)})
}
