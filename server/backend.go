package server

import (
	"time"

	"mustardlever.dev/mustardlever/executor"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/sizer"
	"mustardlever.dev/mustardlever/starter"
)

// BackendServer describes a backend server to which the agent sends tasks by HTTP.
type BackendServer struct {
	Service     string
	Address     string // host:port
	Slots       int
	Connections int
	Timeout     time.Duration
}

// Backend starts and stops runs at one backend server. Start and Stop must not
// block. The end of each run must be reported to Agent.Finish or
// Agent.FinishStopped.
type Backend struct {
	Start func(starter.Run)
	Stop  func(starter.Run) // nil: runs cannot be stopped
	Close func()            // may be nil
}

// Offer describes a backend server that an agent announces to the entries.
type Offer struct {
	Service  string
	Address  string // host:port
	Capacity sizer.Resources
	Labels   []string
	Backend  Backend

	ColdFor     time.Duration // time that the backend server needs to warm up; 0: it is warm
	Incarnation string        // identifies the incarnation of the backend server; empty: a new one with each offer
}

func (a *Agent) newShard(offer Offer) *agentShard {
	s := &agentShard{backend: offer.Backend}
	s.starter.Settings = a.Settings.Starter
	s.starter.Self, s.starter.Service = a.hub.Self.Incarnation, offer.Service
	s.starter.Address, s.starter.Capacity, s.starter.Labels = offer.Address, offer.Capacity, offer.Labels
	s.starter.Init()
	s.starter.SetServerIdentity(offer.Incarnation)
	return s
}

// Offer announces a backend server that was found after Start, or updates the
// address, capacity and labels of one already announced.
func (a *Agent) Offer(offer Offer) {
	a.mu.Lock()
	shard := a.shards[offer.Service]
	known := shard != nil
	if !known {
		shard = a.newShard(offer)
		a.shards[offer.Service] = shard
	}
	a.mu.Unlock()
	peers := a.applyDecisions(shard, func(st *starter.Starter) {
		if offer.Incarnation != shard.incarnation {
			st.ForgetWarmUp(time.Now())
		}
		shard.incarnation = offer.Incarnation
		st.SetCold(time.Now(), offer.ColdFor)
		if known {
			st.SetServerIdentity(offer.Incarnation)
			st.UpdateOffer(offer.Address, offer.Capacity, offer.Labels)
			return
		}
		for _, p := range a.hub.Peers() {
			st.EntryConnected(p.Incarnation)
		}
	})
	peers.wake(&a.hub)
}

// SetCapacity changes the capacity of the backend server of the service.
func (a *Agent) SetCapacity(service string, capacity sizer.Resources) {
	if s := a.shard(service); s != nil {
		peers := a.applyDecisions(s, func(st *starter.Starter) { st.SetCapacity(capacity) })
		peers.wake(&a.hub)
	}
}

// SetCold sets how long the backend server of the service still needs to warm up.
func (a *Agent) SetCold(service string, remaining time.Duration) {
	if s := a.shard(service); s != nil {
		peers := a.applyDecisions(s, func(st *starter.Starter) { st.SetCold(time.Now(), remaining) })
		peers.wake(&a.hub)
	}
}

// Withdraw stops sending new tasks to the backend server of the service.
func (a *Agent) Withdraw(service string) {
	if s := a.shard(service); s != nil {
		peers := a.applyDecisions(s, (*starter.Starter).BeginDrain)
		peers.wake(&a.hub)
	}
}

// SetUnresponsive sets whether the backend server of the service is unresponsive.
func (a *Agent) SetUnresponsive(service string, unresponsive bool) {
	if s := a.shard(service); s != nil {
		peers := a.applyDecisions(s, func(st *starter.Starter) { st.SetUnresponsive(unresponsive) })
		peers.wake(&a.hub)
	}
}

// newExecutor returns a Backend that sends tasks to b by HTTP.
func (a *Agent) newExecutor(b BackendServer) Backend {
	exec := &executor.Executor{Address: b.Address, Connections: b.Connections, Timeout: b.Timeout}
	exec.Init()
	return Backend{
		Start: func(r starter.Run) { a.goroutines.Go(func() { a.run(exec, b.Service, r) }) },
		Close: exec.Close,
	}
}

// run executes one task and reports its result.
func (a *Agent) run(exec *executor.Executor, service string, r starter.Run) {
	result := exec.Run(a.ctx, r.Request)
	event := recorder.Event{
		Kind: "task-ran", Service: service, Task: r.Task, Peer: exec.Address,
		Owner: r.Ticket.Owner, Sequence: r.Ticket.Sequence,
	}
	switch {
	case result == nil:
		event.Kind, event.Reason = "task-refused", "the backend server refused the connection"
	case result.Status == 0:
		event.Kind, event.Reason = "task-unanswered", result.Error
	}
	a.Recorder.Add(event)
	a.Finish(service, r.ID, result)
}

// Finish reports that a run of the service has ended. A nil result means that the
// run did not start.
func (a *Agent) Finish(service string, id uint64, result *protocol.Result) {
	if s := a.shard(service); s != nil {
		peers := a.applyDecisions(s, func(st *starter.Starter) { st.Finish(id, result) })
		peers.flush(&a.hub)
	}
}

// FinishStopped reports that a run of the service has ended without a result: it was
// stopped, its lease expired, or it did not start. loss tells whether the backend server
// was lost meanwhile.
func (a *Agent) FinishStopped(service string, id uint64, loss starter.Loss) {
	if s := a.shard(service); s != nil {
		peers := a.applyDecisions(s, func(st *starter.Starter) { st.FinishStopped(id, loss) })
		peers.flush(&a.hub)
	}
}

// RetractLoss reports that the backend server of the service, which FinishStopped
// reported as lost under a run, has run on.
func (a *Agent) RetractLoss(service string, id uint64) {
	if s := a.shard(service); s != nil {
		peers := a.applyDecisions(s, func(st *starter.Starter) { st.RetractLoss(id) })
		peers.flush(&a.hub)
	}
}

// ConfirmLoss reports that the backend server of the service, which FinishStopped
// reported as presumably lost under a run, has restarted.
func (a *Agent) ConfirmLoss(service string, id uint64) {
	if s := a.shard(service); s != nil {
		peers := a.applyDecisions(s, func(st *starter.Starter) { st.ConfirmLoss(id) })
		peers.flush(&a.hub)
	}
}
