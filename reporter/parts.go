package reporter

import (
	"slices"
	"time"

	"mustardlever.dev/mustardlever/explainer"
)

// Part is one part of the time from a job's arrival at its entry to its first
// start, over all jobs whose lines tell it.
type Part struct {
	Name   string
	Jobs   int
	Median time.Duration
	Tail   time.Duration // 99th percentile
}

// first is what the lines tell of one job's first start.
type first struct {
	taken   time.Time     // the entry took the job
	sent    bool          // the entry has sent a start
	toSend  time.Duration // until it did
	decided time.Time     // an agent decided to start the first task
	task    string        // the first task
	started time.Time     // the backend server's answer to that start was here
	call    time.Duration
}

// Parts takes the time to the first start apart. The wall clocks of the
// processes have to agree, as on one machine or on a day without steps. The last
// two parts need the agents' logs at level debug.
func Parts(lines []explainer.Line) []Part {
	jobs := make(map[string]*first)
	for i := range lines {
		l := &lines[i]
		id := l.JobID()
		if id == "" {
			continue
		}
		if jobs[id] == nil {
			jobs[id] = new(first)
		}
		jobs[id].take(l)
	}
	var entry, message, agent, server []time.Duration
	for _, f := range jobs {
		if f.taken.IsZero() || !f.sent || f.decided.IsZero() {
			continue
		}
		entry = append(entry, f.toSend)
		message = append(message, f.decided.Sub(f.taken)-f.toSend)
		if !f.started.IsZero() {
			agent = append(agent, f.started.Sub(f.decided)-f.call)
			server = append(server, f.call)
		}
	}
	return []Part{
		newPart("entry: wait for room", entry),
		newPart("message: to the agent's decision, with the wait in its queue", message),
		newPart("agent: to the call to its backend server", agent),
		newPart("backend server: the call", server),
	}
}

// take notes what a line tells. Lines come in the order of their clock.
func (f *first) take(l *explainer.Line) {
	switch l.Message {
	case explainer.MessageJobTaken:
		if f.taken.IsZero() {
			f.taken = l.Time
		}
	case explainer.MessageJobAnswered:
		if !f.sent && l.Starts > 0 {
			f.sent, f.toSend = true, time.Duration(l.FirstSentMicros)*time.Microsecond
		}
	case explainer.MessageTaskStarting:
		if f.decided.IsZero() {
			f.decided, f.task = l.Time, l.TaskName()
		}
	case explainer.MessageTaskStarted:
		if f.started.IsZero() && l.TaskName() == f.task {
			f.started, f.call = l.Time, time.Duration(l.TookMicros)*time.Microsecond
		}
	}
}

func newPart(name string, times []time.Duration) Part {
	p := Part{Name: name, Jobs: len(times)}
	if len(times) > 0 {
		slices.Sort(times)
		p.Median, p.Tail = quantile(times, median), quantile(times, tail)
	}
	return p
}

// quantile returns the value below which the part q of a sorted list lies.
func quantile[T any](sorted []T, q float64) T { return sorted[int(q*float64(len(sorted)-1))] }
