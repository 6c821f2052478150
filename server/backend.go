package server

import (
	"slices"
	"time"

	"mustardlever.dev/mustardlever/executor"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/sizer"
	"mustardlever.dev/mustardlever/starter"
)

// BackendServer is a backend server that an agent runs beside.
type BackendServer struct {
	Service     string
	Address     string // host:port
	Slots       int
	Connections int
	Timeout     time.Duration
}

// Backend carries out the decisions on one backend server. Start and Stop must
// not block; the end of each run is told to Agent.Finish or FinishStopped.
type Backend struct {
	Start          func(starter.Run)
	Stop           func(starter.Run)  // nil: runs cannot be stopped
	OwnerSuspected func(suspect bool) // told whether an entry with tasks there may be gone; nil: not told
	Close          func()
}

// Offer is a backend server that an agent offers to the entries.
type Offer struct {
	Service  string
	Address  string // host:port
	Capacity sizer.Resources
	Labels   []string
	Backend  Backend
}

func (a *Agent) newShard(o Offer) *agentShard {
	s := &agentShard{backend: o.Backend}
	s.starter.Settings = a.Settings.Starter
	s.starter.Self, s.starter.Service = a.hub.Self.Incarnation, o.Service
	s.starter.Address, s.starter.Capacity, s.starter.Labels = o.Address, o.Capacity, o.Labels
	s.starter.Init()
	return s
}

// Offer offers a backend server that was found after Start, or changes what is
// offered of it.
func (a *Agent) Offer(o Offer) {
	a.mu.Lock()
	s := a.shards[o.Service]
	known := s != nil
	if !known {
		s = a.newShard(o)
		a.shards[o.Service] = s
	}
	a.mu.Unlock()
	to := a.act(s, func(x *starter.Starter) {
		if known {
			x.Offer(o.Address, o.Capacity, o.Labels)
			return
		}
		for _, p := range a.hub.Peers() {
			x.Up(p.Incarnation)
		}
	})
	to.wake(&a.hub)
}

// Withdraw offers the service's backend server no more: it gets no new task.
func (a *Agent) Withdraw(service string) {
	if s := a.shard(service); s != nil {
		to := a.act(s, (*starter.Starter).BeginDrain)
		to.wake(&a.hub)
	}
}

// SetUnresponsive says whether the service's backend server is silent.
func (a *Agent) SetUnresponsive(service string, held bool) {
	if s := a.shard(service); s != nil {
		to := a.act(s, func(x *starter.Starter) { x.SetUnresponsive(held) })
		to.wake(&a.hub)
	}
}

// newExecutor returns the Backend that sends tasks by HTTP.
func (a *Agent) newExecutor(b BackendServer) Backend {
	e := &executor.Executor{Address: b.Address, Connections: b.Connections, Timeout: b.Timeout}
	e.Init()
	return Backend{
		Start: func(r starter.Run) { a.done.Go(func() { a.run(e, b.Service, r) }) },
		Close: e.Close,
	}
}

// run executes one task and reports its result.
func (a *Agent) run(x *executor.Executor, service string, r starter.Run) {
	result := x.Run(a.ctx, r.Request)
	e := recorder.Event{
		Kind: "task-ran", Service: service, Task: r.Task, Peer: x.Address,
		Owner: r.Ticket.Owner, Number: r.Ticket.Sequence,
	}
	switch {
	case result == nil:
		e.Kind, e.Reason = "task-refused", "the backend server refused the connection"
	case result.Status == 0:
		e.Kind, e.Reason = "task-unanswered", result.Error
	}
	a.Recorder.Add(e)
	a.Finish(service, r.ID, result)
}

// Finish tells that a run of the service has ended; a nil result means that it
// did not start.
func (a *Agent) Finish(service string, id uint64, result *protocol.Result) {
	if s := a.shard(service); s != nil {
		to := a.act(s, func(x *starter.Starter) { x.Finish(id, result) })
		to.flush(&a.hub)
	}
}

// FinishStopped tells that the backend server has ended a run of the service
// before it was done.
func (a *Agent) FinishStopped(service string, id uint64) {
	if s := a.shard(service); s != nil {
		to := a.act(s, func(x *starter.Starter) { x.FinishStopped(id) })
		to.flush(&a.hub)
	}
}

// suspect tells the backend server's side when an entry with tasks there falls
// silent, and when none is any more.
func (a *Agent) suspect(s *agentShard) {
	if s.backend.OwnerSuspected == nil || a.Settings.SuspectAfter <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	suspect := slices.ContainsFunc(s.starter.Owners(), func(entry string) bool {
		return !a.hub.Reachable(entry, a.Settings.SuspectAfter)
	})
	if suspect == s.suspect {
		return
	}
	s.suspect = suspect
	s.backend.OwnerSuspected(suspect)
	l := a.Log.WithField("service", s.starter.Service)
	if suspect {
		l.WithField("silent-ms", a.Settings.SuspectAfter.Milliseconds()).Warn("Agent renews no leases: an entry with tasks here is silent.")
		return
	}
	l.Info("Agent renews leases again.")
}
