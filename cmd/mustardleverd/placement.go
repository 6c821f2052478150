package main

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/configurer"
	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/counter"
	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/server"
)

// placementLogInterval is the time between two log lines about a service's placement. It
// limits them to one per service and interval.
const placementLogInterval = 10 * time.Second

// placementSettings returns the settings that decide where tasks are placed.
func placementSettings(p *configurer.Platform) dispatcher.Settings {
	return dispatcher.Settings{Baseline: baseline, RemoteFactor: p.RemoteFactor, LocalityWait: p.LocalityWait}
}

// registerPlacementGauges registers the gauges of an entry that describe where it places
// tasks.
func registerPlacementGauges(e *server.Entry, metrics *counter.Counter) {
	sum := func(count func(coordinator.Counts) int) func() float64 {
		return func() float64 {
			total := 0
			for _, v := range e.Services() {
				total += count(v.Counts)
			}
			return float64(total)
		}
	}
	metrics.Gauge("locality_waiting_jobs", sum(func(c coordinator.Counts) int { return c.Locality.Waiting }))
	metrics.Gauge("locality_waits_begun", sum(func(c coordinator.Counts) int { return c.Locality.Begun }))
	metrics.Gauge("locality_waits_paid_off", sum(func(c coordinator.Counts) int { return c.Locality.PaidOff }))
	metrics.Gauge("locality_waits_given_up", sum(func(c coordinator.Counts) int { return c.Locality.GivenUp }))
}

// logPlacement logs the waits of each service's jobs for capacity near their data when
// their counts have changed, until ctx ends.
func logPlacement(ctx context.Context, e *server.Entry, log *logrus.Entry) {
	ticker := time.NewTicker(placementLogInterval)
	defer ticker.Stop()
	logged := make(map[string]dispatcher.LocalityCounts)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, v := range e.Services() {
			w := v.Counts.Locality
			if w == logged[v.Service] {
				continue
			}
			logged[v.Service] = w
			log.WithFields(logrus.Fields{
				"service": v.Service, "waiting": w.Waiting, "begun": w.Begun, "paid-off": w.PaidOff, "given-up": w.GivenUp,
			}).Info("Entry lets jobs wait for capacity near their data.")
		}
	}
}
