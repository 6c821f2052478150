// Package pausedetector detects that the process was paused, because its machine
// was suspended or frozen. The monotonic clock of a suspended machine does not
// advance, so that durations measured with it are too short.
package pausedetector

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// referenceTime is the time at process start, to which Now adds the elapsed boot
// time.
var referenceTime = time.Now()

// referenceBoot is the boot clock at referenceTime; 0 if there is no such clock.
var referenceBoot = bootClock()

// bootClock returns the time since boot, including the time in which the machine
// was suspended. It returns 0 if the clock cannot be read.
func bootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // suspensions are not detected
	}
	return time.Duration(t.Nano())
}

// Now returns the current time. Its monotonic part includes suspensions.
func Now() time.Time {
	if referenceBoot == 0 {
		return time.Now()
	}
	return referenceTime.Add(bootClock() - referenceBoot)
}

// Detector detects long gaps between calls of Beat. Set MaxGap; with the zero value
// no gap is detected. It is safe for concurrent use.
type Detector struct {
	MaxGap time.Duration    // longest gap that does not count as a pause
	Clock  func() time.Time // default Now

	lastBeat atomic.Int64 // Unix nanoseconds; 0: none yet
}

// now returns the current time in Unix nanoseconds.
func (d *Detector) now() int64 {
	if d.Clock == nil {
		return Now().UnixNano()
	}
	return d.Clock().UnixNano()
}

// Beat records that the process is running. Call it several times per MaxGap.
func (d *Detector) Beat() { d.lastBeat.Store(d.now()) }

// Paused reports whether the last beat was more than MaxGap ago. It then records a
// beat, so that only one of several callers reports each gap.
func (d *Detector) Paused() bool {
	lastBeat, now := d.lastBeat.Load(), d.now()
	if d.MaxGap <= 0 || lastBeat == 0 || time.Duration(now-lastBeat) <= d.MaxGap {
		return false
	}
	return d.lastBeat.CompareAndSwap(lastBeat, now)
}

// Sleep waits for d, or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
