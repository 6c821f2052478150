package coordinator

import (
	"math"
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

// minComeBack and maxComeBack bound the time after which a caller is asked to
// come back.
const (
	minComeBack     = 200 * time.Millisecond
	maxComeBack     = 5 * time.Second
	unknownComeBack = time.Second // while the rate of the agents is not known, as in the first half second of a process
)

// RunSync takes a job whose caller waits for its answer and has no ticket: its
// answer is not kept, and its tasks end with this entry. A job of a name that
// runs here already is that job. It returns the number under which Drain reports
// the job's end, or the answer if there is one at once. Nothing of a refused job
// was or will be started.
func (k *Coordinator) RunSync(now time.Time, in Job) (uint64, *Answer, error) {
	switch {
	case k.draining:
		return 0, nil, &Error{Op: "run", Kind: KindDraining, Detail: "the entry is leaving"}
	case k.full():
		return 0, nil, &Error{Op: "run", Kind: KindOverload, Detail: "the queue is full"}
	}
	if j := k.names[in.Name]; j != nil {
		return j.key.sequence, nil, nil // the same job again
	}
	number := k.next
	k.next++
	j := k.newJob(now, key{k.Self, number}, in)
	if k.queue.TooLarge(j.place.Need) {
		k.stop(now, j, protocol.ReasonNoFit)
	} else {
		k.enqueue(j)
		k.dispatch(now)
	}
	return number, j.answer, nil
}

// CancelSync ends a job that Run took, because its caller has left.
func (k *Coordinator) CancelSync(now time.Time, number uint64) {
	if j := k.jobs[key{k.Self, number}]; j != nil {
		k.stop(now, j, protocol.ReasonCancelled)
	}
}

// CancelByName ends the job of the name that Run took, and reports whether it was
// there.
func (k *Coordinator) CancelByName(now time.Time, name string) bool {
	j := k.names[name]
	if j != nil {
		k.stop(now, j, protocol.ReasonCancelled)
	}
	return j != nil
}

// UnstartedSyncJobs returns how many jobs that Run took have no task started.
func (k *Coordinator) UnstartedSyncJobs() int {
	n := 0
	for _, j := range k.names {
		if j.count(pending) == len(j.tasks) {
			n++
		}
	}
	return n
}

// AbortSync ends all jobs that Run took, for one reason.
func (k *Coordinator) AbortSync(now time.Time, r protocol.Reason) {
	for j := range k.active {
		if j.restarts {
			k.stop(now, j, r)
		}
	}
}

// hopeless tells whether a job with waiting tasks would end when its answer is
// of no use any more. A late job of which nothing was started gets what others
// leave: it is given up as soon as the queue would take all the time it has, so
// that its caller hears of it early.
func (k *Coordinator) hopeless(now time.Time, j *job) bool {
	if k.Settings.UsefulFactor <= 0 || !j.restarts || j.place.Due.IsZero() || j.place.Waiting == 0 {
		return false
	}
	useful := time.Duration(k.Settings.UsefulFactor * float64(j.place.Due.Sub(j.submitted)))
	left := j.submitted.Add(useful).Sub(now) - j.place.Estimate
	if left < 0 {
		return true
	}
	drain, known := k.queue.DrainSeconds()
	return known && j.place.Late() && !j.touched() && drain > left.Seconds()
}

// touched tells whether a start of any task was sent and may have been carried
// out.
func (j *job) touched() bool {
	for i := range j.tasks {
		if j.tasks[i].told() != protocol.TaskNotRun {
			return true
		}
	}
	return false
}

// comeBack is when a job that is refused now would find room: the time in
// which the queue drains at the rate that the agents have.
func (k *Coordinator) comeBack() time.Duration {
	seconds, known := k.queue.DrainSeconds()
	switch {
	case !known:
		return unknownComeBack
	case math.IsInf(seconds, 1):
		return maxComeBack
	}
	return min(max(time.Duration(seconds*float64(time.Second)), minComeBack), maxComeBack)
}
