package starter

import (
	"slices"

	"mustardlever.dev/mustardlever/sizer"
)

// maxQueuedShare limits the queue: the queued tasks together need at most this
// share of the capacity, except that an empty queue accepts one task of any
// size up to the capacity. Entries place tasks by load reports that are some
// milliseconds old. A short queue absorbs the starts that two entries send at
// the same time, and keeps the backend server busy for the round trip in which
// an entry learns of released capacity. A start beyond the limit is refused, so
// that the entry can place the task on another agent.
const maxQueuedShare = 0.1

// admissionQueue accounts for the capacity that running tasks use and queued
// tasks need on a backend server.
type admissionQueue struct {
	used       sizer.Resources // by running tasks
	queued     sizer.Resources // needed by queued tasks
	queuedRuns []*acceptedRun  // oldest first
}

// committed returns the resources of all running and queued tasks.
func (q *admissionQueue) committed() sizer.Resources { return q.used.Add(q.queued) }

// canStart reports whether a task can start at once.
func (q *admissionQueue) canStart(capacity, need sizer.Resources) bool {
	return len(q.queuedRuns) == 0 && capacity.Sub(q.used).Covers(need)
}

// canQueue reports whether a task may be queued until capacity is released.
func (q *admissionQueue) canQueue(capacity, need sizer.Resources) bool {
	return capacity.Covers(need) && (len(q.queuedRuns) == 0 || q.queued.Add(need).DominantShare(capacity) <= maxQueuedShare)
}

// enqueue appends a run to the queue.
func (q *admissionQueue) enqueue(r *acceptedRun) {
	q.queuedRuns = append(q.queuedRuns, r)
	q.queued = q.queued.Add(r.need)
}

// remove removes a run from the queue. It reports whether the run was queued.
func (q *admissionQueue) remove(r *acceptedRun) bool {
	i := slices.Index(q.queuedRuns, r)
	if i < 0 {
		return false
	}
	q.queuedRuns = slices.Delete(q.queuedRuns, i, i+1)
	q.queued = q.queued.Sub(r.need)
	return true
}

// removeLargerThan removes the queued runs that need more than the whole capacity, and
// returns them.
func (q *admissionQueue) removeLargerThan(capacity sizer.Resources) []*acceptedRun {
	return q.removeIf(func(r *acceptedRun) bool { return !capacity.Covers(r.need) })
}

// removeWithoutLabel removes the queued runs that require a label which is not among
// labels, and returns them.
func (q *admissionQueue) removeWithoutLabel(labels []string) []*acceptedRun {
	return q.removeIf(func(r *acceptedRun) bool { return !hasLabel(labels, r.RequiredLabel) })
}

func (q *admissionQueue) removeIf(unmet func(*acceptedRun) bool) []*acceptedRun {
	var removed []*acceptedRun
	for _, r := range slices.Clone(q.queuedRuns) {
		if unmet(r) {
			q.remove(r)
			removed = append(removed, r)
		}
	}
	return removed
}

// startNext moves the oldest queued run to the running ones and returns it. It
// returns nil when the queue is empty or the run does not fit yet.
func (q *admissionQueue) startNext(capacity sizer.Resources) *acceptedRun {
	if len(q.queuedRuns) == 0 || !capacity.Sub(q.used).Covers(q.queuedRuns[0].need) {
		return nil
	}
	r := q.queuedRuns[0]
	q.remove(r)
	q.reserve(r)
	return r
}

func (q *admissionQueue) reserve(r *acceptedRun) { q.used = q.used.Add(r.need) }
func (q *admissionQueue) release(r *acceptedRun) { q.used = q.used.Sub(r.need) }

// clear empties the queue and returns the runs that were queued.
func (q *admissionQueue) clear() []*acceptedRun {
	runs := q.queuedRuns
	q.queuedRuns, q.queued = nil, sizer.Resources{}
	return runs
}
