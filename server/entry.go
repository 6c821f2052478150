package server

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/pausedetector"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/router"
	"mustardlever.dev/mustardlever/ticketer"
)

// EntrySettings are the settings of an Entry.
type EntrySettings struct {
	Identity    protocol.Identity // without incarnation
	Entries     []string          // link addresses of other entries
	TicketKey   []byte
	Services    map[string]coordinator.Settings
	Open        bool                 // services that agents announce are added; Keeper settles them
	Coordinator coordinator.Settings // of services that were added
	Messenger   messenger.Settings
}

// maxServices bounds the services that agents may add.
const maxServices = 1000

// Entry serves callers' operations. Set the fields before Start.
type Entry struct {
	Settings        EntrySettings
	Log             *logrus.Entry
	Recorder        *recorder.Recorder
	ObserveDecision func(service string, d coordinator.Decision) // told of each decision, under the shard's lock; may be nil

	// ObserveAnswer is told of each answer to a direct job; route is nil where none
	// leads there. It may be nil.
	ObserveAnswer func(route *router.Route, r SyncReply, took time.Duration)

	// Routes is the configuration in force; ReadRoutes reads one that another
	// entry has sent, nil where there is none.
	Routes     router.Holder
	ReadRoutes func(document []byte) (*router.Table, error)

	hub    messenger.Hub
	coder  ticketer.Coder
	shards shards
	calls  calls
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu         sync.Mutex
	known      map[string]bool // link addresses of entries
	offers     router.PeerVersions
	routesFrom string // where the configuration in force came from
	draining   bool
	yielded    bool
}

// job names a job over all owners.
type jobName struct {
	owner    string
	sequence uint64
}

// Start listens for other processes on l and connects to the other entries.
func (e *Entry) Start(l net.Listener) {
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.hub.Self = e.Settings.Identity.WithNewIncarnation()
	if e.hub.Self.Address == "" {
		e.hub.Self.Address = l.Addr().String()
	}
	e.hub.Settings = e.Settings.Messenger
	e.coder.Key = e.Settings.TicketKey
	e.known = map[string]bool{e.hub.Self.Address: true}
	e.Recorder.Process, e.Recorder.Zone = e.hub.Self.Incarnation, e.hub.Self.Zone
	for name, s := range e.Settings.Services {
		e.shards.add(name, e.newShard(name, s))
	}
	e.hub.Deliver = e.deliver
	e.hub.Up = e.up
	e.hub.Lost = e.lost
	e.hub.AddEntries = e.AddEntries
	e.hub.KnownEntries = e.addresses
	e.hub.Clock, e.hub.Observe = e.Recorder.Now, e.Recorder.Observe
	e.hub.Start(l)
	e.AddEntries(e.Settings.Entries)
	e.done.Go(e.tick)
	e.Recorder.Add(recorder.Event{Kind: "process-started", Task: -1})
	e.Log.Infof("Entry %s runs.", e.hub.Self.Incarnation)
}

// Identity returns the entry's identity.
func (e *Entry) Identity() protocol.Identity { return e.hub.Self }

// Traffic returns the counters of the entry's connections.
func (e *Entry) Traffic() *messenger.Traffic { return &e.hub.Traffic }

// Peers returns the processes with which there is a session.
func (e *Entry) Peers() []protocol.Identity { return e.hub.Peers() }

// AddEntries connects to entries heard of, and passes new addresses on.
func (e *Entry) AddEntries(addresses []string) {
	e.mu.Lock()
	var fresh []string
	for _, x := range addresses {
		if _, _, err := net.SplitHostPort(x); err == nil && !e.known[x] {
			e.known[x] = true
			fresh = append(fresh, x)
		}
	}
	e.mu.Unlock()
	if len(fresh) == 0 {
		return
	}
	for _, x := range fresh {
		e.hub.KeepConnected(x)
	}
	for _, p := range e.hub.Peers() {
		e.hub.Send(p.Incarnation, protocol.Message{Entries: &protocol.Entries{Addresses: fresh}})
	}
}

