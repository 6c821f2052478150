package dispatcher

import (
	"time"

	"mustardlever.dev/mustardlever/estimator"
)

// addWork adds to the waiting work. It must be called while the job counts as queued.
func (d *Dispatcher[J]) addWork(j *Job[J], work float64) {
	d.waitingWork += work
	d.workByLevel[estimator.Level(j.Priority)] += work
	if j.heldBack() {
		d.heldBackWork += work
	}
}

// Waits describes the work and the jobs that wait, by level of priority as in package estimator, and the rate of
// work started while tasks wait, 0 if it has not been observed for long enough. Work is in
// thousandths of a core times seconds.
type Waits struct {
	Work [estimator.Levels]float64
	Jobs [estimator.Levels]int
	Rate float64
}

// Waits returns what waits now.
func (d *Dispatcher[J]) Waits() Waits {
	w := Waits{Work: d.workByLevel, Jobs: d.jobsByLevel}
	if d.rateObserved >= rateWindow {
		w.Rate = d.startRate
	}
	for i := range w.Work {
		if w.Jobs[i] == 0 {
			w.Work[i] = 0 // removes rounding errors
		}
	}
	return w
}

// maxScannedAhead bounds the cost of WorkAhead. Queues that are longer than about a
// second are rare, since jobs beyond it are refused.
const maxScannedAhead = 128

// WorkAhead returns the work of the waiting tasks that come before those of a job, which
// need not be in the queue. At most maxScannedAhead jobs are counted.
func (d *Dispatcher[J]) WorkAhead(j *Job[J]) float64 {
	key, work, scanned := d.rank(j), 0.0, 0
	d.jobs.Ascend(func(other *Job[J]) bool {
		if other == j || other.key > key {
			return false
		}
		work += d.jobWork(other)
		scanned++
		return scanned < maxScannedAhead
	})
	return work
}

// Work returns the work of the job's waiting tasks, in thousandths of a core times seconds.
func (d *Dispatcher[J]) Work(j *Job[J]) float64 { return d.jobWork(j) }

// LatestStart returns the latest time at which the last task of the job can start for
// the job to meet its due time.
func (d *Dispatcher[J]) LatestStart(j *Job[J]) time.Time { return d.latestStart(j) }

// FreeShare returns the share of the agents' capacity that is free, whichever entry it was
// offered to. Suspended agents have none. Without agents it is 1, since nothing is known.
func (d *Dispatcher[J]) FreeShare() float64 {
	if len(d.agentList) == 0 {
		return 1
	}
	d.updateFreeTotal()
	return float64(d.freeCPU) / float64(max(d.totalCPU, 1))
}
