package reporter

import (
	"slices"
	"time"

	"mustardlever.dev/mustardlever/explainer"
)

// Phase is one phase of the time from a job's arrival at its entry until its first
// task has started, over all jobs for which the log lines show it.
type Phase struct {
	Name   string
	Jobs   int // number of these jobs
	Median time.Duration
	P99    time.Duration // 99th percentile
}

// firstStart holds the times of the first task start of one job.
type firstStart struct {
	takenAt    time.Time     // the entry took the job
	startSent  bool          // the entry has sent a start
	timeToSend time.Duration // from the job's arrival until the entry sent the first start
	decidedAt  time.Time     // an agent decided to start the first task
	task       string        // name of the first task
	startedAt  time.Time     // the agent got the backend server's answer to the start call
	callTime   time.Duration // duration of that call
}

// StartPhases divides the time until the first task start into phases. It compares
// wall clocks of different processes, which must agree: all processes on one
// machine, or synchronized clocks that were not stepped. Lines must be sorted by
// clock. The last two phases need the agents' logs at level debug.
func StartPhases(lines []explainer.Line) []Phase {
	jobs := make(map[string]*firstStart)
	for i := range lines {
		l := &lines[i]
		id := l.JobID()
		if id == "" {
			continue
		}
		if jobs[id] == nil {
			jobs[id] = new(firstStart)
		}
		jobs[id].add(l)
	}
	var entry, delivery, agent, server []time.Duration
	for _, f := range jobs {
		if f.takenAt.IsZero() || !f.startSent || f.decidedAt.IsZero() {
			continue
		}
		entry = append(entry, f.timeToSend)
		delivery = append(delivery, f.decidedAt.Sub(f.takenAt)-f.timeToSend)
		if !f.startedAt.IsZero() {
			agent = append(agent, f.startedAt.Sub(f.decidedAt)-f.callTime)
			server = append(server, f.callTime)
		}
	}
	return []Phase{
		newPhase("entry: wait for free capacity", entry),
		newPhase("message: until the agent's decision, including queueing", delivery),
		newPhase("agent: until the call to its backend server", agent),
		newPhase("backend server: duration of the call", server),
	}
}

// add records the times from a line. Lines must be added in clock order.
func (f *firstStart) add(l *explainer.Line) {
	switch l.Message {
	case explainer.MessageJobTaken:
		if f.takenAt.IsZero() {
			f.takenAt = l.Time
		}
	case explainer.MessageJobAnswered:
		if !f.startSent && l.Starts > 0 {
			f.startSent, f.timeToSend = true, time.Duration(l.FirstSentMicros)*time.Microsecond
		}
	case explainer.MessageTaskStarting:
		if f.decidedAt.IsZero() {
			f.decidedAt, f.task = l.Time, l.TaskName()
		}
	case explainer.MessageTaskStarted:
		if f.startedAt.IsZero() && l.TaskName() == f.task {
			f.startedAt, f.callTime = l.Time, time.Duration(l.TookMicros)*time.Microsecond
		}
	}
}

func newPhase(name string, durations []time.Duration) Phase {
	p := Phase{Name: name, Jobs: len(durations)}
	if len(durations) > 0 {
		slices.Sort(durations)
		p.Median, p.P99 = quantile(durations, medianQuantile), quantile(durations, tailQuantile)
	}
	return p
}

// quantile returns the q-quantile of a sorted list, with q from 0 to 1.
func quantile[T any](sorted []T, q float64) T { return sorted[int(q*float64(len(sorted)-1))] }
