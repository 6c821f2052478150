package main

import (
	"fmt"
	"strconv"
	"time"

	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/counter"
	"mustardlever.dev/mustardlever/estimator"
	"mustardlever.dev/mustardlever/executor"
	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/server"
)

// registerEntryGauges registers the gauges of an entry. They are computed when the
// metrics are read.
func registerEntryGauges(e *server.Entry, metrics *counter.Counter) {
	metrics.Gauge("configuration_version", func() float64 { return float64(e.Routes.Version()) })
	metrics.Gauge("configuration_age_seconds", func() float64 {
		if t := e.Routes.Table(); t != nil {
			return time.Since(t.DecodedAt).Seconds()
		}
		return -1 // no configuration yet
	})
	sum := func(count func(coordinator.Counts) int) func() float64 { return sumOfServices(e, count) }
	registerSessionGauge(metrics, "sessions_with_entries", protocol.RoleEntry, e.Peers)
	registerSessionGauge(metrics, "sessions_with_agents", protocol.RoleAgent, e.Peers)
	registerPanicGauge(metrics, e.Traffic())
	metrics.Gauge("requests_held_up", func() float64 { return float64(e.HeldUpRequests()) })
	metrics.Gauge("cancels_in_force", func() float64 { n, _ := e.CancelCounts(); return float64(n) })
	metrics.Gauge("cancels_not_kept", func() float64 { _, n := e.CancelCounts(); return float64(n) })
	registerDemandGauges(e, metrics)
	metrics.Gauge("agents", sum(func(c coordinator.Counts) int { return c.Agents }))
	metrics.Gauge("suspect_agents", sum(func(c coordinator.Counts) int { return c.SuspectAgents }))
	metrics.Gauge("evacuated_zones", func() float64 { return float64(len(e.Evacuations().EvacuatedZones())) })
	metrics.Gauge("evacuated_agents", sum(func(c coordinator.Counts) int { return c.Evacuated }))
	metrics.Gauge("waiting_tasks", sum(func(c coordinator.Counts) int { return c.Waiting }))
	metrics.Gauge("unfinished_jobs", sum(func(c coordinator.Counts) int { return c.Unfinished }))
	metrics.Gauge("room_cores", func() float64 { return sum(func(c coordinator.Counts) int { return c.FreeMillicores })() / 1000 })
}

// sumOfServices returns a gauge that adds up a count over the services of an entry.
func sumOfServices(e *server.Entry, count func(coordinator.Counts) int) func() float64 {
	return func() float64 {
		total := 0
		for _, v := range e.Services() {
			total += count(v.Counts)
		}
		return float64(total)
	}
}

// registerDemandGauges registers the gauges of the demand of all entries: of the service
// of which the most entries are known, since a process serves few.
func registerDemandGauges(e *server.Entry, metrics *counter.Counter) {
	gauge := func(name string, value func(*coordinator.DemandView) float64) {
		metrics.Gauge(name, func() float64 {
			var known *coordinator.DemandView
			for _, v := range e.Services() {
				if d := v.Counts.SharedDemand; d != nil && (known == nil || d.Entries > known.Entries) {
					known = d
				}
			}
			if known == nil {
				return 0
			}
			return value(known)
		})
	}
	gauge("demand_known_entries", func(d *coordinator.DemandView) float64 { return float64(d.Entries) })
	gauge("demand_decides", func(d *coordinator.DemandView) float64 { return boolToFloat(d.Decides) })
	gauge("demand_oldest_age_seconds", func(d *coordinator.DemandView) float64 { return float64(d.OldestAgeMillis) / 1000 })
	gauge("demand_ignored", func(d *coordinator.DemandView) float64 { return float64(d.Ignored) })
	for level := range estimator.Levels {
		label := fmt.Sprintf("{priority=%q}", strconv.Itoa(level))
		gauge("estimated_start_seconds"+label, func(d *coordinator.DemandView) float64 { return float64(d.StartMillis[level]) / 1000 })
		gauge("shed_share"+label, func(d *coordinator.DemandView) float64 { return d.ShedShare[level] })
	}
}

// registerSessionGauge registers the number of peers of a role that have a session
// with this process.
func registerSessionGauge(metrics *counter.Counter, name string, role protocol.Role, peers func() []protocol.Identity) {
	metrics.Gauge(name, func() float64 {
		count := 0
		for _, p := range peers() {
			if p.Role == role {
				count++
			}
		}
		return float64(count)
	})
}

// registerAgentGauges registers the gauges of an agent.
func registerAgentGauges(a *server.Agent, metrics *counter.Counter) {
	metrics.Gauge("running_tasks", func() float64 { return float64(a.RunCount()) })
	metrics.Gauge("evacuated_zones", func() float64 { return float64(len(a.Evacuations().EvacuatedZones())) })
	metrics.Gauge("zone_evacuated", func() float64 { return boolToFloat(a.Evacuations().Evacuated(a.Identity().Zone)) })
	metrics.Gauge("starts_refused_evacuated_total", func() float64 { return float64(a.EvacuatedStarts()) })
	registerSessionGauge(metrics, "sessions_with_entries", protocol.RoleEntry, a.Peers)
	registerPanicGauge(metrics, a.Traffic())
}

// registerPanicGauge registers the number of messages whose handling panicked.
func registerPanicGauge(metrics *counter.Counter, t *messenger.Traffic) {
	metrics.Gauge("message_panics", func() float64 { return float64(t.Panics.Load()) })
}

// registerBackendServerGauges registers the gauges of a backend server whose tasks
// run under leases.
func registerBackendServerGauges(view func() executor.View, metrics *counter.Counter) {
	gauge := func(value func(executor.View) float64) func() float64 {
		return func() float64 { return value(view()) }
	}
	metrics.Gauge("leased_tasks", gauge(func(v executor.View) float64 { return float64(len(v.Runs)) }))
	metrics.Gauge("backend_server_cold", gauge(func(v executor.View) float64 { return boolToFloat(v.WarmUpMillis > 0) }))
	metrics.Gauge("leases_renewed", gauge(func(v executor.View) float64 { return boolToFloat(v.Renewing) }))
	metrics.Gauge("backend_server_offered", gauge(func(v executor.View) float64 { return boolToFloat(v.Offered) }))
	metrics.Gauge("backend_server_silent", gauge(func(v executor.View) float64 { return boolToFloat(v.Unresponsive) }))
	metrics.Gauge("backend_server_reports_unconfirmed", gauge(func(v executor.View) float64 { return float64(v.Unconfirmed) }))
	metrics.Gauge("backend_server_report_age_seconds", gauge(func(v executor.View) float64 {
		if v.ReportAgeMillis < 0 {
			return -1 // no report yet
		}
		return (time.Duration(v.ReportAgeMillis) * time.Millisecond).Seconds()
	}))
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
