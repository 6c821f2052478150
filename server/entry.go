package server

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/evacuator"
	"mustardlever.dev/mustardlever/limiter"
	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/pausedetector"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/router"
	"mustardlever.dev/mustardlever/ticketer"
)

// EntrySettings are the settings of an Entry.
type EntrySettings struct {
	Identity             protocol.Identity // the incarnation is set by Start
	Entries              []string          // addresses of other entries, host:port
	TicketKey            []byte
	Services             map[string]coordinator.Settings
	AddAnnouncedServices bool                 // add services announced by agents, with the settings in Coordinator
	Coordinator          coordinator.Settings // settings of added services
	Messenger            messenger.Settings
	LinkKey              []byte             // shared by all processes, see messenger.Hub.Key; empty: whoever connects is a peer
	JobMemory            *limiter.Allowance // of jobs with tickets, in all services; nil: no limit
	FrameMemory          *limiter.Allowance // of large frames from other processes; nil: no limit
	FollowEvacuations    bool               // start nothing in evacuated zones
	ShareDemand          bool               // entries share their demand while none is connected to all agents; see sharesDemand
}

// maxServices limits the services of an entry: with this many, it adds no more
// services that agents announce.
const maxServices = 1000

// maxServiceBytes is the longest name of a service that an agent may announce.
const maxServiceBytes = 256

// Entry accepts jobs and operations from callers. Set the exported fields before
// Start.
type Entry struct {
	Settings        EntrySettings
	Log             *logrus.Entry
	Recorder        *recorder.Recorder
	ObserveDecision func(service string, d coordinator.Decision) // called for each decision, under the lock of the shard; may be nil

	// ObserveAnswer is called for each reply to a synchronous job. route is nil if no
	// route matches. ObserveAnswer may be nil.
	ObserveAnswer func(route *router.Route, r SyncReply, elapsed time.Duration)

	// Routes holds the current configuration. DecodeRoutes decodes a configuration sent
	// by another entry; if it is nil, such configurations are ignored.
	Routes       router.Holder
	DecodeRoutes func(document []byte) (*router.Table, error)

	evacuations evacuator.Holder

	hub        messenger.Hub
	coder      ticketer.Coder
	shards     shardTable
	calls      pendingCalls
	cancels    cancels
	cuts       cuts
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu             sync.Mutex
	entryAddresses map[string]bool // addresses of all known entries, including this one
	peerVersions   router.PeerVersions
	download       router.Download
	uploads        map[string]upload // configurations that peers are downloading, by peer
	routesSource   string            // origin of the current configuration
	draining       bool
	handedOver     bool
}

// jobKey identifies a job across all owners.
type jobKey struct {
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
	e.hub.Settings, e.hub.Key = e.Settings.Messenger, e.Settings.LinkKey
	e.coder.Key = e.Settings.TicketKey
	e.entryAddresses = map[string]bool{e.hub.Self.Address: true}
	e.uploads = make(map[string]upload)
	e.Recorder.Process, e.Recorder.Zone = e.hub.Self.Incarnation, e.hub.Self.Zone
	for name, s := range e.Settings.Services {
		e.shards.getOrAdd(name, e.newShard(name, s))
	}
	e.hub.Deliver = e.deliver
	e.hub.SessionOpened = e.peerConnected
	e.hub.SessionClosed = e.peerLost
	e.hub.AddEntries = e.AddEntries
	e.hub.KnownEntries = e.knownAddresses
	e.hub.ReportPanic = reportPanic(e.Log)
	if m := e.Settings.FrameMemory; m != nil {
		e.hub.ReserveFrame, e.hub.ReleaseFrame = m.Await, m.Release
	}
	e.hub.Clock, e.hub.ObserveClock = e.Recorder.Now, e.Recorder.Observe
	e.hub.Start(l)
	e.AddEntries(e.Settings.Entries)
	e.goroutines.Go(e.tick)
	e.Recorder.Add(recorder.Event{Kind: "process-started", Task: -1})
	e.Log.Infof("Entry %s is running.", e.hub.Self.Incarnation)
}

// Identity returns the entry's identity.
func (e *Entry) Identity() protocol.Identity { return e.hub.Self }

// Traffic returns the counters of the entry's connections.
func (e *Entry) Traffic() *messenger.Traffic { return &e.hub.Traffic }

// Peers returns the processes with an open session.
func (e *Entry) Peers() []protocol.Identity { return e.hub.Peers() }

// connectedEntries returns the incarnations of the other entries with an open session.
func (e *Entry) connectedEntries() []string {
	var names []string
	for _, p := range e.hub.Peers() {
		if p.Role == protocol.RoleEntry {
			names = append(names, p.Incarnation)
		}
	}
	return names
}

// AddEntries adds the entries at the given addresses to those it may connect to, and forwards addresses
// that were unknown so far to all peers. Malformed addresses are ignored, and new ones once
// messenger.MaxKnownEntries are known.
func (e *Entry) AddEntries(addresses []string) {
	e.mu.Lock()
	var added []string
	for _, address := range addresses {
		if isAddress(address) && !e.entryAddresses[address] && len(e.entryAddresses) < messenger.MaxKnownEntries {
			e.entryAddresses[address] = true
			added = append(added, address)
		}
	}
	e.mu.Unlock()
	if len(added) == 0 {
		return
	}
	e.hub.KeepConnected(added...)
	for _, p := range e.hub.Peers() {
		e.hub.Send(p.Incarnation, protocol.Message{Entries: &protocol.Entries{Addresses: added}})
	}
}

