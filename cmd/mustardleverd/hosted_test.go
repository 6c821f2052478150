package main

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/leaser"
)

// resendDelay is how long a caller waits before it submits a job again.
const resendDelay = 1300 * time.Millisecond

// lossSettings are the conditions of a lossSimulation.
type lossSettings struct {
	connected bool          // the entry is not lost: it stops its tasks when it answers
	faults    float64       // share of the calls that are executed late, and of the answers that are lost
	rate      float64       // of the backend server's clock
	pause     time.Duration // for which the agent's clock stands still, once
}

// lossSimulation simulates an agent and its backend server around the loss of an entry,
// with the timing of the platform. Another entry stays connected and starts short tasks.
// Stops of the lost entry's tasks have no effect.
type lossSimulation struct {
	lossSettings
	rand   *rand.Rand
	now    time.Duration
	events simulatedEvents

	leaser  leaser.Leaser
	nextID  uint64
	lostIDs []uint64

	token    int64
	leaseEnd int64 // by the backend server's clock, ms
	active   []leaser.ActiveRun
	ended    []leaser.EndedRun
	ends     int            // number of ends, also of those that are forgotten
	lastRun  map[string]int // highest number of a run, by task

	answeredAt  time.Duration // when the entry answers its callers
	lastContact time.Duration // with the entry, at most
	stoppedAt   time.Duration // when its tasks are stopped
	pausedAt    time.Duration // when the agent's clock stands still
	latestEnd   time.Duration // of its tasks
}

type simulatedEvent struct {
	at   time.Duration
	call func()
}

// simulatedEvents is a heap of events by time.
type simulatedEvents []simulatedEvent

func (e simulatedEvents) Len() int           { return len(e) }
func (e simulatedEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simulatedEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simulatedEvents) Push(x any)        { *e = append(*e, x.(simulatedEvent)) }
func (e *simulatedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *lossSimulation) after(d time.Duration, call func()) {
	heap.Push(&s.events, simulatedEvent{s.now + d, call})
}

func (s *lossSimulation) upTo(d time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(d) + 1))
}

// localTime returns the agent's time.
func (s *lossSimulation) localTime(t time.Duration) time.Time {
	if t > s.pausedAt {
		t = max(s.pausedAt, t-s.pause)
	}
	return time.Unix(1_800_000_000, 0).Add(t)
}

// clock returns the backend server's clock.
func (s *lossSimulation) clock() int64 {
	return 5000 + int64(float64(s.now)*s.rate/float64(time.Millisecond))
}

// decide runs one decision of the agent.
func (s *lossSimulation) decide(f func(now time.Time)) {
	s.leaser.SetContact("present", s.localTime(s.now-s.upTo(hostedHeartbeat)))
	s.leaser.SetContact("lost", s.localTime(min(s.now-s.upTo(hostedHeartbeat), s.lastContact)))
	f(s.localTime(s.now))
	calls, _ := s.leaser.TakeDecisions()
	for _, c := range calls {
		s.send(c)
	}
}

// send executes a call after a while, and passes the answer to the agent.
func (s *lossSimulation) send(c leaser.Call) {
	timeout := 30*time.Millisecond + c.Wait
	delay := s.upTo(10 * time.Millisecond)
	lost := s.rand.Float64() < s.faults
	if s.rand.Float64() < s.faults {
		delay = s.upTo(2 * time.Second)
	}
	if delay+c.Wait >= timeout || lost {
		s.after(delay, func() { s.execute(c) })
		s.after(timeout, func() {
			s.decide(func(now time.Time) { s.leaser.HandleAnswer(now, c, leaser.Answer{Status: leaser.StatusNoAnswer}) })
		})
		return
	}
	s.after(delay, func() {
		a := s.execute(c)
		s.after(c.Wait, func() {
			if a.Status == leaser.StatusDone && c.Kind == leaser.KindRenew {
				a.Active, a.Ended = slices.Clone(s.active), slices.Clone(s.ended)
			}
			a.ClockMillis = s.clock()
			s.after(s.upTo(10*time.Millisecond), func() {
				s.decide(func(now time.Time) { s.leaser.HandleAnswer(now, c, a) })
			})
		})
	})
}

// execute executes a call at the backend server.
func (s *lossSimulation) execute(c leaser.Call) leaser.Answer {
	s.expire()
	a := leaser.Answer{StartedAt: 1}
	if c.Token < s.token {
		a.Status = leaser.StatusFenced
		return a
	}
	s.token = c.Token
	if c.LeaseEndMillis <= s.clock() && c.Kind == leaser.KindStart && len(s.active) == 0 {
		a.Status = leaser.StatusLeaseExpired
		return a
	}
	s.leaseEnd = max(s.leaseEnd, c.LeaseEndMillis)
	s.ended = slices.DeleteFunc(s.ended, func(e leaser.EndedRun) bool { return e.Serial <= c.AckedEnds })
	r := leaser.ActiveRun{Task: c.Task, Number: c.Number}
	switch {
	case c.Kind == leaser.KindStart && slices.Contains(s.active, r):
	case c.Kind == leaser.KindStart && c.Number <= s.lastRun[c.Task]:
		a.Status = leaser.StatusStaleRunNumber
	case c.Kind == leaser.KindStart:
		s.lastRun[c.Task] = c.Number
		s.active = append(s.active, r)
		if c.Task[0] == 'p' {
			s.after(s.upTo(200*time.Millisecond), func() { s.end(r, leaser.EndCompleted) })
		}
	}
	return a
}

