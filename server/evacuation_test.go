package server

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/evacuator"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/router"
	"mustardlever.dev/mustardlever/sizer"
	"mustardlever.dev/mustardlever/starter"
)

const (
	evacuationTask  = 30 * time.Millisecond // duration of a task
	evacuationBound = time.Second           // from the store's acknowledgement to the last start, in normal operation
	evacuationWatch = 400 * time.Millisecond
)

// evacuationStore is the store of an evacuationSite. Entries that can reach it receive
// its state when they start, and each change.
type evacuationStore struct {
	mu        sync.Mutex
	version   int64
	rows      map[string]evacuator.Zone
	down      bool
	followers map[string]*Entry
}

func (s *evacuationStore) report() evacuator.Report {
	r := evacuator.Report{AsOf: s.version}
	for _, z := range s.rows {
		r.Zones = append(r.Zones, z)
	}
	return r
}

// follow makes the entry read the store and follow its changes.
func (s *evacuationStore) follow(e *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.followers[e.Settings.Identity.Name] = e
	e.AdoptEvacuations(s.report(), "store")
	e.AdoptRoutes(evacuationRoutes, "store")
}

// forget makes the entry miss further changes.
func (s *evacuationStore) forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.followers, name)
}

// set writes or removes the row of a zone, and returns the change.
func (s *evacuationStore) set(zone string, evacuated bool) evacuator.Zone {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	z := evacuator.Zone{Name: zone, Version: s.version, Evacuated: evacuated}
	delete(s.rows, zone)
	if evacuated {
		s.rows[zone] = z
	}
	for _, e := range s.followers {
		e.AdoptEvacuations(evacuator.Report{Zones: []evacuator.Zone{z}}, "store")
	}
	return z
}

func (s *evacuationStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		clear(s.followers)
	}
}

var evacuationRoutes = router.NewTable(1, []router.Route{
	{Name: "r", Host: "h", Prefix: "/", Service: "s", MaxAttempts: 3, Stretch: 50, Allowance: time.Second, Timeout: 5 * time.Second},
}).WithDocument([]byte("1"), time.Now())

// evacuationSite runs entries and agents with fake backend servers, connected over
// loopback, and callers that submit jobs all the time.
type evacuationSite struct {
	t       *testing.T
	log     *logrus.Entry
	store   evacuationStore
	entries map[string]*Entry
	agents  map[string]*Agent
	address map[string]string // of entries, also of those that are stopped
	deaf    map[string]bool   // processes that do not follow evacuations

	mu     sync.Mutex
	starts map[string][]time.Time // by zone
	number int                    // of jobs
}

func newEvacuationSite(t *testing.T) *evacuationSite {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := &evacuationSite{
		t: t, log: logrus.NewEntry(logger), entries: make(map[string]*Entry), agents: make(map[string]*Agent),
		address: make(map[string]string), starts: make(map[string][]time.Time), deaf: make(map[string]bool),
	}
	s.store.rows, s.store.followers, s.store.version = make(map[string]evacuator.Zone), make(map[string]*Entry), 10
	t.Cleanup(func() {
		for name := range s.entries {
			s.stopEntry(name)
		}
		for name := range s.agents {
			s.stopAgent(name)
		}
	})
	return s
}

