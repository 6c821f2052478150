package server

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/pausedetector"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/sizer"
	"mustardlever.dev/mustardlever/starter"
)

// tickInterval is the time between two ticks of a shard. An agent tells its
// room to one entry at each: 50 reports a second, however many entries there
// are. Outcomes tell it besides.
const tickInterval = 20 * time.Millisecond

// sleepLimit is the time without a tick after which an agent counts as having
// been frozen. Entries that could not reach it may have started its tasks
// elsewhere; they wait longer than this before they do.
const sleepLimit = time.Second

// forgetInterval is the time between two looks of an agent at what it may
// forget.
const forgetInterval = time.Second

// AgentSettings are the settings of an Agent.
type AgentSettings struct {
	Identity       protocol.Identity // without incarnation
	Entries        []string          // link addresses of entries
	BackendServers []BackendServer   // one a service
	Messenger      messenger.Settings
	Starter        starter.Settings
	SuspectAfter   time.Duration // silence after which an entry may be gone, before it is given up; zero: never
}

// Agent runs the tasks of its backend servers. Set the fields before Start.
type Agent struct {
	Settings AgentSettings
	Log      *logrus.Entry
	Recorder *recorder.Recorder

	hub      messenger.Hub
	mu       sync.RWMutex
	shards   map[string]*agentShard
	leaving  atomic.Bool
	detector pausedetector.Detector
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// agentShard is one service's decisions, under a lock.
type agentShard struct {
	mu      sync.Mutex
	starter starter.Starter
	backend Backend
	suspect bool // as told last
}

// Start connects to the entries and offers the backend servers.
func (a *Agent) Start() {
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.hub.Self = a.Settings.Identity.WithNewIncarnation()
	a.hub.Settings = a.Settings.Messenger
	a.Recorder.Process, a.Recorder.Zone = a.hub.Self.Incarnation, a.hub.Self.Zone
	a.detector.Limit = sleepLimit
	a.detector.Beat()
	a.shards = make(map[string]*agentShard)
	for _, b := range a.Settings.BackendServers {
		a.shards[b.Service] = a.newShard(Offer{
			Service: b.Service, Address: b.Address, Capacity: sizer.Slots(b.Slots), Backend: a.newExecutor(b),
		})
	}
	a.hub.Deliver = a.deliver
	a.hub.Up = a.up
	a.hub.Lost = a.lost
	a.hub.AddEntries = a.AddEntries
	a.hub.Clock, a.hub.Observe = a.Recorder.Now, a.Recorder.Observe
	a.hub.Start(nil)
	a.AddEntries(a.Settings.Entries)
	a.done.Go(a.tick)
	a.Recorder.Add(recorder.Event{Kind: "process-started", Task: -1})
	a.Log.Infof("Agent %s runs.", a.hub.Self.Incarnation)
}

func (a *Agent) shard(service string) *agentShard {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.shards[service]
}

func (a *Agent) list() []*agentShard {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return slices.Collect(maps.Values(a.shards))
}

// Identity returns the agent's identity.
func (a *Agent) Identity() protocol.Identity { return a.hub.Self }

// Traffic returns the counters of the agent's connections.
func (a *Agent) Traffic() *messenger.Traffic { return &a.hub.Traffic }

// AddEntries connects to entries heard of.
func (a *Agent) AddEntries(addresses []string) {
	for _, x := range addresses {
		if _, _, err := net.SplitHostPort(x); err == nil {
			a.hub.KeepConnected(x)
		}
	}
}

// act runs one decision of a shard and carries out what it decided. It returns
// to whom messages were queued.
func (a *Agent) act(s *agentShard, decide func(*starter.Starter)) recipients {
	s.mu.Lock()
	defer s.mu.Unlock()
	decide(&s.starter)
	d := s.starter.Drain()
	var to recipients
	for _, o := range d.Messages {
		a.hub.Queue(o.To, o.Message)
		to.add(o.To)
	}
	for _, r := range d.Starts {
		a.note(r, logrus.InfoLevel, "Agent starts a task.")
		s.backend.Start(r)
	}
	if s.backend.Stop != nil {
		for _, r := range d.Stops {
			a.note(r, logrus.WarnLevel, "Agent stops a task.")
			s.backend.Stop(r)
		}
	}
	return to
}

// note logs what is decided on a task that its caller has named.
func (a *Agent) note(r starter.Run, level logrus.Level, message string) {
	if r.Request.Name == "" || !a.Log.Logger.IsLevelEnabled(level) {
		return
	}
	a.Log.WithFields(logrus.Fields{"task": r.Request.Name, "run": r.Attempt, "entry": r.Owner}).Log(level, message)
}

func (a *Agent) deliver(from protocol.Identity, m protocol.Message) {
	if m.Entries != nil {
		a.AddEntries(m.Entries.Addresses)
		return
	}
	s := a.shard(m.Service)
	if a.detector.Paused() {
		a.wake()
	}
	if s == nil {
		return
	}
	to := a.act(s, func(x *starter.Starter) { x.Receive(from.Incarnation, m) })
	to.wake(&a.hub)
}

// wake gives up everything that was agreed with the entries before the agent
// was frozen: what it finds in its connections is as old as that.
func (a *Agent) wake() {
	a.Log.Warn("Agent did not run for a while; it gives its sessions up.")
	a.Recorder.Add(recorder.Event{Kind: "process-slept", Task: -1})
	for _, s := range a.list() {
		to := a.act(s, func(x *starter.Starter) { x.AllEntriesLost(time.Now()) })
		to.wake(&a.hub)
	}
	a.done.Go(a.hub.CloseSessions)
}

func (a *Agent) up(peer protocol.Identity) {
	a.Log.Infof("Entry %s is connected.", peer.Incarnation)
	for _, s := range a.list() {
		to := a.act(s, func(x *starter.Starter) { x.Up(peer.Incarnation) })
		to.wake(&a.hub)
	}
}

func (a *Agent) lost(peer protocol.Identity) {
	a.Log.Warnf("Entry %s is lost.", peer.Incarnation)
	a.Recorder.Add(recorder.Event{Kind: "peer-lost", Peer: peer.Incarnation, Task: -1})
	for _, s := range a.list() {
		to := a.act(s, func(x *starter.Starter) { x.EntryLost(time.Now(), peer.Incarnation) })
		to.wake(&a.hub)
	}
}

func (a *Agent) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	forgot := time.Now()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-ticker.C:
		}
		if a.detector.Paused() {
			a.wake()
		}
		a.detector.Beat()
		now := time.Now()
		forget := now.Sub(forgot) >= forgetInterval
		if forget {
			forgot = now
		}
		for _, s := range a.list() {
			a.suspect(s)
			to := a.act(s, func(x *starter.Starter) {
				if forget {
					x.Tick(now)
				}
				x.SendLoad()
			})
			to.wake(&a.hub)
		}
	}
}

