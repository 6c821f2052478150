// Package canceller decides which jobs count as cancelled. A cancel applies to a job's name,
// not to the entry that holds the job: an entry keeps a tombstone for each cancelled name,
// and passes it on to the other entries once.
//
// The package does no I/O, starts no goroutine and reads no clock.
package canceller

import (
	"container/heap"
	"time"
)

const (
	// maxDeadline is the longest time that a caller waits for the answer to a submission.
	maxDeadline = 30 * time.Second
	// resendDelay is how long after its last try a caller submits a job again.
	resendDelay = 1300 * time.Millisecond
	// lateOrders is how long a message or a request may be under way beyond its time.
	lateOrders = 4 * time.Second

	// Lifetime is how long a tombstone is kept. A submission that was sent before the cancel
	// may be unanswered for maxDeadline; the next one follows after resendDelay and may be
	// held up in the network as long as its caller waits, for maxDeadline, and be read late.
	Lifetime = 2*maxDeadline + resendDelay + lateOrders

	// defaultLimit is enough for 500 cancels a second, and takes 5.2 MB.
	defaultLimit = 32_768

	// repeatInterval is how long a repeated cancel of a name counts as the same one, so that
	// repetitions cost no messages.
	repeatInterval = time.Second

	// maxNameBytes limits the length of a name that another entry may send.
	maxNameBytes = 64
)

// Cancel is the cancel of one job. At orders the cancels of one name: the time at the entry
// that received it, Unix ms. Remaining is how long it is still to be kept.
type Cancel struct {
	Name      string
	At        int64
	Remaining time.Duration
}

// Result tells what became of a cancel.
type Result int

// Results of Add and Receive.
const (
	Added Result = iota // it is in force here, and other entries have to be told
	Known               // it is in force here already
	Full                // it is not kept, since the limit is reached or the name is invalid
)

// Canceller holds the tombstones of one entry. The zero value is ready to use. It is not
// safe for concurrent use.
type Canceller struct {
	Limit int // number of tombstones; default 32,768

	byName   map[string]*tombstone
	byExpiry expiryHeap
	rejected int
}

// tombstone is a cancel that is kept.
type tombstone struct {
	name      string
	at        int64
	addedAt   time.Time
	expiresAt time.Time
	index     int // in the heap
}

// Add adds the cancel of a job that a caller has asked for. nowMillis is the wall clock,
// Unix ms. It returns the cancel for the other entries.
func (c *Canceller) Add(now time.Time, nowMillis int64, name string) (Cancel, Result) {
	c.expire(now)
	if t := c.byName[name]; t != nil {
		if now.Sub(t.addedAt) < repeatInterval {
			return Cancel{}, Known
		}
		nowMillis = max(nowMillis, t.at+1) // also if the clock was set back
	}
	k := Cancel{Name: name, At: nowMillis, Remaining: Lifetime}
	return k, c.keep(now, k)
}

// Receive adds a cancel that another entry has passed on. A result of Added means that it
// has to be passed on further.
func (c *Canceller) Receive(now time.Time, k Cancel) Result {
	c.expire(now)
	k.Remaining = min(k.Remaining, Lifetime)
	if t := c.byName[k.Name]; t != nil && t.at >= k.At || k.Remaining <= 0 {
		return Known
	}
	return c.keep(now, k)
}

// keep keeps a cancel that is newer than the tombstone of its name.
func (c *Canceller) keep(now time.Time, k Cancel) Result {
	limit := c.Limit
	if limit == 0 {
		limit = defaultLimit
	}
	t := c.byName[k.Name]
	switch {
	case t != nil:
		t.at, t.addedAt, t.expiresAt = k.At, now, now.Add(k.Remaining)
		heap.Fix(&c.byExpiry, t.index)
		return Added
	case len(c.byName) >= limit, k.Name == "", len(k.Name) > maxNameBytes:
		c.rejected++
		return Full
	}
	t = &tombstone{name: k.Name, at: k.At, addedAt: now, expiresAt: now.Add(k.Remaining)}
	if c.byName == nil {
		c.byName = make(map[string]*tombstone)
	}
	c.byName[k.Name] = t
	heap.Push(&c.byExpiry, t)
	return Added
}

// IsCancelled reports whether the job with the given name is cancelled.
func (c *Canceller) IsCancelled(now time.Time, name string) bool {
	t := c.byName[name]
	return t != nil && now.Before(t.expiresAt)
}

// Live returns all cancels in force, for an entry that has just been connected. Those that
// expire first come first.
func (c *Canceller) Live(now time.Time) []Cancel {
	c.expire(now)
	var list []Cancel
	for _, t := range c.byExpiry.sorted() {
		list = append(list, Cancel{t.name, t.at, t.expiresAt.Sub(now)})
	}
	return list
}

// Count returns the number of tombstones.
func (c *Canceller) Count(now time.Time) int {
	c.expire(now)
	return len(c.byName)
}

// Rejected returns the number of cancels that were not kept.
func (c *Canceller) Rejected() int { return c.rejected }

func (c *Canceller) expire(now time.Time) {
	for len(c.byExpiry) > 0 && !now.Before(c.byExpiry[0].expiresAt) {
		delete(c.byName, heap.Pop(&c.byExpiry).(*tombstone).name)
	}
}
