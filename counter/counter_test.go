package counter_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/counter"
)

func TestSeries(t *testing.T) {
	c := counter.New()
	c.Answered("desk", "complete", "", 70*time.Millisecond)
	c.Answered("desk", "complete", "", 90*time.Millisecond)
	c.Decided("task-lapsing")
	c.Called("hold", "none", time.Millisecond)
	c.Gauge("configuration_version", func() float64 { return 7 })
	var b bytes.Buffer
	c.Write(&b)
	require.Contains(t, b.String(), `mustardlever_answers_total{service="desk",outcome="complete",cause=""} 2`)
	require.Contains(t, b.String(), `mustardlever_answer_seconds_count{service="desk",outcome="complete"} 2`)
	require.Contains(t, b.String(), `mustardlever_decisions_total{kind="task-lapsing"} 1`)
	require.Contains(t, b.String(), `mustardlever_backend_calls_total{call="hold",verdict="none"} 1`)
	require.Contains(t, b.String(), "mustardlever_configuration_version 7")
}
