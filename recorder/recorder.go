// Package recorder keeps the events of a process: what ran, what was refused
// and what was changed.
//
// Each event carries a hybrid logical clock reading, in microseconds: it
// follows the wall clock, never goes back, and is carried on every message
// between processes, so that an effect is always ordered after its cause.
package recorder

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// defaultSize is the number of events kept.
const defaultSize = 20_000

// Event is one entry of the record. Task is -1 where the whole job is meant.
type Event struct {
	Clock   int64  `json:"clock-us"`
	Process string `json:"process"`
	Zone    string `json:"zone,omitempty"`
	Kind    string `json:"kind"`
	Service string `json:"service,omitempty"`
	Owner   string `json:"owner,omitempty"`
	Number  uint64 `json:"ticket-number,omitempty"`
	Task    int    `json:"task"`
	Peer    string `json:"peer,omitempty"`
	Reason  string `json:"reason,omitempty"`
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
	if e.Number != 0 {
		job = fmt.Sprintf("ticket %d of %s", e.Number, e.Owner)
	}
	at := e.Time().UTC().Format("2006-01-02 15:04:05.000000")
	line := fmt.Sprintf("%s  %-22s %-17s %s %s %s %s", at, e.Process, e.Kind, job, task, e.Peer, e.Reason)
	return strings.Join(strings.Fields(line), " ")
}

// Recorder holds the newest events in a ring. The zero value keeps 20,000. It
// is safe for concurrent use.
type Recorder struct {
	Process string
	Zone    string
	Size    int

	mu      sync.Mutex
	clock   int64
	ring    []Event
	next    int
	dropped int64
}

// Now advances the hybrid logical clock and returns it.
func (r *Recorder) Now() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick()
}

func (r *Recorder) tick() int64 {
	r.clock = max(r.clock+1, time.Now().UnixMicro())
	return r.clock
}

// Observe notes a reading received from another process.
func (r *Recorder) Observe(clock int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock = max(r.clock, clock)
}

// Add records an event; it sets Clock, Process and Zone.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Clock, e.Process, e.Zone = r.tick(), r.Process, r.Zone
	size := cmp.Or(r.Size, defaultSize)
	if len(r.ring) < size {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % size
	r.dropped++
}

// Dropped returns the number of events that made room for newer ones.
func (r *Recorder) Dropped() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Filter selects events; zero fields select all.
type Filter struct {
	Owner   string
	Number  uint64
	Service string
	Kind    string
	Since   int64 // clock reading
}

func (f Filter) match(e *Event) bool {
	return (f.Owner == "" || f.Owner == e.Owner) &&
		(f.Number == 0 || f.Number == e.Number) &&
		(f.Service == "" || f.Service == e.Service) &&
		(f.Kind == "" || f.Kind == e.Kind) &&
		e.Clock >= f.Since
}

// Events returns the events that f selects, oldest first.
func (r *Recorder) Events(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []Event
	for i := range r.ring {
		e := &r.ring[(r.next+i)%len(r.ring)]
		if f.match(e) {
			events = append(events, *e)
		}
	}
	return events
}

// Merge returns the events of several processes as one time line.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.Process, b.Process))
	})
	return all
}
