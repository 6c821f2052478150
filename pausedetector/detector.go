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

// steadyNow returns the current time. Its monotonic part does not include suspensions.
func steadyNow() time.Time { return referenceTime.Add(time.Since(referenceTime)) }

// Detector detects long gaps between calls of Beat, and suspensions of the machine
// between them. Set MaxGap; with the zero value nothing is detected. It is safe for
// concurrent use.
type Detector struct {
	MaxGap        time.Duration    // longest gap that does not count as a pause
	MaxSuspension time.Duration    // longest suspension that does not count as a pause; 0: MaxGap only
	Clock         func() time.Time // default Now
	SteadyClock   func() time.Time // does not include suspensions; default a monotonic clock

	lastBeat atomic.Int64 // Unix nanoseconds; 0: none yet
	maxLead  atomic.Int64 // at the last beat, see read
}

// now returns the current time in Unix nanoseconds.
func (d *Detector) now() int64 {
	if d.Clock == nil {
		return Now().UnixNano()
	}
	return d.Clock().UnixNano()
}

// steady returns the time of SteadyClock in Unix nanoseconds.
func (d *Detector) steady() int64 {
	if d.SteadyClock == nil {
		return steadyNow().UnixNano()
	}
	return d.SteadyClock().UnixNano()
}

// read returns the time of Clock in Unix nanoseconds, and bounds of the time by which it
// is ahead of SteadyClock, in ns. The bounds differ because the clocks are read one after
// the other.
func (d *Detector) read() (now, minLead, maxLead int64) {
	before := d.steady()
	now = d.now()
	return now, now - d.steady(), now - before
}

// Beat records that the process is running. Call it several times per MaxGap.
func (d *Detector) Beat() {
	now, _, maxLead := d.read()
	d.maxLead.Store(maxLead)
	d.lastBeat.Store(now)
}

// Paused reports whether the last beat was more than MaxGap ago, or the machine was
// suspended for more than MaxSuspension since. It then records a beat, so that only one
// of several callers reports each pause.
func (d *Detector) Paused() bool {
	lastBeat, lastMaxLead := d.lastBeat.Load(), d.maxLead.Load()
	now, minLead, maxLead := d.read()
	if d.MaxGap <= 0 || lastBeat == 0 {
		return false
	}
	suspended := d.MaxSuspension > 0 && time.Duration(minLead-lastMaxLead) > d.MaxSuspension
	if !suspended && time.Duration(now-lastBeat) <= d.MaxGap || !d.lastBeat.CompareAndSwap(lastBeat, now) {
		return false
	}
	d.maxLead.Store(maxLead)
	return true
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
