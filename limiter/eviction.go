package limiter

import (
	"cmp"
	"container/list"
	"time"
)

// makeRoom evicts holders until, once they have ended, n bytes and those of all waiters
// are free. It evicts none and returns false if that is not possible.
//
// A source within its share takes from the one that exceeds its own by most: its idle
// connections, large requests and small ones, the oldest first, whatever their age.
// Otherwise the order is: idle connections, requests that are not small, small requests
// past their grace; each oldest first, and the less complete of those of about the same
// age. A holder then makes room only by eviction of older ones, or of any if its own
// request is small, and never takes from a source within its share if its own exceeds it.
func (l *Ledger) makeRoom(now time.Time, h *Holder, a Account, n int64) bool {
	missing := l.usage(a) + n - l.limit(a)
	for e := l.waiters.Front(); e != nil; e = e.Next() {
		if w := e.Value.(*Holder); l.shared || w.account == a {
			missing += w.want
		}
	}
	missing -= l.leaving(a)
	if missing <= 0 {
		return true
	}
	taken := make(map[*Holder]bool)
	for missing > 0 {
		v := l.victim(now, taken, h, a, n)
		if v == nil {
			return false
		}
		taken[v] = true
		missing -= l.held(v, a)
	}
	for v := range taken {
		l.evict(v)
	}
	return true
}

// makeRoomForConnection evicts a connection if that of h is one too many, and returns
// Granted if there is room for it then. It counts connections; their memory is an account.
func (l *Ledger) makeRoomForConnection(now time.Time, h *Holder, cost int64) Verdict {
	var v *Holder
	switch {
	case l.hoards(h, cost):
		if v = l.oldest(now, h, Connections, 0, func(v *Holder) bool { return v.source != h.source }); v == nil {
			return Hoarded
		}
	case l.MaxConnections <= 0 || l.count-l.leavingCount < l.MaxConnections:
		return Granted
	case !l.exceedsConnections(h.source):
		if v = l.evictableOf(l.mostConnections(), Connections, nil); v == nil {
			v = l.victim(now, nil, h, Connections, 0)
		}
	default:
		v = l.victim(now, nil, h, Connections, 0)
	}
	if v == nil {
		return Refused
	}
	l.evict(v)
	return Granted
}

// victim returns the holder to evict next, beside those taken, so that h can reserve n
// bytes of an account, or nil.
func (l *Ledger) victim(now time.Time, taken map[*Holder]bool, h *Holder, a Account, n int64) *Holder {
	if !l.exceedsShare(h.source, a, n) {
		if v := l.evictableOf(l.largestExceeding(a, taken), a, taken); v != nil {
			return v
		}
		return l.oldest(now, h, a, n, func(v *Holder) bool { return taken[v] })
	}
	return l.oldest(now, h, a, n, func(v *Holder) bool {
		return taken[v] || v.source != h.source && !l.exceedsShare(v.source, a, 0)
	})
}

// oldest returns the holder to evict next by phase, size and age, other than those that skip
// reports, so that h can reserve n bytes of an account, or nil.
func (l *Ledger) oldest(now time.Time, h *Holder, a Account, n int64, skip func(v *Holder) bool) *Holder {
	small := h.request()+n <= smallRequest || a == Connections
	for _, queue := range []*list.List{l.idle, l.large, l.small} {
		v := next(queue, h, func(v *Holder) bool { return v == h || l.held(v, a) == 0 || skip(v) })
		switch {
		case v == nil, queue == l.small && now.Sub(v.since) < l.graceOf(v):
		case queue != l.idle && !small && !v.since.Before(h.since):
		default:
			return v
		}
	}
	return nil
}

// graceOf returns the age up to which a small request is not evicted.
func (l *Ledger) graceOf(h *Holder) time.Duration {
	if h.received == 0 && l.SilentGrace > 0 {
		return l.SilentGrace
	}
	return cmp.Or(l.Grace, smallGrace)
}

// next returns the holder in a queue to evict next, other than those that skip reports, or
// nil: the oldest, or the least complete of those of about the same age. Only those older
// than h are compared, unless h is nil.
func next(queue *list.List, h *Holder, skip func(v *Holder) bool) *Holder {
	var best *Holder
	oldest, compared := time.Time{}, 0
	for e := queue.Front(); e != nil && compared < maxCompared; e = e.Next() {
		v := e.Value.(*Holder)
		if skip(v) {
			continue
		}
		if best == nil {
			best, oldest = v, v.since
		} else if v.since.Sub(oldest) < agesAlike && (h == nil || v.since.Before(h.since)) && v.received < best.received {
			best = v
		}
		compared++
	}
	return best
}

// leaving returns what evicted holders that have not ended yet will free.
func (l *Ledger) leaving(a Account) int64 {
	return l.sum(&l.leavingUsed, a)
}

func (l *Ledger) evict(h *Holder) {
	h.evicted = true
	h.source.leaving++
	l.Evicted++
	l.leavingCount++
	l.dequeue(h)
	l.stopWaiting(h)
	for a, n := range h.used {
		h.source.leavingUsed[a] += n
		l.leavingUsed[a] += n
	}
	l.evicted = append(l.evicted, h)
}
