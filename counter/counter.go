// Package counter counts what a process answers, decides and calls, and serves
// the figures in the text format that operators' tools read. Labels take their
// values from enumerations and from the services of the configuration, so that
// the number of series is bounded.
package counter

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Counter holds the series of one process. Use New.
type Counter struct{ set *metrics.Set }

// New returns a Counter without series.
func New() *Counter { return &Counter{metrics.NewSet()} }

// Answered counts an answer to a caller and its time.
func (c *Counter) Answered(service, outcome, cause string, took time.Duration) {
	c.set.GetOrCreateCounter(fmt.Sprintf("mustardlever_answers_total{service=%q,outcome=%q,cause=%q}", service, outcome, cause)).Inc()
	c.set.GetOrCreatePrometheusHistogram(fmt.Sprintf("mustardlever_answer_seconds{service=%q,outcome=%q}", service, outcome)).Update(took.Seconds())
}

// Decided counts a decision about a job or a task.
func (c *Counter) Decided(kind string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("mustardlever_decisions_total{kind=%q}", kind)).Inc()
}

// Called counts a call to a backend server by its verdict.
func (c *Counter) Called(call, verdict string, took time.Duration) {
	c.set.GetOrCreateCounter(fmt.Sprintf("mustardlever_backend_calls_total{call=%q,verdict=%q}", call, verdict)).Inc()
	c.set.GetOrCreatePrometheusHistogram(fmt.Sprintf("mustardlever_backend_call_seconds{call=%q}", call)).Update(took.Seconds())
}

// Gauge has the series name read by value whenever the figures are served.
func (c *Counter) Gauge(name string, value func() float64) {
	c.set.GetOrCreateGauge("mustardlever_"+name, value)
}

// Write writes all series.
func (c *Counter) Write(w io.Writer) { c.set.WritePrometheus(w) }
