package limiter

import (
	"container/list"
	"net"
	"net/netip"
)

const (
	// Parts of the connections and of the reserve that one client may take. The rest is for
	// other clients, which could otherwise make no room while it has everything in use.
	oneClientConnections = 0.9
	oneClientReserve     = 0.5
	// ipv6ClientBits is the length of the prefix of IPv6 that counts as one client.
	ipv6ClientBits = 64
)

// client is what the connections from one address hold together. Its share of an account is
// the limit divided by the number of clients.
type client struct {
	used        [accounts]int64
	leavingUsed [accounts]int64 // part of used whose holders were evicted
	count       int             // connections
	leaving     int             // those among them that were evicted
}

// clientOf returns the name of the client at the other end of a connection: its IP address,
// or the prefix of it that counts as one client.
func clientOf(c net.Conn) string {
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
	prefix, err := address.Prefix(ipv6ClientBits)
	if err != nil {
		return ""
	}
	return prefix.String()
}

// join adds a holder to its client.
func (l *Ledger) join(h *Holder) {
	if h.client = l.clients[h.Client]; h.client == nil {
		h.client = new(client)
		l.clients[h.Client] = h.client
	}
	h.client.count++
}

// leave removes a holder that has released everything from its client.
func (l *Ledger) leave(h *Holder) {
	h.client.count--
	if h.evicted {
		h.client.leaving--
	}
	if h.client.count == 0 {
		delete(l.clients, h.Client)
	}
}

// load returns what a client holds of an account without what evicted holders will free.
func (l *Ledger) load(c *client, a Account) int64 {
	return l.sum(&c.used, a) - l.sum(&c.leavingUsed, a)
}

// exceedsShare reports whether a client holds more than its share of an account with n bytes
// more.
func (l *Ledger) exceedsShare(c *client, a Account, n int64) bool {
	return (l.load(c, a)+n)*int64(len(l.clients)) > l.limit(a)
}

// exceedsConnections reports whether a client has more than its share of the connections.
func (l *Ledger) exceedsConnections(c *client) bool {
	return l.MaxConnections > 0 && (c.count-c.leaving)*len(l.clients) > l.MaxConnections
}

// hoards reports whether h is one connection more than one client may have. A client that
// is not known is not limited so.
func (l *Ledger) hoards(h *Holder, cost int64) bool {
	count, used := float64(h.client.count-h.client.leaving), float64(l.load(h.client, Connections)+cost)
	return h.Client != "" && (l.MaxConnections > 0 && count > max(oneClientConnections*float64(l.MaxConnections), 1) ||
		used > oneClientConnections*float64(l.limits[Connections]))
}

// mayUseReserve reports whether h may take n bytes for an account from the reserve. A
// client that exceeds its share leaves a part of it to others.
func (l *Ledger) mayUseReserve(h *Holder, a Account, n int64) bool {
	limit := float64(l.limits[Reserve])
	if h.Client != "" && l.exceedsShare(h.client, a, n) {
		limit *= oneClientReserve
	}
	return float64(l.used[Reserve]+n) <= limit
}

// largestExceeding returns the client that holds most of an account among those that exceed
// their shares of it, beside what the holders in taken will free, or nil.
func (l *Ledger) largestExceeding(a Account, taken map[*Holder]bool) *client {
	freed := make(map[*client]int64)
	for v := range taken {
		freed[v.client] += l.held(v, a)
	}
	var largest *client
	for _, c := range l.clients {
		if l.exceedsShare(c, a, -freed[c]) && (largest == nil || l.load(c, a)-freed[c] > l.load(largest, a)-freed[largest]) {
			largest = c
		}
	}
	return largest
}

// mostConnections returns the client with most connections if it exceeds its share of them,
// or nil.
func (l *Ledger) mostConnections() *client {
	var most *client
	for _, c := range l.clients {
		if l.exceedsConnections(c) && (most == nil || c.count-c.leaving > most.count-most.leaving) {
			most = c
		}
	}
	return most
}

// evictableOf returns the holder of a client to evict next, other than those taken: an idle
// one, one with a large request or one with a small one, the oldest first. It returns nil if
// there is none.
func (l *Ledger) evictableOf(c *client, a Account, taken map[*Holder]bool) *Holder {
	if c == nil {
		return nil
	}
	for _, queue := range []*list.List{l.idle, l.large, l.small} {
		for e := queue.Front(); e != nil; e = e.Next() {
			if v := e.Value.(*Holder); v.client == c && !taken[v] && l.held(v, a) > 0 {
				return v
			}
		}
	}
	return nil
}

// mostLarge returns the client with most requests in the queue of large ones.
func (l *Ledger) mostLarge() *client {
	counts := make(map[*client]int)
	var most *client
	for e := l.large.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Holder).client
		if counts[c]++; most == nil || counts[c] > counts[most] {
			most = c
		}
	}
	return most
}
