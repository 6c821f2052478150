package main

import (
	"context"
	"net"
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
	"mustardlever.dev/mustardlever/logger"
	"mustardlever.dev/mustardlever/operator"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/server"
)

const (
	startTimeout = 15 * time.Second
	stopMargin   = 10 * time.Second
	// balancerGrace is the time between an entry's turning unready and its
	// closing of the callers' listener, in which the balancer leaves it.
	balancerGrace = time.Second
	// agentLinger merges the lines of a calm agent, some 20 a second, by two or three.
	agentLinger = 100 * time.Millisecond
	// flushLimit bounds the wait for the log's reader at the end.
	flushLimit = 200 * time.Millisecond
	// yieldMargin is the time before the end of a planned stop at which jobs
	// that have not ended are given up to their witnesses.
	yieldMargin = time.Second
)

// run wires one process and runs it until a signal.
func run(_ context.Context, c *cli.Command) error {
	p, configuration, err := load(c.String("settings"))
	if err != nil {
		return err
	}
	role := fx.Options(fx.Provide(newEntry), fx.Invoke(serveEntry))
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
		fx.Provide(func(log *logrus.Entry) *reloader { return &reloader{path: c.String("settings"), log: log, known: p} }),
		fx.Invoke(watchSettings),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(time.Duration(p.DrainMillis)*time.Millisecond+stopMargin),
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

// newLog returns the process's log: JSON lines of bounded number on standard
// output. What an agent starts is told by the entry's lines too, so that its
// lines may wait for each other.
func newLog(l fx.Lifecycle, p configurer.Process, n *counter.Counter, r *recorder.Recorder) *logrus.Entry {
	level, err := logrus.ParseLevel(p.LogLevel)
	if err != nil {
		level = logrus.InfoLevel
	}
	s := logger.Settings{Clock: r.Now}
	if p.Role == configurer.RoleAgent {
		s.Linger = agentLinger
	}
	log, w := logger.New(os.Stdout, level, logrus.Fields{"part": p.Role, "process": p.Name}, s)
	l.Append(fx.StopHook(func() { w.Flush(flushLimit) }))
	n.Gauge("log_lines_dropped", func() float64 { return float64(w.Dropped()) })
	return log
}

// watchSettings runs the reloader while the process runs.
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
		Address: p.LinkAdvertised, Operator: p.OperatorAddress,
	}
}

func newEntry(p configurer.Process, c configurer.Configuration, log *logrus.Entry, r *recorder.Recorder, n *counter.Counter) *server.Entry {
	e := &server.Entry{
		Settings: entrySettings(p, c), Log: log, Recorder: r,
		ObserveDecision: func(service string, d coordinator.Decision) { noteDecision(log, n, service, d) },
	}
	gaugeEntry(e, n)
	return e
}

func entrySettings(p configurer.Process, c configurer.Configuration) server.EntrySettings {
	services := make(map[string]coordinator.Settings)
	for name, s := range c.Services {
		services[name] = coordinator.Settings{
			TicketLife: millis(s.TicketLifeMillis), Retention: millis(s.RetentionMillis),
			Deadline: millis(s.DeadlineMillis), QueueTasks: s.QueueTasks,
		}
	}
	return server.EntrySettings{
		Identity: identity(p), Entries: p.Entries, TicketKey: []byte(p.TicketKey), Services: services,
	}
}

func newAgent(p configurer.Process, c configurer.Configuration, log *logrus.Entry, r *recorder.Recorder) (*server.Agent, error) {
	s, err := agentSettings(p, c)
	return &server.Agent{Settings: s, Log: log, Recorder: r}, err
}

const defaultSlots = 8

func agentSettings(p configurer.Process, c configurer.Configuration) (server.AgentSettings, error) {
	a := server.AgentSettings{Identity: identity(p), Entries: p.Entries}
	for _, b := range p.BackendServers {
		s, ok := c.Services[b.Service]
		if !ok {
			return a, &configurer.Error{
				Op: "read settings", Kind: configurer.KindInvalid,
				Detail: "backend-servers: the configuration has no service " + b.Service,
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

// serveEntry listens for processes, callers and operators, and drains at the
// stop: callers first, then jobs, then sessions.
func serveEntry(l fx.Lifecycle, p configurer.Process, e *server.Entry, r *recorder.Recorder, settings *reloader, n *counter.Counter) error {
	settings.learn = e.AddEntries
	links, err := net.Listen("tcp", p.LinkAddress)
	if err != nil {
		return err
	}
	callers := apiserver.New(e)
	operators := operator.New(entrySource(e, r, n))
	l.Append(fx.Hook{
		OnStart: func(context.Context) error {
			e.Start(links)
			publish(e.Traffic(), r)
			if err := serve(callers, p.CallerAddress); err != nil {
				return err
			}
			return serve(operators, p.OperatorAddress)
		},
		OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, millis(p.DrainMillis))
			defer cancel()
			stopEntry(ctx, e, callers)
			return operators.Close()
		},
	})
	return nil
}

func stopEntry(ctx context.Context, e *server.Entry, callers *http.Server) {
	e.BeginDrain()
	callers.SetKeepAlivesEnabled(false)
	select {
	case <-ctx.Done():
	case <-time.After(balancerGrace):
	}
	yield := time.AfterFunc(time.Until(deadline(ctx).Add(-yieldMargin)), e.HandOver)
	defer yield.Stop()
	callers.Shutdown(ctx)
	e.Drain(ctx)
	e.Stop()
}

// deadline returns when ctx ends, which is set wherever it is called.
func deadline(ctx context.Context) time.Time {
	d, _ := ctx.Deadline()
	return d
}

func serveAgent(l fx.Lifecycle, p configurer.Process, a *server.Agent, r *recorder.Recorder, settings *reloader, n *counter.Counter) {
	gaugeAgent(a, n)
	settings.learn = a.AddEntries
	operators := operator.New(agentSource(a, r, n))
	l.Append(fx.Hook{
		OnStart: func(context.Context) error {
			a.Start()
			publish(a.Traffic(), r)
			return serve(operators, p.OperatorAddress)
		},
		OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, millis(p.DrainMillis))
			defer cancel()
			a.Drain(ctx)
			a.Stop()
			return operators.Close()
		},
	})
}

func serve(s *http.Server, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go s.Serve(l)
	return nil
}
