package main

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"mustardlever.dev/mustardlever/configurer"
	"mustardlever.dev/mustardlever/executor"
	"mustardlever.dev/mustardlever/keeper"
	"mustardlever.dev/mustardlever/leaser"
	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/operator"
	"mustardlever.dev/mustardlever/platform"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/registrar"
	"mustardlever.dev/mustardlever/router"
	"mustardlever.dev/mustardlever/server"
)

// Timing on the platform. A caller that gets no answer sends its job again
// after 1.3 s, at any entry, and nothing of the first copy may run then: an
// agent stops the tasks of an entry that has been silent for hostedLost, and
// all tasks end by themselves hostedLease after the agent held them last.
const (
	hostedHeartbeat = 100 * time.Millisecond
	hostedDead      = 300 * time.Millisecond
	hostedLost      = 600 * time.Millisecond
	hostedLease     = 700 * time.Millisecond
	hostedDial      = 250 * time.Millisecond // a machine without power does not answer; one that is there does within 10 ms
	hostedStopping  = 200 * time.Millisecond // an agent's look at its sessions and the stop of what runs
	hostedRenewing  = 200 * time.Millisecond // an agent renews leases so long without an answer
	hostedDeadline  = 30 * time.Second       // of a job whose caller names none
	hostedUseful    = 3.0                    // times its due time after which a job's answer is of no use, as the platform states it
	storeTimeout    = 700 * time.Millisecond // of one call that is not repeated
	stopAnswers     = 500 * time.Millisecond // before the end of a planned stop: what is unfinished is told so

	headerTimeout  = 3 * time.Second
	bodyTimeout    = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
)

func hostedTiming() messenger.Settings {
	t := messenger.Timing{Heartbeat: hostedHeartbeat, DeadAfter: hostedDead, LostAfter: hostedLost}
	return messenger.Settings{Agents: t, Entries: t, DialTimeout: hostedDial, MaxRedial: hostedDial}
}

