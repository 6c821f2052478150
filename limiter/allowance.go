package limiter

import (
	"sync/atomic"
	"time"
)

// awaitInterval is the time between two attempts of Allowance.Await.
const awaitInterval = 5 * time.Millisecond

// Allowance bounds memory that is held for longer than a request, as that of jobs with
// tickets. The zero value has no bound. It is safe for concurrent use.
type Allowance struct {
	Limit int64 // bytes; 0: no bound

	used    atomic.Int64
	refused atomic.Int64
}

// Reserve takes n bytes and reports whether there was room for them.
func (a *Allowance) Reserve(n int64) bool {
	if a.take(n) {
		return true
	}
	a.refused.Add(1)
	return false
}

// take takes n bytes if there is room for them.
func (a *Allowance) take(n int64) bool {
	for {
		used := a.used.Load()
		if a.Limit > 0 && used+n > a.Limit {
			return false
		}
		if a.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Await waits until n bytes, or all if the bound is lower, are free. It returns the bytes
// that it has taken, or 0 if done is closed before.
func (a *Allowance) Await(done <-chan struct{}, n int64) int64 {
	if a.Limit > 0 {
		n = min(n, a.Limit)
	}
	for !a.take(n) {
		select {
		case <-done:
			return 0
		case <-time.After(awaitInterval):
		}
	}
	return n
}

// Release returns n bytes that were taken.
func (a *Allowance) Release(n int64) { a.used.Add(-n) }

// Used returns the bytes that are taken.
func (a *Allowance) Used() int64 { return a.used.Load() }

// Refused returns the number of reservations refused so far.
func (a *Allowance) Refused() int64 { return a.refused.Load() }
