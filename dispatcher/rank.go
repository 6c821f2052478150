package dispatcher

import "time"

// before reports whether a comes before b in the queue.
func before[J any](a, b *Job[J]) bool {
	return a.key < b.key || a.key == b.key && a.sequence < b.sequence
}

// demoteLateJobs moves jobs that can no longer meet their due time behind the
// others. A job with a started task keeps its place, since it already uses
// capacity.
func (d *Dispatcher[J]) demoteLateJobs(now time.Time) {
	if d.Settings.Baseline != "" {
		return
	}
	var late []*Job[J]
	d.jobs.Ascend(func(j *Job[J]) bool {
		if j.started {
			return true
		}
		if j.late || j.Due.IsZero() {
			return false
		}
		if now.After(d.latestStart(j)) {
			late = append(late, j)
		}
		return true
	})
	for _, j := range late {
		d.jobs.Delete(j)
		j.late = true
		d.heldBackWork += d.jobWork(j)
		j.key = d.rank(j)
		d.jobs.ReplaceOrInsert(j)
	}
}

// latestStart returns the latest time at which the job's next task can start for
// the job to meet its due time.
func (d *Dispatcher[J]) latestStart(j *Job[J]) time.Time {
	expectedSeconds := d.expectedSeconds(j.Estimate) * (1 + dueTimeMargin)
	return j.Due.Add(-time.Duration(expectedSeconds * float64(time.Second)))
}

// rank returns the job's key in the queue; the smallest key comes first. A job
// with a due time ranks by its latest start, in seconds since epoch. A job
// without one ranks by its remaining work plus a term for its age: all jobs age
// at the same rate, so adding the arrival time gives the same order as
// subtracting the time waited, and the key needs no update as time passes.
func (d *Dispatcher[J]) rank(j *Job[J]) float64 {
	if d.Settings.Baseline != "" {
		return j.Arrived.Sub(d.epoch).Seconds()
	}
	key := d.baseRank(j)
	if j.started {
		key += startedOffset
	}
	return key
}

// baseRank returns the job's key without the offset for a started job.
func (d *Dispatcher[J]) baseRank(j *Job[J]) float64 {
	if !j.Due.IsZero() {
		key := d.latestStart(j).Sub(d.epoch).Seconds() + priorityOffset*float64(j.Priority)
		if j.late {
			key += lateOffset
		}
		return key
	}
	agingRate := d.Settings.AgingRate * float64(max(len(d.agents), 1))
	return float64(j.Unfinished)*d.expectedSeconds(j.Estimate) + agingRate*j.Arrived.Sub(d.epoch).Seconds() + noDueTimeOffset
}
