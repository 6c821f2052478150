package dispatcher

import (
	"math"
	"slices"
	"time"

	"mustardlever.dev/mustardlever/profiler"
	"mustardlever.dev/mustardlever/sizer"
)

const (
	slownessWeight         = 0.08                   // weight of a new sample in an agent's slowness: covers about its last dozen tasks
	maxSlownessSample      = 8.0                    // largest sample, and inverse of the smallest, so that one hung task does not dominate its agent's slowness
	busyPenalty            = 0.15                   // fraction added to the expected duration on a fully used agent, compared with an idle one
	failurePenalty         = 1.0                    // fraction added to the expected duration for each consecutive failure on the agent
	maxConsecutiveFailures = 3                      // number of consecutive failed tasks that suspends an agent
	minSuspension          = 500 * time.Millisecond // first suspension of a failing agent
	maxSuspension          = 10 * time.Second
)

// Load is an agent's report on its backend server. Free is the capacity minus
// the needs of the tasks that are queued or running there, and may be negative.
// Received is the number of starts that the agent has received from this entry; Free
// includes all of them.
type Load struct {
	Free     sizer.Resources `json:"free"`
	Received uint64          `json:"received"`

	Cold bool `json:"cold,omitempty"` // the backend server warms up, which may limit Free; shown to operators, not used for decisions

	Profile *profiler.Profile `json:"profile,omitempty"` // set if it has changed since the last report to the same entry
	// OfferedElsewhere is free capacity, in thousandths of a core, that is not part of
	// Free because it was offered to other entries.
	OfferedElsewhere int `json:"offered-elsewhere,omitempty"`
}

// unreportedStart is a start that the agent's last Load did not include.
type unreportedStart struct {
	sequence uint64
	need     sizer.Resources
}

// agent is the entry's view of one backend server. The fields that every scan of the agents
// reads come first, so that they share cache lines.
type agent struct {
	offeredElsewhere    int             // from the last Load
	reportedBacklog     int             // work of the last Backlog sent to it
	backlogReportedAt   time.Time       // zero: none was sent
	freeCapacity        sizer.Resources // reportedFree minus the unreported starts
	capacity            sizer.Resources
	suspendedUntil      time.Time // gets no task before; zero: not suspended
	onProbation         bool      // gets one task at a time until one succeeds
	excluded            bool      // gets no tasks, since by its profile nearly all of them fail
	evacuated           bool      // gets no task, see SetEvacuated
	running             int       // starts sent without a reported outcome
	slowness            float64   // expected ratio of a task's duration to its estimate: the exponential of logSlowness
	consecutiveFailures int       // failed tasks since the last success
	failurePenalty      float64   // number of starts that a task is expected to need, by the profile; zero: not known
	labels              []string
	name                string

	reportedFree sizer.Resources // from the last Load
	startsSent   uint64          // number of starts sent; also the sequence number of the last one
	unreported   []unreportedStart
	logSlowness  float64          // moving average of the logarithms of the samples
	suspension   time.Duration    // length of the last suspension; zero after a success
	places       []*place         // that it belongs to
	profile      profiler.Profile // last reported; zero: none, or profiles are not used
	ownSamples   float64          // recent samples in logSlowness, weighted by age; used with profiles
	cold         bool             // from the last Load
}

// updateFreeCapacity computes freeCapacity from the last Load and the unreported
// starts.
func (a *agent) updateFreeCapacity() {
	a.freeCapacity = a.reportedFree
	for _, u := range a.unreported {
		a.freeCapacity = a.freeCapacity.Sub(u.need)
	}
}

// applyReport uses the agent's reported load and drops the starts that it includes.
func (a *agent) applyReport(l Load) {
	k := 0
	for k < len(a.unreported) && a.unreported[k].sequence <= l.Received {
		k++
	}
	a.unreported = a.unreported[k:]
	a.reportedFree, a.offeredElsewhere, a.cold = l.Free, l.OfferedElsewhere, l.Cold
	a.updateFreeCapacity()
}

// addStart counts a start of a task with the need.
func (a *agent) addStart(need sizer.Resources) {
	a.startsSent++
	a.running++
	a.unreported = append(a.unreported, unreportedStart{a.startsSent, need})
	a.freeCapacity = a.freeCapacity.Sub(need)
}

// available reports whether the agent may get a task now.
func (a *agent) available() bool {
	return !a.evacuated && a.suspendedUntil.IsZero() && !a.excluded && (!a.onProbation || a.running == 0)
}

// hasRequired reports whether the agent has the label, or none is required.
func (a *agent) hasRequired(label string) bool {
	return label == "" || slices.Contains(a.labels, label)
}

// near reports whether the agent has the preferred label, or none is preferred.
func (a *agent) near(label string) bool {
	return label == "" || slices.Contains(a.labels, label)
}

// addSample updates the slowness with a task that took ratio times its estimate.
// Averaging logarithms gives half and twice the estimate the same weight.
func (a *agent) addSample(ratio float64) {
	ratio = min(max(ratio, 1/maxSlownessSample), maxSlownessSample)
	a.logSlowness += slownessWeight * (math.Log(ratio) - a.logSlowness)
	a.slowness = math.Exp(a.logSlowness)
}

