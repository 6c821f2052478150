package limiter

import (
	"cmp"
	"container/list"
	"time"
)

// makeRoom evicts holders until, once they have ended, n bytes and those of all waiters
// are free. It evicts none and returns false if that is not possible. The order: idle
// connections, requests that are not small, small requests past their grace; each
// oldest first, and the less complete of those of about the same age. A holder makes
// room only by eviction of older ones, or of any if its own request is small.
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

// evictOne makes room for the connection of h by the eviction of another one.
func (l *Ledger) evictOne(now time.Time, h *Holder) bool {
	v := l.victim(now, nil, h, Connections, 0)
	if v != nil {
		l.evict(v)
	}
	return v != nil
}

// victim returns the holder to evict next, beside those taken, so that h can reserve n
// bytes of an account, or nil.
func (l *Ledger) victim(now time.Time, taken map[*Holder]bool, h *Holder, a Account, n int64) *Holder {
	small := h.request()+n <= smallRequest || a == Connections
	for _, queue := range []*list.List{l.idle, l.large, l.small} {
		v := l.next(queue, taken, h, a)
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

// next returns the holder in a queue to evict next, other than h and those taken, or
// nil.
func (l *Ledger) next(queue *list.List, taken map[*Holder]bool, h *Holder, a Account) *Holder {
	var best *Holder
	oldest, compared := time.Time{}, 0
	for e := queue.Front(); e != nil && compared < maxCompared; e = e.Next() {
		v := e.Value.(*Holder)
		if v == h || taken[v] || l.held(v, a) == 0 {
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
	l.Evicted++
	l.leavingCount++
	l.dequeue(h)
	l.stopWaiting(h)
	for a, n := range h.used {
		l.leavingUsed[a] += n
	}
	l.evicted = append(l.evicted, h)
}
