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

// clockTick is the unit of processor time in /proc, by the Linux ABI.
const clockTick = 10 * time.Millisecond

// usage returns the processor time a process has used, and its resident
// memory in bytes.
func (p *process) usage(t testing.TB) (cpu time.Duration, resident int64) {
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

// reading is what one process has used and sent so far.
type reading struct {
	cpu      time.Duration
	resident int64
	traffic  operator.Traffic
}

func (p *process) read(t testing.TB) reading {
	var view operator.Process
	require.NoError(t, get(p.operator, "/v1/process", &view))
	cpu, resident := p.usage(t)
	return reading{cpu, resident, view.Traffic}
}

func readAll(t testing.TB, list []*process) (sum reading) {
	for _, p := range list {
		r := p.read(t)
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

// longest returns the time of the answer's longest task at its backend server.
func longest(t testing.TB, a *caller.Answer) time.Duration {
	most := int64(0)
	for _, r := range a.Tasks {
		var done standin.TaskResult
		require.NoError(t, json.Unmarshal(r.Body, &done))
		most = max(most, done.DurationMicros)
	}
	return time.Duration(most) * time.Microsecond
}

// load submits jobs and notes how long each took beyond its longest task.
type load struct {
	fleet  *fleet
	client *submitter.Client
	body   []byte
	failed atomic.Int64
	mu     sync.Mutex
	took   []time.Duration
}

func newLoad(f *fleet, tasks, millis int) *load {
	c := f.client(0)
	c.TicketBatch = 500
	c.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	return &load{fleet: f, client: c, body: job("", tasks, millis)}
}

func (l *load) one() {
	begin := time.Now()
	var answer *caller.Answer
	a, err := l.client.Ticket(l.fleet.t.Context(), service)
	if err == nil {
		begin = time.Now()
		answer, err = l.client.SubmitTicket(l.fleet.t.Context(), a, "", l.body)
		if err == nil && answer.State != caller.StateComplete {
			err = fmt.Errorf("%s", answer.Reason)
		}
	}
	took := time.Since(begin)
	if err != nil {
		l.failed.Add(1)
		return
	}
	took -= longest(l.fleet.t, answer)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.took = append(l.took, took)
}

// paced submits n jobs at even intervals.
func (l *load) paced(n int, every time.Duration) {
	var wait sync.WaitGroup
	next := time.Now()
	for range n {
		time.Sleep(time.Until(next))
		wait.Go(l.one)
		next = next.Add(every)
	}
	wait.Wait()
}

// closed submits n jobs from a number of callers, each after the other's end.
func (l *load) closed(n, callers int) {
	var wait sync.WaitGroup
	var left atomic.Int64
	left.Store(int64(n))
	for range callers {
		wait.Go(func() {
			for left.Add(-1) >= 0 {
				l.one()
			}
		})
	}
	wait.Wait()
}

// BenchmarkAddedTime submits b.N jobs of 10 tasks of 10 ms at 2,000 starts a
// second, through one of two entries to 11 backend servers of 8 slots, and
// reports the time beyond the tasks' own.
func BenchmarkAddedTime(b *testing.B) {
	const tasks, every = 10, 5 * time.Millisecond
	f := newFleet(b, 2, 11)
	newLoad(f, tasks, 10).paced(200, every) // warm connections
	l := newLoad(f, tasks, 10)
	b.ResetTimer()
	l.paced(b.N, every)
	b.StopTimer()
	require.Zero(b, l.failed.Load())
	slices.Sort(l.took)
	b.ReportMetric(float64(percentile(l.took, 0.5))/1e6, "added-p50-ms")
	b.ReportMetric(float64(percentile(l.took, 0.99))/1e6, "added-p99-ms")
}

// BenchmarkThroughput submits b.N jobs of 50 tasks without work from 64
// callers through one of two entries.
func BenchmarkThroughput(b *testing.B) {
	const tasks, callers = 50, 64
	f := newFleet(b, 2, 11)
	newLoad(f, tasks, 0).closed(100, callers)
	l := newLoad(f, tasks, 0)
	all := append(slices.Clone(f.entries), f.agents...)
	before, entryBefore := readAll(b, all), f.entries[0].read(b)
	b.ResetTimer()
	l.closed(b.N, callers)
	b.StopTimer()
	require.Zero(b, l.failed.Load())
	after, entryAfter := readAll(b, all), f.entries[0].read(b)
	n := float64(b.N * tasks)
	b.ReportMetric(n/b.Elapsed().Seconds(), "starts/s")
	b.ReportMetric(n/(entryAfter.cpu-entryBefore.cpu).Seconds(), "starts/entry-core-s")
	b.ReportMetric(float64(after.traffic.MessagesOut-before.traffic.MessagesOut)/n, "messages/task")
	b.ReportMetric(float64(after.traffic.FramesOut-before.traffic.FramesOut)/n, "frames/task")
	b.ReportMetric(float64(after.traffic.BytesOut-before.traffic.BytesOut)/n, "bytes/task")
}
