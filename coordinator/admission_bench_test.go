package coordinator

import (
	"fmt"
	"testing"
	"time"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

// BenchmarkArrival measures the decisions for a synchronous job that arrives at an entry
// with 35 agents without free capacity and a queue of 40 jobs, and leaves again, with and
// without the demand of all entries.
func BenchmarkArrival(b *testing.B) {
	for _, shared := range []bool{false, true} {
		b.Run(fmt.Sprintf("shared-%v", shared), func(b *testing.B) {
			c := &Coordinator{Self: "self.1", Service: "s", Settings: Settings{UsefulFactor: 3, DivideCapacity: true, ShedLoad: true}}
			c.SharesDemand = func() bool { return shared }
			c.Init(testStart)
			for i := range 35 {
				c.Receive(testStart, fmt.Sprintf("agent-%d.1", i), protocol.Message{Announce: &protocol.Announce{Capacity: sizer.Slots(benchSlots)}})
			}
			var demands []protocol.Demand
			for i := range 9 {
				demands = append(demands, protocol.Demand{Entry: fmt.Sprintf("entry-%d.1", i), Sequence: 1, Work: []int{1000}, Rate: 100_000, Arrivals: []int{100_000}})
			}
			c.Receive(testStart, "entry-0.1", protocol.Message{Demand: demands[:5]})
			c.Receive(testStart, "entry-0.1", protocol.Message{Demand: demands[5:]})
			c.Tick(testStart)
			now := testStart.Add(20 * time.Millisecond)
			c.Tick(now)
			if c.sharing != shared {
				b.Fatal("sharing is ", c.sharing)
			}
			job := func(name string) Job {
				return Job{
					Name: name, Tasks: []protocol.Request{{EstimateMillis: 200}, {EstimateMillis: 200}},
					Restart: RestartPolicy{MaxAttempts: 3, FirstAttempt: 1}, Due: 380 * time.Millisecond,
				}
			}
			for i := range 40 {
				c.RunSync(now, job(fmt.Sprint("waiting-", i)))
			}
			c.TakeDecisions()
			b.ReportAllocs()
			for b.Loop() {
				number, answer, err := c.RunSync(now, job("arriving"))
				if err != nil || answer != nil {
					b.Fatal(answer, err)
				}
				c.CancelSync(now, number)
				c.TakeDecisions()
			}
		})
	}
}
