package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"mustardlever.dev/mustardlever/apiserver"
	"mustardlever.dev/mustardlever/configurer"
	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/counter"
	"mustardlever.dev/mustardlever/limiter"
	"mustardlever.dev/mustardlever/logger"
	"mustardlever.dev/mustardlever/operator"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/server"
)

const (
	startTimeout = 15 * time.Second
	// shutdownMargin is added to the drain time to get the shutdown timeout.
	shutdownMargin = 10 * time.Second
	// balancerGrace is the time between an entry becoming unready and closing the
	// callers' listener. Within it the balancer stops sending new connections.
	balancerGrace = time.Second
	// agentLogLinger is how long a log line of an agent waits, so that several
	// are written together. An agent under low load logs about 20 lines per
	// second, which are then written two or three at a time.
	agentLogLinger = 100 * time.Millisecond
	// flushTimeout limits the wait at exit for the reader of standard output to
	// take the remaining log lines.
	flushTimeout = 200 * time.Millisecond
	// handOverMargin is the time before the end of a graceful shutdown at which
	// unfinished jobs are handed over to their backups.
	handOverMargin = time.Second
)

// run starts an entry or an agent and runs it until a signal arrives.
func run(_ context.Context, c *cli.Command) error {
	p, configuration, err := loadSettings(c.String("settings"))
	if err != nil {
		return err
	}
	role := fx.Options(fx.Provide(newLimits, newEntry), fx.Invoke(serveEntry))
	switch {
	case p.Platform != nil && p.Role == configurer.RoleAgent:
		role = fx.Invoke(serveHostedAgent)
	case p.Platform != nil:
		role = fx.Invoke(serveHostedEntry)
	case p.Role == configurer.RoleAgent:
		role = fx.Options(fx.Provide(newAgent), fx.Invoke(serveAgent))
	}
	app := fx.New(
		fx.Supply(p, configuration),
		fx.Provide(newLog, newRecorder, counter.New),
		fx.Provide(func(log *logrus.Entry) *reloader { return &reloader{path: c.String("settings"), log: log, current: p} }),
		fx.Invoke(watchSettings),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(time.Duration(p.MaxDrainMillis)*time.Millisecond+shutdownMargin),
		role,
	)
	if err := app.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		return err
	}
	<-app.Wait()
	ctx, cancel = context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	return app.Stop(ctx)
}

// newLog returns the process's log, which writes rate-limited JSON lines to
// standard output. An agent delays its lines to write several together. It may
// lose delayed lines when it is killed, but the entry's log lines also cover the
// tasks that an agent starts.
func newLog(l fx.Lifecycle, p configurer.Process, metrics *counter.Counter, r *recorder.Recorder) *logrus.Entry {
	level, err := logrus.ParseLevel(p.LogLevel)
	if err != nil {
		level = logrus.InfoLevel
	}
	s := logger.Settings{Clock: r.Now}
	if p.Role == configurer.RoleAgent {
		s.Linger = agentLogLinger
	}
	log, w := logger.New(os.Stdout, level, logrus.Fields{"part": p.Role, "process": p.Name}, s)
	l.Append(fx.StopHook(func() { w.Flush(flushTimeout) }))
	metrics.Gauge("log_lines_dropped", func() float64 { return float64(w.Dropped()) })
	return log
}

