package coordinator

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

const benchSlots = 8

// benchLoad is the load of an agent with all slots free that has received every
// start.
var benchLoad = protocol.Load{Free: sizer.Slots(benchSlots), Received: 1 << 32}

// newLoadedCoordinator returns a Coordinator with the given number of agents, all
// of whose slots are in use, and at least the given number of waiting tasks, in
// jobs of 50 tasks. It also returns the starts that it has sent.
func newLoadedCoordinator(b *testing.B, agents, waiting int) (*Coordinator, []*protocol.Start) {
	c := &Coordinator{Self: "self.1", Service: "s", Settings: Settings{MaxQueuedTasks: 1 << 30, MaxJobs: 1 << 30, MaxResultBytes: 1 << 40}}
	c.Init(testStart)
	for i := range agents {
		name := fmt.Sprintf("agent-%d.1", i)
		c.Receive(testStart, name, protocol.Message{Announce: &protocol.Announce{
			Capacity: sizer.Slots(benchSlots), Load: benchLoad,
		}})
	}
	for c.queue.Waiting() < waiting {
		submitBench(b, c, 50)
	}
	return c, drainStarts(c)
}

// submitBench submits a job with the given number of tasks under a new ticket.
func submitBench(b *testing.B, c *Coordinator, tasks int) {
	t, err := c.Issue(testStart, 1)
	if err == nil {
		_, err = c.Submit(testStart, t[0].Ticket, Job{Tasks: make([]protocol.Request, tasks)})
	}
	if err != nil {
		b.Fatal(err)
	}
}

// BenchmarkStart measures the decisions for one task: its outcome arrives and the
// next task is started. New jobs keep the queue at a constant length.
func BenchmarkStart(b *testing.B) {
	for _, agents := range []int{10, 100, 770} {
		for _, waiting := range []int{1000, 10_000, 55_000} {
			b.Run(fmt.Sprintf("agents-%d/waiting-%d", agents, waiting), func(b *testing.B) {
				c, running := newLoadedCoordinator(b, agents, waiting)
				result := &protocol.Result{Status: 200, ServeMicros: 1000}
				b.ReportAllocs()
				b.ResetTimer()
				for i := 0; b.Loop(); i++ {
					s := running[0]
					running = running[1:]
					c.Receive(testStart, s.Agent, protocol.Message{Outcome: &protocol.Outcome{
						Ticket: s.Ticket, Task: s.Task, Result: result, Load: benchLoad,
					}})
					if i%50 == 49 {
						submitBench(b, c, 50)
					}
					running = append(running, drainStarts(c)...)
				}
			})
		}
	}
}

// BenchmarkTick measures Tick, which entries call every 20 ms, by the number of
// unfinished jobs.
func BenchmarkTick(b *testing.B) {
	for _, jobs := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("jobs-%d", jobs), func(b *testing.B) {
			c, _ := newLoadedCoordinator(b, 10, 50*jobs)
			for b.Loop() {
				c.Tick(testStart.Add(time.Second))
			}
		})
	}
}

// BenchmarkKept reports the memory that an ended job takes per task with a result
// of 100 bytes.
func BenchmarkKept(b *testing.B) {
	for _, jobs := range []int{200, 2000} {
		b.Run(fmt.Sprintf("jobs-%d", jobs), func(b *testing.B) {
			for b.Loop() {
				c, _ := newLoadedCoordinator(b, 10, 0)
				before := heapBytes()
				for range jobs {
					submitBench(b, c, 50)
					for list := drainStarts(c); len(list) > 0; list = drainStarts(c) {
						for _, s := range list {
							body := []byte(strings.Repeat("x", 100))
							c.Receive(testStart, s.Agent, protocol.Message{Outcome: &protocol.Outcome{
								Ticket: s.Ticket, Task: s.Task, Result: &protocol.Result{Status: 200, Body: body}, Load: benchLoad,
							}})
						}
					}
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(50*jobs), "B/task")
				runtime.KeepAlive(c)
			}
		})
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
