package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/sizer"
)

// BenchmarkScan measures a scan of the queue that finds nothing to start, the most
// expensive one: 30 agents in 6 racks, one of which has free capacity that the jobs ahead
// do not use, and 260 jobs: 60 that wait for rack 0, and 200 for which no agent is free.
func BenchmarkScan(b *testing.B) {
	for _, wait := range []bool{false, true} {
		b.Run(fmt.Sprintf("locality-wait-%v", wait), func(b *testing.B) {
			d := new(dispatcher.Dispatcher[int])
			d.Settings = dispatcher.Settings{LocalityWait: wait, RemoteFactor: 3}
			d.Init(startTime)
			now := startTime
			for i := range 30 {
				d.AddAgent(fmt.Sprintf("agent-%02d", i), sizer.Slots(4), []string{fmt.Sprintf("rack-%d", i/5), fmt.Sprintf("zone-%d", i%3)})
			}
			free := func(i, slots int) {
				d.Report(fmt.Sprintf("agent-%02d", i), dispatcher.Load{Free: sizer.Slots(slots), Received: 1 << 40})
			}
			add := func(slots int, label string) {
				d.Add(&dispatcher.Job[int]{Arrived: now, Due: now.Add(time.Hour), Need: sizer.Slots(slots), Estimate: 200 * time.Millisecond, PreferredLabel: label}, 8, 8)
			}
			for i := range 400 { // starts at rack 0 as samples
				now = now.Add(5 * time.Millisecond)
				free(0, 1)
				j := &dispatcher.Job[int]{Value: i, Arrived: now, Need: sizer.Slots(1), Estimate: 200 * time.Millisecond, PreferredLabel: "rack-0"}
				d.Add(j, 1, 1)
				d.Next(now, nil)
				d.Tick(now)
			}
			for i := range 30 {
				free(i, 0)
			}
			for range 60 {
				add(1, "rack-0")
			}
			for range 200 {
				add(2, "")
			}
			if wait {
				free(29, 1)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				if _, _, ok := d.Next(now, nil); ok {
					b.Fatal("a task was started")
				}
			}
			b.ReportMetric(float64(d.LocalityCounts().Waiting), "waiting")
		})
	}
}