// watchSettings runs the reloader until the process stops.
func watchSettings(l fx.Lifecycle, r *reloader) {
	ctx, cancel := context.WithCancel(context.Background())
	l.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go r.run(ctx)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

func newRecorder() *recorder.Recorder { return new(recorder.Recorder) }

func identity(p configurer.Process) protocol.Identity {
	return protocol.Identity{
		Name: p.Name, Role: protocol.Role(p.Role), Zone: p.Zone,
		Address: p.AdvertisedLinkAddress, OperatorAddress: p.OperatorAddress,
	}
}

func newEntry(p configurer.Process, c configurer.Configuration, log *logrus.Entry, r *recorder.Recorder, metrics *counter.Counter, limits *limits) *server.Entry {
	e := &server.Entry{
		Settings: entrySettings(p, c, limits.budget), Log: log, Recorder: r,
		ObserveDecision: func(service string, d coordinator.Decision) { recordDecision(log, metrics, service, d) },
	}
	registerEntryGauges(e, metrics)
	return e
}

func entrySettings(p configurer.Process, c configurer.Configuration, b *limiter.Budget) server.EntrySettings {
	services := make(map[string]coordinator.Settings)
	for name, s := range c.Services {
		services[name] = coordinator.Settings{
			TicketLife: millis(s.TicketLifeMillis), Retention: millis(s.RetentionMillis),
			MaxDeadline: millis(s.DeadlineMillis), MaxQueuedTasks: s.MaxQueuedTasks,
			MaxResultBytes: b.MaxResultBytes() / max(len(c.Services), 1),
		}
	}
	return server.EntrySettings{
		Identity: identity(p), Entries: p.Entries, TicketKey: []byte(p.TicketKey), Services: services, JobMemory: b.HeldJobs, FrameMemory: b.Frames,
		LinkKey: []byte(p.LinkKey),
	}
}

func newAgent(p configurer.Process, c configurer.Configuration, log *logrus.Entry, r *recorder.Recorder) (*server.Agent, error) {
	s, err := agentSettings(p, c)
	return &server.Agent{Settings: s, Log: log, Recorder: r}, err
}

const defaultSlots = 8

func agentSettings(p configurer.Process, c configurer.Configuration) (server.AgentSettings, error) {
	a := server.AgentSettings{Identity: identity(p), Entries: p.Entries, LinkKey: []byte(p.LinkKey)}
	for _, b := range p.BackendServers {
		s, ok := c.Services[b.Service]
		if !ok {
			return a, &configurer.Error{
				Op: "read settings", Kind: configurer.KindInvalid,
				Detail: "backend-servers: the configuration does not define service " + b.Service,
			}
		}
		slots := s.Slots
		if slots == 0 {
			slots = defaultSlots
		}
		a.BackendServers = append(a.BackendServers, server.BackendServer{
			Service: b.Service, Address: b.Address, Slots: slots,
			Connections: s.Connections, Timeout: millis(s.TaskTimeoutMillis),
		})
	}
	return a, nil
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// serveEntry listens for other processes, callers and operators. At shutdown it
// drains callers first, then jobs, and closes the sessions last.
func serveEntry(l fx.Lifecycle, p configurer.Process, e *server.Entry, r *recorder.Recorder, settings *reloader, metrics *counter.Counter, limits *limits) error {
	settings.addEntries = e.AddEntries
	linkListener, err := limits.budget.Links.ListenPlain(p.LinkAddress)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	callerServer := apiserver.New(e)
	operatorServer := operator.New(entrySource(e, r, metrics))
	l.Append(fx.Hook{
		OnStart: func(context.Context) error {
			e.Start(linkListener)
			publishVariables(e.Traffic(), r)
			go limits.watch(ctx, e.Log)
			return errors.Join(
				limits.serve(callerServer, p.CallerAddress, limits.budget.Callers),
				limits.serve(operatorServer, p.OperatorAddress, limits.budget.Operators),
			)
		},
		OnStop: func(ctx context.Context) error {
			defer cancel()
			ctx, cancel := context.WithTimeout(ctx, millis(p.MaxDrainMillis))
			defer cancel()
			stopEntry(ctx, e, callerServer)
			return operatorServer.Close()
		},
	})
	return nil
}

// stopEntry shuts an entry down gracefully by the end of ctx.
func stopEntry(ctx context.Context, e *server.Entry, callerServer *http.Server) {
	e.BeginDrain()
	callerServer.SetKeepAlivesEnabled(false)
	select {
	case <-ctx.Done():
	case <-time.After(balancerGrace):
	}
	handOver := time.AfterFunc(time.Until(deadline(ctx).Add(-handOverMargin)), e.HandOver)
	defer handOver.Stop()
	callerServer.Shutdown(ctx)
	e.Drain(ctx)
	e.Stop()
}

// deadline returns the deadline of ctx, which must have one.
func deadline(ctx context.Context) time.Time {
	d, _ := ctx.Deadline()
	return d
}

func serveAgent(l fx.Lifecycle, p configurer.Process, a *server.Agent, r *recorder.Recorder, settings *reloader, metrics *counter.Counter) {
	registerAgentGauges(a, metrics)
	limits := newLimits(p, metrics)
	ctx, cancel := context.WithCancel(context.Background())
	settings.addEntries = a.AddEntries
	operatorServer := operator.New(agentSource(a, r, metrics))
	l.Append(fx.Hook{
		OnStart: func(context.Context) error {
			a.Start()
			publishVariables(a.Traffic(), r)
			go limits.watch(ctx, a.Log)
			return limits.serve(operatorServer, p.OperatorAddress, limits.budget.Operators)
		},
		OnStop: func(ctx context.Context) error {
			defer cancel()
			ctx, cancel := context.WithTimeout(ctx, millis(p.MaxDrainMillis))
			defer cancel()
			a.Drain(ctx)
			a.Stop()
			return operatorServer.Close()
		},
	})
}
