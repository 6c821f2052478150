package explainer_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/explainer"
	"mustardlever.dev/mustardlever/internal/fault"
)

// line returns a log line with its clock reading and its wall clock, both in ms.
// The two may differ, since a wall clock may be stepped.
func line(clock, wall int, process, message, fields string) string {
	if fields != "" {
		fields = "," + fields
	}
	return fmt.Sprintf(`{"clock-us":%d,"time":"2026-12-01T10:00:%02d.%03dZ","level":"info","process":%q,"msg":%q%s}`,
		clock*1000, wall/1000, wall%1000, process, message, fields)
}

func readLogs(t *testing.T, logs ...[]string) *explainer.Log {
	l := new(explainer.Log)
	for _, lines := range logs {
		require.NoError(t, l.Read(strings.NewReader(strings.Join(lines, "\n")+"\n")))
	}
	return l
}

func takenLine(clock int, process, request, job string) string {
	return line(clock, clock, process, "Entry takes a job.", fmt.Sprintf(`"request-id":%q,"job":%q,"tasks":2`, request, job))
}

func TestExplainRefusedRequest(t *testing.T) {
	l := readLogs(t, []string{
		"collector-1: " + takenLine(1000, "entry-1", "r1", "j1"),
		line(1200, 1200, "entry-1", "Entry answered a job.",
			`"request-id":"r1","path":"/checks/j1","outcome":"not-run","cause":"hopeless","waiting-tasks":40,"agents":9,"room-cpu":1500`),
		line(1300, 1300, "entry-1", "Log left out lines.", `"omitted":{"Entry takes a job.":7}`),
	})
	x, err := l.Explain("r1")
	require.NoError(t, err)
	require.Equal(t, explainer.VerdictRefused, x.Verdict)
	require.Contains(t, x.String(), "9 agents")
	require.Equal(t, 7, x.OmittedLines)
	byJob, err := l.Explain("j1")
	require.NoError(t, err)
	require.Equal(t, "r1", byJob.RequestID)
}

// The agent's wall clock is two seconds ahead of the entry's. Sorted by wall clock,
// its lines would come after the entry's restart; the hybrid logical clock keeps
// cause and effect in order.
func TestKilledEntryWithClockSkew(t *testing.T) {
	entry := []string{
		takenLine(1000, "entry-1", "r1", "j1"),
		line(3000, 3000, "entry-1", "Entry starts.", ""),
	}
	agent := []string{
		line(1001, 3001, "agent-1", "Agent starts a task.", `"task":"j1.0.0.0","run":897267902,"entry":"entry-1.ab"`),
		line(1700, 3700, "agent-1", "Entry entry-1.ab is lost.", ""),
		line(1701, 3701, "agent-1", "Agent stops a task.", `"task":"j1.0.0.0","entry":"entry-1.ab"`),
	}
	x, err := readLogs(t, agent, entry).Explain("r1")
	require.NoError(t, err)
	require.Equal(t, explainer.VerdictEntryLost, x.Verdict)
	require.Contains(t, x.String(), "run=897267902 ")
	var order []string
	for _, o := range x.Lines {
		order = append(order, o.Message)
	}
	require.Equal(t, []string{"Entry takes a job.", "Agent starts a task.", "Entry entry-1.ab is lost.", "Agent stops a task.", "Entry starts."}, order)

	x, err = readLogs(t, agent, entry[:1]).Explain("r1")
	require.NoError(t, err)
	require.Equal(t, explainer.VerdictEntryUnresponsive, x.Verdict, "the entry did not restart")
	require.Len(t, x.Reasons, 1)
}

func taskFailedLine(clock int, job, peer string) string {
	return line(clock, clock, "entry-1", "Entry decides: task-failed.", fmt.Sprintf(`"job":%q,"task":0,"peer":%q`, job, peer))
}

func TestUnhealthyServerAndFaultyJob(t *testing.T) {
	answer := func(clock int, request, job string) string {
		return line(clock, clock, "entry-1", "Entry answered a job.",
			fmt.Sprintf(`"request-id":%q,"path":"/checks/%s","outcome":"failed","cause":"task-failed"`, request, job))
	}
	l := readLogs(t, []string{
		takenLine(1000, "entry-1", "r1", "j1"), taskFailedLine(1010, "j1", "agent-7.a"), taskFailedLine(1020, "j2", "agent-7.a"), taskFailedLine(1030, "j3", "agent-7.a"),
		answer(1040, "r1", "j1"),
		takenLine(2000, "entry-1", "r9", "j9"), taskFailedLine(2010, "j9", "agent-1.a"), taskFailedLine(2020, "j9", "agent-2.a"), answer(2030, "r9", "j9"),
	})
	x, err := l.Explain("r1")
	require.NoError(t, err)
	require.Equal(t, explainer.VerdictUnhealthyServer, x.Verdict)
	x, err = l.Explain("r9")
	require.NoError(t, err)
	require.Equal(t, explainer.VerdictFaultyJob, x.Verdict)
}

func TestJobThatLosesServers(t *testing.T) {
	lost := func(clock int, peer string) string {
		return line(clock, clock, "entry-1", "Entry decides: server-lost.", fmt.Sprintf(`"job":"j1","task":0,"peer":%q`, peer))
	}
	l := readLogs(t, []string{
		takenLine(1000, "entry-1", "r1", "j1"), lost(1010, "agent-1.a"), lost(1020, "agent-2.a"), lost(1030, "agent-3.a"),
		line(1031, 1031, "entry-1", "Entry answered a job.", `"request-id":"r1","path":"/checks/j1","outcome":"failed","cause":"servers-lost"`),
	})
	x, err := l.Explain("r1")
	require.NoError(t, err)
	require.Equal(t, explainer.VerdictCrashingJob, x.Verdict)
	require.Len(t, x.Reasons, 5)
	require.Contains(t, x.Reasons[3], "agent-3.a")
}

func TestUnknownIDAndUnreadableLines(t *testing.T) {
	l := readLogs(t, []string{takenLine(1000, "entry-1", "r1", "j1"), `{"clock-us":12,"process":"entry-1","ms`, "panic: something"})
	_, err := l.Explain("nobody")
	require.Equal(t, explainer.KindNotFound, fault.KindOf[explainer.Kind](err))
	require.ErrorContains(t, err, "1 lines of 1 processes")
	require.ErrorContains(t, err, "2 lines could not be read")
	_, err = new(explainer.Log).Explain("r1")
	require.ErrorContains(t, err, "0 lines")
}

func FuzzRead(f *testing.F) {
	f.Add(takenLine(1000, "entry-1", "r1", "j1"))
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
			l.Explain(l.Lines[0].RequestID)
		}
	})
}
