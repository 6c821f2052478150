package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"mustardlever.dev/mustardlever/configurer"
	"mustardlever.dev/mustardlever/counter"
	"mustardlever.dev/mustardlever/keeper"
	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/operator"
	"mustardlever.dev/mustardlever/platform"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/registrar"
	"mustardlever.dev/mustardlever/router"
	"mustardlever.dev/mustardlever/server"
	"mustardlever.dev/mustardlever/waker"
)

// serveHostedEntry runs an entry on the users' platform.
func serveHostedEntry(l fx.Lifecycle, p configurer.Process, log *logrus.Entry, r *recorder.Recorder, settings *reloader, n *counter.Counter) error {
	links, err := net.Listen("tcp", p.LinkAddress)
	if err != nil {
		return err
	}
	e := newHostedEntry(p, log, r, n)
	settings.learn = e.Learn
	front := callersServer(&platform.Front{Submit: e.Submit, Cancel: e.Cancel, Look: e.Look})
	ready := &http.Server{Handler: readiness(e), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	source := entrySource(e, r)
	source.Metrics = n.Write
	operators := operator.New(source)
	ctx, cancel := context.WithCancel(context.Background())
	l.Append(fx.Hook{
		OnStart: func(context.Context) error {
			log.WithField("settings", p.Platform).Info("Entry starts.")
			e.Start(links)
			publish(e.Traffic(), r)
			store := platform.NewStore(p.Platform.Store)
			go hostedFollower(store, e, log).Run(ctx)
			go newRegistrar(store, &registrar.Line{Name: p.Name, Address: e.Identity().Address}, e, log).Run(ctx)
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
			Keeper: keeper.Settings{Deadline: hostedDeadline, Useful: hostedUseful, LapseWait: hostedLost + hostedStopping + hostedRenewing + hostedLease},
		},
		Log: log, Recorder: r,
		ReadRoutes: func(document []byte) (*router.Table, error) { return platform.DecodeTable(document, time.Now()) },
		Decided:    func(service string, d keeper.Decision) { noteDecision(log, n, service, d) },
		Answered: func(service string, r server.Reply, took time.Duration) {
			n.Answered(service, string(r.Outcome), string(r.Reason), took)
		},
	}
	gaugeEntry(e, n)
	return e
}

// gaugeEntry offers the figures that are read when they are asked for.
func gaugeEntry(e *server.Entry, n *counter.Counter) {
	n.Gauge("configuration_version", func() float64 { return float64(e.Routes.Version()) })
	n.Gauge("configuration_age_seconds", func() float64 {
		if t := e.Routes.Table(); t != nil {
			return time.Since(t.Taken).Seconds()
		}
		return -1 // none yet
	})
	sum := func(of func(keeper.Counts) int) func() float64 {
		return func() float64 {
			total := 0
			for _, v := range e.Services() {
				total += of(v.Counts)
			}
			return float64(total)
		}
	}
	n.Gauge("agents", sum(func(c keeper.Counts) int { return c.Agents }))
	n.Gauge("suspect_agents", sum(func(c keeper.Counts) int { return c.Suspect }))
	n.Gauge("waiting_tasks", sum(func(c keeper.Counts) int { return c.Waiting }))
	n.Gauge("unfinished_jobs", sum(func(c keeper.Counts) int { return c.Active }))
	n.Gauge("room_cores", func() float64 { return sum(func(c keeper.Counts) int { return c.RoomCPU })() / 1000 })
}

// noteDecision counts a decision, and logs it unless the answer to its job
// tells it.
func noteDecision(log *logrus.Entry, n *counter.Counter, service string, d keeper.Decision) {
	n.Decided(d.Kind)
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
	e.LeaveBalancer()
	give := time.AfterFunc(limit-stopAnswers, func() { e.Abandon(messenger.ReasonStopping) })
	defer give.Stop()
	waker.Pause(ctx, balancerLeaves)
	front.SetKeepAlivesEnabled(false)
	front.Shutdown(ctx)
	e.Drain(ctx)
	e.Stop()
}

// balancerLeaves is how long the balancer may send new connections after it
// was told that the entry leaves: it asks once a second and believes the second
// answer.
const balancerLeaves = 2200 * time.Millisecond
