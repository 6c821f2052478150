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
// limits them to three per service and interval.
const placementLogInterval = 10 * time.Second

// placementSettings returns the settings that decide where tasks are placed.
func placementSettings(p *configurer.Platform) dispatcher.Settings {
	return dispatcher.Settings{Baseline: baseline, RemoteFactor: p.RemoteFactor, LocalityWait: p.LocalityWait, ServerProfiles: p.ServerProfiles}
}

// registerPlacementGauges registers the gauges of an entry that describe where it places
// tasks.
func registerPlacementGauges(e *server.Entry, metrics *counter.Counter) {
	sum := func(count func(coordinator.Counts) int) func() float64 { return sumOfServices(e, count) }
	metrics.Gauge("locality_waiting_jobs", sum(func(c coordinator.Counts) int { return c.Locality.Waiting }))
	metrics.Gauge("locality_waits_begun", sum(func(c coordinator.Counts) int { return c.Locality.Begun }))
	metrics.Gauge("locality_waits_paid_off", sum(func(c coordinator.Counts) int { return c.Locality.PaidOff }))
	metrics.Gauge("locality_waits_given_up", sum(func(c coordinator.Counts) int { return c.Locality.GivenUp }))
	metrics.Gauge("profiles_known", sum(func(c coordinator.Counts) int { return c.Profiles.Known }))
	metrics.Gauge("profiles_in_use", sum(func(c coordinator.Counts) int { return c.Profiles.InUse }))
	metrics.Gauge("agents_excluded", sum(func(c coordinator.Counts) int { return c.Profiles.Excluded }))
	metrics.Gauge("retry_waiting_jobs", sum(func(c coordinator.Counts) int { return c.Profiles.Retries.Waiting }))
	metrics.Gauge("retry_waits_begun", sum(func(c coordinator.Counts) int { return c.Profiles.Retries.Begun }))
	metrics.Gauge("retry_waits_paid_off", sum(func(c coordinator.Counts) int { return c.Profiles.Retries.PaidOff }))
	metrics.Gauge("retry_waits_given_up", sum(func(c coordinator.Counts) int { return c.Profiles.Retries.GivenUp }))
}

// loggedPlacement is what the last log line about a service's placement contained.
type loggedPlacement struct {
	locality dispatcher.WaitCounts
	retries  dispatcher.WaitCounts
	excluded int
}

// logPlacement logs, for each service, the waits of its jobs and the agents that get no
// tasks because of their profiles, when these have changed, until ctx ends.
func logPlacement(ctx context.Context, e *server.Entry, log *logrus.Entry) {
	ticker := time.NewTicker(placementLogInterval)
	defer ticker.Stop()
	logged := make(map[string]loggedPlacement)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, v := range e.Services() {
			last, now := logged[v.Service], loggedPlacement{v.Counts.Locality, v.Counts.Profiles.Retries, v.Counts.Profiles.Excluded}
			logged[v.Service] = now
			log := log.WithField("service", v.Service)
			if w := now.locality; w != last.locality {
				log.WithFields(logrus.Fields{"waiting": w.Waiting, "begun": w.Begun, "paid-off": w.PaidOff, "given-up": w.GivenUp}).
					Info("Entry lets jobs wait for capacity near their data.")
			}
			if w := now.retries; w != last.retries {
				log.WithFields(logrus.Fields{"waiting": w.Waiting, "begun": w.Begun, "paid-off": w.PaidOff, "given-up": w.GivenUp}).
					Info("Entry lets failed tasks wait for servers that are known to succeed.")
			}
			if now.excluded != last.excluded {
				log.WithField("agents", now.excluded).Warn("Entry sends no tasks to agents nearly all of whose runs fail.")
			}
		}
	}
}
