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

// entryShard is one service's decisions, under a lock.
type entryShard struct {
	service     string
	mu          sync.Mutex
	coordinator coordinator.Coordinator
	waiters     map[jobName][]chan *coordinator.Answer
}

// shards are an entry's services by name. The zero value has none.
type shards struct {
	mu     sync.RWMutex
	byName map[string]*entryShard
}

func (s *shards) find(name string) *entryShard {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byName[name]
}

// add adds x unless there is a shard of the name, and returns the one there is.
func (s *shards) add(name string, x *entryShard) *entryShard {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.byName[name]; known != nil {
		return known
	}
	if s.byName == nil {
		s.byName = make(map[string]*entryShard)
	}
	s.byName[name] = x
	return x
}

// list returns the shards in no order.
func (s *shards) list() []*entryShard {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Collect(maps.Values(s.byName))
}

func (e *Entry) newShard(name string, s coordinator.Settings) *entryShard {
	x := &entryShard{service: name, waiters: make(map[jobName][]chan *coordinator.Answer)}
	x.coordinator.Settings = s
	x.coordinator.Self, x.coordinator.Zone, x.coordinator.Service = e.hub.Self.Incarnation, e.hub.Self.Zone, name
	x.coordinator.Init(pausedetector.Now())
	return x
}

// open returns the shard of a message's service. An announcement adds the
// service where the settings let it.
func (e *Entry) open(m protocol.Message) *entryShard {
	s := e.shards.find(m.Service)
	if s != nil || !e.Settings.Open || m.Announce == nil || len(e.shards.list()) >= maxServices {
		return s
	}
	e.Log.WithField("service", m.Service).Info("Entry adds a service that an agent announced.")
	return e.shards.add(m.Service, e.newShard(m.Service, e.Settings.Coordinator))
}

// act runs one decision of a shard and carries out what it decided. It must be
// used where nothing may block.
func (e *Entry) act(s *entryShard, decide func(k *coordinator.Coordinator, now time.Time)) {
	to := e.decide(s, decide)
	to.wake(&e.hub)
}

// decide runs one decision of a shard and queues what it decided. It returns
// to whom messages were queued.
func (e *Entry) decide(s *entryShard, decide func(k *coordinator.Coordinator, now time.Time)) recipients {
	s.mu.Lock()
	defer s.mu.Unlock()
	decide(&s.coordinator, pausedetector.Now())
	out, endings, decisions := s.coordinator.Drain()
	var to recipients
	for _, o := range out {
		e.hub.Queue(o.To, o.Message)
		to.add(o.To)
	}
	for _, d := range decisions {
		e.record(s.service, d)
	}
	for _, x := range endings {
		s.tell(x)
	}
	return to
}

// record notes a decision.
func (e *Entry) record(service string, d coordinator.Decision) {
	e.Recorder.Add(recorder.Event{
		Kind: d.Kind, Service: service, Owner: d.Owner, Number: d.Sequence,
		Task: d.Task, Peer: d.Peer, Reason: d.Reason,
	})
	if e.ObserveDecision != nil {
		e.ObserveDecision(service, d)
	}
}

// tell hands an ending to those who wait for it.
func (s *entryShard) tell(x coordinator.JobEnd) {
	name := jobName{x.Owner, x.Sequence}
	for _, c := range s.waiters[name] {
		c <- x.Answer // has room for one
	}
	delete(s.waiters, name)
}

// drop removes one of those who wait for a job. The caller holds mu.
func (s *entryShard) drop(name jobName, c chan *coordinator.Answer) {
	s.waiters[name] = slices.DeleteFunc(s.waiters[name], func(x chan *coordinator.Answer) bool { return x == c })
	if len(s.waiters[name]) == 0 {
		delete(s.waiters, name)
	}
}