func (e *Entry) knownAddresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]string, 0, len(e.entryAddresses))
	for address := range e.entryAddresses {
		list = append(list, address)
	}
	slices.Sort(list)
	return list
}

func (e *Entry) deliver(from protocol.Identity, m protocol.Message) {
	switch {
	case m.Entries != nil:
		e.AddEntries(m.Entries.Addresses)
	case m.Evacuations != nil:
		e.AdoptEvacuations(*m.Evacuations, from.Incarnation)
	case m.Configuration != nil:
		c := *m.Configuration
		e.goroutines.Go(func() { e.receiveRoutes(from.Incarnation, &c) })
	case m.ConfigurationRequest != nil:
		e.sendRoutes(from.Incarnation, m.ConfigurationRequest)
	case m.Forward != nil:
		f := *m.Forward
		e.goroutines.Go(func() { e.serveForward(from.Incarnation, f) })
	case m.Reply != nil:
		e.calls.finish(m.Reply)
	case m.Cancels != nil:
		e.receiveCancels(from.Incarnation, m.Cancels)
	default:
		if m.Announce != nil {
			m.Announce.Zone = from.Zone
		}
		if s := e.shardFor(m); s != nil {
			e.applyAndWake(s, func(c *coordinator.Coordinator, now time.Time) { c.Receive(now, from.Incarnation, m) })
		}
	}
}

func (e *Entry) peerConnected(peer protocol.Identity) {
	e.Log.Infof("Peer %s is connected.", peer.Incarnation)
	sendEvacuations(&e.hub, &e.evacuations, peer.Incarnation)
	if peer.Role != protocol.RoleEntry {
		return
	}
	e.AddEntries([]string{peer.Address})
	e.sendCancels(peer.Incarnation)
	e.announceRoutes(peer.Incarnation)
	for _, s := range e.shards.list() {
		e.applyAndWake(s, func(c *coordinator.Coordinator, _ time.Time) { c.BackupConnected(peer.Incarnation, peer.Zone) })
	}
}

func (e *Entry) peerLost(peer protocol.Identity) {
	e.Log.Warnf("Peer %s is lost.", peer.Incarnation)
	e.Recorder.Add(recorder.Event{Kind: "peer-lost", Peer: peer.Incarnation, Task: -1})
	e.calls.cancelPeer(peer.Incarnation)
	e.mu.Lock()
	e.peerVersions.Remove(peer.Incarnation)
	delete(e.uploads, peer.Incarnation)
	e.mu.Unlock()
	for _, s := range e.shards.list() {
		e.applyAndWake(s, func(c *coordinator.Coordinator, now time.Time) {
			if peer.Role == protocol.RoleEntry {
				c.BackupLost(now, peer.Incarnation)
			} else {
				c.AgentLost(now, peer.Incarnation)
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
			e.applyAndWake(s, func(c *coordinator.Coordinator, now time.Time) { c.Tick(now) })
		}
		e.fetchRoutes(time.Now())
		e.observeContact(time.Now())
	}
}

// Ready reports whether the entry should receive new work.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.draining
}

// FailReadiness makes Ready return false. The entry still accepts jobs, from
// connected callers and from those that a load balancer still sends to it.
func (e *Entry) FailReadiness() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
}

// BeginDrain stops issuing tickets and accepting synchronous jobs. Jobs with a
// ticket are still accepted.
func (e *Entry) BeginDrain() {
	e.Log.Info("Entry is draining.")
	e.Recorder.Add(recorder.Event{Kind: "process-draining", Task: -1})
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	for _, s := range e.shards.list() {
		e.applyAndWake(s, func(c *coordinator.Coordinator, _ time.Time) { c.BeginDrain() })
	}
}

// HandOver hands the unfinished jobs over to their backups. Waiting callers are
// answered that their job is running and have to ask another entry for the result.
func (e *Entry) HandOver() {
	e.mu.Lock()
	e.handedOver = true
	e.mu.Unlock()
	for _, s := range e.shards.list() {
		e.applyAndWake(s, (*coordinator.Coordinator).HandOver)
	}
}

// hasHandedOver reports whether HandOver was called.
func (e *Entry) hasHandedOver() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.handedOver
}

// Drain returns when every job of this entry has ended and the peers have
// acknowledged all messages, or when ctx ends.
func (e *Entry) Drain(ctx context.Context) {
	for ctx.Err() == nil && !e.drained() {
		pausedetector.Sleep(ctx, tickInterval)
	}
	e.hub.AwaitDelivery(ctx)
}

func (e *Entry) drained() bool {
	for _, s := range e.shards.list() {
		s.mu.Lock()
		drained := s.coordinator.Drained()
		s.mu.Unlock()
		if !drained {
			return false
		}
	}
	return true
}

// Stop stops the entry without draining it.
func (e *Entry) Stop() {
	e.cancel()
	e.hub.Stop()
	e.goroutines.Wait()
}