// expire ends all runs if their lease has expired.
func (s *lossSimulation) expire() {
	if s.clock() < s.leaseEnd {
		return
	}
	for len(s.active) > 0 {
		s.end(s.active[0], leaser.EndStopped)
	}
}

func (s *lossSimulation) end(r leaser.ActiveRun, reason leaser.EndReason) {
	i := slices.Index(s.active, r)
	if i < 0 {
		return
	}
	s.active = slices.Delete(s.active, i, i+1)
	s.ends++
	s.ended = append(s.ended, leaser.EndedRun{Serial: s.ends, Task: r.Task, Number: r.Number, Reason: reason})
	if r.Task[0] == 'l' {
		s.latestEnd = max(s.latestEnd, s.now)
	}
}

// start starts a task for an entry.
func (s *lossSimulation) start(owner string) {
	s.nextID++
	id := s.nextID
	contact := s.now - s.upTo(2*hostedHeartbeat)
	if owner == "lost" {
		contact = min(contact, s.lastContact)
		s.lostIDs = append(s.lostIDs, id)
	}
	task := string(owner[0]) + string(rune('0'+id))
	s.decide(func(now time.Time) {
		s.leaser.Start(now, leaser.Request{ID: id, Task: task, Number: 1, Owner: owner, ContactAt: s.localTime(contact)})
		s.leaser.Tick(now)
	})
}

// run returns the time from the answer to the end of the entry's tasks.
func (s *lossSimulation) run() time.Duration {
	s.lastRun = make(map[string]int)
	s.leaser.Settings = leaser.Settings{Lease: hostedLease, MaxLease: time.Second, OwnerTimeout: hostedOwnerTimeout, StartTimeout: hostedStartTimeout}
	s.leaser.Init(s.localTime(0))
	s.answeredAt = 300*time.Millisecond + s.upTo(700*time.Millisecond)
	s.pausedAt = s.answeredAt - 200*time.Millisecond + s.upTo(time.Second)
	end := s.answeredAt + 2500*time.Millisecond
	s.lastContact, s.stoppedAt = s.answeredAt, s.answeredAt+hostedSessionTimeout+s.upTo(hostedStopTime)
	if s.connected {
		s.lastContact, s.stoppedAt = end, s.answeredAt+s.upTo(20*time.Millisecond)
	}
	s.decide(func(now time.Time) {
		s.leaser.HandleProbe(now, s.leaser.Probe(leaser.Call{}), leaser.Answer{StartedAt: 1}, 1, false)
	})
	var tick, expire, startPresent, startLost func()
	tick = func() {
		s.decide(s.leaser.Tick)
		s.after(20*time.Millisecond+s.upTo(30*time.Millisecond), tick)
	}
	expire = func() { s.expire(); s.after(time.Millisecond, expire) }
	startPresent = func() { s.start("present"); s.after(s.upTo(60*time.Millisecond), startPresent) }
	startLost = func() {
		if s.now < s.stoppedAt {
			s.start("lost")
			s.after(s.upTo(100*time.Millisecond), startLost)
		}
	}
	for _, f := range []func(){tick, expire, startPresent} {
		s.after(s.upTo(20*time.Millisecond), f)
	}
	// The first start of the entry may be delayed: while it has no task here, the leases of
	// others are not kept short for it.
	s.after(s.answeredAt-200*time.Millisecond+s.upTo(s.stoppedAt-s.answeredAt+200*time.Millisecond), startLost)
	s.after(s.stoppedAt, func() {
		s.decide(func(now time.Time) {
			for _, id := range s.lostIDs {
				s.leaser.Stop(now, id)
			}
		})
	})
	for len(s.events) > 0 && s.now < end {
		e := heap.Pop(&s.events).(simulatedEvent)
		s.now = e.at
		e.call()
	}
	return s.latestEnd - s.answeredAt
}

// Guards against a task that runs twice at the same time: an entry answers its caller, or
// the caller gives up, just as the entry loses the agent or while its stops have no effect.
// The caller submits the job to another entry.
func TestTasksOfLostEntryEndBeforeCallerReturns(t *testing.T) {
	for _, tt := range []struct {
		lossSettings
		least time.Duration // reached by a seed, so that the limit is tested
	}{
		{lossSettings{rate: 1}, hostedOwnerTimeout},
		{lossSettings{rate: 0.98, faults: 0.02}, hostedOwnerTimeout},
		{lossSettings{rate: 0.98, faults: 0.2}, hostedOwnerTimeout},
		{lossSettings{rate: 0.98, pause: 50 * time.Millisecond}, hostedOwnerTimeout},
		{lossSettings{rate: 0.98, connected: true}, hostedLease},
		{lossSettings{rate: 0.98, connected: true, faults: 0.2, pause: 50 * time.Millisecond}, hostedLease},
	} {
		latest := time.Duration(0)
		for seed := range uint64(100) {
			s := &lossSimulation{lossSettings: tt.lossSettings, rand: rand.New(rand.NewPCG(seed, 33))}
			latest = max(latest, s.run())
		}
		t.Logf("%+v: the last task ends %v after the answer", tt.lossSettings, latest)
		require.Greater(t, latest, tt.least)
		require.Less(t, latest, resendDelay)
	}
}
