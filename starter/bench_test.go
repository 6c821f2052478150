package starter

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"mustardlever.dev/mustardlever/protocol"
)

// BenchmarkStartRecord reports the memory of a start record with a result of 100
// bytes.
func BenchmarkStartRecord(b *testing.B) {
	for _, tasks := range []uint64{1000, 10_000} {
		b.Run(fmt.Sprintf("tasks-%d", tasks), func(b *testing.B) {
			for b.Loop() {
				s := newStarter()
				before := heapBytes()
				for sequence := range tasks {
					_, runs := requestStart(s, sequence+1)
					s.Finish(runs[0].ID, &protocol.Result{Status: 200, Body: []byte(strings.Repeat("x", 100))})
					s.TakeDecisions()
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(tasks), "B/mark")
				runtime.KeepAlive(s)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