// serveHostedEntry runs an entry on the users' platform.
func serveHostedEntry(l fx.Lifecycle, p configurer.Process, log *logrus.Entry, r *recorder.Recorder, settings *reloader) error {
	links, err := net.Listen("tcp", p.LinkAddress)
	if err != nil {
		return err
	}
	e := newHostedEntry(p, log, r)
	settings.learn = e.Learn
	front := callersServer(&platform.Front{Submit: e.Submit, Cancel: e.Cancel, Look: e.Look})
	ready := &http.Server{Handler: readiness(e), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	operators := operator.New(entrySource(e, r))
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

func newHostedEntry(p configurer.Process, log *logrus.Entry, r *recorder.Recorder) *server.Entry {
	return &server.Entry{
		Settings: server.EntrySettings{
			Identity: identity(p), Entries: p.Entries, Open: true, Messenger: hostedTiming(),
			Keeper: keeper.Settings{Deadline: hostedDeadline, Useful: hostedUseful, LapseWait: hostedLost + hostedStopping + hostedRenewing + hostedLease},
		},
		Log: log, Recorder: r,
		ReadRoutes: func(document []byte) (*router.Table, error) { return platform.DecodeTable(document, time.Now()) },
		Decided:    decisionLog(log),
	}
}

// decisionLog logs the decisions that touch a job and are not routine.
func decisionLog(log *logrus.Entry) func(string, keeper.Decision) {
	return func(service string, d keeper.Decision) {
		switch d.Kind {
		case "job-submitted", "job-complete", "job-failed", "job-stopped":
			return // told by the answer
		}
		log.WithFields(logrus.Fields{
			"service": service, "job": d.Name, "task": d.Task, "peer": d.Peer, "cause": d.Reason,
		}).Info("Entry decides: " + d.Kind + ".")
	}
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

// process is an entry or an agent.
type process interface {
	Learn(addresses []string)
	Peers() []messenger.Identity
}

// newRegistrar returns what finds entries through the store.
func newRegistrar(store *platform.Store, self *registrar.Line, p process, log *logrus.Entry) *registrar.Registrar {
	return &registrar.Registrar{
		Self: self, List: store.ListEntries, Write: store.WriteEntry, Drop: store.DropEntry,
		Learn: p.Learn, Log: log,
		Lonely: func() bool {
			return !slices.ContainsFunc(p.Peers(), func(i messenger.Identity) bool { return i.Role == messenger.RoleEntry })
		},
	}
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
	pauseFor(ctx, balancerLeaves)
	front.SetKeepAlivesEnabled(false)
	front.Shutdown(ctx)
	e.Drain(ctx)
	e.Stop()
}

// balancerLeaves is how long the balancer may send new connections after it
// was told that the entry leaves: it asks once a second and believes the second
// answer.
const balancerLeaves = 2200 * time.Millisecond

func pauseFor(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// serveHostedAgent runs an agent on the users' platform.
func serveHostedAgent(l fx.Lifecycle, p configurer.Process, log *logrus.Entry, r *recorder.Recorder, settings *reloader) error {
	a := &server.Agent{
		Settings: server.AgentSettings{Identity: identity(p), Entries: p.Entries, Messenger: hostedTiming()},
		Log:      log, Recorder: r,
	}
	settings.learn = a.Learn
	store := platform.NewStore(p.Platform.Store)
	x := newLeased(p, a, store, log)
	reports := &http.Server{
		Handler:           platform.ReportsHandler(log, func(r executor.Report) { x.Heard(r) }, x.Left),
		ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
	}
	operators := operator.New(agentSource(a, r))
	ctx, cancel := context.WithCancel(context.Background())
	l.Append(fx.Hook{
		OnStart: func(context.Context) error {
			log.WithField("settings", p.Platform).Info("Agent starts.")
			a.Start()
			publish(a.Traffic(), r)
			x.Start(ctx)
			go remember(ctx, store, p.Name, x, log)
			go newRegistrar(store, nil, a, log).Run(ctx)
			if err := serve(reports, p.Platform.Reports); err != nil {
				return err
			}
			return serve(operators, p.OperatorAddress)
		},
		OnStop: func(context.Context) error {
			defer cancel()
			log.Info("Agent stops as planned.")
			stop, end := context.WithTimeout(context.Background(), time.Duration(p.Platform.StopSeconds)*time.Second-stopAnswers)
			defer end()
			a.Drain(stop)
			a.Stop()
			log.Info("Agent has stopped.")
			return nil
		},
	})
	return nil
}

func newLeased(p configurer.Process, a *server.Agent, store *platform.Store, log *logrus.Entry) *executor.Leased {
	backends := platform.NewBackends()
	service := p.Platform.Service
	x := &executor.Leased{
		Settings: leaser.Settings{Lease: min(hostedLease, time.Duration(p.Platform.LeaseMillis)*time.Millisecond)},
		Interval: time.Duration(p.Platform.ReportMillis) * time.Millisecond,
		Log:      log, Call: backends.Call,
		Hold:          func(held bool) { a.Hold(service, held) },
		Withdraw:      func(executor.Report) { a.Withdraw(service) },
		Finish:        func(id uint64, result *messenger.Result) { a.Finish(service, id, result) },
		FinishStopped: func(id uint64) { a.FinishStopped(service, id) },
	}
	x.Offer = func(r executor.Report) {
		a.Offer(server.Offer{
			Service: service, Address: r.Address, Capacity: r.Capacity, Labels: r.Labels,
			Backend: server.Backend{Start: x.Run, Stop: x.Stop},
		})
		go keepOffer(store, p.Name, r, log)
	}
	return x
}

// remember looks up what the backend server offered to an earlier process of
// this agent, so that its next report need not be awaited.
func remember(ctx context.Context, store *platform.Store, agent string, x *executor.Leased, log *logrus.Entry) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r, ok, err := store.ReadBackend(ctx, agent)
	switch {
	case err != nil:
		log.WithError(err).Info("Agent waits for a report, since the store does not answer.")
	case ok:
		x.Remember(r)
	}
}

// keepOffer keeps what the backend server offers. If the store does not take
// it, the next process of this agent waits for a report.
func keepOffer(store *platform.Store, agent string, r executor.Report, log *logrus.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := store.WriteBackend(ctx, agent, r); err != nil {
		log.WithError(err).Info("Store does not take what the backend server offers.")
	}
}
