package counter_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/counter"
)

func TestSeries(t *testing.T) {
	c := counter.New()
	c.ObserveAnswer(counter.Answer{Route: "checks", Service: "desk", Outcome: "complete", Duration: 70 * time.Millisecond})
	c.ObserveAnswer(counter.Answer{Route: "checks", Service: "desk", Outcome: "complete", Duration: 90 * time.Millisecond})
	c.ObserveStoreCall("feed", "done", time.Second)
	c.ObserveStoreReceived("feed", 1500)
	c.ObserveDecision("task-lapsing")
	c.ObserveBackendCall("hold", "none", time.Millisecond)
	c.Gauge("configuration_version", func() float64 { return 7 })
	var b bytes.Buffer
	c.Write(&b)
	require.Contains(t, b.String(), `mustardlever_answers_total{route="checks",service="desk",outcome="complete",cause=""} 2`)
	require.Contains(t, b.String(), `mustardlever_answer_seconds_count{route="checks",outcome="complete"} 2`)
	require.Contains(t, b.String(), `mustardlever_decisions_total{kind="task-lapsing"} 1`)
	require.Contains(t, b.String(), `mustardlever_backend_calls_total{call="hold",verdict="none"} 1`)
	require.Contains(t, b.String(), "mustardlever_configuration_version 7")
	require.Contains(t, b.String(), `mustardlever_store_calls_total{call="feed",verdict="done"} 1`)
	require.Contains(t, b.String(), `mustardlever_store_received_bytes_total{call="feed"} 1500`)
}

// TestRouteLabelsAreBounded guards against a configuration with thousands of routes
// that creates thousands of series: only the first 64 routes have a series each, the
// others share one.
func TestRouteLabelsAreBounded(t *testing.T) {
	c := counter.New()
	for i := range 3000 {
		c.ObserveAnswer(counter.Answer{Route: fmt.Sprint("route-", i), Service: "desk", Outcome: "complete"})
	}
	var b bytes.Buffer
	c.Write(&b)
	require.Equal(t, 65, strings.Count(b.String(), "mustardlever_answers_total{"))
	require.Contains(t, b.String(), `mustardlever_answers_total{route="other",service="desk",outcome="complete",cause=""} 2936`)
}
