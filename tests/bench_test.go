package tests

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/caller"
	"mustardlever.dev/mustardlever/internal/standin"
	"mustardlever.dev/mustardlever/operator"
	"mustardlever.dev/mustardlever/submitter"
)

// clockTick is the unit of processor time in /proc. The Linux ABI fixes it.
const clockTick = 10 * time.Millisecond

// cpuAndMemory returns the processor time that a process has used and its resident
// memory in bytes.
func (p *process) cpuAndMemory(t testing.TB) (cpu time.Duration, resident int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	require.NoError(t, err)
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.ParseInt(fields[11], 10, 64)
	require.NoError(t, err)
	system, err := strconv.ParseInt(fields[12], 10, 64)
	require.NoError(t, err)
	pages, err := strconv.ParseInt(fields[21], 10, 64)
	require.NoError(t, err)
	return time.Duration(user+system) * clockTick, pages * int64(os.Getpagesize())
}

// resourceUsage is the processor time, memory and network traffic of a process.
type resourceUsage struct {
	cpu      time.Duration
	resident int64
	traffic  operator.Traffic
}

func (p *process) readUsage(t testing.TB) resourceUsage {
	var view operator.Process
	require.NoError(t, get(p.operatorAddress, "/v1/process", &view))
	cpu, resident := p.cpuAndMemory(t)
	return resourceUsage{cpu, resident, view.Traffic}
}

func sumUsage(t testing.TB, list []*process) (sum resourceUsage) {
	for _, p := range list {
		r := p.readUsage(t)
		sum.cpu += r.cpu
		sum.resident += r.resident
		sum.traffic.FramesOut += r.traffic.FramesOut
		sum.traffic.MessagesOut += r.traffic.MessagesOut
		sum.traffic.BytesOut += r.traffic.BytesOut
		sum.traffic.BytesIn += r.traffic.BytesIn
	}
	return sum
}

func percentile(sorted []time.Duration, p float64) time.Duration {
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

// longestTask returns the running time of the answer's longest task, as measured by
// its backend server.
func longestTask(t testing.TB, a *caller.Answer) time.Duration {
	maxMicros := int64(0)
	for _, r := range a.Tasks {
		var result standin.TaskResult
		require.NoError(t, json.Unmarshal(r.Body, &result))
		maxMicros = max(maxMicros, result.DurationMicros)
	}
	return time.Duration(maxMicros) * time.Microsecond
}

// loadGenerator submits jobs and records how much longer than its longest task each
// job took.
type loadGenerator struct {
	fleet      *fleet
	client     *submitter.Client
	body       []byte
	failed     atomic.Int64
	mu         sync.Mutex
	addedTimes []time.Duration
}

func newLoadGenerator(f *fleet, tasks, millis int) *loadGenerator {
	c := f.client(0)
	c.TicketBatch = 500
	c.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	return &loadGenerator{fleet: f, client: c, body: encodeJob("", tasks, millis)}
}

func (l *loadGenerator) submitOne() {
	begin := time.Now()
	var answer *caller.Answer
	ticket, err := l.client.Ticket(l.fleet.t.Context(), service)
	if err == nil {
		begin = time.Now()
		answer, err = l.client.SubmitTicket(l.fleet.t.Context(), ticket, "", l.body)
		if err == nil && answer.State != caller.StateComplete {
			err = fmt.Errorf("%s", answer.Reason)
		}
	}
	added := time.Since(begin)
	if err != nil {
		l.failed.Add(1)
		return
	}
	added -= longestTask(l.fleet.t, answer)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addedTimes = append(l.addedTimes, added)
}

// runPaced submits n jobs at the given interval.
func (l *loadGenerator) runPaced(n int, interval time.Duration) {
	var wg sync.WaitGroup
	next := time.Now()
	for range n {
		time.Sleep(time.Until(next))
		wg.Go(l.submitOne)
		next = next.Add(interval)
	}
	wg.Wait()
}

// runClosed submits n jobs from a number of callers. Each caller submits its next
// job when its previous one has ended.
func (l *loadGenerator) runClosed(n, callers int) {
	var wg sync.WaitGroup
	var remaining atomic.Int64
	remaining.Store(int64(n))
	for range callers {
		wg.Go(func() {
			for remaining.Add(-1) >= 0 {
				l.submitOne()
			}
		})
	}
	wg.Wait()
}

// BenchmarkAddedTime submits b.N jobs of 10 tasks of 10 ms at 2,000 starts per
// second, through one of two entries to 11 backend servers of 8 slots, and
// reports the time that a job takes in addition to its longest task.
func BenchmarkAddedTime(b *testing.B) {
	const tasks, interval = 10, 5 * time.Millisecond
	f := newFleet(b, 2, 11)
	newLoadGenerator(f, tasks, 10).runPaced(200, interval) // opens the connections
	l := newLoadGenerator(f, tasks, 10)
	b.ResetTimer()
	l.runPaced(b.N, interval)
	b.StopTimer()
	require.Zero(b, l.failed.Load())
	slices.Sort(l.addedTimes)
	b.ReportMetric(float64(percentile(l.addedTimes, 0.5))/1e6, "added-p50-ms")
	b.ReportMetric(float64(percentile(l.addedTimes, 0.99))/1e6, "added-p99-ms")
}

// BenchmarkThroughput submits b.N jobs of 50 tasks of 0 ms from 64 callers through one
// of two entries.
func BenchmarkThroughput(b *testing.B) {
	const tasks, callers = 50, 64
	f := newFleet(b, 2, 11)
	newLoadGenerator(f, tasks, 0).runClosed(100, callers)
	l := newLoadGenerator(f, tasks, 0)
	all := append(slices.Clone(f.entries), f.agents...)
	before, entryBefore := sumUsage(b, all), f.entries[0].readUsage(b)
	b.ResetTimer()
	l.runClosed(b.N, callers)
	b.StopTimer()
	require.Zero(b, l.failed.Load())
	after, entryAfter := sumUsage(b, all), f.entries[0].readUsage(b)
	n := float64(b.N * tasks)
	b.ReportMetric(n/b.Elapsed().Seconds(), "starts/s")
	b.ReportMetric(n/(entryAfter.cpu-entryBefore.cpu).Seconds(), "starts/entry-core-s")
	b.ReportMetric(float64(after.traffic.MessagesOut-before.traffic.MessagesOut)/n, "messages/task")
	b.ReportMetric(float64(after.traffic.FramesOut-before.traffic.FramesOut)/n, "frames/task")
	b.ReportMetric(float64(after.traffic.BytesOut-before.traffic.BytesOut)/n, "bytes/task")
}
