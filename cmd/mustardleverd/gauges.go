package main

import (
	"time"

	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/counter"
	"mustardlever.dev/mustardlever/executor"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/server"
)

// gaugeEntry offers the figures that are read when they are asked for.
func gaugeEntry(e *server.Entry, n *counter.Counter) {
	n.Gauge("configuration_version", func() float64 { return float64(e.Routes.Version()) })
	n.Gauge("configuration_age_seconds", func() float64 {
		if t := e.Routes.Table(); t != nil {
			return time.Since(t.Taken).Seconds()
		}
		return -1 // none yet
	})
	sum := func(of func(coordinator.Counts) int) func() float64 {
		return func() float64 {
			total := 0
			for _, v := range e.Services() {
				total += of(v.Counts)
			}
			return float64(total)
		}
	}
	gaugeSessions(n, "sessions_with_entries", protocol.RoleEntry, e.Peers)
	gaugeSessions(n, "sessions_with_agents", protocol.RoleAgent, e.Peers)
	n.Gauge("agents", sum(func(c coordinator.Counts) int { return c.Agents }))
	n.Gauge("suspect_agents", sum(func(c coordinator.Counts) int { return c.SuspectAgents }))
	n.Gauge("waiting_tasks", sum(func(c coordinator.Counts) int { return c.Waiting }))
	n.Gauge("unfinished_jobs", sum(func(c coordinator.Counts) int { return c.Unfinished }))
	n.Gauge("room_cores", func() float64 { return sum(func(c coordinator.Counts) int { return c.FreeCPU })() / 1000 })
}

// gaugeSessions offers the number of peers of a role with which there is a
// session.
func gaugeSessions(n *counter.Counter, name string, role protocol.Role, peers func() []protocol.Identity) {
	n.Gauge(name, func() float64 {
		count := 0
		for _, p := range peers() {
			if p.Role == role {
				count++
			}
		}
		return float64(count)
	})
}

// gaugeAgent offers the figures of an agent.
func gaugeAgent(a *server.Agent, n *counter.Counter) {
	n.Gauge("running_tasks", func() float64 { return float64(a.Running()) })
	gaugeSessions(n, "sessions_with_entries", protocol.RoleEntry, a.Peers)
}

// gaugeBackendServer offers the figures of a backend server under leases.
func gaugeBackendServer(x *executor.Leased, n *counter.Counter) {
	view := func(of func(executor.View) float64) func() float64 {
		return func() float64 { return of(x.View()) }
	}
	n.Gauge("leased_tasks", view(func(v executor.View) float64 { return float64(len(v.Runs)) }))
	n.Gauge("leases_renewed", view(func(v executor.View) float64 { return truth(v.Renewing) }))
	n.Gauge("backend_server_offered", view(func(v executor.View) float64 { return truth(v.Offered) }))
	n.Gauge("backend_server_silent", view(func(v executor.View) float64 { return truth(v.Unresponsive) }))
	n.Gauge("backend_server_report_age_seconds", view(func(v executor.View) float64 {
		if v.ReportMs < 0 {
			return -1 // none yet
		}
		return (time.Duration(v.ReportMs) * time.Millisecond).Seconds()
	}))
}

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
