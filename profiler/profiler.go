package profiler

import (
	"math"
	"time"
)

const (
	priorSamples   = 3               // runs as long as estimated that the slowness starts from: single runs deviate by a factor of up to four
	slownessWeight = 0.08            // weight of a new sample in the slowness: covers about the last dozen runs, as at entries
	maxSlowness    = 8.0             // largest slowness sample, and inverse of the smallest: one hung run must not dominate
	slownessStep   = 0.05            // resolution of a reported slowness on the logarithmic scale: a finer one changes with every run
	failureStep    = 5               // resolution of a reported failure fraction, in percent
	maxSamples     = 32              // runs after which older ones fade: about half a second of a busy server
	halfLife       = 5 * time.Second // in which earlier runs lose half their weight
)

// Profile is what an agent reports of its backend server. The zero value is the profile of
// an unknown server.
type Profile struct {
	Incarnation     uint64 `json:"incarnation,omitempty"`  // differs for each incarnation of the backend server, within one incarnation of the agent
	SlownessPercent int    `json:"slowness-pct,omitempty"` // duration of a run divided by its estimate, in percent; 0: unknown
	FailurePercent  int    `json:"failures-pct,omitempty"` // failed runs among the recent ones, 0 to 100
	Samples         int    `json:"samples,omitempty"`      // number of recent runs, rounded down to a power of two; decreases when there are none
}

// Clamped returns the profile with all values within their ranges, as an entry uses them:
// a wrong report must not exclude a server forever.
func (p Profile) Clamped() Profile {
	if p.SlownessPercent != 0 {
		p.SlownessPercent = min(max(p.SlownessPercent, int(math.Ceil(100/maxSlowness))), 100*maxSlowness)
	}
	p.FailurePercent = min(max(p.FailurePercent, 0), 100)
	p.Samples = min(max(p.Samples, 0), maxSamples)
	return p
}

// Profiler measures one backend server. The zero value is ready to use. It is not safe for
// concurrent use.
type Profiler struct {
	incarnation uint64
	identity    string
	logSlowness float64 // moving average of the logarithms of duration divided by estimate
	measured    int     // number of samples in logSlowness, up to the number after which their weight is constant
	succeeded   float64 // recent successful runs, weighted by age
	failed      float64 // recent failed runs, weighted by age
	updatedAt   time.Time
}

// Incarnation returns the number of the backend server's present incarnation. Pass it to
// the Record methods for a run that begins now.
func (p *Profiler) Incarnation() uint64 { return p.incarnation }

// SetIdentity sets the identity of the backend server's incarnation. If it is another one
// than before, or empty, the profile begins anew.
func (p *Profiler) SetIdentity(identity string) {
	if identity != "" && identity == p.identity {
		return
	}
	*p = Profiler{incarnation: p.incarnation + 1, identity: identity, updatedAt: p.updatedAt}
}

// RecordSuccess records a run that succeeded after duration. A run without an expected
// duration says nothing about the speed. A run of an earlier incarnation is ignored.
func (p *Profiler) RecordSuccess(incarnation uint64, expected, duration time.Duration) {
	if incarnation != p.incarnation {
		return
	}
	p.succeeded++
	p.fade()
	if expected <= 0 || duration <= 0 {
		return
	}
	limit := math.Log(maxSlowness)
	sample := min(max(math.Log(duration.Seconds()/expected.Seconds()), -limit), limit)
	weight := 1 / float64(p.measured+1+priorSamples)
	if weight > slownessWeight {
		p.measured++
	}
	p.logSlowness += max(weight, slownessWeight) * (sample - p.logSlowness)
}

// RecordFailure records a run that failed. A run of an earlier incarnation is ignored.
func (p *Profiler) RecordFailure(incarnation uint64) {
	if incarnation != p.incarnation {
		return
	}
	p.failed++
	p.fade()
}

// fade reduces the weight of the earlier runs so that their number stays within maxSamples.
func (p *Profiler) fade() {
	if n := p.succeeded + p.failed; n > maxSamples {
		p.succeeded *= maxSamples / n
		p.failed *= maxSamples / n
	}
}

// Tick lets the recent runs age. A server that is not used because its runs failed would
// otherwise keep this profile forever.
func (p *Profiler) Tick(now time.Time) {
	if p.updatedAt.IsZero() {
		p.updatedAt = now
	}
	elapsed := now.Sub(p.updatedAt)
	if elapsed <= 0 {
		return
	}
	p.updatedAt = now
	factor := math.Pow(0.5, elapsed.Seconds()/halfLife.Seconds())
	p.succeeded *= factor
	p.failed *= factor
}

// Profile returns the profile to report. Its values are rounded, so that it seldom changes
// and is seldom sent.
func (p *Profiler) Profile() Profile {
	r := Profile{Incarnation: p.incarnation}
	n := p.succeeded + p.failed
	if n >= 1 {
		r.Samples = 1 << int(math.Log2(n))
		r.FailurePercent = failureStep * int(math.Round(100*p.failed/n/failureStep))
	}
	if p.measured > 0 {
		r.SlownessPercent = int(math.Round(100 * math.Exp(slownessStep*math.Round(p.logSlowness/slownessStep))))
	}
	return r.Clamped()
}
