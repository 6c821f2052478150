package dispatcher

import (
	"math"
	"time"
)

// DrainSeconds estimates how many seconds it takes to start all waiting tasks,
// from the recent start rate; it is infinite when no task was started recently.
// The number of agents would be a poor basis, since other entries use the same
// agents. Known is false until the rate has been observed for long enough, as
// just after the process started.
func (d *Dispatcher[J]) DrainSeconds() (seconds float64, known bool) {
	switch {
	case d.waitingWork <= 0:
		return 0, true
	case d.rateObserved < rateWindow:
		return 0, false
	case d.startRate <= 0:
		return math.Inf(1), true
	}
	return d.waitingWork / d.startRate, true
}

// updateStartRate updates the start rate with the work started since the last
// update. While the queue is empty, a sample counts only if it raises the rate:
// with nothing waiting, a low rate says nothing about what the agents can handle.
// Until rateWindow has passed, the rate is the average of all samples; later ones
// are averaged exponentially.
func (d *Dispatcher[J]) updateStartRate(now time.Time) {
	elapsed := now.Sub(d.rateUpdatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	if d.waiting > 0 || d.startedWork/elapsed > d.startRate {
		d.rateObserved = min(d.rateObserved+elapsed, rateWindow)
		weight := min(elapsed/d.rateObserved, 1)
		d.startRate += weight * (d.startedWork/elapsed - d.startRate)
	}
	d.updatePlaceRates(elapsed)
	d.rateUpdatedAt, d.startedWork = now, 0
}
