package tests

import (
	"fmt"
	"testing"
	"time"
)

const (
	controlIdle  = 6 * time.Second // measured without load
	controlBusy  = 5 * time.Second // measured under load
	controlEvery = 25 * time.Millisecond
	controlTasks = 50 // of a job: 2,000 starts a second
)

// BenchmarkControl measures what a node spends for control: two entries and a
// number of agents, all processes of their own, idle and at 2,000 starts a
// second. It reports bytes a second (both ways), share of a core in percent
// and resident memory, for an entry and for the mean agent.
func BenchmarkControl(b *testing.B) {
	points := make(map[int]point)
	for _, agents := range controlAgents {
		b.Run(fmt.Sprintf("agents-%d", agents), func(b *testing.B) {
			f := newFleet(b, 2, agents)
			points[agents] = make(point)
			time.Sleep(time.Second) // rosters and connections settle
			b.ResetTimer()
			for range b.N {
				f.control(b, points[agents], "idle", func() { time.Sleep(controlIdle) })
				l := newLoad(f, controlTasks, 20)
				f.control(b, points[agents], "busy", func() { l.paced(int(controlBusy/controlEvery), controlEvery) })
				if n := l.failed.Load(); n > 0 {
					b.Fatalf("%d jobs failed", n)
				}
			}
		})
	}
	printSlopes(points)
}

// controlAgents are the numbers of agents measured.
var controlAgents = []int{10, 50, 100, 200}

// point is what was measured at one number of agents, by metric.
type point map[string]float64

// printSlopes prints the slopes between the first and the last number of
// agents: of an idle entry for each agent, and of an agent for each start a
// second, whose share of the load falls as their number grows.
func printSlopes(points map[int]point) {
	few, many := controlAgents[0], controlAgents[len(controlAgents)-1]
	a, b := points[few], points[many]
	if a == nil || b == nil {
		return // the command chose some sizes only
	}
	starts := float64(controlTasks) * float64(time.Second/controlEvery)
	fewer := starts/float64(few) - starts/float64(many)
	for _, unit := range []string{"B/s", "core%", "MiB"} {
		entry := (b["entry-idle-"+unit] - a["entry-idle-"+unit]) / float64(many-few)
		agent := (a["agent-busy-"+unit] - b["agent-busy-"+unit]) / fewer
		fmt.Printf("slope: entry, idle, for each agent: %.4f %s; agent, for each start/s: %.4f %s\n", entry, unit, agent, unit)
	}
}

// control runs work, reports what an entry and an agent spent on it, and notes
// it in at.
func (f *fleet) control(b *testing.B, at point, name string, work func()) {
	for _, x := range []struct {
		role string
		list []*process
	}{{"entry", f.entries[:1]}, {"agent", f.agents}} {
		before := readAll(b, x.list)
		defer func(begin time.Time) {
			after := readAll(b, x.list)
			seconds, n := time.Since(begin).Seconds(), float64(len(x.list))
			traffic := after.traffic.BytesIn + after.traffic.BytesOut - before.traffic.BytesIn - before.traffic.BytesOut
			for unit, value := range map[string]float64{
				"B/s":   float64(traffic) / seconds / n,
				"core%": 100 * (after.cpu - before.cpu).Seconds() / seconds / n,
				"MiB":   float64(after.resident) / n / (1 << 20),
			} {
				metric := fmt.Sprintf("%s-%s-%s", x.role, name, unit)
				at[metric] = value
				b.ReportMetric(value, metric)
			}
		}(time.Now())
	}
	work()
}
