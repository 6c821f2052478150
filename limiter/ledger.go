package limiter

import (
	"container/list"
	"time"
)

// Account names what a reservation is for.
type Account int

// Accounts of a Ledger.
const (
	Connections Account = iota // cost of connections without their requests
	Headers                    // headers being read, and those of bodies being read
	Bodies                     // bodies being read
	Jobs                       // requests that are being handled
	Reserve                    // small requests, once their own account is full
	accounts
)

// Phase is what a connection is doing.
type Phase int

// Phases of a connection. Only in PhaseBusy it is never evicted: its request was read
// completely and may have been started.
const (
	PhaseIdle    Phase = iota // between requests
	PhaseReading              // headers or a body
	PhaseBusy
)

// Verdict is the decision on a reservation.
type Verdict int

// Verdicts. With Waits, the reservation is granted once evicted connections have ended. With
// Hoarded it is refused, and will be until a connection of the same source ends.
const (
	Refused Verdict = iota
	Granted
	Waits
	Hoarded
)

const (
	// smallRequest is the cost up to which a request is evicted last and may use the
	// reserve. Requests of ordinary callers have headers of 300 bytes and bodies of 1 KiB.
	smallRequest = 16 << 10
	// smallGrace protects a small request, or a connection without one, from eviction: an
	// ordinary caller sends its request within it, also over a slow link.
	smallGrace = 250 * time.Millisecond
	// agesAlike is the difference in age below which the less complete request is evicted.
	agesAlike = time.Second
	// maxCompared limits the requests whose completeness is compared for one eviction.
	maxCompared = 16
)

// Holder is a connection that holds reservations. Evict and Grant may be nil; they are
// called by the owner of the Ledger for what TakeEvicted and TakeGranted return.
type Holder struct {
	Source string // who opened the connection; empty: not known
	Evict  func() // closes the connection
	Grant  func() // ends its wait

	source *source

	phase    Phase
	since    time.Time // when the request began, or the connection became idle
	received int64     // bytes of the request so far
	used     [accounts]int64
	evicted  bool
	closed   bool
	waiting  bool
	want     int64 // reservation that it waits for
	account  Account
	place    *list.Element
	queue    *list.List // that place belongs to
}

// request returns the cost of the holder's request so far.
func (h *Holder) request() int64 {
	return h.used[Headers] + h.used[Bodies] + h.used[Jobs] + h.used[Reserve]
}

// Ledger holds the accounts of one listener and decides which reservation is granted
// and which connection is evicted. It handles the load of many connections whose
// requests are large or never end. Create it with NewLedger.
type Ledger struct {
	MaxConnections int           // default: bounded only by the limit of Connections
	MaxLarge       int           // requests that are being read and not small; default: unlimited
	Grace          time.Duration // age up to which a small request is not evicted; default 250 ms
	SilentGrace    time.Duration // the same, of a connection that has sent nothing; default Grace

	limits [accounts]int64
	shared bool // all accounts draw on the limit of Connections
	used   [accounts]int64
	// leavingUsed is the part of used that evicted holders have not released yet.
	leavingUsed  [accounts]int64
	leavingCount int
	idle         *list.List // evictable holders, oldest first
	large        *list.List
	small        *list.List
	waiters      *list.List
	evicted      []*Holder
	granted      []*Holder
	count        int
	sources      map[string]*source // by Holder.Source, those with connections
	Evicted      int64              // connections evicted so far
	Refusals     int64              // reservations refused so far
}

// NewLedger returns a Ledger with the given limits in bytes. With a limit for
// Connections only, all accounts share it.
func NewLedger(limits map[Account]int64) *Ledger {
	l := &Ledger{idle: list.New(), large: list.New(), small: list.New(), waiters: list.New(), sources: make(map[string]*source)}
	for a, n := range limits {
		l.limits[a] = n
	}
	l.shared = len(limits) == 1
	return l
}

// Used returns the reserved bytes of an account.
func (l *Ledger) Used(a Account) int64 { return l.used[a] }

// Count returns the number of connections that hold reservations.
func (l *Ledger) Count() int { return l.count }

// TakeEvicted returns the holders evicted since the last call.
func (l *Ledger) TakeEvicted() []*Holder {
	h := l.evicted
	l.evicted = nil
	return h
}

// TakeGranted returns the holders whose wait ended with a grant since the last call.
func (l *Ledger) TakeGranted() []*Holder {
	h := l.granted
	l.granted = nil
	return h
}

// Open reserves the cost of a new connection.
func (l *Ledger) Open(now time.Time, h *Holder, cost int64) Verdict {
	h.since, h.phase = now, PhaseReading
	l.join(h)
	v := l.makeRoomForConnection(now, h, cost)
	if v == Granted {
		v = l.reserve(now, h, Connections, cost)
	} else {
		l.Refusals++
	}
	if v == Refused || v == Hoarded {
		h.closed = true
		l.leave(h)
		return v
	}
	l.count++
	l.enqueue(h)
	return v
}

// Reserve adds n bytes to an account for the holder.
func (l *Ledger) Reserve(now time.Time, h *Holder, a Account, n int64) Verdict {
	if h.evicted || h.closed || h.waiting {
		return Refused
	}
	v := l.reserve(now, h, a, n)
	if v == Granted {
		l.enqueue(h)
	}
	return v
}

