// Package counter counts the answers, decisions and calls of a process and
// writes the metrics in the Prometheus text format. Label values come from
// enumerations and from the routes and services of the configuration. Only the
// first maxLabelValues routes and services have label values of their own, so
// that the number of series is bounded.
package counter

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxLabelValues limits the distinct values of the route label and of the
	// service label: answers have about 15 series for each value.
	maxLabelValues = 64
	// otherLabelValue replaces the values beyond maxLabelValues.
	otherLabelValue = "other"
)

// Counter holds the metrics of one process. Create it with New.
type Counter struct {
	set      *metrics.Set
	routes   labelValues
	services labelValues
}

// New returns a Counter without metrics.
func New() *Counter { return &Counter{set: metrics.NewSet()} }

// labelValues holds the values of a label seen so far. The zero value is empty.
type labelValues struct {
	mu   sync.Mutex
	seen map[string]bool
}

// limit returns name, or otherLabelValue if name is new and maxLabelValues values
// were seen already.
func (v *labelValues) limit(name string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.seen == nil {
		v.seen = make(map[string]bool)
	}
	if !v.seen[name] && len(v.seen) >= maxLabelValues {
		return otherLabelValue
	}
	v.seen[name] = true
	return name
}

// Answer describes an answer to a caller.
type Answer struct {
	Route    string // name of the route; empty if no route matches
	Service  string
	Outcome  string
	Cause    string
	Duration time.Duration
}

// ObserveAnswer counts an answer to a caller and records its latency.
func (c *Counter) ObserveAnswer(a Answer) {
	route, service := c.routes.limit(a.Route), c.services.limit(a.Service)
	c.set.GetOrCreateCounter(fmt.Sprintf("mustardlever_answers_total{route=%q,service=%q,outcome=%q,cause=%q}", route, service, a.Outcome, a.Cause)).Inc()
	c.set.GetOrCreatePrometheusHistogram(fmt.Sprintf("mustardlever_answer_seconds{route=%q,outcome=%q}", route, a.Outcome)).Update(a.Duration.Seconds())
}

// ObserveDecision counts a decision about a job or a task.
func (c *Counter) ObserveDecision(kind string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("mustardlever_decisions_total{kind=%q}", kind)).Inc()
}

// ObserveBackendCall counts a call to a backend server by its status and records
// its duration.
func (c *Counter) ObserveBackendCall(call, status string, elapsed time.Duration) {
	c.set.GetOrCreateCounter(fmt.Sprintf("mustardlever_backend_calls_total{call=%q,verdict=%q}", call, status)).Inc()
	c.set.GetOrCreatePrometheusHistogram(fmt.Sprintf("mustardlever_backend_call_seconds{call=%q}", call)).Update(elapsed.Seconds())
}

// ObserveStoreCall counts a call to the platform's store by its status and records
// its duration.
func (c *Counter) ObserveStoreCall(call, status string, elapsed time.Duration) {
	c.set.GetOrCreateCounter(fmt.Sprintf("mustardlever_store_calls_total{call=%q,verdict=%q}", call, status)).Inc()
	c.set.GetOrCreatePrometheusHistogram(fmt.Sprintf("mustardlever_store_call_seconds{call=%q}", call)).Update(elapsed.Seconds())
}

// ObserveStoreReceived counts bytes received from the platform's store.
func (c *Counter) ObserveStoreReceived(call string, bytes int) {
	c.set.GetOrCreateCounter(fmt.Sprintf("mustardlever_store_received_bytes_total{call=%q}", call)).Add(bytes)
}

// Gauge registers a gauge that calls value whenever the metrics are written. The
// name gets the prefix mustardlever_.
func (c *Counter) Gauge(name string, value func() float64) {
	c.set.GetOrCreateGauge("mustardlever_"+name, value)
}

// Write writes all metrics in the Prometheus text format.
func (c *Counter) Write(w io.Writer) { c.set.WritePrometheus(w) }
