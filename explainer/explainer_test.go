package explainer_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/explainer"
	"mustardlever.dev/mustardlever/internal/fault"
)

// line returns a line at a clock reading in ms. Its wall clock is given apart,
// as it may have jumped.
func line(clock, wall int, process, message, fields string) string {
	if fields != "" {
		fields = "," + fields
	}
	return fmt.Sprintf(`{"clock-us":%d,"time":"2026-12-01T10:00:%02d.%03dZ","level":"info","process":%q,"msg":%q%s}`,
		clock*1000, wall/1000, wall%1000, process, message, fields)
}

func read(t *testing.T, logs ...[]string) *explainer.Log {
	l := new(explainer.Log)
	for _, lines := range logs {
		require.NoError(t, l.Read(strings.NewReader(strings.Join(lines, "\n")+"\n")))
	}
	return l
}

func takes(clock int, process, request, job string) string {
	return line(clock, clock, process, "Entry takes a job.", fmt.Sprintf(`"request-id":%q,"job":%q,"tasks":2`, request, job))
}

func TestRefusedRequest(t *testing.T) {
	l := read(t, []string{
		"collector-1: " + takes(1000, "entry-1", "r1", "j1"),
		line(1200, 1200, "entry-1", "Entry answered a job.",
			`"request-id":"r1","path":"/checks/j1","outcome":"not-run","cause":"hopeless","waiting-tasks":40,"agents":9,"room-cpu":1500`),
		line(1300, 1300, "entry-1", "Log left out lines.", `"omitted":{"Entry takes a job.":7}`),
	})
	x, err := l.Explain("r1")
	require.NoError(t, err)
	require.Equal(t, explainer.VerdictRefused, x.Verdict)
	require.Contains(t, x.String(), "9 agents")
	require.Equal(t, 7, x.LeftOut)
	byJob, err := l.Explain("j1")
	require.NoError(t, err)
	require.Equal(t, "r1", byJob.Request)
}

// The wall clock of the agent is two seconds ahead: its lines still come after
// what caused them and before what they caused.
func TestEntryKilledWhileClocksJump(t *testing.T) {
	entry := []string{
		takes(1000, "entry-1", "r1", "j1"),
		line(3000, 3000, "entry-1", "Entry starts.", ""),
	}
	agent := []string{
		line(1001, 3001, "agent-1", "Agent starts a task.", `"task":"j1.0.0.0","run":897267902,"entry":"entry-1.ab"`),
		line(1700, 3700, "agent-1", "Entry entry-1.ab is lost.", ""),
		line(1701, 3701, "agent-1", "Agent stops a task.", `"task":"j1.0.0.0","entry":"entry-1.ab"`),
	}
	x, err := read(t, agent, entry).Explain("r1")
	require.NoError(t, err)
	require.Equal(t, explainer.VerdictEntryLost, x.Verdict)
	require.Contains(t, x.String(), "run=897267902 ")
	var order []string
	for _, o := range x.Lines {
		order = append(order, o.Message)
	}
	require.Equal(t, []string{"Entry takes a job.", "Agent starts a task.", "Entry entry-1.ab is lost.", "Agent stops a task.", "Entry starts."}, order)

	x, err = read(t, agent, entry[:1]).Explain("r1")
	require.NoError(t, err)
	require.Equal(t, explainer.VerdictEntrySilent, x.Verdict, "it did not begin anew")
	require.Len(t, x.Reasons, 1)
}

func failed(clock int, job, peer string) string {
	return line(clock, clock, "entry-1", "Entry decides: task-failed.", fmt.Sprintf(`"job":%q,"task":0,"peer":%q`, job, peer))
}

func TestSickServerAndFaultyJob(t *testing.T) {
	answer := func(clock int, request, job string) string {
		return line(clock, clock, "entry-1", "Entry answered a job.",
			fmt.Sprintf(`"request-id":%q,"path":"/checks/%s","outcome":"failed","cause":"task-failed"`, request, job))
	}
	l := read(t, []string{
		takes(1000, "entry-1", "r1", "j1"), failed(1010, "j1", "agent-7.a"), failed(1020, "j2", "agent-7.a"), failed(1030, "j3", "agent-7.a"),
		answer(1040, "r1", "j1"),
		takes(2000, "entry-1", "r9", "j9"), failed(2010, "j9", "agent-1.a"), failed(2020, "j9", "agent-2.a"), answer(2030, "r9", "j9"),
	})
	x, err := l.Explain("r1")
	require.NoError(t, err)
	require.Equal(t, explainer.VerdictSickServer, x.Verdict)
	x, err = l.Explain("r9")
	require.NoError(t, err)
	require.Equal(t, explainer.VerdictJob, x.Verdict)
}

func TestUnknownIDAndUnreadableLines(t *testing.T) {
	l := read(t, []string{takes(1000, "entry-1", "r1", "j1"), `{"clock-us":12,"process":"entry-1","ms`, "panic: something"})
	_, err := l.Explain("nobody")
	require.Equal(t, explainer.KindNotFound, fault.KindOf[explainer.Kind](err))
	require.ErrorContains(t, err, "1 lines of 1 processes")
	require.ErrorContains(t, err, "2 lines could not be read")
	_, err = new(explainer.Log).Explain("r1")
	require.ErrorContains(t, err, "0 lines")
}

func FuzzRead(f *testing.F) {
	f.Add(takes(1000, "entry-1", "r1", "j1"))
	f.Add(`{"process":"a","msg":"b","task":{}}`)
	f.Fuzz(func(t *testing.T, text string) {
		l := new(explainer.Log)
		if l.Read(strings.NewReader(text)) != nil {
			return
		}
		for i := range l.Lines {
			_, _ = l.Lines[i].JobID(), l.Lines[i].String()
		}
		if len(l.Lines) > 0 {
			l.Explain(l.Lines[0].Request)
		}
	})
}
