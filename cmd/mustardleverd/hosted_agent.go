package main

import (
	"context"
	"errors"
	"fmt"
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
	"mustardlever.dev/mustardlever/sizer"
	"mustardlever.dev/mustardlever/starter"
)

// serveHostedAgent runs an agent on the users' platform.
func serveHostedAgent(l fx.Lifecycle, p configurer.Process, log *logrus.Entry, r *recorder.Recorder, settings *reloader, metrics *counter.Counter) error {
	a := &server.Agent{
		Settings: server.AgentSettings{Identity: identity(p), Entries: p.Entries, LinkKey: []byte(p.LinkKey), Messenger: hostedMessengerSettings(), FollowEvacuations: p.Platform.EvacuationMillis > 0,
			Starter: starter.Settings{ColdOverage: p.Platform.ColdOverage, ColdSlack: p.Platform.ColdSlack, ReportProfiles: p.Platform.ServerProfiles}},
		Log: log, Recorder: r,
	}
	settings.addEntries = a.AddEntries
	store := newStore(p, log, metrics)
	ctx, cancel := context.WithCancel(context.Background())
	leased := newLeasedExecutor(ctx, p, a, store, log)
	reportServer := &http.Server{
		Handler:           platform.ReportsHandler(log, func(r executor.Report) { leased.HandleReport(r) }, leased.HandleStopped),
		ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	limits := newLimits(p, metrics)
	leased.ObserveCall = func(k leaser.Kind, s leaser.Status, duration time.Duration) {
		metrics.ObserveBackendCall(k.String(), s.String(), duration)
	}
	registerAgentGauges(a, metrics)
	view := func() executor.View { return backendServerView(a, leased) }
	registerBackendServerGauges(view, metrics)
	source := agentSource(a, r, metrics)
	source.BackendServer = view
	operatorServer := operator.New(source)
	l.Append(fx.Hook{
		OnStart: func(context.Context) error {
			log.WithField("settings", p.Platform).Info("Agent starts.")
			a.Start()
			publishVariables(a.Traffic(), r)
			leased.Start(ctx)
			go restoreReport(ctx, store, p.Name, leased, log)
			go newRegistrar(store, nil, a, log).Run(ctx)
			go limits.watch(ctx, log)
			return errors.Join(
				limits.serve(reportServer, p.Platform.ReportsAddress, limits.budget.Reports),
				limits.serve(operatorServer, p.OperatorAddress, limits.budget.Operators),
			)
		},
		OnStop: func(context.Context) error {
			defer cancel()
			log.Info("Agent stops as planned.")
			stopCtx, cancelStop := context.WithTimeout(context.Background(), time.Duration(p.Platform.ShutdownSeconds)*time.Second-abortMargin)
			defer cancelStop()
			a.Drain(stopCtx)
			a.Stop()
			log.Info("Agent has stopped.")
			return nil
		},
	})
	return nil
}

func newLeasedExecutor(ctx context.Context, p configurer.Process, a *server.Agent, store *platform.Store, log *logrus.Entry) *executor.LeasedExecutor {
	backends := platform.NewBackends()
	service := p.Platform.Service
	maxLease := time.Duration(p.Platform.MaxLeaseMillis) * time.Millisecond
	leased := &executor.LeasedExecutor{
		Settings: leaser.Settings{
			Lease: min(hostedLease, maxLease), MaxLease: maxLease, OwnerTimeout: hostedOwnerTimeout, StartTimeout: hostedStartTimeout,
		},
		Service:        service,
		ReportInterval: time.Duration(p.Platform.ReportIntervalMillis) * time.Millisecond,
		Log:            log, Call: backends.Call,
		OwnerContact:    a.LastContact,
		SetUnresponsive: func(unresponsive bool) { a.SetUnresponsive(service, unresponsive) },
		SetCapacity:     func(capacity sizer.Resources) { a.SetCapacity(service, capacity) },
		SetCold:         func(remaining time.Duration) { a.SetCold(service, remaining) },
		Withdraw:        func(executor.Report) { a.Withdraw(service) },
		Finish:          func(id uint64, result *protocol.Result) { a.Finish(service, id, result) },
		FinishStopped:   func(id uint64, loss starter.Loss) { a.FinishStopped(service, id, loss) },
		RetractLoss:     func(id uint64) { a.RetractLoss(service, id) },
		ConfirmLoss:     func(id uint64) { a.ConfirmLoss(service, id) },
	}
	saver := &executor.ReportSaver{Log: log, Write: func(ctx context.Context, r executor.Report) error { return store.WriteBackend(ctx, p.Name, r) }}
	leased.Save = func(r executor.Report) { saver.Save(ctx, r) }
	leased.Offer = func(r executor.Report) {
		a.Offer(server.Offer{
			Service: service, Address: r.Address, Capacity: r.Capacity, Labels: r.Labels,
			Backend:     server.Backend{Start: leased.Run, Stop: leased.Stop},
			ColdFor:     time.Duration(r.ColdMillis) * time.Millisecond,
			Incarnation: fmt.Sprintf("%s/%d", r.ID, r.StartedAt),
		})
	}
	return leased
}

// backendServerView returns the state of the agent's backend server.
func backendServerView(a *server.Agent, leased *executor.LeasedExecutor) executor.View {
	v := leased.View()
	if w := a.WarmUp(leased.Service); !w.End.IsZero() {
		v.WarmUpMillis, v.AdmittedShare, v.WarmUpSlack = time.Until(w.End).Milliseconds(), w.Share, w.SlackLeft
	}
	return v
}

// restoreReport restores the backend server's report that an earlier process of
// this agent saved, so that the agent need not wait for the next one.
func restoreReport(ctx context.Context, store *platform.Store, agent string, leased *executor.LeasedExecutor, log *logrus.Entry) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r, ok, err := store.ReadBackend(ctx, agent)
	switch {
	case err != nil:
		log.WithError(err).Info("Reading the saved report from the store failed; the agent waits for the next report.")
	case ok:
		leased.RestoreReport(r)
	}
}
