package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/sizer"
)

var backlogTestStart = time.Unix(1_000_000, 0)

// Guards against capacity that agents reserve for late jobs, which do not start without
// headroom: such work is no backlog.
func TestLateJobsAreNoBacklog(t *testing.T) {
	d := new(Dispatcher[string])
	d.Init(backlogTestStart)
	d.AddAgent("a", sizer.Slots(4), nil)
	d.Report("a", Load{Received: 1})
	timely := Job[string]{Value: "timely", Due: backlogTestStart.Add(time.Hour), Need: sizer.Slots(1), Estimate: time.Second}
	late := Job[string]{Value: "late", Due: backlogTestStart.Add(time.Second), Need: sizer.Slots(2), Estimate: time.Second}
	d.Add(&timely, 2, 2)
	d.Add(&late, 3, 3)
	require.Equal(t, 2000+6000, d.Backlog().Work)
	d.Tick(backlogTestStart.Add(time.Second))
	_, _, ok := d.Next(backlogTestStart.Add(time.Second), nil)
	require.False(t, ok)
	require.Equal(t, Backlog{Work: 2000, Need: sizer.Slots(1)}, d.Backlog())

	d.Report("a", Load{Free: sizer.Slots(4), Received: 1})
	for range 4 { // two timely tasks, then two cores are free: headroom
		_, _, ok = d.Next(backlogTestStart.Add(time.Second), nil)
	}
	require.False(t, ok)
	require.Equal(t, 4000, d.Backlog().Work, "a started job does not wait for headroom")
	d.Remove(&late)
	require.Equal(t, Backlog{}, d.Backlog())
	require.InDelta(t, 0, d.heldBackWork, 1e-6)
}

// Guards against a number of messages that grows with agents times jobs, against agents
// that learn of a backlog too late, and against a backlog that stays at an agent.
func TestBacklogIsReportedToFewAgents(t *testing.T) {
	d := new(Dispatcher[string])
	d.Init(backlogTestStart)
	for i := range 30 {
		name := fmt.Sprintf("agent-%d", i)
		d.AddAgent(name, sizer.Slots(4), nil)
		if i == 29 {
			d.Report(name, Load{OfferedElsewhere: 2000})
		}
	}
	reported := map[string]Backlog{}
	report := func(after time.Duration) []string {
		var names []string
		d.ReportBacklog(backlogTestStart.Add(after), func(agent string, b Backlog) {
			reported[agent] = b
			names = append(names, agent)
		})
		return names
	}
	require.Len(t, report(0), 30, "agents learn that the entry shares its demand")
	require.Empty(t, report(20*time.Millisecond))
	j := Job[string]{Need: sizer.Slots(1), Estimate: time.Second}
	d.Add(&j, 3, 3)
	first := report(200 * time.Millisecond)
	require.Len(t, first, 3)
	require.Equal(t, "agent-29", first[0], "has free capacity")
	total := 0
	for i := range 50 {
		total += len(report(220*time.Millisecond + time.Duration(i)*20*time.Millisecond))
	}
	require.LessOrEqual(t, total, 30*10, "at most ten a second to an agent")
	d.Remove(&j)
	report(3 * time.Second)
	for name, b := range reported {
		require.Zero(t, b.Work, name)
	}
	d.StopReportingBacklog(func(agent string, b Backlog) { reported[agent] = b })
	for name, b := range reported {
		require.Negative(t, b.Work, name)
	}
	require.Len(t, report(4*time.Second), 30, "sharing has begun again")
}

// Guards against tasks that end a few milliseconds late on a server that is just fast
// enough, which an entry that sees a part of the capacity chooses more often.
func TestServerThatIsJustFastEnoughIsSkippedWhileBacklogsAreReported(t *testing.T) {
	for _, reports := range []bool{false, true} {
		d := new(Dispatcher[string])
		d.Init(backlogTestStart)
		d.AddAgent("a", sizer.Slots(4), nil)
		d.Report("a", Load{Free: sizer.Slots(4)})
		if reports {
			d.ReportBacklog(backlogTestStart, func(string, Backlog) {})
		}
		for range 200 {
			d.RecordDuration("a", time.Second, 1500*time.Millisecond)
		}
		j := Job[string]{Due: backlogTestStart.Add(1510 * time.Millisecond), Need: sizer.Slots(1), Estimate: time.Second}
		d.Add(&j, 1, 1)
		_, _, ok := d.Next(backlogTestStart, nil)
		require.Equal(t, !reports, ok)
	}
}
