package starter

import (
	"slices"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

// Limits of the division of capacity. Times are in calls of SendLoad, which are 20 ms
// apart.
const (
	offerLife   = 2   // after which an unused offer to an entry with a backlog is withdrawn: an entry uses one within a round trip
	smallLife   = 3   // same for an offer that is too small for the next task of its entry and waits for more
	backlogLife = 25  // after which a backlog that was not renewed counts as none; entries renew theirs every 100 ms
	unusedPause = 10  // during which an entry that let an offer lapse gets none for its backlog, unless it sends a start
	maxLapses   = 3   // offers that an entry may let lapse; it then counts as without a backlog during unusedPause
	finishSlack = 2   // tasks by which the entry whose task has ended may be ahead of others and still gets its capacity
	rateDecay   = 0.9 // factor by which the remembered use of an entry shrinks with each call: averages over 200 ms
	baseUse     = 100 // thousandths of a core that are added to the remembered use, so that idle entries get offers too
)

// share is what the agent knows of the work that waits at one entry, and the part of
// the free capacity that it has offered to this entry only.
type share struct {
	entry     string
	work      int             // work that waits, as last reported, in thousandths of a core times seconds
	updatedAt int             // when it was reported
	need      sizer.Resources // of the entry's next start; a smaller offer is of no use to it
	used      float64         // capacity of the entry's starts relative to its backlog; the lowest comes first
	rate      float64         // recent use: capacity of the entry's starts, decaying
	spare     float64         // capacity offered without a backlog relative to the recent use; the lowest comes first
	offered   sizer.Resources // free capacity that only this entry has been told of
	offeredAt int             // when the offer last grew or was used
	pausedTo  int             // comes after other entries with a backlog before
	lapses    int             // offers that it has not used since its last start
	changed   bool            // has to be told of its offer
	withdrawn bool            // a part of its offer was withdrawn
}

// division offers each part of the free capacity to one entry only: to those with a
// backlog in proportion to it, else to all in proportion to their recent use. Without
// it, each of six entries is told of the same free capacity and sends starts for it.
// The zero value knows of no entry that shares its demand, and divides nothing: each
// entry is then told of all free capacity.
type division struct {
	now         int
	shares      []*share
	lowestUsed  float64 // of the entry that got the last offer for its backlog; a new backlog begins there
	lowestSpare float64
}

// find returns the share of an entry, nil if it does not share its demand.
func (d *division) find(entry string) *share {
	for _, s := range d.shares {
		if s.entry == entry {
			return s
		}
	}
	return nil
}

// report records the backlog that an entry has reported. One that does not share its
// demand is removed.
func (d *division) report(entry string, m protocol.Backlog) {
	if m.Work < 0 {
		d.remove(entry)
		return
	}
	s := d.find(entry)
	if s == nil {
		s = &share{entry: entry, used: d.lowestUsed, spare: d.lowestSpare, rate: baseUse}
		d.shares = append(d.shares, s)
	}
	if m.Work > 0 && !d.waits(s) {
		s.used = max(s.used, d.lowestUsed)
		s.offeredAt = d.now
	}
	s.work, s.updatedAt = m.Work, d.now
	if m.Need != (sizer.Resources{}) {
		s.need = m.Need
	}
}

// waits reports whether work is known to wait at the entry that can use this agent. What
// waits for a label or for faster servers must not keep capacity from entries without a
// backlog.
func (d *division) waits(s *share) bool {
	return s.work > 0 && d.now-s.updatedAt < backlogLife && (s.lapses < maxLapses || d.now >= s.pausedTo)
}

// recordStart counts an accepted start against the entry's offer and its share.
func (d *division) recordStart(entry string, need sizer.Resources) {
	s := d.find(entry)
	if s == nil {
		return
	}
	s.pausedTo, s.lapses, s.offeredAt = 0, 0, d.now
	s.offered = s.offered.Sub(need).Max(sizer.Resources{})
	s.rate += float64(need.CPU)
	if s.work > 0 {
		s.used += float64(need.CPU) / float64(s.work)
	}
}

// remove removes an entry and its offer.
func (d *division) remove(entry string) {
	d.shares = slices.DeleteFunc(d.shares, func(s *share) bool { return s.entry == entry })
}

// offeredToOthers returns the free capacity that is offered to entries other than the
// given one.
func (d *division) offeredToOthers(entry string) sizer.Resources {
	var sum sizer.Resources
	for _, s := range d.shares {
		if s.entry != entry {
			sum = sum.Add(s.offered)
		}
	}
	return sum
}

// tick withdraws the offers that entries with a backlog have not used in time.
func (d *division) tick() {
	d.now++
	for _, s := range d.shares {
		s.rate = max(s.rate*rateDecay, baseUse)
		life := offerLife
		if !s.offered.Covers(s.need) {
			life = smallLife
		}
		if d.waits(s) && s.offered != (sizer.Resources{}) && d.now-s.offeredAt >= life {
			s.offered, s.changed, s.withdrawn = sizer.Resources{}, true, true
			s.pausedTo = d.now + unusedPause
			s.lapses++
		}
	}
}

// divide offers the free capacity that is not offered yet. Finished is the entry whose
// task has just ended, or "". It gets a message with the outcome anyway and is
// preferred if it is not far ahead of its share.
func (d *division) divide(free sizer.Resources, finished string) {
	if len(d.shares) == 0 {
		return
	}
	open := free.Sub(d.offeredToOthers(""))
	d.reclaim(&open)
	for range len(d.shares) {
		if open.CPU <= 0 {
			return
		}
		s, part := d.nextWaiting(finished)
		if s == nil {
			break
		}
		s.grow(d, divided(open, part, s.need), &open)
	}
	for range len(d.shares) {
		if open.CPU <= 0 {
			return
		}
		s, part := d.nextSpare(finished)
		amount := divided(open, part, s.need)
		s.spare += float64(amount.CPU) / s.rate
		s.grow(d, amount, &open)
	}
}

// withdrawAll withdraws all offers, for example because the capacity has changed.
func (d *division) withdrawAll() {
	for _, s := range d.shares {
		s.offered = sizer.Resources{}
	}
}

// reclaim takes back capacity from entries without a backlog until each entry with one
// has an offer that is large enough for a task.
func (d *division) reclaim(open *sizer.Resources) {
	wanted := sizer.Resources{}
	for _, s := range d.shares {
		if d.waits(s) && !s.offered.Covers(s.need) {
			wanted = wanted.Add(s.need.Sub(s.offered))
		}
	}
	for _, s := range d.shares {
		if wanted == (sizer.Resources{}) || open.Covers(wanted) {
			return
		}
		if d.waits(s) || s.offered == (sizer.Resources{}) {
			continue
		}
		taken := s.offered
		missing := wanted.Sub(*open).Max(sizer.Resources{})
		if rest := s.offered.Sub(missing); rest.CPU > 0 && rest.Covers(s.need) && s.offered.Covers(missing) {
			taken = missing
		}
		*open = open.Add(taken)
		s.offered, s.changed, s.withdrawn = s.offered.Sub(taken), true, true
	}
}

// grow adds to the offer of an entry.
func (s *share) grow(d *division, amount sizer.Resources, open *sizer.Resources) {
	amount = amount.Max(sizer.Resources{})
	s.offered, s.offeredAt, s.changed = s.offered.Add(amount), d.now, true
	*open = open.Sub(amount)
}

// divided returns the part of open to offer. It is all of it if the rest, or the part
// itself, would be too small for a task.
func divided(open sizer.Resources, part float64, need sizer.Resources) sizer.Resources {
	amount := sizer.Resources{CPU: int(float64(open.CPU) * part), Memory: int(float64(open.Memory) * part), GPU: int(float64(open.GPU) * part)}
	if need.CPU > 0 && amount.Covers(need) && open.Sub(amount).Covers(need) {
		return amount
	}
	if need.CPU > 0 && part < 1 && open.Covers(need) && open.Sub(need).Covers(need) {
		return need
	}
	return open
}

// nextWaiting returns the entry that gets the next offer for its backlog, and its part
// of all backlogs without an offer; nil if there is none. An entry whose offer is too
// small for its tasks comes first, then the one that has had the least for its backlog.
func (d *division) nextWaiting(finished string) (chosen *share, part float64) {
	total := 0
	var preferred *share
	for _, s := range d.shares {
		if !d.waits(s) {
			continue
		}
		if s.offered != (sizer.Resources{}) {
			if !s.offered.Covers(s.need) {
				return s, 1
			}
			continue
		}
		total += s.work
		if chosen == nil || d.precedes(s, chosen) {
			chosen = s
		}
		if s.entry == finished {
			preferred = s
		}
	}
	if chosen == nil {
		return nil, 0
	}
	d.lowestUsed = max(d.lowestUsed, chosen.used)
	if preferred != nil && d.now >= preferred.pausedTo && preferred.used <= chosen.used+finishSlack*float64(preferred.need.CPU)/float64(preferred.work) {
		chosen = preferred
	}
	return chosen, float64(chosen.work) / float64(total)
}

// precedes reports whether s gets an offer for its backlog before t.
func (d *division) precedes(s, t *share) bool {
	if p := d.now < s.pausedTo; p != (d.now < t.pausedTo) {
		return !p
	}
	return s.used < t.used
}

// nextSpare returns the entry that gets free capacity although none has a backlog.
func (d *division) nextSpare(finished string) (chosen *share, part float64) {
	total := 0.0
	var preferred *share
	for _, s := range d.shares {
		total += s.rate
		if chosen == nil || s.spare < chosen.spare {
			chosen = s
		}
		if s.entry == finished {
			preferred = s
		}
	}
	d.lowestSpare = max(d.lowestSpare, chosen.spare)
	if preferred != nil && preferred.spare <= chosen.spare+finishSlack*float64(preferred.need.CPU)/preferred.rate {
		chosen = preferred
	}
	return chosen, chosen.rate / total
}

// freeFor returns the free capacity to report to an entry: what is not offered to
// others. That is less than its offer after another entry has used more than its own.
func (s *Starter) freeFor(entry string) sizer.Resources {
	return s.freeCapacity().Sub(s.division.offeredToOthers(entry))
}

// offeredElsewhere returns how much more CPU is free than is reported to an entry.
func (s *Starter) offeredElsewhere(entry string) int {
	return max(s.freeCapacity().CPU-max(s.freeFor(entry).CPU, 0), 0)
}

// handleBacklog records the backlog that an entry reports between its starts, and
// offers it free capacity.
func (s *Starter) handleBacklog(from string, m *protocol.Backlog) {
	s.recordBacklog(from, m)
	s.offerFree("")
}

// recordBacklog records the backlog of an entry, nil if it does not share its demand. An
// entry without a session, or one that is released, gets no offers.
func (s *Starter) recordBacklog(from string, b *protocol.Backlog) {
	if b == nil || !s.entries[from] || s.releasing[from] {
		s.division.remove(from)
		return
	}
	s.division.report(from, *b)
}

// allShareDemand reports whether every entry with a session shares its demand. One that
// does not, as of an earlier release, would get nothing while others have a backlog.
func (s *Starter) allShareDemand() bool {
	for _, e := range s.reportOrder {
		if s.division.find(e) == nil {
			return false
		}
	}
	return true
}

// offerFree divides the free capacity that is not offered yet, and reports it to the
// entries whose offer has changed, except to finished, which gets its outcome now.
func (s *Starter) offerFree(finished string) {
	if s.draining || s.unresponsive || len(s.division.shares) == 0 {
		return
	}
	if !s.allShareDemand() {
		s.division.withdrawAll()
		return
	}
	s.division.divide(s.freeCapacity(), finished)
	for _, sh := range s.division.shares {
		if !sh.changed {
			continue
		}
		urgent := sh.withdrawn || s.division.waits(sh)
		sh.changed, sh.withdrawn = false, false
		if urgent && sh.entry != finished && !s.unannounced[sh.entry] {
			load := s.updateLoad(sh.entry)
			s.send(sh.entry, protocol.Message{Load: &load})
		}
	}
}
