package server

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/executor"
	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/starter"
)

// tickInterval is the time between two ticks of a shard.
const tickInterval = 20 * time.Millisecond

// BackendServer is a backend server that an agent runs beside.
type BackendServer struct {
	Service     string
	Address     string // host:port
	Slots       int
	Connections int
	Timeout     time.Duration
}

// AgentSettings are the settings of an Agent.
type AgentSettings struct {
	Identity       messenger.Identity // without incarnation
	Entries        []string           // link addresses of entries
	BackendServers []BackendServer    // one a service
	Messenger      messenger.Settings
	Starter        starter.Settings
}

// Agent runs the tasks of its backend servers. Set the fields before Start.
type Agent struct {
	Settings AgentSettings
	Log      *logrus.Entry
	Recorder *recorder.Recorder

	hub     messenger.Hub
	shards  map[string]*agentShard
	leaving atomic.Bool
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// agentShard is one service's decisions, under a lock.
type agentShard struct {
	mu       sync.Mutex
	starter  starter.Starter
	executor executor.Executor
}

// Start connects to the entries and offers the backend servers.
func (a *Agent) Start() {
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.hub.Self = a.Settings.Identity.WithNewIncarnation()
	a.hub.Settings = a.Settings.Messenger
	a.Recorder.Process, a.Recorder.Zone = a.hub.Self.Incarnation, a.hub.Self.Zone
	a.shards = make(map[string]*agentShard)
	for _, b := range a.Settings.BackendServers {
		a.shards[b.Service] = a.newShard(b)
	}
	a.hub.Deliver = a.deliver
	a.hub.Up = a.up
	a.hub.Lost = a.lost
	a.hub.Learn = a.learn
	a.hub.Clock, a.hub.Observe = a.Recorder.Now, a.Recorder.Observe
	a.hub.Start(nil)
	a.learn(a.Settings.Entries)
	a.done.Go(a.tick)
	a.Recorder.Add(recorder.Event{Kind: "process-started", Task: -1})
	a.Log.Infof("Agent %s runs.", a.hub.Self.Incarnation)
}

func (a *Agent) newShard(b BackendServer) *agentShard {
	s := &agentShard{}
	s.starter.Settings = a.Settings.Starter
	s.starter.Self, s.starter.Service = a.hub.Self.Incarnation, b.Service
	s.starter.Address, s.starter.Slots = b.Address, b.Slots
	s.starter.Init()
	s.executor.Address, s.executor.Connections, s.executor.Timeout = b.Address, b.Connections, b.Timeout
	s.executor.Init()
	return s
}

// Identity returns the agent's identity.
func (a *Agent) Identity() messenger.Identity { return a.hub.Self }

// Traffic returns the counters of the agent's connections.
func (a *Agent) Traffic() *messenger.Traffic { return &a.hub.Traffic }

func (a *Agent) learn(addresses []string) {
	for _, x := range addresses {
		if _, _, err := net.SplitHostPort(x); err == nil {
			a.hub.Keep(x)
		}
	}
}

// act runs one decision of a shard and carries out what it decided. It returns
// to whom messages were queued.
func (a *Agent) act(s *agentShard, decide func(*starter.Starter)) recipients {
	s.mu.Lock()
	defer s.mu.Unlock()
	decide(&s.starter)
	out, runs := s.starter.Drain()
	var to recipients
	for _, o := range out {
		a.hub.Queue(o.To, o.Message)
		to.add(o.To)
	}
	for _, r := range runs {
		a.done.Go(func() { a.run(s, r) })
	}
	return to
}

// run executes one task and reports its result.
func (a *Agent) run(s *agentShard, r starter.Run) {
	result := s.executor.Run(a.ctx, r.Request)
	e := recorder.Event{
		Kind: "task-ran", Service: s.starter.Service, Task: r.Task, Peer: s.executor.Address,
		Owner: r.Ticket.Owner, Number: r.Ticket.Sequence,
	}
	switch {
	case result == nil:
		e.Kind, e.Reason = "task-refused", "the backend server refused the connection"
	case result.Status == 0:
		e.Kind, e.Reason = "task-unanswered", result.Error
	}
	a.Recorder.Add(e)
	to := a.act(s, func(x *starter.Starter) { x.Finish(r.ID, result) })
	to.flush(&a.hub)
}

func (a *Agent) deliver(from messenger.Identity, m messenger.Message) {
	if m.Entries != nil {
		a.learn(m.Entries.Addresses)
		return
	}
	s := a.shards[m.Service]
	if s == nil {
		return
	}
	to := a.act(s, func(x *starter.Starter) { x.Receive(from.Incarnation, m) })
	to.wake(&a.hub)
}

func (a *Agent) up(peer messenger.Identity) {
	a.Log.Infof("Entry %s is connected.", peer.Incarnation)
	for _, s := range a.shards {
		to := a.act(s, func(x *starter.Starter) { x.Up(peer.Incarnation) })
		to.wake(&a.hub)
	}
}

func (a *Agent) lost(peer messenger.Identity) {
	a.Log.Warnf("Entry %s is lost.", peer.Incarnation)
	a.Recorder.Add(recorder.Event{Kind: "peer-lost", Peer: peer.Incarnation, Task: -1})
	for _, s := range a.shards {
		to := a.act(s, func(x *starter.Starter) { x.Lost(time.Now(), peer.Incarnation) })
		to.wake(&a.hub)
	}
}

func (a *Agent) tick() {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, s := range a.shards {
			to := a.act(s, func(x *starter.Starter) { x.Tick(time.Now()) })
			to.wake(&a.hub)
		}
	}
}

// Running returns the number of tasks that run.
func (a *Agent) Running() int {
	n := 0
	for _, s := range a.shards {
		s.mu.Lock()
		n += s.starter.Running()
		s.mu.Unlock()
	}
	return n
}

// Peers returns the entries with which there is a session.
func (a *Agent) Peers() []messenger.Identity { return a.hub.Peers() }

// Ready reports whether the agent accepts starts.
func (a *Agent) Ready() bool { return !a.leaving.Load() }

// Drain refuses further starts, and returns when no task runs and the entries
// have every outcome, or when ctx ends.
func (a *Agent) Drain(ctx context.Context) {
	a.leaving.Store(true)
	a.Log.Info("Agent leaves.")
	a.Recorder.Add(recorder.Event{Kind: "process-draining", Task: -1})
	for _, s := range a.shards {
		to := a.act(s, (*starter.Starter).LeaveService)
		to.wake(&a.hub)
	}
	for ctx.Err() == nil && a.Running() > 0 {
		pause(ctx, tickInterval)
	}
	a.hub.AwaitDelivery(ctx)
}

// Stop ends the agent at once.
func (a *Agent) Stop() {
	a.cancel()
	a.hub.Stop()
	a.done.Wait()
	for _, s := range a.shards {
		s.executor.Close()
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
