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
	for _, agents := range []int{10, 50, 100, 200} {
		b.Run(fmt.Sprintf("agents-%d", agents), func(b *testing.B) {
			f := newFleet(b, 2, agents)
			time.Sleep(time.Second) // rosters and connections settle
			b.ResetTimer()
			for range b.N {
				f.control(b, "idle", func() { time.Sleep(controlIdle) })
				l := newLoad(f, controlTasks, 20)
				f.control(b, "busy", func() { l.paced(int(controlBusy/controlEvery), controlEvery) })
				if n := l.failed.Load(); n > 0 {
					b.Fatalf("%d jobs failed", n)
				}
			}
		})
	}
}

// control runs work and reports what an entry and an agent spent on it.
func (f *fleet) control(b *testing.B, name string, work func()) {
	for _, x := range []struct {
		role string
		list []*process
	}{{"entry", f.entries[:1]}, {"agent", f.agents}} {
		before := readAll(b, x.list)
		defer func(begin time.Time) {
			after := readAll(b, x.list)
			seconds, n := time.Since(begin).Seconds(), float64(len(x.list))
			traffic := after.traffic.BytesIn + after.traffic.BytesOut - before.traffic.BytesIn - before.traffic.BytesOut
			b.ReportMetric(float64(traffic)/seconds/n, fmt.Sprintf("%s-%s-B/s", x.role, name))
			b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/seconds/n, fmt.Sprintf("%s-%s-core%%", x.role, name))
			b.ReportMetric(float64(after.resident)/n/(1<<20), fmt.Sprintf("%s-%s-MiB", x.role, name))
		}(time.Now())
	}
	work()
}
