package granter

import (
	"maps"
	"slices"
)

// Grant gives Slots further slots to Entry.
type Grant struct {
	Entry string
	Slots int
}

// share is what one entry holds.
type share struct {
	idle     int  // granted and not used yet
	demand   int  // tasks the entry said are waiting
	recalled int  // asked back and not answered yet
	shunned  bool // believed lost, gets no grant until heard again
}

func (s *share) unmet() int { return max(s.demand-s.idle, 0) }

// Granter holds the division of Slots. It is not safe for concurrent use.
type Granter struct {
	Slots   int
	Held    bool // nothing is granted or recalled while it is set
	shares  map[string]*share
	running int
	closed  bool
}

// Join adds an entry that holds nothing.
func (g *Granter) Join(entry string) {
	if g.shares == nil {
		g.shares = make(map[string]*share)
	}
	g.shares[entry] = &share{}
}

// Leave removes an entry; its unused grants are free again.
func (g *Granter) Leave(entry string) { delete(g.shares, entry) }

// Close stops all granting and voids unused grants.
func (g *Granter) Close() {
	g.closed = true
	for _, s := range g.shares {
		s.idle, s.recalled = 0, 0
	}
}

// Void takes the entry's unused grants away and forgets its demand, since it
// is believed to be lost. A start on a grant taken away is refused.
func (g *Granter) Void(entry string) {
	if s := g.shares[entry]; s != nil {
		*s = share{shunned: true}
	}
}

// Use turns one of the entry's grants into a running task and notes its
// demand. It reports false when the entry holds no grant.
func (g *Granter) Use(entry string, demand int) bool {
	s := g.shares[entry]
	if s == nil {
		return false
	}
	s.shunned = false
	s.demand = demand
	if s.idle == 0 {
		return false
	}
	s.idle--
	g.running++
	return true
}

// Free ends one running task.
func (g *Granter) Free() { g.running-- }

// Running returns the number of running tasks.
func (g *Granter) Running() int { return g.running }

// SetDemand notes how many tasks wait at the entry.
func (g *Granter) SetDemand(entry string, tasks int) {
	if s := g.shares[entry]; s != nil {
		s.demand = tasks
		s.shunned = false
	}
}

// Returned takes back n grants in answer to a recall.
func (g *Granter) Returned(entry string, n, demand int) {
	s := g.shares[entry]
	if s == nil {
		return
	}
	s.idle -= min(n, s.idle)
	s.recalled = 0
	s.demand = demand
	s.shunned = false
}

// Idle returns the entry's unused grants.
func (g *Granter) Idle(entry string) int {
	if s := g.shares[entry]; s != nil {
		return s.idle
	}
	return 0
}

// Rebalance grants the free slots and returns whom to tell, and whom to ask
// for unused grants back. Both lists are in the order of the entries' names.
func (g *Granter) Rebalance() (grants, recalls []Grant) {
	if g.closed || g.Held || len(g.shares) == 0 {
		return nil, nil
	}
	entries := slices.Sorted(maps.Keys(g.shares))
	entries = slices.DeleteFunc(entries, func(e string) bool { return g.shares[e].shunned })
	if len(entries) == 0 {
		return nil, nil
	}
	grants = g.grant(entries)
	return grants, g.recall(entries)
}

func (g *Granter) free() int {
	n := g.Slots - g.running
	for _, s := range g.shares {
		n -= s.idle
	}
	return n
}

func (g *Granter) grant(entries []string) []Grant {
	given := make([]int, len(entries))
	for n := g.free(); n > 0; n-- {
		k := g.neediest(entries)
		given[k]++
		g.shares[entries[k]].idle++
	}
	var grants []Grant
	for k, n := range given {
		if n > 0 {
			grants = append(grants, Grant{Entry: entries[k], Slots: n})
		}
	}
	return grants
}

// neediest returns the entry with the largest unmet demand, or the one with
// the fewest idle slots when no demand is unmet.
func (g *Granter) neediest(entries []string) int {
	best := 0
	for k := range entries[1:] {
		a, b := g.shares[entries[best]], g.shares[entries[k+1]]
		if b.unmet() > a.unmet() || b.unmet() == a.unmet() && b.idle < a.idle {
			best = k + 1
		}
	}
	return best
}

// recall asks entries that hold more than they need for as many grants as the
// others lack.
func (g *Granter) recall(entries []string) []Grant {
	lacking := 0
	for _, e := range entries {
		lacking += g.shares[e].unmet() - g.shares[e].recalled
	}
	var recalls []Grant
	for _, e := range entries {
		s := g.shares[e]
		spare := s.idle - s.demand
		if lacking <= 0 || s.recalled > 0 || spare <= 0 {
			continue
		}
		n := min(spare, lacking)
		s.recalled = n
		lacking -= n
		recalls = append(recalls, Grant{Entry: e, Slots: n})
	}
	return recalls
}