func (l *Ledger) reserve(now time.Time, h *Holder, a Account, n int64) Verdict {
	if n <= 0 {
		return Granted
	}
	if !l.hasWaiter(a) && l.fits(a, n) {
		l.charge(h, a, n)
		return Granted
	}
	if a != Connections && h.request()+n <= smallRequest && l.mayUseReserve(h, a, n) {
		l.charge(h, Reserve, n)
		return Granted
	}
	if n > l.limit(a) || !l.makeRoom(now, h, a, n) {
		l.Refusals++
		return Refused
	}
	h.waiting, h.want, h.account = true, n, a
	l.waiters.PushBack(h)
	return Waits
}

// limit returns the limit that applies to an account.
func (l *Ledger) limit(a Account) int64 {
	if l.shared {
		return l.limits[Connections]
	}
	return l.limits[a]
}

// usage returns the bytes that count against the limit of an account.
func (l *Ledger) usage(a Account) int64 {
	return l.sum(&l.used, a)
}

// sum returns what counts as the account a: itself, or all accounts if they share a limit.
func (l *Ledger) sum(bytes *[accounts]int64, a Account) int64 {
	if !l.shared {
		return bytes[a]
	}
	sum := int64(0)
	for _, n := range bytes {
		sum += n
	}
	return sum
}

func (l *Ledger) fits(a Account, n int64) bool { return l.usage(a)+n <= l.limit(a) }

func (l *Ledger) hasWaiter(a Account) bool {
	for e := l.waiters.Front(); e != nil; e = e.Next() {
		if l.shared || e.Value.(*Holder).account == a {
			return true
		}
	}
	return false
}

func (l *Ledger) charge(h *Holder, a Account, n int64) {
	h.used[a] += n
	h.source.used[a] += n
	l.used[a] += n
}

// held returns what the end of a holder would free in an account.
func (l *Ledger) held(h *Holder, a Account) int64 { return l.sum(&h.used, a) }

// CancelWait ends the wait of a holder. It returns false if it has ended already.
func (l *Ledger) CancelWait(h *Holder) bool {
	if !h.waiting {
		return false
	}
	l.Refusals++
	l.stopWaiting(h)
	l.grant()
	return true
}

func (l *Ledger) stopWaiting(h *Holder) {
	if !h.waiting {
		return
	}
	h.waiting = false
	for e := l.waiters.Front(); e != nil; e = e.Next() {
		if e.Value.(*Holder) == h {
			l.waiters.Remove(e)
			return
		}
	}
}

// SetPhase records what a holder is doing from now on. It returns false if the holder
// was evicted.
func (l *Ledger) SetPhase(now time.Time, h *Holder, p Phase) bool {
	if h.evicted || h.closed {
		return false
	}
	if p != h.phase && p != PhaseBusy {
		h.since, h.received = now, 0
	}
	h.phase = p
	l.enqueue(h)
	return true
}

// Receive counts bytes of a holder's request.
func (l *Ledger) Receive(h *Holder, n int) { h.received += int64(n) }

// Release takes n bytes from an account of the holder, or what it has there, and the
// rest from its reserve.
func (l *Ledger) Release(h *Holder, a Account, n int64) {
	own := min(n, h.used[a])
	l.discharge(h, a, own)
	l.discharge(h, Reserve, min(n-own, h.used[Reserve]))
	if !h.evicted && !h.closed {
		l.enqueue(h)
	}
	l.grant()
}

// Settle ends the reservations for reading a request, once those for handling it are
// in the account Jobs.
func (l *Ledger) Settle(h *Holder) {
	l.discharge(h, Headers, h.used[Headers])
	l.discharge(h, Bodies, h.used[Bodies])
	if h.used[Jobs] > 0 {
		l.discharge(h, Reserve, h.used[Reserve])
	}
	l.grant()
}

// ReleaseRequest takes all bytes but those of the connection itself.
func (l *Ledger) ReleaseRequest(h *Holder) {
	for _, a := range []Account{Headers, Bodies, Jobs, Reserve} {
		l.discharge(h, a, h.used[a])
	}
	if !h.evicted && !h.closed {
		l.enqueue(h)
	}
	l.grant()
}

func (l *Ledger) discharge(h *Holder, a Account, n int64) {
	h.used[a] -= n
	h.source.used[a] -= n
	l.used[a] -= n
	if h.evicted {
		h.source.leavingUsed[a] -= n
		l.leavingUsed[a] -= n
	}
}

// Close ends all reservations of a holder. Further calls have no effect.
func (l *Ledger) Close(h *Holder) {
	if h.closed {
		return
	}
	l.stopWaiting(h)
	l.dequeue(h)
	for a, n := range h.used {
		l.discharge(h, Account(a), n)
	}
	h.closed = true
	l.leave(h)
	l.count--
	if h.evicted {
		l.leavingCount--
	}
	l.grant()
}

// grant grants waiting reservations in their order, as far as they fit.
func (l *Ledger) grant() {
	var full [accounts]bool
	for e := l.waiters.Front(); e != nil; {
		next := e.Next()
		h := e.Value.(*Holder)
		if full[h.account] || !l.fits(h.account, h.want) {
			full[h.account] = true
			if l.shared {
				return
			}
		} else {
			l.waiters.Remove(e)
			h.waiting = false
			l.charge(h, h.account, h.want)
			l.enqueue(h)
			l.granted = append(l.granted, h)
		}
		e = next
	}
}
