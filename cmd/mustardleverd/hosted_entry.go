package main

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"mustardlever.dev/mustardlever/configurer"
	"mustardlever.dev/mustardlever/conninspector"
	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/counter"
	"mustardlever.dev/mustardlever/evacuator"
	"mustardlever.dev/mustardlever/operator"
	"mustardlever.dev/mustardlever/pausedetector"
	"mustardlever.dev/mustardlever/platform"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/registrar"
	"mustardlever.dev/mustardlever/router"
	"mustardlever.dev/mustardlever/server"
)

// serveHostedEntry runs an entry on the users' platform.
func serveHostedEntry(l fx.Lifecycle, p configurer.Process, log *logrus.Entry, r *recorder.Recorder, settings *reloader, metrics *counter.Counter) error {
	limits := newLimits(p, metrics)
	linkListener, err := limits.budget.Links.ListenPlain(p.LinkAddress)
	if err != nil {
		return err
	}
	e := newHostedEntry(p, log, r, metrics)
	e.Settings.FrameMemory = limits.budget.Frames
	settings.addEntries = e.AddEntries
	callerServer := newCallerServer(&platform.ClientHandler{Submit: e.SubmitSync, Cancel: e.Cancel, LookupPath: e.LookupPath})
	readinessServer := newReadinessServer(readinessHandler(e))
	source := entrySource(e, r, metrics)
	source.Configuration = e.Configuration
	source.Plan = func(r server.PlanRequest) (server.PlanView, error) { return e.Plan(r, platform.DecodePlanned) }
	operatorServer := operator.New(source)
	ctx, cancel := context.WithCancel(context.Background())
	l.Append(fx.Hook{
		OnStart: func(context.Context) error {
			log.WithField("settings", p.Platform).Info("Entry starts.")
			e.Start(linkListener)
			publishVariables(e.Traffic(), r)
			store := newStore(p, log, metrics)
			store.ConfigurationProgress = e.RecordSourceProgress
			go logPlacement(ctx, e, log)
			if p.Platform.EvacuationMillis > 0 {
				store.ObserveEvacuations = func(r evacuator.Report) { e.AdoptEvacuations(r, "store") }
			}
			go newHostedFollower(store, e, log).Run(ctx)
			go newRegistrar(store, &registrar.Registration{Name: p.Name, Address: e.Identity().Address}, e, log).Run(ctx)
			go limits.watch(ctx, log)
			return errors.Join(
				limits.serve(callerServer, p.CallerAddress, limits.budget.Callers),
				limits.serve(readinessServer, p.Platform.ReadyAddress, limits.budget.Readiness),
				limits.serve(operatorServer, p.OperatorAddress, limits.budget.Operators),
			)
		},
		OnStop: func(context.Context) error {
			defer cancel()
			log.Info("Entry stops as planned.")
			stopHostedEntry(time.Duration(p.Platform.ShutdownSeconds)*time.Second, e, callerServer)
			log.Info("Entry has stopped.")
			return nil
		},
	})
	return nil
}

func newHostedEntry(p configurer.Process, log *logrus.Entry, r *recorder.Recorder, metrics *counter.Counter) *server.Entry {
	e := &server.Entry{
		Settings: server.EntrySettings{
			Identity: identity(p), Entries: p.Entries, LinkKey: []byte(p.LinkKey), AddAnnouncedServices: true, Messenger: hostedMessengerSettings(),
			ShareDemand: p.Platform.ShareDemand, FollowEvacuations: p.Platform.EvacuationMillis > 0,
			Coordinator: hostedCoordinatorSettings(p.Platform),
		},
		Log: log, Recorder: r,
		DecodeRoutes:    func(document []byte) (*router.Table, error) { return platform.DecodeTable(document, time.Now()) },
		ObserveDecision: func(service string, d coordinator.Decision) { recordDecision(log, metrics, service, d) },
		ObserveAnswer: func(route *router.Route, reply server.SyncReply, duration time.Duration) {
			a := counter.Answer{Outcome: string(reply.Outcome), Cause: string(reply.Reason), Duration: duration}
			if route != nil {
				a.Route, a.Service = route.Name, route.Service
			}
			metrics.ObserveAnswer(a)
		},
	}
	registerEntryGauges(e, metrics)
	registerPlacementGauges(e, metrics)
	return e
}

// hostedCoordinatorSettings returns the settings of an entry's decisions on the platform.
func hostedCoordinatorSettings(p *configurer.Platform) coordinator.Settings {
	return coordinator.Settings{
		MaxDeadline:     hostedDefaultDeadline,
		UsefulFactor:    hostedUsefulFactor,
		LeaseExpiryWait: hostedSessionTimeout + hostedStopTime + hostedRenewalCutoff + hostedLease,
		ShareAbove:      maxEntries,
		DivideCapacity:  p.DivideCapacity,
		ShedLoad:        p.ShedLoad,
		Dispatcher:      placementSettings(p),
	}
}

// recordDecision counts a decision. It logs the decision too, unless the log line
// of the job's answer contains it.
func recordDecision(log *logrus.Entry, metrics *counter.Counter, service string, d coordinator.Decision) {
	metrics.ObserveDecision(d.Kind)
	switch d.Kind {
	case "job-submitted", "job-complete", "job-failed", "job-stopped":
		return
	}
	fields := log.WithFields(logrus.Fields{"service": service, "job": d.Name, "task": d.Task, "peer": d.Peer, "cause": d.Reason})
	if d.Kind == "start-refused" || strings.HasPrefix(d.Kind, "refused-") {
		fields.Info("Entry decides: " + d.Kind + ".")
		return
	}
	fields.Warn("Entry decides: " + d.Kind + ".")
}

func newCallerServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ConnContext: conninspector.WithConn,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// readinessHandler answers the balancer's readiness checks: 200 while the entry
// accepts jobs, has a configuration and has an agent.
func readinessHandler(e *server.Entry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() || e.Routes.Table() == nil || !e.HasAgents() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// newHostedFollower returns a follower that applies configuration changes from the
// store to the entry.
func newHostedFollower(store *platform.Store, e *server.Entry, log *logrus.Entry) *configurer.Follower {
	return &configurer.Follower{
		Read: store.ReadConfiguration, Await: store.AwaitConfiguration, Log: log,
		Apply: func(document []byte) {
			t, err := platform.DecodeTable(document, time.Now())
			if err != nil {
				log.WithError(err).Warn("Decoding the configuration from the store failed; the entry keeps its current configuration.")
				return
			}
			e.AdoptRoutes(t, "store")
		},
	}
}

// stopHostedEntry shuts an entry down within timeout. Jobs of connected callers run
// to completion. Those that are unfinished abortMargin before the timeout are
// aborted and their callers answered.
func stopHostedEntry(timeout time.Duration, e *server.Entry, callerServer *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout-abortMargin/2)
	defer cancel()
	e.FailReadiness()
	abort := time.AfterFunc(timeout-abortMargin, func() { e.AbortSync(protocol.ReasonStopping) })
	defer abort.Stop()
	pausedetector.Sleep(ctx, hostedBalancerGrace)
	callerServer.SetKeepAlivesEnabled(false)
	callerServer.Shutdown(ctx)
	e.Drain(ctx)
	e.Stop()
}

// hostedBalancerGrace is how long the balancer may send new connections after the
// entry became unready: it checks readiness once per second and removes an entry
// after the second failed check.
const hostedBalancerGrace = 2200 * time.Millisecond
