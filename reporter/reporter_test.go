package reporter_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/explainer"
	"mustardlever.dev/mustardlever/internal/fault"
	"mustardlever.dev/mustardlever/reporter"
)

// newTestLog returns a log of two processes over three seconds.
func newTestLog(t *testing.T) *explainer.Log {
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
	require.NoError(t, (&reporter.Report{Title: "A <day>", Log: newTestLog(t), Metrics: m}).Write(&page))
	text := page.String()
	require.Equal(t, 6, strings.Count(text, "<svg"), "jobs, answers, not served, times, waiting tasks, starts; no configuration")
	require.Contains(t, text, "A &lt;day&gt;")
	require.NotContains(t, text, "hopeless <b>")
	require.Contains(t, text, "omitted 7 lines")
	require.Contains(t, text, "<td>mustardlever_answers_total {outcome=complete}</td><td>42</td>")
}

func TestEmptyInputIsRejected(t *testing.T) {
	err := (&reporter.Report{Log: new(explainer.Log)}).Write(new(bytes.Buffer))
	require.Equal(t, reporter.KindEmpty, fault.KindOf[reporter.Kind](err))
	err = new(reporter.Metrics).Read(strings.NewReader("a{ 1\n"))
	require.Equal(t, reporter.KindMetrics, fault.KindOf[reporter.Kind](err))
}

// The phases of the time to the first start are computed from the lines of entry
// and agent.
func TestStartPhases(t *testing.T) {
	at := func(ms int) string { return time.UnixMilli(int64(ms)).UTC().Format(time.RFC3339Nano) }
	var b strings.Builder
	line := func(ms int, process, message, fields string) {
		fmt.Fprintf(&b, `{"clock-us":%d,"time":"%s","process":"%s","msg":"%s",%s}`+"\n", ms*1000, at(ms), process, message, fields)
	}
	for i := range 3 {
		line(100, "entry-1", "Entry takes a job.", fmt.Sprintf(`"request-id":"r%d","job":"j%d"`, i, i))
		line(107+i, "agent-1", "Agent starts a task.", fmt.Sprintf(`"task":"j%d.0.0.4"`, i))
		line(108, "agent-1", "Agent starts a task.", fmt.Sprintf(`"task":"j%d.0.0.1"`, i))
		line(112+i, "agent-1", "Backend server has started a task.", fmt.Sprintf(`"task":"j%d.0.0.4","took-us":4000`, i))
		line(200, "entry-1", "Entry answered a job.", fmt.Sprintf(`"request-id":"r%d","path":"/x/j%d","starts":2,"first-sent-us":5000`, i, i))
	}
	l := new(explainer.Log)
	require.NoError(t, l.Read(strings.NewReader(b.String())))
	l.Sort()
	var got []string
	for _, p := range reporter.StartPhases(l.Lines) {
		got = append(got, fmt.Sprint(p.Jobs, " ", p.Median, " ", p.P99))
	}
	require.Equal(t, []string{"3 5ms 5ms", "3 3ms 3ms", "2 1ms 1ms", "2 4ms 4ms"}, got)
}
