package server

import (
	"maps"
	"slices"
	"sync"
	"time"

	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/pausedetector"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/recorder"
)

// entryShard holds the state of one service. The mutex guards coordinator and
// waiters.
type entryShard struct {
	service     string
	mu          sync.Mutex
	coordinator coordinator.Coordinator
	waiters     map[jobKey][]chan *coordinator.Answer
}

// shardTable holds the shards of an entry by service name. The zero value is an
// empty table.
type shardTable struct {
	mu     sync.RWMutex
	byName map[string]*entryShard
}

func (s *shardTable) find(name string) *entryShard {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byName[name]
}

// getOrAdd returns the shard with the given name, and adds shard first if there is
// none.
func (s *shardTable) getOrAdd(name string, shard *entryShard) *entryShard {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing := s.byName[name]; existing != nil {
		return existing
	}
	if s.byName == nil {
		s.byName = make(map[string]*entryShard)
	}
	s.byName[name] = shard
	return shard
}

// list returns the shards in unspecified order.
func (s *shardTable) list() []*entryShard {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Collect(maps.Values(s.byName))
}

func (e *Entry) newShard(name string, settings coordinator.Settings) *entryShard {
	shard := &entryShard{service: name, waiters: make(map[jobKey][]chan *coordinator.Answer)}
	shard.coordinator.Settings = settings
	shard.coordinator.Self, shard.coordinator.Zone, shard.coordinator.Service = e.hub.Self.Incarnation, e.hub.Self.Zone, name
	shard.coordinator.ConnectedEntries = e.connectedEntries
	shard.coordinator.IsCancelled = e.cancels.isCancelled
	shard.coordinator.SharesDemand = e.sharesDemand
	if m := e.Settings.JobMemory; m != nil {
		shard.coordinator.ReserveMemory, shard.coordinator.ReleaseMemory = m.Reserve, m.Release
	}
	shard.coordinator.Init(pausedetector.Now())
	return shard
}

// shardFor returns the shard of the service of m, or nil if there is none. If the
// settings allow it, an agent's announcement adds the service, and so do losses of
// backend servers, which a newly started entry must not miss.
func (e *Entry) shardFor(m protocol.Message) *entryShard {
	s := e.shards.find(m.Service)
	addsService := e.Settings.AddAnnouncedServices && (m.Announce != nil || m.ServerLosses != nil)
	if s != nil || !addsService || len(m.Service) > maxServiceBytes || len(e.shards.list()) >= maxServices {
		return s
	}
	e.Log.WithField("service", m.Service).Info("Entry adds a service that another process named.")
	return e.shards.getOrAdd(m.Service, e.newShard(m.Service, e.Settings.Coordinator))
}

// applyAndWake calls apply and leaves the sending to the writer goroutines. Use it
// where blocking is not allowed, as in callbacks of the Hub.
func (e *Entry) applyAndWake(s *entryShard, decide func(c *coordinator.Coordinator, now time.Time)) {
	peers := e.apply(s, decide)
	peers.wake(&e.hub)
}

// apply calls decide under the lock of the shard, queues the resulting messages,
// records the decisions and notifies the waiters of ended jobs. It returns the
// recipients of the messages.
func (e *Entry) apply(s *entryShard, decide func(c *coordinator.Coordinator, now time.Time)) recipients {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := pausedetector.Now()
	if state := e.evacuations.State(); state != s.coordinator.Evacuations() {
		s.coordinator.SetEvacuations(now, state)
	}
	decide(&s.coordinator, now)
	messages, jobEnds, decisions := s.coordinator.TakeDecisions()
	var peers recipients
	for _, o := range messages {
		e.hub.Queue(o.To, o.Message)
		peers.add(o.To)
	}
	for _, d := range decisions {
		e.recordDecision(s.service, d)
	}
	for _, end := range jobEnds {
		s.notifyWaiters(end)
	}
	return peers
}

// recordDecision adds a decision to the recorder and passes it to ObserveDecision.
func (e *Entry) recordDecision(service string, d coordinator.Decision) {
	e.Recorder.Add(recorder.Event{
		Kind: d.Kind, Service: service, Owner: d.Owner, Sequence: d.Sequence,
		Task: d.Task, Peer: d.Peer, Reason: d.Reason,
	})
	if e.ObserveDecision != nil {
		e.ObserveDecision(service, d)
	}
}

// notifyWaiters sends the answer of an ended job to all its waiters.
func (s *entryShard) notifyWaiters(end coordinator.JobEnd) {
	key := jobKey{end.Owner, end.Sequence}
	for _, c := range s.waiters[key] {
		c <- end.Answer // does not block: the channel is buffered and receives one answer
	}
	delete(s.waiters, key)
}

// removeWaiterLocked removes one waiter of a job. The caller must hold mu.
func (s *entryShard) removeWaiterLocked(key jobKey, c chan *coordinator.Answer) {
	s.waiters[key] = slices.DeleteFunc(s.waiters[key], func(x chan *coordinator.Answer) bool { return x == c })
	if len(s.waiters[key]) == 0 {
		delete(s.waiters, key)
	}
}