func (e *Entry) addresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]string, 0, len(e.known))
	for x := range e.known {
		list = append(list, x)
	}
	slices.Sort(list)
	return list
}

func (e *Entry) deliver(from protocol.Identity, m protocol.Message) {
	switch {
	case m.Entries != nil:
		e.AddEntries(m.Entries.Addresses)
	case m.Configuration != nil:
		c := *m.Configuration
		e.done.Go(func() { e.takeRoutes(from.Incarnation, &c) })
	case m.ConfigurationRequest != nil:
		e.sendRoutes(from.Incarnation)
	case m.Forward != nil:
		f := *m.Forward
		e.done.Go(func() { e.serveForward(from.Incarnation, f) })
	case m.Reply != nil:
		e.calls.finish(m.Reply)
	default:
		if s := e.open(m); s != nil {
			e.act(s, func(k *coordinator.Coordinator, now time.Time) { k.Receive(now, from.Incarnation, m) })
		}
	}
}

func (e *Entry) up(peer protocol.Identity) {
	e.Log.Infof("Peer %s is connected.", peer.Incarnation)
	if peer.Role != protocol.RoleEntry {
		return
	}
	e.AddEntries([]string{peer.Address})
	e.offerRoutes(peer.Incarnation)
	for _, s := range e.shards.list() {
		e.act(s, func(k *coordinator.Coordinator, _ time.Time) { k.BackupUp(peer.Incarnation, peer.Zone) })
	}
}

func (e *Entry) lost(peer protocol.Identity) {
	e.Log.Warnf("Peer %s is lost.", peer.Incarnation)
	e.Recorder.Add(recorder.Event{Kind: "peer-lost", Peer: peer.Incarnation, Task: -1})
	e.calls.lose(peer.Incarnation)
	e.mu.Lock()
	e.offers.Remove(peer.Incarnation)
	e.mu.Unlock()
	for _, s := range e.shards.list() {
		e.act(s, func(k *coordinator.Coordinator, now time.Time) {
			if peer.Role == protocol.RoleEntry {
				k.BackupLost(now, peer.Incarnation)
			} else {
				k.AgentLost(now, peer.Incarnation)
			}
		})
	}
}

func (e *Entry) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, s := range e.shards.list() {
			e.act(s, func(k *coordinator.Coordinator, now time.Time) { k.Tick(now) })
		}
		e.fetchRoutes(time.Now())
	}
}

// Ready reports whether the entry takes new work.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.draining
}

// FailReadiness makes Ready false, and goes on taking jobs from callers that
// are here or are still sent here.
func (e *Entry) FailReadiness() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
}

// BeginDrain stops the issue of tickets. Jobs that hold one are still taken.
func (e *Entry) BeginDrain() {
	e.Log.Info("Entry leaves.")
	e.Recorder.Add(recorder.Event{Kind: "process-draining", Task: -1})
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	for _, s := range e.shards.list() {
		e.act(s, func(k *coordinator.Coordinator, _ time.Time) { k.BeginDrain() })
	}
}

// HandOver gives the unfinished jobs up to their witnesses. Callers that wait are
// told that the job runs, and have to ask again at another entry.
func (e *Entry) HandOver() {
	e.mu.Lock()
	e.yielded = true
	e.mu.Unlock()
	for _, s := range e.shards.list() {
		e.act(s, (*coordinator.Coordinator).HandOver)
	}
}

// hasYielded tells whether Yield was called.
func (e *Entry) hasYielded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.yielded
}

// Drain returns when every job of this entry has ended and been told, or when
// ctx ends.
func (e *Entry) Drain(ctx context.Context) {
	for ctx.Err() == nil && !e.drained() {
		pausedetector.Sleep(ctx, tickInterval)
	}
	e.hub.AwaitDelivery(ctx)
}

func (e *Entry) drained() bool {
	for _, s := range e.shards.list() {
		s.mu.Lock()
		d := s.coordinator.Drained()
		s.mu.Unlock()
		if !d {
			return false
		}
	}
	return true
}

// Stop ends the entry at once.
func (e *Entry) Stop() {
	e.cancel()
	e.hub.Stop()
	e.done.Wait()
}
