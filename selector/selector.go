package selector

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	substituteDelay = 500 * time.Millisecond // time without a connection after which an entry is unreachable and another one substitutes for it
	trialDelay      = 300 * time.Millisecond // time without a connection after which another substitute is tried
	retryDelay      = 5 * time.Second        // time after which a failed substitute is tried again, while any entry is connected
	longUnreachable = 30 * time.Second       // time without a connection after which an entry is dialed rarely
	surplusDelay    = 2 * time.Second        // time for which all preferred entries are connected before surplus ones are released
)

// Selector chooses entries by address. Set the exported fields before the first
// call. A Selector is not safe for concurrent use.
type Selector struct {
	Self  string // name of this process, which determines its ranking
	Limit int    // number of connections to keep; 0: to all entries
	Most  int    // number of entries that may be known; 0: any

	ranked         []*candidate // by descending rank
	preferredSince time.Time    // since when all preferred entries are connected; zero: one is not
}

// candidate is one known entry.
type candidate struct {
	address        string
	rank           uint64
	chosen         bool      // by the last call of Choose
	connected      bool      // at the last call of Choose
	disconnectedAt time.Time // when the chosen entry was first seen without a connection; zero: connected or not chosen
	failedAt       time.Time // when a substitute was given up as unreachable; zero: never
}

// Add adds the entry at address. It reports false if the entry is known already, or if
// Most entries are.
func (s *Selector) Add(address string) bool {
	if s.Most > 0 && len(s.ranked) >= s.Most {
		return false
	}
	for _, c := range s.ranked {
		if c.address == address {
			return false
		}
	}
	c := &candidate{address: address, rank: rank(s.Self, address)}
	i, _ := slices.BinarySearchFunc(s.ranked, c, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.address, b.address))
	})
	s.ranked = slices.Insert(s.ranked, i, c)
	return true
}

// rank returns the rank that the process self gives to the entry at address.
func rank(self, address string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(self))
	h.Write([]byte{0})
	h.Write([]byte(address))
	// FNV mixes the last bytes poorly; the finalizer of MurmurHash3 spreads them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// limit returns the number of preferred entries.
func (s *Selector) limit() int {
	if s.Limit <= 0 {
		return len(s.ranked)
	}
	return min(s.Limit, len(s.ranked))
}

// Choose returns the addresses to which connections should be kept or opened:
// the preferred entries, and a substitute for each of them that is unreachable. At
// most twice Limit are returned, besides entries whose connection is still open.
// Connected reports whether there is a connection to the entry at an address.
func (s *Selector) Choose(now time.Time, connected func(address string) bool) []string {
	for _, c := range s.ranked {
		c.update(now, connected(c.address))
	}
	n := s.limit()
	missing, allConnected := 0, true
	for _, c := range s.ranked[:n] {
		c.choose(now)
		if c.unreachable(now) {
			missing++
		}
		allConnected = allConnected && c.connected
	}
	s.chooseSubstitutes(now, missing)
	switch {
	case !allConnected:
		s.preferredSince = time.Time{}
	case s.preferredSince.IsZero():
		s.preferredSince = now
	}
	var addresses []string
	for _, c := range s.ranked {
		if c.chosen {
			addresses = append(addresses, c.address)
		}
	}
	return addresses
}

// chooseSubstitutes chooses count entries that are not preferred and have a connection.
// If there are fewer, it also chooses count entries to connect to, those never tried
// first, then those whose last failure is the longest ago.
func (s *Selector) chooseSubstitutes(now time.Time, count int) {
	others := slices.Clone(s.ranked[s.limit():])
	for _, c := range others {
		if c.chosen && c.failedTrial(now) {
			c.failedAt, c.chosen, c.disconnectedAt = now, false, time.Time{}
		}
	}
	slices.SortStableFunc(others, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.substituteOrder(), b.substituteOrder()), a.failedAt.Compare(b.failedAt))
	})
	connected := slices.IndexFunc(others, func(c *candidate) bool { return !c.connected })
	if connected < 0 {
		connected = len(others)
	}
	anyConnected := slices.ContainsFunc(s.ranked, func(c *candidate) bool { return c.connected })
	for i, c := range others {
		switch {
		case i < min(connected, count):
			c.choose(now)
		case c.connected:
		case connected < count && i < connected+count && (!anyConnected || c.mayRetry(now)):
			c.choose(now)
		default:
			c.chosen, c.disconnectedAt = false, time.Time{}
		}
	}
}

// failedTrial reports whether the substitute has been without a connection for
// trialDelay.
func (c *candidate) failedTrial(now time.Time) bool {
	return !c.disconnectedAt.IsZero() && now.Sub(c.disconnectedAt) >= trialDelay
}

// mayRetry reports whether the last failure is retryDelay ago.
func (c *candidate) mayRetry(now time.Time) bool {
	return c.failedAt.IsZero() || now.Sub(c.failedAt) >= retryDelay
}

// substituteOrder returns the order in which substitutes are taken: connected ones
// first, and among equals those chosen before.
func (c *candidate) substituteOrder() int {
	order := 0
	if !c.connected {
		order += 2
	}
	if !c.chosen {
		order++
	}
	return order
}

// update records whether the entry is connected.
func (c *candidate) update(now time.Time, connected bool) {
	c.connected = connected
	switch {
	case connected:
		c.disconnectedAt, c.failedAt = time.Time{}, time.Time{}
	case c.chosen && c.disconnectedAt.IsZero():
		c.disconnectedAt = now
	}
}

func (c *candidate) choose(now time.Time) {
	if !c.chosen && !c.connected {
		c.disconnectedAt = now
	}
	c.chosen = true
}

// unreachable reports whether the entry has been without a connection for
// substituteDelay.
func (c *candidate) unreachable(now time.Time) bool {
	return !c.disconnectedAt.IsZero() && now.Sub(c.disconnectedAt) >= substituteDelay
}

// IsChosen reports whether the last call of Choose returned the address.
func (s *Selector) IsChosen(address string) bool {
	c := s.find(address)
	return c != nil && c.chosen
}

// IsLongUnreachable reports whether the chosen entry at address has had no connection
// for so long that it should be dialed rarely.
func (s *Selector) IsLongUnreachable(now time.Time, address string) bool {
	c := s.find(address)
	return c != nil && !c.disconnectedAt.IsZero() && now.Sub(c.disconnectedAt) >= longUnreachable
}

// Surplus returns the addresses of connected entries that are not preferred, once all
// preferred entries have been connected for some time.
func (s *Selector) Surplus(now time.Time) []string {
	if s.preferredSince.IsZero() || now.Sub(s.preferredSince) < surplusDelay {
		return nil
	}
	var addresses []string
	for _, c := range s.ranked[s.limit():] {
		if c.connected {
			addresses = append(addresses, c.address)
		}
	}
	return addresses
}

// Release stops keeping the connection to a surplus entry.
func (s *Selector) Release(address string) {
	if c := s.find(address); c != nil {
		c.chosen, c.disconnectedAt = false, time.Time{}
	}
}

func (s *Selector) find(address string) *candidate {
	for _, c := range s.ranked {
		if c.address == address {
			return c
		}
	}
	return nil
}
