package dispatcher

import (
	"math"
	"slices"
	"time"

	"mustardlever.dev/mustardlever/profiler"
)

const (
	enoughOwnSamples   = 12              // recent samples of this entry's own from which an agent's profile does not count for its speed
	ownSamplesHalfLife = 5 * time.Second // in which own samples lose half their weight: the server may have changed since
	agingInterval      = time.Second     // between two updates of the own samples' weight
	minFailureSamples  = 8               // runs of a profile before its failures count
	failingPercent     = 80              // failed runs from which an agent gets no tasks, if at most half of the agents are concerned
	succeedingPercent  = 10              // failed runs up to which an agent is known to succeed
	maxFailurePenalty  = 5               // bound on the number of starts that a task is expected to need
	maxRetryRisk       = 0.05            // probability of failure up to which a last attempt does not wait for another agent
	minRetryWait       = 200 * time.Millisecond
)

// ProfileCounts counts the use of profiles that agents report.
type ProfileCounts struct {
	Known    int        `json:"known"`    // agents that have reported one
	InUse    int        `json:"in-use"`   // agents whose speed is taken from it, at least in part
	Excluded int        `json:"excluded"` // agents that get no tasks since nearly all of their runs fail
	Retries  WaitCounts `json:"retries"`  // of failed tasks for an agent that is known to succeed, which pay off if they start on one
}

// ProfileCounts returns the use of profiles.
func (d *Dispatcher[J]) ProfileCounts() ProfileCounts {
	c := ProfileCounts{Retries: d.retryCounts}
	for _, a := range d.agentList {
		if a.profile != (profiler.Profile{}) {
			c.Known++
		}
		if a.profile.SlownessPercent > 0 && a.ownSamples < enoughOwnSamples {
			c.InUse++
		}
		if a.excluded {
			c.Excluded++
		}
	}
	return c
}

// retryWait is the state of a job all of whose waiting tasks have failed before and wait
// for an agent that is known to succeed. Entry: retryWaits. Exit: endRetryWait, when one of
// them starts or the job ends. Latest time: when the job begins to count as late or, without
// a due time, after the time of two runs.
type retryWait struct {
	active bool
	latest time.Time // zero: it has not waited yet
}

// useProfile uses the profile that an agent reported. What is known of an earlier
// incarnation of its backend server is discarded.
func (d *Dispatcher[J]) useProfile(a *agent, p profiler.Profile) {
	if !d.Settings.ServerProfiles {
		return
	}
	p = p.Clamped()
	if a.profile.Incarnation != p.Incarnation && a.profile.Incarnation != 0 {
		a.logSlowness, a.ownSamples = 0, 0
		a.consecutiveFailures, a.suspension, a.suspendedUntil, a.onProbation = 0, 0, time.Time{}, false
	}
	a.profile = p
	a.blendSlowness()
	d.classifyAgents()
}

// blendSlowness computes the slowness from the entry's own samples and, as long as they
// are few, from the profile.
func (a *agent) blendSlowness() {
	logSlowness := a.logSlowness
	if a.profile.SlownessPercent > 0 && a.ownSamples < enoughOwnSamples {
		weight := a.ownSamples / enoughOwnSamples
		logSlowness = weight*a.logSlowness + (1-weight)*math.Log(float64(a.profile.SlownessPercent)/100)
	}
	a.slowness = math.Exp(logSlowness)
}

// recordOwnSample adds a sample of the entry's own. The first ones start from the profile.
func (a *agent) recordOwnSample(ratio float64) {
	if a.ownSamples < 1 && a.profile.SlownessPercent > 0 {
		a.logSlowness = math.Log(float64(a.profile.SlownessPercent) / 100)
	}
	a.ownSamples++
	a.addSample(ratio)
	a.blendSlowness()
}

// ageOwnSamples reduces the weight of own samples, so that the profile of a server that
// rarely gets tasks from this entry counts again.
func (d *Dispatcher[J]) ageOwnSamples(now time.Time) {
	if !d.Settings.ServerProfiles {
		return
	}
	elapsed := now.Sub(d.agedAt)
	if elapsed < agingInterval {
		return
	}
	d.agedAt = now
	factor := math.Pow(0.5, elapsed.Seconds()/ownSamplesHalfLife.Seconds())
	for _, a := range d.agentList {
		a.ownSamples = min(a.ownSamples, 2*enoughOwnSamples) * factor
		a.blendSlowness()
	}
	d.classifyAgents()
}

// failureFraction returns the fraction of runs on the agent that fail, by its profile: 0 if
// there are too few.
func (a *agent) failureFraction() float64 {
	if a.profile.Samples < minFailureSamples {
		return 0
	}
	return float64(a.profile.FailurePercent) / 100
}

