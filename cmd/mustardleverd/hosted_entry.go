package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"mustardlever.dev/mustardlever/configurer"
	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/counter"
	"mustardlever.dev/mustardlever/dispatcher"
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
func serveHostedEntry(l fx.Lifecycle, p configurer.Process, log *logrus.Entry, r *recorder.Recorder, settings *reloader, n *counter.Counter) error {
	links, err := net.Listen("tcp", p.LinkAddress)
	if err != nil {
		return err
	}
	e := newHostedEntry(p, log, r, n)
	settings.learn = e.AddEntries
	front := callersServer(&platform.ClientHandler{Submit: e.SubmitSync, Cancel: e.Cancel, LookupPath: e.LookupPath})
	ready := &http.Server{Handler: readiness(e), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	source := entrySource(e, r, n)
	source.Configuration = e.Configuration
	operators := operator.New(source)
	ctx, cancel := context.WithCancel(context.Background())
	l.Append(fx.Hook{
		OnStart: func(context.Context) error {
			log.WithField("settings", p.Platform).Info("Entry starts.")
			e.Start(links)
			publish(e.Traffic(), r)
			store := newStore(p, log, n)
			go hostedFollower(store, e, log).Run(ctx)
			go newRegistrar(store, &registrar.Registration{Name: p.Name, Address: e.Identity().Address}, e, log).Run(ctx)
			for s, address := range map[*http.Server]string{front: p.CallerAddress, ready: p.Platform.Ready, operators: p.OperatorAddress} {
				if err := serve(s, address); err != nil {
					return err
				}
			}
			return nil
		},
		OnStop: func(context.Context) error {
			defer cancel()
			log.Info("Entry stops as planned.")
			stopHostedEntry(time.Duration(p.Platform.StopSeconds)*time.Second, e, front)
			log.Info("Entry has stopped.")
			return nil
		},
	})
	return nil
}

func newHostedEntry(p configurer.Process, log *logrus.Entry, r *recorder.Recorder, n *counter.Counter) *server.Entry {
	e := &server.Entry{
		Settings: server.EntrySettings{
			Identity: identity(p), Entries: p.Entries, Open: true, Messenger: hostedTiming(),
			Coordinator: coordinator.Settings{Deadline: hostedDeadline, UsefulFactor: hostedUseful, LeaseExpiryWait: hostedLost + hostedStopping + hostedRenewing + hostedLease,
				Dispatcher: dispatcher.Settings{Baseline: baseline}},
		},
		Log: log, Recorder: r,
		ReadRoutes:      func(document []byte) (*router.Table, error) { return platform.DecodeTable(document, time.Now()) },
		ObserveDecision: func(service string, d coordinator.Decision) { noteDecision(log, n, service, d) },
		ObserveAnswer: func(route *router.Route, r server.SyncReply, took time.Duration) {
			a := counter.Answer{Outcome: string(r.Outcome), Cause: string(r.Reason), Took: took}
			if route != nil {
				a.Route, a.Service = route.Name, route.Service
			}
			n.ObserveAnswer(a)
		},
	}
	gaugeEntry(e, n)
	return e
}

// noteDecision counts a decision, and logs it unless the answer to its job
// tells it.
func noteDecision(log *logrus.Entry, n *counter.Counter, service string, d coordinator.Decision) {
	n.ObserveDecision(d.Kind)
	switch d.Kind {
	case "job-submitted", "job-complete", "job-failed", "job-stopped":
		return
	}
	l := log.WithFields(logrus.Fields{"service": service, "job": d.Name, "task": d.Task, "peer": d.Peer, "cause": d.Reason})
	if d.Kind == "start-refused" {
		l.Info("Entry decides: " + d.Kind + ".")
		return
	}
	l.Warn("Entry decides: " + d.Kind + ".")
}

func callersServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// readiness answers the balancer: 200 while the entry takes callers.
func readiness(e *server.Entry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() || e.Routes.Table() == nil || !e.Serves() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func hostedFollower(store *platform.Store, e *server.Entry, log *logrus.Entry) *configurer.Follower {
	return &configurer.Follower{
		Read: store.ReadConfiguration, Await: store.AwaitConfiguration, Log: log,
		Take: func(document []byte) {
			t, err := platform.DecodeTable(document, time.Now())
			if err != nil {
				log.WithError(err).Warn("Entry cannot read the configuration in the store.")
				return
			}
			e.AdoptRoutes(t, "store")
		},
	}
}

// stopHostedEntry ends an entry within limit. Callers that are here are served
// to their end; what cannot end in time is told so shortly before.
func stopHostedEntry(limit time.Duration, e *server.Entry, front *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), limit-stopAnswers/2)
	defer cancel()
	e.FailReadiness()
	give := time.AfterFunc(limit-stopAnswers, func() { e.AbortSync(protocol.ReasonStopping) })
	defer give.Stop()
	pausedetector.Sleep(ctx, balancerLeaves)
	front.SetKeepAlivesEnabled(false)
	front.Shutdown(ctx)
	e.Drain(ctx)
	e.Stop()
}

// balancerLeaves is how long the balancer may send new connections after it
// was told that the entry leaves: it asks once a second and believes the second
// answer.
const balancerLeaves = 2200 * time.Millisecond