// Running returns the number of tasks that run.
func (a *Agent) Running() int {
	n := 0
	for _, s := range a.list() {
		s.mu.Lock()
		n += s.starter.Running()
		s.mu.Unlock()
	}
	return n
}

// Peers returns the entries with which there is a session.
func (a *Agent) Peers() []protocol.Identity { return a.hub.Peers() }

// Ready reports whether the agent accepts starts.
func (a *Agent) Ready() bool { return !a.leaving.Load() }

// Drain refuses further starts, and returns when no task runs and the entries
// have every outcome, or when ctx ends.
func (a *Agent) Drain(ctx context.Context) {
	a.leaving.Store(true)
	a.Log.Info("Agent leaves.")
	a.Recorder.Add(recorder.Event{Kind: "process-draining", Task: -1})
	for _, s := range a.list() {
		to := a.act(s, (*starter.Starter).BeginDrain)
		to.wake(&a.hub)
	}
	for ctx.Err() == nil && a.Running() > 0 {
		pausedetector.Sleep(ctx, tickInterval)
	}
	a.hub.AwaitDelivery(ctx)
}

// Stop ends the agent at once.
func (a *Agent) Stop() {
	a.cancel()
	a.hub.Stop()
	a.done.Wait()
	for _, s := range a.list() {
		if s.backend.Close != nil {
			s.backend.Close()
		}
	}
}