func (s *evacuationSite) startEntry(name string) *Entry {
	address := s.address[name]
	if address == "" {
		address = "127.0.0.1:0"
	}
	var l net.Listener
	require.Eventually(s.t, func() bool {
		var err error
		l, err = net.Listen("tcp", address)
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
	var others []string
	for _, a := range s.address {
		others = append(others, a)
	}
	s.address[name] = l.Addr().String()
	e := &Entry{
		Settings: EntrySettings{
			Identity: protocol.Identity{Name: name, Role: protocol.RoleEntry, Zone: "a"}, Entries: others, AddAnnouncedServices: true,
			FollowEvacuations: !s.deaf[name], Messenger: platformMessenger(), Coordinator: coordinator.Settings{LeaseExpiryWait: platformLeaseExpiryWait},
		},
		Log: s.log, Recorder: new(recorder.Recorder),
		DecodeRoutes: func([]byte) (*router.Table, error) { return evacuationRoutes, nil },
	}
	e.Start(l)
	s.entries[name] = e
	s.store.follow(e)
	return e
}

func (s *evacuationSite) stopEntry(name string) {
	s.store.forget(name)
	s.entries[name].Stop()
	delete(s.entries, name)
}

// startAgent starts an agent with a backend server of four slots.
func (s *evacuationSite) startAgent(name, zone string) *Agent {
	a := &Agent{
		Settings: AgentSettings{
			Identity: protocol.Identity{Name: name, Role: protocol.RoleAgent, Zone: zone}, Messenger: platformMessenger(), FollowEvacuations: !s.deaf[name],
		},
		Log: s.log, Recorder: new(recorder.Recorder),
	}
	for _, address := range s.address {
		a.Settings.Entries = append(a.Settings.Entries, address)
	}
	a.Start()
	finish := func(id uint64) { a.Finish("s", id, &protocol.Result{Status: 200}) }
	a.Offer(Offer{Service: "s", Address: name + ":1", Capacity: sizer.Slots(4), Backend: Backend{
		Start: func(r starter.Run) {
			s.mu.Lock()
			s.starts[zone] = append(s.starts[zone], time.Now())
			s.mu.Unlock()
			time.AfterFunc(evacuationTask, func() { finish(r.ID) })
		},
		Stop: func(r starter.Run) {
			time.AfterFunc(time.Millisecond, func() { a.FinishStopped("s", r.ID, starter.NotLost) })
		},
	}})
	s.agents[name] = a
	return a
}

func (s *evacuationSite) stopAgent(name string) {
	s.agents[name].Stop()
	delete(s.agents, name)
}

// submit submits a job of two tasks to an entry.
func (s *evacuationSite) submit(e *Entry) SyncReply {
	s.mu.Lock()
	s.number++
	id := fmt.Sprintf("job-%d", s.number)
	s.mu.Unlock()
	task := protocol.Request{EstimateMillis: evacuationTask.Milliseconds(), Need: sizer.Slots(1)}
	ctx, cancel := context.WithTimeout(s.t.Context(), 5*time.Second)
	defer cancel()
	return e.SubmitSync(ctx, SyncJob{Host: "h", Path: "/" + id, Deadline: 5 * time.Second, Decode: func(id string) (coordinator.Job, error) {
		a, b := task, task
		a.Name, b.Name = id+".0", id+".1"
		return coordinator.Job{Name: id, Tasks: []protocol.Request{a, b}}, nil
	}})
}

// load submits jobs to all entries for a while, several at a time, and returns the
// number of replies by outcome.
func (s *evacuationSite) load(d time.Duration) map[Outcome]int {
	end := time.Now().Add(d)
	replies := make(map[Outcome]int)
	var mu sync.Mutex
	var callers sync.WaitGroup
	for _, e := range s.entries {
		for range 4 {
			callers.Go(func() {
				for time.Now().Before(end) {
					reply := s.submit(e)
					mu.Lock()
					replies[reply.Outcome]++
					mu.Unlock()
					time.Sleep(time.Millisecond)
				}
			})
		}
	}
	callers.Wait()
	return replies
}

// startsAfter returns the number of starts in a zone after t.
func (s *evacuationSite) startsAfter(zone string, t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.starts[zone] {
		if at.After(t) {
			n++
		}
	}
	return n
}

// awaitAgents waits until each entry is connected to the given number of agents.
func (s *evacuationSite) awaitAgents(n int) {
	require.Eventually(s.t, func() bool {
		for _, e := range s.entries {
			views := e.Services()
			if len(views) == 0 || views[0].Counts.Agents != n {
				return false
			}
		}
		return true
	}, 10*time.Second, 5*time.Millisecond)
}

// awaitState waits until all entries and agents, or the named ones, know that exactly
// these zones are evacuated.
func (s *evacuationSite) awaitState(zones ...string) {
	require.Eventually(s.t, func() bool {
		states := make(map[string][]string)
		for name, e := range s.entries {
			states[name] = e.Evacuations().EvacuatedZones()
		}
		for name, a := range s.agents {
			states[name] = a.Evacuations().EvacuatedZones()
		}
		for _, state := range states {
			if fmt.Sprint(state) != fmt.Sprint(zones) {
				return false
			}
		}
		return true
	}, 5*time.Second, time.Millisecond)
}

// newThreeZones returns a site of two entries and an agent in each of the zones a, b, c.
func newThreeZones(t *testing.T) *evacuationSite {
	s := newEvacuationSite(t)
	s.startEntry("entry-1")
	s.startEntry("entry-2")
	for _, zone := range []string{"a", "b", "c"} {
		s.startAgent("agent-"+zone, zone)
	}
	s.awaitAgents(3)
	return s
}

// requireServed requires that all jobs were served.
func requireServed(t *testing.T, replies map[Outcome]int) {
	t.Helper()
	require.NotZero(t, replies[OutcomeComplete])
	require.Len(t, replies, 1, "%v", replies)
}

// TestNothingStartsInEvacuatedZone guards against starts in an evacuated zone, against
// jobs that are lost by the evacuation, and against a zone that stays out of use after it.
// One entry learns of the changes only from its peers.
func TestNothingStartsInEvacuatedZone(t *testing.T) {
	s := newThreeZones(t)
	s.store.forget("entry-2")
	done := make(chan map[Outcome]int)
	go func() { done <- s.load(2*evacuationBound + 2*evacuationWatch) }()
	time.Sleep(evacuationWatch)
	begin := time.Now()
	require.NotZero(t, s.startsAfter("b", time.Time{}))
	s.store.set("b", true)
	time.Sleep(evacuationBound)
	s.awaitState("b")
	time.Sleep(evacuationWatch)
	require.Zero(t, s.startsAfter("b", begin.Add(evacuationBound)))
	require.NotZero(t, s.startsAfter("a", begin.Add(evacuationBound)))
	s.store.set("b", false)
	withdrawn := time.Now()
	requireServed(t, <-done)
	require.NotZero(t, s.startsAfter("b", withdrawn), "the zone is used again")
}

// TestTwoZonesAtOnce guards against one evacuation that replaces another.
func TestTwoZonesAtOnce(t *testing.T) {
	s := newThreeZones(t)
	s.store.set("a", true)
	s.store.set("b", true)
	s.awaitState("a", "b")
	begin := time.Now()
	requireServed(t, s.load(evacuationWatch))
	require.Zero(t, s.startsAfter("a", begin)+s.startsAfter("b", begin))
	s.store.set("a", false)
	s.awaitState("b")
	requireServed(t, s.load(evacuationWatch))
	require.NotZero(t, s.startsAfter("a", begin))
	require.Zero(t, s.startsAfter("b", begin))
}

// TestEntryRestartedWhileStoreIsAway guards against an entry that uses an evacuated zone
// because it has started without the store: its peer sends it the configuration, and the
// evacuations before that.
func TestEntryRestartedWhileStoreIsAway(t *testing.T) {
	s := newThreeZones(t)
	s.store.set("b", true)
	s.awaitState("b")
	s.store.setDown(true)
	begin := time.Now()
	s.stopEntry("entry-1")
	e := s.startEntry("entry-1")
	require.Eventually(t, func() bool { return e.Routes.Table() != nil }, 10*time.Second, time.Millisecond)
	require.True(t, e.Evacuations().Evacuated("b"), "the evacuations are known no later than the configuration")
	s.awaitAgents(3)
	requireServed(t, s.load(evacuationWatch))
	require.Zero(t, s.startsAfter("b", begin))
}

// TestEvacuationsAreHandedBackByAgents guards against evacuations that are forgotten when
// all entries restart while the store is unavailable. One of them has a configuration of
// its own, as from a store that some processes reach.
func TestEvacuationsAreHandedBackByAgents(t *testing.T) {
	s := newThreeZones(t)
	s.store.set("b", true)
	s.awaitState("b")
	s.store.setDown(true)
	begin := time.Now()
	s.stopEntry("entry-1")
	s.stopEntry("entry-2")
	e := s.startEntry("entry-1")
	e.AdoptRoutes(evacuationRoutes, "stale")
	s.startEntry("entry-2")
	s.awaitAgents(3)
	s.awaitState("b")
	requireServed(t, s.load(evacuationWatch))
	require.Zero(t, s.startsAfter("b", begin))
}

// TestAgentRestartedWhileStoreIsAway guards against an agent that accepts starts because
// it has just started, and against a server that appears in the zone meanwhile.
func TestAgentRestartedWhileStoreIsAway(t *testing.T) {
	s := newThreeZones(t)
	s.store.set("b", true)
	s.awaitState("b")
	s.store.setDown(true)
	begin := time.Now()
	s.stopAgent("agent-b")
	s.startAgent("agent-b", "b")
	s.startAgent("agent-b2", "b")
	s.awaitAgents(4)
	requireServed(t, s.load(evacuationWatch))
	require.Zero(t, s.startsAfter("b", begin))
	s.awaitState("b")
}

// TestEverythingRestarted guards against starts in an evacuated zone after all processes
// were restarted: while the store is away no entry has a configuration, so nothing starts
// anywhere; with the store the evacuations are known.
func TestEverythingRestarted(t *testing.T) {
	s := newThreeZones(t)
	s.store.set("b", true)
	s.awaitState("b")
	s.store.setDown(true)
	for _, name := range []string{"entry-1", "entry-2"} {
		s.stopEntry(name)
	}
	for _, zone := range []string{"a", "b", "c"} {
		s.stopAgent("agent-" + zone)
	}
	begin := time.Now()
	s.startEntry("entry-1")
	s.startEntry("entry-2")
	for _, zone := range []string{"a", "b", "c"} {
		s.startAgent("agent-"+zone, zone)
	}
	replies := s.load(evacuationWatch)
	require.NotZero(t, replies[OutcomeNotRun])
	require.Len(t, replies, 1, "%v", replies)
	s.store.setDown(false)
	s.store.follow(s.entries["entry-1"])
	require.Eventually(t, func() bool { return s.entries["entry-2"].Routes.Table() != nil }, 10*time.Second, time.Millisecond)
	s.awaitAgents(3)
	requireServed(t, s.load(evacuationWatch))
	require.Zero(t, s.startsAfter("b", begin))
}

// TestWithdrawnAndRequestedAgainOutOfOrder guards against a zone that is used again
// because the withdrawal of an earlier evacuation arrives after the next request.
func TestWithdrawnAndRequestedAgainOutOfOrder(t *testing.T) {
	s := newThreeZones(t)
	s.store.forget("entry-2")
	first := s.store.set("b", true)
	withdrawal := s.store.set("b", false)
	second := s.store.set("b", true)
	e := s.entries["entry-2"]
	for _, z := range []evacuator.Zone{second, first, withdrawal} {
		e.AdoptEvacuations(evacuator.Report{Zones: []evacuator.Zone{z}}, "store")
	}
	s.awaitState("b")
	begin := time.Now()
	requireServed(t, s.load(evacuationWatch))
	require.Zero(t, s.startsAfter("b", begin))
	s.store.set("b", false)
	s.awaitState()
	requireServed(t, s.load(evacuationWatch))
	require.NotZero(t, s.startsAfter("b", begin))
}

// TestOnlyZoneEvacuated guards against jobs that wait until their deadline although no
// server may run them, or are refused without advice when to return.
func TestOnlyZoneEvacuated(t *testing.T) {
	s := newEvacuationSite(t)
	e := s.startEntry("entry-1")
	s.startAgent("agent-b", "b")
	s.awaitAgents(1)
	time.Sleep(evacuationWatch) // the entry has run long enough to know the agents
	requireServed(t, s.load(evacuationWatch))
	waiting := make(chan SyncReply, 40)
	for range cap(waiting) {
		go func() { waiting <- s.submit(e) }()
	}
	time.Sleep(evacuationTask / 2)
	s.store.set("b", true)
	begin := time.Now()
	refused := 0
	for range cap(waiting) {
		if reply := <-waiting; reply.Outcome == OutcomeNotRun {
			require.Equal(t, protocol.ReasonEvacuated, reply.Reason)
			require.NotZero(t, reply.RetryAfter)
			refused++
		}
	}
	require.NotZero(t, refused)
	require.Less(t, time.Since(begin), evacuationBound)
	reply := s.submit(e)
	require.Equal(t, protocol.ReasonEvacuated, reply.Reason, "new jobs are refused")
	s.store.set("b", false)
	s.awaitState()
	requireServed(t, s.load(evacuationWatch))
}

// TestStaleEntryStartsNothing guards against an entry that starts tasks on the basis of
// what it knew before it was frozen: the agents refuse them, and it places them elsewhere.
// This entry never learns of the evacuation.
func TestStaleEntryStartsNothing(t *testing.T) {
	s := newThreeZones(t)
	s.store.set("b", true)
	s.awaitState("b")
	s.deaf["entry-2"] = true
	s.stopEntry("entry-2")
	begin := time.Now()
	e := s.startEntry("entry-2")
	s.awaitAgents(3)
	requireServed(t, s.load(evacuationWatch))
	require.False(t, e.Evacuations().Evacuated("b"))
	require.Zero(t, s.startsAfter("b", begin))
}

// TestWithdrawalIsNotMissedByOpeningSession guards against an agent that refuses all
// starts for ever: it sends the evacuation that it knows when its session opens, and the
// entry reads the store, which has none, before that message arrives.
func TestWithdrawalIsNotMissedByOpeningSession(t *testing.T) {
	s := newEvacuationSite(t)
	s.store.setDown(true)
	e := s.startEntry("entry-1")
	a := s.startAgent("agent-b", "b")
	s.awaitAgents(1)
	e.AdoptEvacuations(evacuator.Report{AsOf: 20}, "store")
	a.adoptEvacuations(evacuator.Report{AsOf: 10, Zones: []evacuator.Zone{{Name: "b", Version: 9, Evacuated: true}}}, "an entry that is gone")
	s.awaitState()
	e.AdoptRoutes(evacuationRoutes, "store")
	requireServed(t, s.load(evacuationWatch))
}

// TestEvacuationsAreIgnoredUnlessFollowed guards against changed decisions of a
// deployment without the setting.
func TestEvacuationsAreIgnoredUnlessFollowed(t *testing.T) {
	s := newEvacuationSite(t)
	s.deaf = map[string]bool{"entry-1": true, "agent-b": true}
	e := s.startEntry("entry-1")
	a := s.startAgent("agent-b", "b")
	s.awaitAgents(1)
	begin := time.Now()
	s.store.set("b", true)
	requireServed(t, s.load(evacuationWatch))
	require.NotZero(t, s.startsAfter("b", begin))
	require.False(t, e.Evacuations().Known())
	require.False(t, a.Evacuations().Known())
}
