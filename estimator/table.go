package estimator

import (
	"cmp"
	"slices"
	"time"
)

// known is a demand and when its entry measured it, by this process's clock.
type known struct {
	Demand
	measuredAt time.Time
	isNew      bool   // was not passed on yet
	passedOn   uint64 // number of the last message with a demand of its entry
}

// Table holds the demand of all entries that are known. The zero value knows of none.
type Table struct {
	Self string // incarnation of this entry

	own      known
	others   []known // in no particular order
	nextPeer int     // index of the first peer to send to next
	sentAt   time.Time
	messages uint64 // number of messages sent
	ignored  uint64 // implausible demands
}

// SetOwn sets the demand of this entry. Entry and Sequence are filled in.
func (t *Table) SetOwn(now time.Time, d Demand) {
	d.Entry, d.Sequence, d.AgeMillis = t.Self, t.own.Sequence+1, 0
	d.Work, d.Jobs, d.Arrivals = trim(d.Work), trim(d.Jobs), trim(d.Arrivals)
	t.own = known{Demand: d, measuredAt: now}
}

// trim removes the zeros at the end, to keep messages small.
func trim(figures []int) []int {
	for len(figures) > 0 && figures[len(figures)-1] == 0 {
		figures = figures[:len(figures)-1]
	}
	return figures
}

// Own returns the demand of this entry, as last set.
func (t *Table) Own() Demand { return t.own.Demand }

// Merge records demands that a peer has sent. What an entry reports of itself replaces
// whatever others have reported of it.
func (t *Table) Merge(now time.Time, from string, demands []Demand) {
	for i := range demands[:min(len(demands), maxRecords)] {
		d := &demands[i]
		if !d.plausible() {
			t.ignored++
			continue
		}
		if d.Entry == t.Self {
			continue
		}
		measuredAt := now.Add(-time.Duration(d.AgeMillis) * time.Millisecond)
		k := slices.IndexFunc(t.others, func(o known) bool { return o.Entry == d.Entry })
		switch {
		case k < 0:
			t.add(now, known{*d, measuredAt, true, 0})
		case d.Entry == from || d.Sequence > t.others[k].Sequence:
			t.others[k] = known{*d, measuredAt, true, t.others[k].passedOn}
		}
	}
}

// add adds the demand of an entry that was unknown, in place of the oldest one if there
// are too many.
func (t *Table) add(now time.Time, d known) {
	t.expire(now)
	if len(t.others) < maxKnown {
		t.others = append(t.others, d)
		return
	}
	oldest := 0
	for i := range t.others {
		if t.others[i].measuredAt.Before(t.others[oldest].measuredAt) {
			oldest = i
		}
	}
	t.others[oldest] = d
}

// expire removes the demands that are too old.
func (t *Table) expire(now time.Time) {
	t.others = slices.DeleteFunc(t.others, func(o known) bool { return now.Sub(o.measuredAt) >= MaxAge })
}

// Due reports whether the next message is due, and counts it as sent. The own demand
// should be set first.
func (t *Table) Due(now time.Time) bool {
	if now.Sub(t.sentAt) < Interval {
		return false
	}
	t.sentAt = now
	return true
}

// Recipients returns the peers that get the next message, in turn.
func (t *Table) Recipients(peers []string) []string {
	var chosen []string
	for range min(Fanout, len(peers)) {
		chosen = append(chosen, peers[t.nextPeer%len(peers)])
		t.nextPeer++
	}
	return chosen
}

// Share returns the demands to send to a peer: the entry's own, and new ones of the
// entries whose demand was passed on the longest ago. The choice does not favor entries of
// which this one hears often, since its peers hear of them often as well.
func (t *Table) Share(now time.Time) []Demand {
	t.expire(now)
	slices.SortFunc(t.others, func(a, b known) int {
		if a.isNew != b.isNew {
			return map[bool]int{true: -1, false: 1}[a.isNew]
		}
		return cmp.Compare(a.passedOn, b.passedOn)
	})
	t.messages++
	demands := []Demand{t.own.Demand}
	for i := range t.others[:min(maxRecords-1, len(t.others))] {
		o := &t.others[i]
		o.isNew, o.passedOn = false, t.messages
		d := o.Demand
		d.AgeMillis, d.Jobs, d.Refused = now.Sub(o.measuredAt).Milliseconds(), nil, 0 // not used for decisions
		demands = append(demands, d)
	}
	return demands
}

// Ignored returns the number of demands that were ignored because they were implausible.
func (t *Table) Ignored() uint64 { return t.ignored }

// Summary is the demand of all known entries together.
type Summary struct {
	Entries   int             // known entries, this one included
	OldestAge time.Duration   // of the demands
	Work      [Levels]float64 // that waits
	Rate      float64         // of work started; 0: not known
	Arrivals  [Levels]float64 // rate of work that arrives
	Used      float64         // share of the capacity in use, average of the entries
}

// Summarize returns the demand of all known entries.
func (t *Table) Summarize(now time.Time) Summary {
	t.expire(now)
	s := Summary{Entries: 1 + len(t.others)}
	s.add(&t.own.Demand)
	for i := range t.others {
		s.add(&t.others[i].Demand)
		s.OldestAge = max(s.OldestAge, now.Sub(t.others[i].measuredAt))
	}
	s.Used /= float64(s.Entries)
	return s
}

func (s *Summary) add(d *Demand) {
	for level, work := range d.Work {
		s.Work[level] += float64(work)
	}
	s.Rate += float64(d.Rate)
	s.Used += float64(d.Used) / 1000
	for level, rate := range d.Arrivals {
		s.Arrivals[level] += float64(rate)
	}
}

// Total returns the waiting work up to and including a level.
func (s *Summary) Total(level int) float64 {
	sum := 0.0
	for _, work := range s.Work[:level+1] {
		sum += work
	}
	return sum
}

// ArrivalsFrom returns the rate of work that arrives at a level and all lower priorities.
func (s *Summary) ArrivalsFrom(level int) float64 {
	sum := 0.0
	for _, rate := range s.Arrivals[min(level, Levels):] {
		sum += rate
	}
	return sum
}
