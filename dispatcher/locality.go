package dispatcher

import (
	"math"
	"slices"
	"time"
)

const (
	defaultRemoteFactor = 1.5                  // the platform's usual factor
	placeWindow         = 1.0                  // seconds over which a place's rates are averaged: a rack starts fewer tasks than all agents
	minPlaceStarts      = 5                    // starts at a place before its rates are used
	maxPlaces           = 128                  // labels whose rates are kept
	placeRetention      = time.Minute          // a place that no job has preferred for this long may be replaced by another
	maxWaitingForPlace  = 64                   // jobs that wait for a place, or for an agent known to succeed; bounds the cost of a scan, which goes on past them
	waitRecheck         = 5 * time.Millisecond // interval at which a waiting job is compared with the agents elsewhere
	scarceFraction      = 0.2                  // free fraction of the capacity below which runs elsewhere make other jobs late
	remoteHeadroom      = 0.5                  // free fraction of the capacity from which runs elsewhere delay no other job: more than lateHeadroom, since they take longer
	maxWaitFactor       = 5.0                  // multiple of the duration elsewhere beyond which a place is regarded as stalled
	waitBiasWeight      = 0.05                 // weight of a new sample in a place's wait bias: covers about its last twenty waits
	maxWaitBiasSample   = 4.0                  // largest sample of the wait bias, and inverse of the smallest
)

// LocalityCounts returns the number of waits for capacity at the jobs' places. A wait has
// paid off if the job's waiting tasks started there.
func (d *Dispatcher[J]) LocalityCounts() WaitCounts { return d.localityCounts }

// wait is the state of a job that waits for capacity at its place. Entry: continueWait.
// Exit: endWait, when a task starts elsewhere, the last waiting task starts, or the job
// is removed. Latest time: latest, which is set once for each task.
type wait struct {
	active   bool
	begun    time.Time // zero: not begun
	expected float64   // seconds until the last waiting task starts at the place, as expected at the beginning
	latest   time.Time // the job does not wait any longer; zero: it has not waited yet
	recheck  time.Time // until then only agents at the place are considered
}

// remoteFactor returns how many times longer a task takes away from its data.
func (d *Dispatcher[J]) remoteFactor() float64 {
	if d.Settings.RemoteFactor >= 1 {
		return d.Settings.RemoteFactor
	}
	return defaultRemoteFactor
}

// DurationFactor returns how many times longer a task of the job is expected to take on an
// agent than its estimate, apart from the agent's speed: the remote factor if the agent is
// away from the job's data and jobs wait for places, else 1.
func (d *Dispatcher[J]) DurationFactor(j *Job[J], name string) float64 {
	if !d.Settings.LocalityWait || j.PreferredLabel == "" {
		return 1
	}
	a := d.agents[name]
	if a == nil || slices.Contains(a.labels, j.PreferredLabel) {
		return 1
	}
	return d.remoteFactor()
}

// EstimateAt returns the duration that a task of the job is expected to take on an agent
// of average speed.
func (d *Dispatcher[J]) EstimateAt(j *Job[J], name string) time.Duration {
	if factor := d.DurationFactor(j, name); factor != 1 {
		return time.Duration(float64(j.Estimate) * factor)
	}
	return j.Estimate
}

// passBy counts the work of a job that the scan has passed by as ahead of the later ones.
func (d *Dispatcher[J]) passBy(j *Job[J]) {
	if !d.Settings.LocalityWait {
		return
	}
	p := d.placeOf(j)
	if p == nil {
		d.aheadElsewhere += d.jobWork(j)
		return
	}
	if p.scan != d.scan {
		p.scan, p.ahead = d.scan, 0
	}
	p.ahead += d.jobWork(j)
	p.wanted = true
}

// chooseAgent returns the agent for the job's next task, nil if it cannot start now or
// waits for capacity at its place.
func (d *Dispatcher[J]) chooseAgent(now time.Time, j *Job[J], eligible func(J, string) bool) *agent {
	if a, decided := d.chooseForFailed(now, j, eligible); decided {
		return a
	}
	p := d.placeOf(j)
	if p == nil {
		return d.bestAgent(now, j, d.agentList, eligible)
	}
	if j.wait.active && now.Before(j.wait.recheck) {
		return d.bestAgent(now, j, p.agents, eligible)
	}
	a := d.bestAgent(now, j, d.agentList, eligible)
	if a == nil || slices.Contains(a.places, p) || !d.postpones(now, j, p, a, eligible) {
		return a
	}
	return nil
}

