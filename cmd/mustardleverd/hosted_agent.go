package main

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"mustardlever.dev/mustardlever/configurer"
	"mustardlever.dev/mustardlever/counter"
	"mustardlever.dev/mustardlever/executor"
	"mustardlever.dev/mustardlever/leaser"
	"mustardlever.dev/mustardlever/operator"
	"mustardlever.dev/mustardlever/platform"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/server"
)

// serveHostedAgent runs an agent on the users' platform.
func serveHostedAgent(l fx.Lifecycle, p configurer.Process, log *logrus.Entry, r *recorder.Recorder, settings *reloader, n *counter.Counter) error {
	a := &server.Agent{
		Settings: server.AgentSettings{Identity: identity(p), Entries: p.Entries, Messenger: hostedTiming(), SuspectAfter: hostedSuspect},
		Log:      log, Recorder: r,
	}
	settings.learn = a.AddEntries
	store := newStore(p, log, n)
	x := newLeased(p, a, store, log)
	reports := &http.Server{
		Handler:           platform.ReportsHandler(log, func(r executor.Report) { x.HandleReport(r) }, x.HandleStopped),
		ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
	}
	x.ObserveCall = func(k leaser.Kind, v leaser.Status, took time.Duration) {
		n.ObserveBackendCall(k.String(), v.String(), took)
	}
	gaugeAgent(a, n)
	gaugeBackendServer(x, n)
	source := agentSource(a, r, n)
	source.BackendServer = x.View
	operators := operator.New(source)
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
		SetUnresponsive: func(held bool) { a.SetUnresponsive(service, held) },
		Withdraw:        func(executor.Report) { a.Withdraw(service) },
		Finish:          func(id uint64, result *protocol.Result) { a.Finish(service, id, result) },
		FinishStopped:   func(id uint64) { a.FinishStopped(service, id) },
	}
	x.Offer = func(r executor.Report) {
		a.Offer(server.Offer{
			Service: service, Address: r.Address, Capacity: r.Capacity, Labels: r.Labels,
			Backend: server.Backend{Start: x.Run, Stop: x.Stop, OwnerSuspected: x.SetOwnerSuspected},
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
		x.RestoreReport(r)
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
