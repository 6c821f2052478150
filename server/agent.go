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

	"mustardlever.dev/mustardlever/evacuator"
	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/pausedetector"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/sizer"
	"mustardlever.dev/mustardlever/starter"
)

// tickInterval is the time between two ticks of a shard. At each tick an agent
// reports its free capacity to one entry. This limits it to 50 reports per second
// regardless of the number of entries. Outcome messages also carry the free
// capacity.
const tickInterval = 20 * time.Millisecond

// pauseLimit is the time without a tick after which the agent process counts as
// having been paused. Entries that could not reach it may have restarted its tasks
// on other agents; they wait longer than pauseLimit before they do so.
const pauseLimit = time.Second

// maxSuspension is the longest suspension of the VM that the agent tolerates. The time of
// the last contact with an entry is measured without suspensions.
const maxSuspension = 50 * time.Millisecond

// cleanupInterval is the time between two removals of obsolete state by an agent.
const cleanupInterval = time.Second

// AgentSettings are the settings of an Agent.
type AgentSettings struct {
	Identity       protocol.Identity // the incarnation is set by Start
	Entries        []string          // addresses of entries, host:port
	BackendServers []BackendServer   // one per service
	Messenger      messenger.Settings
	LinkKey        []byte // shared by all processes, see messenger.Hub.Key
	Starter        starter.Settings

	FollowEvacuations bool // start nothing while the zone is evacuated
}

// Agent runs the tasks of its backend servers. Set the fields before Start.
type Agent struct {
	Settings AgentSettings
	Log      *logrus.Entry
	Recorder *recorder.Recorder

	evacuations evacuator.Holder

	hub        messenger.Hub
	mu         sync.RWMutex
	shards     map[string]*agentShard
	draining   atomic.Bool
	detector   pausedetector.Detector
	releasing  map[string]bool // surplus entries that get no more capacity; used by tick only
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// agentShard holds the state of one service. The mutex guards the other fields.
type agentShard struct {
	mu          sync.Mutex
	starter     starter.Starter
	backend     Backend
	incarnation string // of the backend server, see Offer
	warming     bool   // as last logged
}

// Start connects to the entries and announces the backend servers.
func (a *Agent) Start() {
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.hub.Self = a.Settings.Identity.WithNewIncarnation()
	a.hub.Settings, a.hub.Key = a.Settings.Messenger, a.Settings.LinkKey
	a.Recorder.Process, a.Recorder.Zone = a.hub.Self.Incarnation, a.hub.Self.Zone
	a.detector.MaxGap, a.detector.MaxSuspension = pauseLimit, maxSuspension
	a.detector.Beat()
	a.shards = make(map[string]*agentShard)
	for _, b := range a.Settings.BackendServers {
		a.shards[b.Service] = a.newShard(Offer{
			Service: b.Service, Address: b.Address, Capacity: sizer.Slots(b.Slots), Backend: a.newExecutor(b),
		})
	}
	a.hub.Deliver = a.deliver
	a.hub.SessionOpened = a.entryConnected
	a.hub.SessionClosed = a.entryLost
	a.hub.AddEntries = a.AddEntries
	a.hub.ReportPanic = reportPanic(a.Log)
	a.hub.Clock, a.hub.ObserveClock = a.Recorder.Now, a.Recorder.Observe
	a.hub.Start(nil)
	a.AddEntries(a.Settings.Entries)
	a.goroutines.Go(a.tick)
	a.Recorder.Add(recorder.Event{Kind: "process-started", Task: -1})
	a.Log.Infof("Agent %s is running.", a.hub.Self.Incarnation)
}

func (a *Agent) shard(service string) *agentShard {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.shards[service]
}

func (a *Agent) shardList() []*agentShard {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return slices.Collect(maps.Values(a.shards))
}

// Identity returns the agent's identity.
func (a *Agent) Identity() protocol.Identity { return a.hub.Self }

// Traffic returns the counters of the agent's connections.
func (a *Agent) Traffic() *messenger.Traffic { return &a.hub.Traffic }

// AddEntries adds the entries at the given addresses to those that the agent may
// connect to. Malformed addresses are ignored.
func (a *Agent) AddEntries(addresses []string) {
	var wellFormed []string
	for _, address := range addresses {
		if isAddress(address) {
			wellFormed = append(wellFormed, address)
		}
	}
	a.hub.KeepConnected(wellFormed...)
}

// maxAddressBytes is the longest address of an entry.
const maxAddressBytes = 256

// isAddress reports whether the address has the form host:port and is not too long.
func isAddress(address string) bool {
	_, _, err := net.SplitHostPort(address)
	return err == nil && len(address) <= maxAddressBytes
}

// applyDecisions calls decide under the lock of the shard, queues the resulting
// messages, and starts and stops tasks accordingly. It returns the recipients of the
// messages.
func (a *Agent) applyDecisions(s *agentShard, decide func(*starter.Starter)) recipients {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starter.SetEvacuated(time.Now(), a.evacuations.State().Evacuated(a.hub.Self.Zone))
	decide(&s.starter)
	a.logWarmUp(s)
	d := s.starter.TakeDecisions()
	var peers recipients
	for _, o := range d.Messages {
		a.hub.Queue(o.To, o.Message)
		peers.add(o.To)
	}
	for _, r := range d.Starts {
		a.logTask(r, logrus.InfoLevel, "Agent starts a task.")
		s.backend.Start(r)
	}
	if s.backend.Stop != nil {
		for _, r := range d.Stops {
			a.logTask(r, logrus.WarnLevel, "Agent stops a task.")
			s.backend.Stop(r)
		}
	}
	return peers
}

// logTask logs a decision about a task, if the caller has named the task.
func (a *Agent) logTask(r starter.Run, level logrus.Level, message string) {
	if r.Request.Name == "" || !a.Log.Logger.IsLevelEnabled(level) {
		return
	}
	a.Log.WithFields(logrus.Fields{"task": r.Request.Name, "run": r.Attempt, "entry": r.Requester}).Log(level, message)
}

func (a *Agent) deliver(from protocol.Identity, m protocol.Message) {
	if m.Entries != nil {
		a.AddEntries(m.Entries.Addresses)
		return
	}
	if m.Evacuations != nil {
		a.adoptEvacuations(*m.Evacuations, from.Incarnation)
		return
	}
	s := a.shard(m.Service)
	if a.detector.Paused() {
		a.handlePause()
	}
	if s == nil {
		return
	}
	peers := a.applyDecisions(s, func(st *starter.Starter) { st.Receive(from.Incarnation, m) })
	peers.wake(&a.hub)
}

// handlePause discards the state shared with the entries and closes all sessions,
// since messages buffered in the connections date from before the pause.
func (a *Agent) handlePause() {
	a.Log.Warn("Agent process was paused; closing all sessions.")
	a.Recorder.Add(recorder.Event{Kind: "process-slept", Task: -1})
	for _, s := range a.shardList() {
		peers := a.applyDecisions(s, func(st *starter.Starter) { st.AllEntriesLost(time.Now()) })
		peers.wake(&a.hub)
	}
	a.goroutines.Go(a.hub.CloseSessions)
}

func (a *Agent) entryConnected(peer protocol.Identity) {
	a.Log.Infof("Entry %s is connected.", peer.Incarnation)
	sendEvacuations(&a.hub, &a.evacuations, peer.Incarnation)
	for _, s := range a.shardList() {
		peers := a.applyDecisions(s, func(st *starter.Starter) { st.EntryConnected(peer.Incarnation) })
		peers.wake(&a.hub)
	}
}

func (a *Agent) entryLost(peer protocol.Identity) {
	a.Log.Warnf("Entry %s is lost.", peer.Incarnation)
	a.Recorder.Add(recorder.Event{Kind: "peer-lost", Peer: peer.Incarnation, Task: -1})
	for _, s := range a.shardList() {
		peers := a.applyDecisions(s, func(st *starter.Starter) { st.EntryLost(time.Now(), peer.Incarnation) })
		peers.wake(&a.hub)
	}
}

func (a *Agent) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastCleanup := time.Now()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-ticker.C:
		}
		if a.detector.Paused() {
			a.handlePause()
		}
		a.detector.Beat()
		now := time.Now()
		cleanup := now.Sub(lastCleanup) >= cleanupInterval
		if cleanup {
			lastCleanup = now
		}
		if cleanup {
			a.releaseSurplusEntries()
		}
		for _, s := range a.shardList() {
			peers := a.applyDecisions(s, func(st *starter.Starter) {
				if cleanup {
					st.Tick(now)
				}
				st.AdvanceWarmUp(now)
				st.SendLoad()
			})
			peers.wake(&a.hub)
		}
	}
}