// knownToSucceed reports whether the agent's runs for all entries succeed, and this
// entry's last one did.
func (a *agent) knownToSucceed() bool {
	return a.profile.Samples >= minFailureSamples && a.profile.FailurePercent <= succeedingPercent && a.consecutiveFailures == 0
}

// classifyAgents determines the agents that are known to succeed, and excludes those
// nearly all of whose runs fail: they are always free, and would get most tasks under full
// load. If more than half of the agents outside evacuated zones are suspended or would be excluded,
// none is excluded: the others could not take their load. A profile without runs fades
// within seconds, which ends the exclusion.
func (d *Dispatcher[J]) classifyAgents() {
	if !d.Settings.ServerProfiles {
		return
	}
	d.succeeding = d.succeeding[:0]
	failing := d.failing[:0]
	for _, a := range d.agentList {
		a.excluded = false
		a.failurePenalty = min(1/(1-min(a.failureFraction(), 0.99)), maxFailurePenalty)
		switch {
		case a.evacuated:
		case a.knownToSucceed():
			d.succeeding = append(d.succeeding, a)
		case a.failureFraction()*100 >= failingPercent && a.suspendedUntil.IsZero():
			failing = append(failing, a)
		}
	}
	d.failing = failing
	if n := len(failing); n == 0 || 2*(n+d.suspendedAgents()) > len(d.agentList)-d.evacuatedAgents {
		return
	}
	for _, a := range failing {
		a.excluded = true
	}
}

// chooseForFailed chooses the agent for a task that has failed before: one that is known to
// succeed. If none has free capacity, tasks of the job that have not failed come first;
// without any, the job waits if that pays. Decided is false if the agent has to be chosen
// as for any other task.
func (d *Dispatcher[J]) chooseForFailed(now time.Time, j *Job[J], eligible func(J, string) bool) (a *agent, decided bool) {
	j.ForFailed = false
	if !d.Settings.ServerProfiles || j.Failed == 0 || d.Settings.Baseline != "" {
		return nil, false
	}
	if a := d.bestAgent(now, j, d.succeeding, eligible); a != nil {
		j.ForFailed = true
		return a, true
	}
	if j.Waiting > j.Failed {
		return nil, false
	}
	j.ForFailed = true
	other := d.bestAgent(now, j, d.agentList, eligible)
	if other == nil || !d.retryWaits(now, j, other, eligible) {
		return other, true
	}
	return nil, true
}

// retryWaits reports whether a job whose waiting tasks have all failed waits instead of
// starting one on a. Only a last attempt waits: if earlier ones waited too, all failed tasks
// together would soon need more than the capacity that is known to succeed, and all would be
// late. It does not wait if it is likely enough to succeed on a, if no usable agent is known
// to succeed, or after the latest time: a job that would be late anyway must not delay the
// others that wait.
func (d *Dispatcher[J]) retryWaits(now time.Time, j *Job[J], a *agent, eligible func(J, string) bool) bool {
	if j.AttemptsLeft > 1 || d.retryRisk(a) <= maxRetryRisk {
		return false
	}
	if !slices.ContainsFunc(d.succeeding, func(b *agent) bool { return usableFor(j, b, eligible) }) {
		return false
	}
	w := &j.retry
	if !w.active && d.retryCounts.Waiting >= maxWaitingForPlace {
		return false
	}
	if w.latest.IsZero() {
		w.latest = now.Add(max(seconds(2*d.expectedSeconds(j.Estimate)), minRetryWait))
		if !j.Due.IsZero() {
			w.latest = d.latestStart(j)
		}
	}
	if !now.Before(w.latest) {
		return false
	}
	if !w.active {
		w.active = true
		d.retryCounts.begin()
	}
	return true
}

// retryRisk returns the probability that a task fails on the agent. An agent without
// enough runs is regarded as average.
func (d *Dispatcher[J]) retryRisk(a *agent) float64 {
	if a.profile.Samples >= minFailureSamples {
		return a.failureFraction()
	}
	sum, n := 0.0, 0
	for _, b := range d.agentList {
		if b.profile.Samples >= minFailureSamples {
			sum += b.failureFraction()
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// endRetryByStart ends the wait of a failed task that has started on a.
func (d *Dispatcher[J]) endRetryByStart(j *Job[J], a *agent) {
	if j.ForFailed {
		j.Failed--
		d.endRetryWait(j, a.knownToSucceed())
	}
}

// endRetryWait ends the job's wait, if there is one.
func (d *Dispatcher[J]) endRetryWait(j *Job[J], paidOff bool) {
	if j.retry.active {
		j.retry.active = false
		d.retryCounts.end(paidOff)
	}
}
