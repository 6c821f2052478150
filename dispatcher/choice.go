package dispatcher

import (
	"math"
	"time"

	"mustardlever.dev/mustardlever/estimator"
)

// Next chooses a job and an agent for one of its waiting tasks. It counts the
// task as started and reserves its capacity on the agent. Eligible reports
// whether an agent may be used for a job; nil allows every agent.
func (d *Dispatcher[J]) Next(now time.Time, eligible func(J, string) bool) (j *Job[J], name string, ok bool) {
	j, chosen := d.choose(now, eligible)
	if chosen == nil {
		return nil, "", false
	}
	d.start(now, j, chosen)
	return j, chosen.name, true
}

// choose chooses a job and an agent for one of its waiting tasks, nil if none can start.
func (d *Dispatcher[J]) choose(now time.Time, eligible func(J, string) bool) (j *Job[J], chosen *agent) {
	if d.jobs.Len() == 0 {
		return nil, nil
	}
	scanned := 0
	d.scan++
	d.aheadElsewhere = 0
	d.updateFreeTotal()
	d.headroom = d.hasFree(lateHeadroom)
	d.jobs.Ascend(func(candidate *Job[J]) bool {
		scanned++
		if candidate.heldBack() && !d.headroom {
			return false
		}
		if a := d.chooseAgent(now, candidate, eligible); a != nil {
			j, chosen = candidate, a
			return false
		}
		d.passBy(candidate)
		if candidate.wait.active || candidate.retry.active {
			scanned-- // other jobs may use the capacity that it passes by; maxWaitingForPlace bounds their number
		}
		return scanned < maxScannedJobs
	})
	return j, chosen
}

// start counts a task of the job as started on chosen.
func (d *Dispatcher[J]) start(now time.Time, j *Job[J], chosen *agent) {
	chosen.addStart(j.Need)
	d.addWork(j, -d.taskWork(j))
	j.Waiting--
	d.waiting--
	d.startedWork += d.taskWork(j)
	d.countPlaceStart(j, chosen)
	d.endWaitByStart(now, j, chosen)
	d.endRetryByStart(j, chosen)
	d.markStarted(j)
}

// markStarted records that a task of the job was started. Its other tasks then
// come next, so that a job does not use capacity for long while the rest of its
// tasks wait.
func (d *Dispatcher[J]) markStarted(j *Job[J]) {
	if j.Waiting > 0 && j.started {
		return
	}
	d.jobs.Delete(j)
	if j.heldBack() {
		d.heldBackWork -= d.jobWork(j)
	}
	j.started = true
	j.queued = j.Waiting > 0
	if !j.queued {
		d.jobsByLevel[estimator.Level(j.Priority)]--
	} else {
		j.key = d.rank(j)
		d.jobs.ReplaceOrInsert(j)
	}
}

// updateFreeTotal computes freeCPU and totalCPU.
func (d *Dispatcher[J]) updateFreeTotal() {
	free, total := 0, 0
	for _, a := range d.agentList {
		if a.evacuated {
			continue
		}
		total += a.capacity.CPU
		if a.available() {
			free += max(a.freeCapacity.CPU, 0) + max(a.offeredElsewhere, 0)
		}
	}
	d.freeCPU, d.totalCPU = free, total
}

// hasFree reports whether the fraction of the total capacity was free at the beginning of
// the scan. With lateHeadroom, late jobs can start without delaying the next timely jobs
// past their due time. Running tasks are not preempted.
func (d *Dispatcher[J]) hasFree(fraction float64) bool {
	return float64(d.freeCPU) >= fraction*float64(d.totalCPU)
}

// bestAgent returns the one of the agents with enough free capacity on which the job's next
// task is expected to end soonest, nil if there is none. While a job can still
// meet its due time, agents too slow for that are skipped: it is better to wait
// for another agent.
func (d *Dispatcher[J]) bestAgent(now time.Time, j *Job[J], agents []*agent, eligible func(J, string) bool) *agent {
	if b := d.Settings.Baseline; b != "" && b != BaselineArrival {
		return d.chooseBaseline(j, eligible)
	}
	estimate := d.expectedSeconds(j.Estimate)
	maxSeconds := d.maxRunSeconds(now, j)
	spread := d.Settings.ServerProfiles && d.hasFree(lateHeadroom) // otherwise every agent's capacity is needed
	var bestAgent *agent
	var leastCost float64
	for _, a := range agents {
		if !a.available() || !a.freeCapacity.Covers(j.Need) || !a.hasRequired(j.RequiredLabel) {
			continue
		}
		if estimate*a.slowness > maxSeconds {
			continue
		}
		cost := d.taskCost(j, a, estimate, spread)
		if (bestAgent == nil || cost < leastCost) && (eligible == nil || eligible(j.Value, a.name)) {
			bestAgent, leastCost = a, cost
		}
	}
	return bestAgent
}

// maxRunSeconds returns the time that a task of the job may take for the job to meet its due
// time. It is infinite for a job without a due time, and for one that can no longer meet it.
func (d *Dispatcher[J]) maxRunSeconds(now time.Time, j *Job[J]) float64 {
	if !j.Due.IsZero() && !j.late && now.Before(d.latestStart(j)) {
		return j.Due.Sub(now).Seconds() - d.startDelay()
	}
	return math.Inf(1)
}

// taskCost returns the cost by which agents are compared for a task of the job. Spread
// means that the agent's failures by its profile count.
func (d *Dispatcher[J]) taskCost(j *Job[J], a *agent, estimate float64, spread bool) float64 {
	cost := a.cost(estimate)
	if spread && a.failurePenalty > 1 {
		cost *= a.failurePenalty
	}
	if !a.near(j.PreferredLabel) {
		cost *= d.remoteFactor()
	}
	return cost
}
