// Package counter counts what a process answers, decides and calls, and serves
// the figures in the text format that operators' tools read. Labels take their
// values from enumerations, and from the routes and services of the
// configuration, of which the first ones are told apart: the number of series is
// bounded.
package counter

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxNames bounds the routes, and the services, that are told apart: an answer
	// has some 15 series for each.
	maxNames = 64
	// otherNames stands for those beyond maxNames.
	otherNames = "other"
)

// Counter holds the series of one process. Use New.
type Counter struct {
	set      *metrics.Set
	routes   names
	services names
}

// New returns a Counter without series.
func New() *Counter { return &Counter{set: metrics.NewSet()} }

// names are the values of a label that were seen. The zero value has none.
type names struct {
	mu    sync.Mutex
	known map[string]bool
}

// bound returns name, or otherNames when there are enough already.
func (n *names) bound(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.known == nil {
		n.known = make(map[string]bool)
	}
	if !n.known[name] && len(n.known) >= maxNames {
		return otherNames
	}
	n.known[name] = true
	return name
}

// Answer is what is counted of an answer to a caller.
type Answer struct {
	Route   string // kind of request; empty: no route leads there
	Service string
	Outcome string
	Cause   string
	Took    time.Duration
}

// ObserveAnswer counts an answer to a caller and its time.
func (c *Counter) ObserveAnswer(a Answer) {
	route, service := c.routes.bound(a.Route), c.services.bound(a.Service)
	c.set.GetOrCreateCounter(fmt.Sprintf("mustardlever_answers_total{route=%q,service=%q,outcome=%q,cause=%q}", route, service, a.Outcome, a.Cause)).Inc()
	c.set.GetOrCreatePrometheusHistogram(fmt.Sprintf("mustardlever_answer_seconds{route=%q,outcome=%q}", route, a.Outcome)).Update(a.Took.Seconds())
}

// ObserveDecision counts a decision about a job or a task.
func (c *Counter) ObserveDecision(kind string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("mustardlever_decisions_total{kind=%q}", kind)).Inc()
}

// ObserveBackendCall counts a call to a backend server by its verdict.
func (c *Counter) ObserveBackendCall(call, verdict string, took time.Duration) {
	c.set.GetOrCreateCounter(fmt.Sprintf("mustardlever_backend_calls_total{call=%q,verdict=%q}", call, verdict)).Inc()
	c.set.GetOrCreatePrometheusHistogram(fmt.Sprintf("mustardlever_backend_call_seconds{call=%q}", call)).Update(took.Seconds())
}

// ObserveStoreCall counts a call to the platform's store by its verdict.
func (c *Counter) ObserveStoreCall(call, verdict string, took time.Duration) {
	c.set.GetOrCreateCounter(fmt.Sprintf("mustardlever_store_calls_total{call=%q,verdict=%q}", call, verdict)).Inc()
	c.set.GetOrCreatePrometheusHistogram(fmt.Sprintf("mustardlever_store_call_seconds{call=%q}", call)).Update(took.Seconds())
}

// Gauge has the series name read by value whenever the figures are served.
func (c *Counter) Gauge(name string, value func() float64) {
	c.set.GetOrCreateGauge("mustardlever_"+name, value)
}

// Write writes all series.
func (c *Counter) Write(w io.Writer) { c.set.WritePrometheus(w) }
