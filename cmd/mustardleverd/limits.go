package main

import (
	"context"
	"net/http"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/configurer"
	"mustardlever.dev/mustardlever/counter"
	"mustardlever.dev/mustardlever/limiter"
)

// limits applies the budget of a process to its listeners.
type limits struct {
	budget *limiter.Budget
	pools  []*limiter.Pool
}

// newLimits returns the limits of a process and sets the soft limit of its runtime.
func newLimits(p configurer.Process, metrics *counter.Counter) *limits {
	b := limiter.NewBudget(limitSettings(p))
	b.Apply()
	l := &limits{budget: b}
	switch {
	case p.Role == configurer.RoleEntry && p.Platform != nil:
		l.pools = []*limiter.Pool{b.Callers, b.Readiness, b.Operators, b.Links}
	case p.Role == configurer.RoleEntry:
		l.pools = []*limiter.Pool{b.Callers, b.Operators, b.Links}
		metrics.Gauge(`limit_used_bytes{account="held-jobs"}`, func() float64 { return float64(b.HeldJobs.Used()) })
		metrics.Gauge(`limit_refused_total{listener="held-jobs"}`, func() float64 { return float64(b.HeldJobs.Refused()) })
	case p.Platform != nil:
		l.pools = []*limiter.Pool{b.Operators, b.Reports}
	default:
		l.pools = []*limiter.Pool{b.Operators}
	}
	limiter.Register(metrics.Gauge, l.pools...)
	return l
}

// limitSettings returns the settings of the budget of a process.
func limitSettings(p configurer.Process) limiter.Settings {
	return limiter.Settings{
		MemoryMiB: p.MemoryMiB, Descriptors: limiter.PermittedDescriptors(p.MaxDescriptors), KeepsJobs: p.Platform == nil,
	}
}

// watch logs what the limits refuse until ctx is done.
func (l *limits) watch(ctx context.Context, log *logrus.Entry) { limiter.Watch(ctx, log, l.pools...) }

// serve listens on address and serves s in the background, within the limits of pool.
func (l *limits) serve(s *http.Server, address string, pool *limiter.Pool) error {
	_, err := pool.Serve(s, address)
	return err
}

// newReadinessServer returns the server of the balancer's readiness checks.
func newReadinessServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}
