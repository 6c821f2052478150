package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// run is one run of a task, as the executor saw it.
type run struct {
	task     string
	number   int
	executor string
	labels   []string
	begin    time.Time
	end      time.Time // zero while it runs
}

// record writes record.txt and keeps the runs.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
	runs  []*run
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, begin: time.Now()}, err
}

// line writes one line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// write is line for a caller that holds mu.
func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) begun(executor, task string, number int) *run {
	for _, x := range slices.Backward(r.runs) {
		if x.executor == executor && x.task == task && x.number == number && x.end.IsZero() {
			return x
		}
	}
	return nil
}

// started records the start of a run.
func (r *record) started(executor string, labels []string, task string, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, &run{task: task, number: number, executor: executor, labels: labels, begin: time.Now()})
	r.write("executor %s starts task %s, run %d", executor, task, number)
}

// finish records the end of a run.
func (r *record) finish(executor, task string, number int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x := r.begun(executor, task, number); x != nil {
		x.end = time.Now()
	}
	r.write("executor %s ends task %s, run %d: %s", executor, task, number, how)
}

// overlaps returns a text for each pair of runs of one task that ran at the same time
// on two executors, for longer than least.
func (r *record) overlaps(least time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	now := time.Now()
	for i, a := range r.runs {
		for _, b := range r.runs[i+1:] {
			if a.task != b.task {
				continue
			}
			from, to := later(a.begin, b.begin), earlier(orNow(a.end, now), orNow(b.end, now))
			if d := to.Sub(from); d > least {
				found = append(found, fmt.Sprintf("task %s: run %d on %s and run %d on %s ran at the same time for %s, from %.3f s",
					a.task, a.number, a.executor, b.number, b.executor, d.Round(time.Millisecond), from.Sub(r.begin).Seconds()))
			}
		}
	}
	return found
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func orNow(t, now time.Time) time.Time {
	if t.IsZero() {
		return now
	}
	return t
}
