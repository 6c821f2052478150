package tests

import (
	"fmt"
	"testing"
	"time"
)

const (
	idleDuration = 6 * time.Second // length of the measurement without load
	busyDuration = 5 * time.Second // length of the measurement under load
	jobInterval  = 25 * time.Millisecond
	tasksPerJob  = 50 // with jobInterval, 2,000 starts per second
)

// BenchmarkControl measures the resources that entries and agents use for dispatching.
// It runs two entries and several numbers of agents, each as a process, idle and at
// 2,000 starts per second. It reports bytes per second in both directions, processor
// time as a percentage of one core, and resident memory, for one entry and as the
// mean of the agents.
func BenchmarkControl(b *testing.B) {
	byAgents := make(map[int]measurements)
	for _, agents := range agentCounts {
		b.Run(fmt.Sprintf("agents-%d", agents), func(b *testing.B) {
			f := newFleet(b, 2, agents)
			byAgents[agents] = make(measurements)
			time.Sleep(time.Second) // until the connections are open and the backups have acknowledged the agents
			b.ResetTimer()
			for range b.N {
				f.measureOverhead(b, byAgents[agents], "idle", func() { time.Sleep(idleDuration) })
				l := newLoadGenerator(f, tasksPerJob, 20)
				f.measureOverhead(b, byAgents[agents], "busy", func() { l.runPaced(int(busyDuration/jobInterval), jobInterval) })
				if n := l.failed.Load(); n > 0 {
					b.Fatalf("%d jobs failed", n)
				}
			}
		})
	}
	printSlopes(byAgents)
}

// agentCounts are the numbers of agents for which BenchmarkControl measures.
var agentCounts = []int{10, 50, 100, 200}

// measurements holds the values for one number of agents by metric.
type measurements map[string]float64

// printSlopes prints the slopes between the first and the last number of agents:
// of an idle entry per agent, and of a busy agent per start per second. The total
// load is the same for each number of agents, so more agents get fewer starts each.
func printSlopes(byAgents map[int]measurements) {
	few, many := agentCounts[0], agentCounts[len(agentCounts)-1]
	a, b := byAgents[few], byAgents[many]
	if a == nil || b == nil {
		return // the command line selects only some numbers of agents
	}
	starts := float64(tasksPerJob) * float64(time.Second/jobInterval)
	startsDifference := starts/float64(few) - starts/float64(many)
	for _, unit := range []string{"B/s", "core%", "MiB"} {
		entry := (b["entry-idle-"+unit] - a["entry-idle-"+unit]) / float64(many-few)
		agent := (a["agent-busy-"+unit] - b["agent-busy-"+unit]) / startsDifference
		fmt.Printf("slope: idle entry: %.4f %s per agent; busy agent: %.4f %s per start/s\n", entry, unit, agent, unit)
	}
}

// measureOverhead calls work, reports the resources that the first entry and the mean
// agent used meanwhile, and stores them in measured.
func (f *fleet) measureOverhead(b *testing.B, measured measurements, name string, work func()) {
	for _, x := range []struct {
		role string
		list []*process
	}{{"entry", f.entries[:1]}, {"agent", f.agents}} {
		before := sumUsage(b, x.list)
		defer func(begin time.Time) {
			after := sumUsage(b, x.list)
			seconds, n := time.Since(begin).Seconds(), float64(len(x.list))
			traffic := after.traffic.BytesIn + after.traffic.BytesOut - before.traffic.BytesIn - before.traffic.BytesOut
			for unit, value := range map[string]float64{
				"B/s":   float64(traffic) / seconds / n,
				"core%": 100 * (after.cpu - before.cpu).Seconds() / seconds / n,
				"MiB":   float64(after.resident) / n / (1 << 20),
			} {
				metric := fmt.Sprintf("%s-%s-%s", x.role, name, unit)
				measured[metric] = value
				b.ReportMetric(value, metric)
			}
		}(time.Now())
	}
	work()
}
