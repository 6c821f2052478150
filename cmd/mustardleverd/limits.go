package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/configurer"
	"mustardlever.dev/mustardlever/counter"
	"mustardlever.dev/mustardlever/limiter"
)

// answerTimeout is the longest time in which a client must receive an answer that is
// ready at once, as those of operators. They may be large, and a client that does not
// read would keep them in memory. Callers' answers are small and may take long.
const answerTimeout = 30 * time.Second

// limits applies the budget of a process on the platform to its listeners.
type limits struct {
	budget *limiter.Budget
	pools  []*limiter.Pool
}

// newLimits returns the limits of a process and sets the soft limit of its runtime.
func newLimits(p configurer.Process, metrics *counter.Counter) *limits {
	b := limiter.NewBudget(limiter.Settings{MemoryMiB: p.Platform.MemoryMiB, Descriptors: p.Platform.MaxDescriptors})
	b.Apply()
	l := &limits{budget: b, pools: []*limiter.Pool{b.Operators, b.Reports}}
	if p.Role == configurer.RoleEntry {
		l.pools = []*limiter.Pool{b.Callers, b.Readiness, b.Operators, b.Links}
	}
	limiter.Register(metrics.Gauge, l.pools...)
	return l
}

// watch logs what the limits refuse until ctx is done.
func (l *limits) watch(ctx context.Context, log *logrus.Entry) { limiter.Watch(ctx, log, l.pools...) }

// serve listens on address and serves s in the background, within the limits of pool.
func (l *limits) serve(s *http.Server, address string, pool *limiter.Pool) error {
	listener, err := limiter.Listen(address)
	if err != nil {
		return err
	}
	limiter.Guard(s)
	if pool != l.budget.Callers {
		s.WriteTimeout = answerTimeout
	}
	go s.Serve(pool.Listener(listener))
	return nil
}

// listenLinks listens for links. Their receive buffers keep the default size, since
// they carry much once their peers have identified themselves.
func (l *limits) listenLinks(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return l.budget.Links.Listener(listener), nil
}

// newReadinessServer returns the server of the balancer's readiness checks.
func newReadinessServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}
