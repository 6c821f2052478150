package limiter

import (
	"container/list"
	"net"
	"net/netip"
)

const (
	// Parts of the connections and of the reserve that one source may take. The rest is for
	// other sources, which could otherwise make no room while it has everything in use.
	oneSourceConnections = 0.9
	oneSourceReserve     = 0.5
	// ipv6SourceBits is the length of the prefix of IPv6 that counts as one source.
	ipv6SourceBits = 64
)

// source is what the connections from one address hold together. Its share of an account is
// the limit divided by the number of sources.
type source struct {
	used        [accounts]int64
	leavingUsed [accounts]int64 // part of used whose holders were evicted
	count       int             // connections
	leaving     int             // those among them that were evicted
}

// sourceOf returns the name of the source at the other end of a connection: its IP address,
// or the prefix of it that counts as one source.
func sourceOf(c net.Conn) string {
	a, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return ""
	}
	address, ok := netip.AddrFromSlice(a.IP)
	if !ok {
		return ""
	}
	if address = address.Unmap(); address.Is4() {
		return address.String()
	}
	prefix, err := address.Prefix(ipv6SourceBits)
	if err != nil {
		return ""
	}
	return prefix.String()
}

// join adds a holder to its source.
func (l *Ledger) join(h *Holder) {
	if h.source = l.sources[h.Source]; h.source == nil {
		h.source = new(source)
		l.sources[h.Source] = h.source
	}
	h.source.count++
}

// leave removes a holder that has released everything from its source.
func (l *Ledger) leave(h *Holder) {
	h.source.count--
	if h.evicted {
		h.source.leaving--
	}
	if h.source.count == 0 {
		delete(l.sources, h.Source)
	}
}

// load returns what a source holds of an account without what evicted holders will free.
func (l *Ledger) load(s *source, a Account) int64 {
	return l.sum(&s.used, a) - l.sum(&s.leavingUsed, a)
}

// exceedsShare reports whether a source holds more than its share of an account with n bytes
// more.
func (l *Ledger) exceedsShare(s *source, a Account, n int64) bool {
	return (l.load(s, a)+n)*int64(len(l.sources)) > l.limit(a)
}

// exceedsConnections reports whether a source has more than its share of the connections.
func (l *Ledger) exceedsConnections(s *source) bool {
	return l.MaxConnections > 0 && (s.count-s.leaving)*len(l.sources) > l.MaxConnections
}

// hoards reports whether h is one connection more than one source may have. A source that
// is not known is not limited so.
func (l *Ledger) hoards(h *Holder, cost int64) bool {
	count, used := float64(h.source.count-h.source.leaving), float64(l.load(h.source, Connections)+cost)
	return h.Source != "" && (l.MaxConnections > 0 && count > max(oneSourceConnections*float64(l.MaxConnections), 1) ||
		used > oneSourceConnections*float64(l.limits[Connections]))
}

// mayUseReserve reports whether h may take n bytes for an account from the reserve. A
// source that exceeds its share leaves a part of it to others.
func (l *Ledger) mayUseReserve(h *Holder, a Account, n int64) bool {
	limit := float64(l.limits[Reserve])
	if h.Source != "" && l.exceedsShare(h.source, a, n) {
		limit *= oneSourceReserve
	}
	return float64(l.used[Reserve]+n) <= limit
}

// largestExceeding returns the source that holds most of an account among those that exceed
// their shares of it, beside what the holders in taken will free, or nil.
func (l *Ledger) largestExceeding(a Account, taken map[*Holder]bool) *source {
	freed := make(map[*source]int64)
	for v := range taken {
		freed[v.source] += l.held(v, a)
	}
	var largest *source
	for _, s := range l.sources {
		if l.exceedsShare(s, a, -freed[s]) && (largest == nil || l.load(s, a)-freed[s] > l.load(largest, a)-freed[largest]) {
			largest = s
		}
	}
	return largest
}

// mostConnections returns the source with most connections if it exceeds its share of them,
// or nil.
func (l *Ledger) mostConnections() *source {
	var most *source
	for _, s := range l.sources {
		if l.exceedsConnections(s) && (most == nil || s.count-s.leaving > most.count-most.leaving) {
			most = s
		}
	}
	return most
}

// evictableOf returns the holder of a source to evict next, other than those taken: an idle
// one, one with a large request or one with a small one, the oldest first. It returns nil if
// there is none.
func (l *Ledger) evictableOf(s *source, a Account, taken map[*Holder]bool) *Holder {
	if s == nil {
		return nil
	}
	for _, queue := range []*list.List{l.idle, l.large, l.small} {
		for e := queue.Front(); e != nil; e = e.Next() {
			if v := e.Value.(*Holder); v.source == s && !taken[v] && l.held(v, a) > 0 {
				return v
			}
		}
	}
	return nil
}

// mostLarge returns the source with most requests in the queue of large ones.
func (l *Ledger) mostLarge() *source {
	counts := make(map[*source]int)
	var most *source
	for e := l.large.Front(); e != nil; e = e.Next() {
		s := e.Value.(*Holder).source
		if counts[s]++; most == nil || counts[s] > counts[most] {
			most = s
		}
	}
	return most
}
