package leaser

import "time"

// leaseEnd returns the end of a lease that begins now, in ms of the backend
// server's clock, or 0 while that clock is unknown. That clock may run slow, so the
// lease may be shorter than Settings.Lease, by maxClockDrift of the time since the clock
// was read, but not longer.
func (l *Leaser) leaseEnd(now time.Time) int64 {
	if l.clockReadAt.IsZero() {
		return 0
	}
	elapsed := float64(now.Sub(l.clockReadAt)) * (1 - maxClockDrift)
	return l.serverClock + time.Duration(elapsed).Milliseconds() + l.Settings.Lease.Milliseconds()
}