// RunCount returns the number of queued and running tasks.
func (a *Agent) RunCount() int {
	n := 0
	for _, s := range a.shardList() {
		s.mu.Lock()
		n += s.starter.RunCount()
		s.mu.Unlock()
	}
	return n
}

// LastContact returns the latest time at which the entry is known to have been running,
// zero without a session.
func (a *Agent) LastContact(entry string) time.Time { return a.hub.ConfirmedContact(entry) }

// Peers returns the entries with an open session.
func (a *Agent) Peers() []protocol.Identity { return a.hub.Peers() }

// Ready reports whether the agent accepts new tasks.
func (a *Agent) Ready() bool { return !a.draining.Load() }

// Drain refuses new tasks. It returns when no task is running and the entries have
// acknowledged every outcome, or when ctx ends.
func (a *Agent) Drain(ctx context.Context) {
	a.draining.Store(true)
	a.Log.Info("Agent is draining.")
	a.Recorder.Add(recorder.Event{Kind: "process-draining", Task: -1})
	for _, s := range a.shardList() {
		peers := a.applyDecisions(s, (*starter.Starter).BeginDrain)
		peers.wake(&a.hub)
	}
	for ctx.Err() == nil && a.RunCount() > 0 {
		pausedetector.Sleep(ctx, tickInterval)
	}
	a.hub.AwaitDelivery(ctx)
}

// Stop stops the agent without draining it.
func (a *Agent) Stop() {
	a.cancel()
	a.hub.Stop()
	a.goroutines.Wait()
	for _, s := range a.shardList() {
		if s.backend.Close != nil {
			s.backend.Close()
		}
	}
}
