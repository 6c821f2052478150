// Package recorder keeps the recent events of a process, such as tasks that ran,
// refusals and changes.
//
// Each event carries a reading of a hybrid logical clock in microseconds. The
// clock follows the wall clock and never goes back. Messages between processes
// carry its readings, so that an effect is always ordered after its cause.
package recorder

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// defaultSize is the default number of events kept.
const defaultSize = 20_000

// Event is one recorded event. Task is -1 if the event does not concern a single
// task.
type Event struct {
	Clock    int64  `json:"clock-us"`
	Process  string `json:"process"`
	Zone     string `json:"zone,omitempty"`
	Kind     string `json:"kind"`
	Service  string `json:"service,omitempty"`
	Owner    string `json:"owner,omitempty"`
	Sequence uint64 `json:"ticket-number,omitempty"`
	Task     int    `json:"task"`
	Peer     string `json:"peer,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// Time returns the wall clock time of the event.
func (e Event) Time() time.Time { return time.UnixMicro(e.Clock) }

// String formats the event as one line.
func (e Event) String() string {
	task := ""
	if e.Task >= 0 {
		task = fmt.Sprintf("task %d", e.Task)
	}
	job := ""
	if e.Sequence != 0 {
		job = fmt.Sprintf("ticket %d of %s", e.Sequence, e.Owner)
	}
	timestamp := e.Time().UTC().Format("2006-01-02 15:04:05.000000")
	line := fmt.Sprintf("%s  %-22s %-17s %s %s %s %s", timestamp, e.Process, e.Kind, job, task, e.Peer, e.Reason)
	return strings.Join(strings.Fields(line), " ")
}

// Recorder holds the newest events in a ring buffer. The zero value keeps 20,000
// events. It is safe for concurrent use.
type Recorder struct {
	Process string
	Zone    string
	Size    int // maximum number of events; default 20,000

	mu        sync.Mutex
	clock     int64
	ring      []Event
	nextIndex int
	dropped   int64
}

// Now advances the hybrid logical clock and returns it.
func (r *Recorder) Now() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.advance()
}

// advance advances the clock and returns it. The caller holds mu.
func (r *Recorder) advance() int64 {
	r.clock = max(r.clock+1, time.Now().UnixMicro())
	return r.clock
}

// Observe advances the clock to at least a reading received from another process.
func (r *Recorder) Observe(clock int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock = max(r.clock, clock)
}

// Add records an event; it sets Clock, Process and Zone.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Clock, e.Process, e.Zone = r.advance(), r.Process, r.Zone
	size := cmp.Or(r.Size, defaultSize)
	if len(r.ring) < size {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.nextIndex] = e
	r.nextIndex = (r.nextIndex + 1) % size
	r.dropped++
}

// Dropped returns the number of events that were overwritten by newer ones.
func (r *Recorder) Dropped() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Filter selects events; a zero field matches every event.
type Filter struct {
	Owner    string
	Sequence uint64
	Service  string
	Kind     string
	Since    int64 // lowest clock reading, in microseconds
}

func (f Filter) match(e *Event) bool {
	return (f.Owner == "" || f.Owner == e.Owner) &&
		(f.Sequence == 0 || f.Sequence == e.Sequence) &&
		(f.Service == "" || f.Service == e.Service) &&
		(f.Kind == "" || f.Kind == e.Kind) &&
		e.Clock >= f.Since
}

// Events returns the events that f matches, oldest first.
func (r *Recorder) Events(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []Event
	for i := range r.ring {
		e := &r.ring[(r.nextIndex+i)%len(r.ring)]
		if f.match(e) {
			events = append(events, *e)
		}
	}
	return events
}

// Merge returns the events of several processes in the order of their clock
// readings.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.Process, b.Process))
	})
	return all
}
