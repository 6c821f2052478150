package estimator

import (
	"slices"
	"time"
)

// Levels is the number of priorities that a Demand distinguishes. The last level contains
// all lower priorities.
const Levels = 4

const (
	// Interval is the time between two messages of an entry.
	Interval = 100 * time.Millisecond
	// MaxAge is the age at which a demand expires. With 140 entries, a demand takes up to
	// several seconds to reach all, and each entry then knows a part of them.
	MaxAge = 3 * time.Second
	// Fanout is the number of entries that get a message in each interval.
	Fanout = 2

	maxRecords    = 6       // demands in a message: the sender's own and others in turn
	maxKnown      = 512     // entries whose demand is kept
	maxEntryBytes = 200     // length of an incarnation
	maxFigure     = 1 << 40 // of work and rates; more is implausible
)

// Level returns the level of a priority.
func Level(priority int) int { return min(max(priority, 0), Levels-1) }

// Demand is the demand for one service at one entry. Work is in thousandths of a core
// times seconds, and rates are work per second. Earlier figures of an entry have a lower
// Sequence.
type Demand struct {
	Entry     string `json:"entry"` // incarnation
	Sequence  uint64 `json:"sequence"`
	AgeMillis int64  `json:"age-ms,omitempty"`
	Work      []int  `json:"work,omitempty"`     // that waits, by level
	Jobs      []int  `json:"jobs,omitempty"`     // that wait, by level
	Rate      int    `json:"rate,omitempty"`     // of work started while work waits; 0: not known
	Arrivals  []int  `json:"arrivals,omitempty"` // rate of work in jobs that arrive, refused ones included, by level
	Refused   int    `json:"refused,omitempty"`  // jobs refused per second
	Used      int    `json:"used,omitempty"`     // thousandths of the capacity of its agents that are in use
}

// plausible reports whether all figures are within bounds.
func (d *Demand) plausible() bool {
	figure := func(n int) bool { return n >= 0 && n <= maxFigure }
	if d.Entry == "" || len(d.Entry) > maxEntryBytes || max(len(d.Work), len(d.Jobs), len(d.Arrivals)) > Levels {
		return false
	}
	for _, n := range slices.Concat(d.Work, d.Jobs, d.Arrivals) {
		if !figure(n) {
			return false
		}
	}
	return figure(d.Rate) && d.Used >= 0 && d.Used <= 1000 && figure(d.Refused) &&
		d.AgeMillis >= 0 && d.AgeMillis < MaxAge.Milliseconds()
}