// cost returns the duration that a task with the estimate is expected to take on
// the agent, in seconds, plus penalties for its utilization and for its
// consecutive failures. Without the latter, an agent whose tasks fail at once
// would be preferred, since it is always idle.
func (a *agent) cost(estimate float64) float64 {
	return estimate * a.slowness * (1 + busyPenalty*a.utilization()) * (1 + failurePenalty*float64(a.consecutiveFailures))
}

// utilization returns the fraction of the agent's capacity that is in use.
func (a *agent) utilization() float64 {
	return a.capacity.Sub(a.freeCapacity).DominantShare(a.capacity)
}

// AddAgent adds an agent, or updates its capacity and labels. A new agent has no
// free capacity until its first Report.
func (d *Dispatcher[J]) AddAgent(name string, capacity sizer.Resources, labels []string) {
	d.largestCapacity = d.largestCapacity.Max(capacity)
	if a := d.agents[name]; a != nil {
		a.capacity, a.labels = capacity, labels
		d.assignPlaces()
		return
	}
	a := &agent{name: name, capacity: capacity, labels: labels, slowness: 1}
	d.agents[name] = a
	d.agentList = append(d.agentList, a)
	d.assignPlaces()
}

// RemoveAgent removes an agent.
func (d *Dispatcher[J]) RemoveAgent(name string) {
	d.SetEvacuated(name, false)
	delete(d.agents, name)
	for i, a := range d.agentList {
		if a.name == name {
			d.agentList = append(d.agentList[:i], d.agentList[i+1:]...)
			d.assignPlaces()
			d.classifyAgents()
			return
		}
	}
}

// Report applies the load that an agent reported.
func (d *Dispatcher[J]) Report(name string, l Load) {
	if a := d.agents[name]; a != nil {
		a.applyReport(l)
		if l.Profile != nil {
			d.useProfile(a, *l.Profile)
		}
	}
}

// RecordOutcome records that the agent has reported the outcome of a start,
// whichever it is.
func (d *Dispatcher[J]) RecordOutcome(name string) {
	if a := d.agents[name]; a != nil && a.running > 0 {
		a.running--
	}
}

// ExpectedDuration returns how long a task with the estimate is expected to take
// on the agent. For an unknown agent it returns the estimate.
func (d *Dispatcher[J]) ExpectedDuration(name string, estimate time.Duration) time.Duration {
	if a := d.agents[name]; a != nil {
		return time.Duration(float64(estimate) * a.slowness)
	}
	return estimate
}

// RecordDuration records how long a task with the estimate took on the
// agent. Without an estimate the duration is compared with the average of all
// tasks. The agent's consecutive failures are cleared and its probation ends.
func (d *Dispatcher[J]) RecordDuration(name string, estimate, duration time.Duration) {
	expectedSeconds := estimate.Seconds()
	if expectedSeconds <= 0 {
		expectedSeconds = d.expectedSeconds(0)
	}
	d.meanSeconds = movingAverage(d.meanSeconds, duration.Seconds())
	a := d.agents[name]
	if a == nil || duration <= 0 {
		return
	}
	a.consecutiveFailures, a.suspension, a.onProbation = 0, 0, false
	if d.Settings.ServerProfiles {
		a.recordOwnSample(duration.Seconds() / expectedSeconds)
		return
	}
	a.addSample(duration.Seconds() / expectedSeconds)
}

// RecordFailure records that a task failed on the agent. Several consecutive
// failures suspend the agent; afterwards it gets one task at a time until one
// succeeds.
func (d *Dispatcher[J]) RecordFailure(now time.Time, name string) {
	a := d.agents[name]
	if a == nil {
		return
	}
	a.consecutiveFailures++
	if a.consecutiveFailures >= maxConsecutiveFailures || a.onProbation {
		d.Suspend(now, name)
		return
	}
	d.classifyAgents()
}

// Suspend suspends an agent. The duration doubles with each suspension since the
// last success, up to maxSuspension. At most half of the agents, rounded up, are
// suspended at once: when all of them fail, the cause is elsewhere. Agents in evacuated
// zones do not count.
func (d *Dispatcher[J]) Suspend(now time.Time, name string) {
	a := d.agents[name]
	if a == nil || !a.suspendedUntil.IsZero() || 2*(d.suspendedAgents()+1) > len(d.agentList)-d.EvacuatedAgents()+1 {
		return
	}
	a.suspension = min(max(2*a.suspension, minSuspension), maxSuspension)
	a.suspendedUntil = now.Add(a.suspension)
	d.classifyAgents()
}

// suspendedAgents returns the number of suspended agents outside evacuated zones.
func (d *Dispatcher[J]) suspendedAgents() int {
	n := 0
	for _, a := range d.agentList {
		if !a.suspendedUntil.IsZero() && !a.evacuated {
			n++
		}
	}
	return n
}

// SuspectAgents returns the number of agents that are suspended or on probation.
func (d *Dispatcher[J]) SuspectAgents() int {
	n := 0
	for _, a := range d.agentList {
		if !a.suspendedUntil.IsZero() || a.onProbation {
			n++
		}
	}
	return n
}

// resumeSuspended puts agents whose suspension is over on probation.
func (d *Dispatcher[J]) resumeSuspended(now time.Time) {
	for _, a := range d.agentList {
		if !a.suspendedUntil.IsZero() && !now.Before(a.suspendedUntil) {
			a.suspendedUntil = time.Time{}
			a.onProbation = true
		}
	}
}
