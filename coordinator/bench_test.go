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

// benchLoad is the load of an agent with free slots that has received every
// start.
var benchLoad = protocol.Load{Free: sizer.Slots(benchSlots), Received: 1 << 32}

// loaded returns a Keeper with agents whose slots are all in use, and about
// waiting tasks in the queue, in jobs of 50.
func loaded(b *testing.B, agents, waiting int) (*Coordinator, []*protocol.Start) {
	k := &Coordinator{Self: "self.1", Service: "s", Settings: Settings{QueueTasks: 1 << 30, KeptJobs: 1 << 30, KeptBytes: 1 << 40}}
	k.Init(testStart)
	for i := range agents {
		name := fmt.Sprintf("agent-%d.1", i)
		k.Receive(testStart, name, protocol.Message{Announce: &protocol.Announce{
			Capacity: sizer.Slots(benchSlots), Load: benchLoad,
		}})
	}
	for k.queue.Waiting() < waiting {
		submitBench(b, k, 50)
	}
	return k, starts(k)
}

func submitBench(b *testing.B, k *Coordinator, tasks int) {
	t, err := k.Issue(testStart, 1)
	if err == nil {
		_, err = k.Submit(testStart, t[0].Ticket, Job{Tasks: make([]protocol.Request, tasks)})
	}
	if err != nil {
		b.Fatal(err)
	}
}

// BenchmarkStart takes the outcome of one task and starts the next: the whole
// decision for a task. The queue is kept as long as it was.
func BenchmarkStart(b *testing.B) {
	for _, agents := range []int{10, 100, 770} {
		for _, waiting := range []int{1000, 10_000, 55_000} {
			b.Run(fmt.Sprintf("agents-%d/waiting-%d", agents, waiting), func(b *testing.B) {
				k, running := loaded(b, agents, waiting)
				result := &protocol.Result{Status: 200, ServeMicros: 1000}
				b.ReportAllocs()
				b.ResetTimer()
				for i := 0; b.Loop(); i++ {
					s := running[0]
					running = running[1:]
					k.Receive(testStart, s.Agent, protocol.Message{Outcome: &protocol.Outcome{
						Ticket: s.Ticket, Task: s.Task, Result: result, Load: benchLoad,
					}})
					if i%50 == 49 {
						submitBench(b, k, 50)
					}
					running = append(running, starts(k)...)
				}
			})
		}
	}
}

// BenchmarkTick is the 20 ms tick with a number of unfinished jobs.
func BenchmarkTick(b *testing.B) {
	for _, jobs := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("jobs-%d", jobs), func(b *testing.B) {
			k, _ := loaded(b, 10, 50*jobs)
			for b.Loop() {
				k.Tick(testStart.Add(time.Second))
			}
		})
	}
}

// BenchmarkKept reports the memory of an ended job per task, with a result of
// 100 bytes.
func BenchmarkKept(b *testing.B) {
	for _, jobs := range []int{200, 2000} {
		b.Run(fmt.Sprintf("jobs-%d", jobs), func(b *testing.B) {
			for b.Loop() {
				k, _ := loaded(b, 10, 0)
				before := heap()
				for range jobs {
					submitBench(b, k, 50)
					for list := starts(k); len(list) > 0; list = starts(k) {
						for _, s := range list {
							body := []byte(strings.Repeat("x", 100))
							k.Receive(testStart, s.Agent, protocol.Message{Outcome: &protocol.Outcome{
								Ticket: s.Ticket, Task: s.Task, Result: &protocol.Result{Status: 200, Body: body}, Load: benchLoad,
							}})
						}
					}
				}
				b.ReportMetric(float64(heap()-before)/float64(50*jobs), "B/task")
				runtime.KeepAlive(k)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