// postpones reports whether the job does not start its next task on a, which is away from
// its place p, now: it waits for p, or has waited as long as it may and must not run
// elsewhere yet (see mayRunElsewhere). Without a usable agent at p, or
// without samples of p, it starts. The task compared is the last one waiting, since the job
// ends with it: if too many tasks wait, some start elsewhere until the rest are better off
// waiting.
func (d *Dispatcher[J]) postpones(now time.Time, j *Job[J], p *place, a *agent, eligible func(J, string) bool) bool {
	slowness, usable := p.meanSlowness(j.Need.CPU, func(b *agent) bool { return usableFor(j, b, eligible) })
	wait, known := d.placeWait(j, p)
	if !usable || !known {
		return false
	}
	estimate := d.expectedSeconds(j.Estimate)
	f := forecast{
		wait: wait, local: estimate * slowness, remote: estimate * a.slowness * d.remoteFactor(), slack: math.Inf(1),
		scarce: !d.hasFree(scarceFraction), headroom: d.hasFree(remoteHeadroom),
	}
	if !j.Due.IsZero() {
		f.slack = j.Due.Sub(now).Seconds()
	}
	if j.compared != nil {
		*j.compared = comparison{forecast: f, elsewhere: a.name, known: true}
	}
	if f.waitPays() && d.mayWait(now, j, f) {
		d.continueWait(now, j, f)
		return true
	}
	if f.mayRunElsewhere() {
		return false
	}
	d.endWait(j, false)
	return true
}

// mayWait reports whether the job may begin its wait or continue it. The latest time of
// the wait is set once for each task: when it has taken as long as it was to save, or when
// the job begins to count as late, whichever is later.
func (d *Dispatcher[J]) mayWait(now time.Time, j *Job[J], f forecast) bool {
	w := &j.wait
	if !w.active && d.localityCounts.Waiting >= maxWaitingForPlace {
		return false
	}
	if w.latest.IsZero() {
		w.latest = now.Add(seconds(f.remote - f.local))
		if start := d.latestStart(j); !j.Due.IsZero() && w.latest.Before(start) {
			w.latest = start
		}
	}
	return now.Before(w.latest)
}

// usableFor reports whether tasks of the job can run on the agent once it has free capacity.
func usableFor[J any](j *Job[J], a *agent, eligible func(J, string) bool) bool {
	return !a.evacuated && a.suspendedUntil.IsZero() && !a.onProbation && !a.excluded && a.capacity.Covers(j.Need) &&
		(j.RequiredLabel == "" || slices.Contains(a.labels, j.RequiredLabel)) && (eligible == nil || eligible(j.Value, a.name))
}

// placeWait estimates the seconds until the job's last waiting task starts at the place:
// the work ahead of it by the place's rate, and the time until capacity for one task is
// released. Tasks of other jobs take the part of the place's capacity that its share of all
// starts suggests. Known is false without enough samples.
func (d *Dispatcher[J]) placeWait(j *Job[J], p *place) (seconds float64, known bool) {
	if p.starts < minPlaceStarts || p.workRate <= 0 || p.cpuRate <= 0 {
		return 0, false
	}
	ahead := float64(j.Waiting-1) * d.taskWork(j)
	if p.scan == d.scan {
		ahead += p.ahead
	}
	if d.startRate > 0 {
		ahead += d.aheadElsewhere * min(p.workRate/d.startRate, 1)
	}
	return (ahead/p.workRate + float64(j.Need.CPU)/p.cpuRate) * math.Exp(p.logBias), true
}

// continueWait begins the job's wait, or continues it.
func (d *Dispatcher[J]) continueWait(now time.Time, j *Job[J], f forecast) {
	w := &j.wait
	if !w.active {
		w.active, w.begun, w.expected = true, now, f.wait
		d.localityCounts.begin()
	}
	w.recheck = now.Add(waitRecheck)
	if w.latest.Before(w.recheck) {
		w.recheck = w.latest
	}
}

// endWaitByStart ends the job's wait if its next task has started elsewhere or if no task
// of it waits any more, and learns from it.
func (d *Dispatcher[J]) endWaitByStart(now time.Time, j *Job[J], a *agent) {
	p := d.placeOf(j)
	if !j.wait.active || p == nil {
		return
	}
	local := slices.Contains(a.places, p)
	if local && j.Waiting > 0 {
		j.wait.latest = time.Time{}
		return
	}
	waited := now.Sub(j.wait.begun).Seconds()
	if local || waited > j.wait.expected {
		p.addWaitSample(waited, j.wait.expected)
	}
	d.endWait(j, local)
}

// endWait ends the job's wait, if there is one.
func (d *Dispatcher[J]) endWait(j *Job[J], paidOff bool) {
	if j.wait.active {
		j.wait.active = false
		d.localityCounts.end(paidOff)
	}
}

// seconds returns s seconds as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
