package dispatcher

import (
	"math"
	"slices"
	"time"
)

// Places returns the number of preferred labels whose rates are kept.
func (d *Dispatcher[J]) Places() int { return len(d.places) }

// place is a preferred label and the agents that have it. Its state is bounded: two
// rates and one learned factor.
type place struct {
	label       string
	agents      []*agent
	preferredAt time.Time // when a job that prefers it was last queued
	starts      int       // starts there, up to minPlaceStarts
	startedWork float64   // work started there since the last Tick, by tasks of any job
	startedCPU  float64   // CPU of the tasks started there since the last Tick
	workRate    float64   // work started there per second
	cpuRate     float64   // CPU of the tasks started there per second
	observed    float64   // seconds over which the rates were observed, at most placeWindow
	wanted      bool      // a job found no free capacity there since the last Tick
	logBias     float64   // moving average of the logarithms of actual divided by expected wait
	scan        uint64    // scan in which ahead was set
	ahead       float64   // work that the scan has passed by and that waits for the place
}

// placeOf returns the place that the job prefers, nil if jobs do not wait for places or
// too many places are in use.
func (d *Dispatcher[J]) placeOf(j *Job[J]) *place {
	if !d.Settings.LocalityWait || j.PreferredLabel == "" {
		return nil
	}
	return d.places[j.PreferredLabel]
}

// preferPlace adds the place that a queued job prefers.
func (d *Dispatcher[J]) preferPlace(j *Job[J]) {
	if !d.Settings.LocalityWait || d.Settings.Baseline != "" || j.PreferredLabel == "" {
		return
	}
	p := d.places[j.PreferredLabel]
	if p == nil {
		if len(d.places) >= maxPlaces && !d.removeUnusedPlace(j.Arrived) {
			return
		}
		p = &place{label: j.PreferredLabel}
		if d.places == nil {
			d.places = make(map[string]*place)
		}
		d.places[p.label] = p
		d.assignPlaces()
	}
	p.preferredAt = j.Arrived
}

// removeUnusedPlace removes a place that no job has preferred for placeRetention.
func (d *Dispatcher[J]) removeUnusedPlace(now time.Time) bool {
	for label, p := range d.places {
		if now.Sub(p.preferredAt) > placeRetention {
			delete(d.places, label)
			return true
		}
	}
	return false
}

// assignPlaces assigns the agents to the places. It must be called when agents, their
// labels or the places change.
func (d *Dispatcher[J]) assignPlaces() {
	if len(d.places) == 0 {
		return
	}
	for _, p := range d.places {
		p.agents = nil
	}
	for _, a := range d.agentList {
		a.places = nil
		for _, label := range a.labels {
			if p := d.places[label]; p != nil && !slices.Contains(a.places, p) {
				a.places = append(a.places, p)
				p.agents = append(p.agents, a)
			}
		}
	}
}

// updatePlaceRates updates the rates of the places. A low sample counts only if a job
// wanted capacity that the place did not have: without demand it says nothing about
// what the place can handle.
func (d *Dispatcher[J]) updatePlaceRates(elapsed float64) {
	for _, p := range d.places {
		if p.wanted || p.startedCPU/elapsed > p.cpuRate {
			p.observed = min(p.observed+elapsed, placeWindow)
			weight := min(elapsed/p.observed, 1)
			p.workRate += weight * (p.startedWork/elapsed - p.workRate)
			p.cpuRate += weight * (p.startedCPU/elapsed - p.cpuRate)
		}
		p.startedWork, p.startedCPU, p.wanted = 0, 0, false
	}
}

// countPlaceStart counts a start for the rates of the agent's places.
func (d *Dispatcher[J]) countPlaceStart(j *Job[J], a *agent) {
	for _, p := range a.places {
		p.starts = min(p.starts+1, minPlaceStarts)
		p.startedWork += d.taskWork(j)
		p.startedCPU += float64(j.Need.CPU)
	}
}

// meanSlowness returns the average slowness of the usable agents of the place, weighted by
// the number of tasks with the need that fit them. It reports whether there are any.
func (p *place) meanSlowness(need int, usable func(*agent) bool) (slowness float64, ok bool) {
	sum, weights := 0.0, 0.0
	for _, a := range p.agents {
		if usable(a) {
			weight := float64(a.capacity.CPU / max(need, 1))
			sum += weight * a.slowness
			weights += weight
		}
	}
	if weights == 0 {
		return 1, false
	}
	return sum / weights, true
}

// addWaitSample learns how actual waits for the place compare with the expected ones. The
// average is on a logarithmic scale and clamped, as an agent's slowness is.
func (p *place) addWaitSample(waited, expected float64) {
	const resolution = 0.001 // seconds; shorter waits do not differ
	ratio := max(waited, resolution) / max(expected, resolution)
	ratio = min(max(ratio, 1/maxWaitBiasSample), maxWaitBiasSample)
	limit := math.Log(maxWaitBiasSample)
	p.logBias = min(max(p.logBias+waitBiasWeight*math.Log(ratio), -limit), limit)
}
