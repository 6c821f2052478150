package reporter_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/explainer"
	"mustardlever.dev/mustardlever/internal/fault"
	"mustardlever.dev/mustardlever/reporter"
)

// dayLog is three seconds of two processes.
func dayLog(t *testing.T) *explainer.Log {
	var b strings.Builder
	for i := range 30 {
		clock := 1_000_000 + i*100_000
		fmt.Fprintf(&b, `{"clock-us":%d,"process":"entry-1","msg":"Entry takes a job.","request-id":"r%d","job":"j%d"}`+"\n", clock, i, i)
		fmt.Fprintf(&b, `{"clock-us":%d,"process":"agent-1","msg":"Agent starts a task.","task":"j%d.0.0.0"}`+"\n", clock+10, i)
		fmt.Fprintf(&b, `{"clock-us":%d,"process":"entry-1","msg":"Entry answered a job.","request-id":"r%d","outcome":"not-run","cause":"hopeless <b>","took-ms":%d}`+"\n", clock+20, i, i)
	}
	b.WriteString(`{"clock-us":3000000,"process":"entry-1","msg":"Log left out lines.","omitted":{"Entry takes a job.":7}}` + "\n")
	l := new(explainer.Log)
	require.NoError(t, l.Read(strings.NewReader(b.String())))
	return l
}

func TestReport(t *testing.T) {
	m := new(reporter.Metrics)
	for range 2 {
		require.NoError(t, m.Read(strings.NewReader("mustardlever_answers_total{outcome=\"complete\"} 21\nmustardlever_agents 4\n")))
	}
	var page bytes.Buffer
	require.NoError(t, (&reporter.Report{Title: "A <day>", Log: dayLog(t), Metrics: m}).Write(&page))
	text := page.String()
	require.Equal(t, 6, strings.Count(text, "<svg"), "jobs, answers, not served, times, waiting tasks, starts; no configuration")
	require.Contains(t, text, "A &lt;day&gt;")
	require.NotContains(t, text, "hopeless <b>")
	require.Contains(t, text, "left out 7 lines")
	require.Contains(t, text, "<td>mustardlever_answers_total {outcome=complete}</td><td>42</td>")
}

func TestNothingToReport(t *testing.T) {
	err := (&reporter.Report{Log: new(explainer.Log)}).Write(new(bytes.Buffer))
	require.Equal(t, reporter.KindEmpty, fault.KindOf[reporter.Kind](err))
	err = new(reporter.Metrics).Read(strings.NewReader("a{ 1\n"))
	require.Equal(t, reporter.KindMetrics, fault.KindOf[reporter.Kind](err))
}
