// Package pausedetector finds out that a process did not run for a while: its machine
// was suspended or frozen. The steady clock of a suspended machine stands still,
// so that everything that was measured by it looks younger than it is.
package pausedetector

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// start is the origin of the times that Now corrects.
var start = time.Now()

// origin is the boot clock at start.
var origin = bootClock()

// bootClock returns the clock that counts the time in which the machine was
// suspended, too.
func bootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // no such clock: suspensions stay unnoticed
	}
	return time.Duration(t.Nano())
}

// Now returns the present time, whose steady part counts suspensions.
func Now() time.Time {
	if origin == 0 {
		return time.Now()
	}
	return start.Add(bootClock() - origin)
}

// Detector notices gaps between its beats. The zero value never does; set Limit.
// It is safe for concurrent use.
type Detector struct {
	Limit time.Duration
	Clock func() time.Time // default Now

	last atomic.Int64 // of the last beat, nanoseconds since 1970; 0: none yet
}

func (w *Detector) now() int64 {
	if w.Clock == nil {
		return Now().UnixNano()
	}
	return w.Clock().UnixNano()
}

// Beat notes that the process runs. It is to be called several times in Limit.
func (w *Detector) Beat() { w.last.Store(w.now()) }

// Paused reports whether the last beat was more than Limit ago, and beats, so
// that one of several callers learns of each gap.
func (w *Detector) Paused() bool {
	last, now := w.last.Load(), w.now()
	if w.Limit <= 0 || last == 0 || time.Duration(now-last) <= w.Limit {
		return false
	}
	return w.last.CompareAndSwap(last, now)
}

// Sleep waits for d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
