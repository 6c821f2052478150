package starter

import (
	"time"

	"mustardlever.dev/mustardlever/sizer"
)

const (
	// warmUpSteps is the number of steps in which the admitted load rises.
	warmUpSteps = 8
	// maxWarmUp bounds a warm-up, and the time for which a backend server may report that
	// it is cold without a break, so that wrong reports do not withhold capacity for longer.
	// Warm-ups take seconds.
	maxWarmUp = 2 * time.Minute
	// defaultWarmUp is the warm-up after an evacuation of a backend server that has not
	// reported how long it takes to warm up: two intervals of its reports, in which it
	// says so if it is cold.
	defaultWarmUp = 3 * time.Second
	// warmUpTolerance is the deviation of a report from the known end of a warm-up up to
	// which the report continues it. Reports are delayed, and a server's clock deviates.
	warmUpTolerance = 500 * time.Millisecond
)

// warmUp is a period in which the admitted load of a backend server rises. The zero value
// is none. It begins when the backend server reports that it is cold, or when the
// evacuation of its zone is withdrawn. It ends at the time end, which is known from the
// beginning and is at most maxWarmUp later, or earlier when the backend server reports
// that it is warm. It needs no traffic to end.
type warmUp struct {
	end   time.Time
	total time.Duration
}

func newWarmUp(now time.Time, total time.Duration) warmUp {
	total = min(total, maxWarmUp)
	return warmUp{end: now.Add(total), total: total}
}

func (w warmUp) active(now time.Time) bool { return now.Before(w.end) }

// share returns the elapsed share of the warm-up, from 0 to 1, in steps.
func (w warmUp) share(now time.Time) float64 {
	if !w.active(now) {
		return 1
	}
	elapsed := 1 - float64(w.end.Sub(now))/float64(w.total)
	return float64(int(max(elapsed, 0)*warmUpSteps)) / warmUpSteps
}

// admittedLoad is the limit of the load of a cold backend server.
type admittedLoad struct {
	reported  warmUp        // by the backend server
	coldSince time.Time     // the backend server has reported since then that it is cold; zero: its last report was that it is warm
	returned  warmUp        // after an evacuation
	longest   time.Duration // longest warm-up that the present backend server has reported
	limited   bool          // a warm-up is active
	share     float64       // of the capacity that admitted tasks may use, see overage
	slackLeft int           // tasks that may be started above that
}

// update computes the limit as of now.
func (l *admittedLoad) update(now time.Time, overage float64) {
	l.limited = l.reported.active(now) || l.returned.active(now)
	l.share = min(1, overage*min(l.reported.share(now), l.returned.share(now)))
}

// admits reports whether a task may be started while the tasks that run use the given
// capacity. A task above the share uses up slack.
func (l *admittedLoad) admits(capacity, used, need sizer.Resources) bool {
	return !l.limited || l.slackLeft > 0 || l.withinShare(capacity, used, need)
}

func (l *admittedLoad) withinShare(capacity, used, need sizer.Resources) bool {
	return used.CPU+need.CPU <= l.millicores(capacity)
}

func (l *admittedLoad) millicores(capacity sizer.Resources) int {
	return int(l.share * float64(capacity.CPU))
}

// countStart counts a start that admits has permitted.
func (l *admittedLoad) countStart(capacity, used, need sizer.Resources) {
	if l.limited && !l.withinShare(capacity, used, need) {
		l.slackLeft--
	}
}

// SetCold sets the time that the backend server needs to warm up from now on, as it has
// reported; 0 if it is warm. It has no effect if Settings.ColdOverage is 0.
func (s *Starter) SetCold(now time.Time, remaining time.Duration) {
	if s.Settings.ColdOverage <= 0 {
		return
	}
	if remaining > 0 {
		if s.load.coldSince.IsZero() {
			s.load.coldSince = now
		}
		remaining = min(remaining, s.load.coldSince.Add(maxWarmUp).Sub(now))
	} else {
		s.load.coldSince = time.Time{}
	}
	w := &s.load.reported
	switch {
	case remaining <= 0:
		*w = warmUp{}
	case w.active(now) && now.Add(remaining).Sub(w.end) <= warmUpTolerance:
		w.end = now.Add(remaining)
	default:
		*w = newWarmUp(now, remaining)
		s.load.longest = max(s.load.longest, remaining)
		s.load.slackLeft = s.Settings.ColdSlack
	}
	s.updateAdmittedLoad(now)
}

// ForgetWarmUp forgets what an earlier incarnation of the backend server has reported.
func (s *Starter) ForgetWarmUp(now time.Time) {
	if s.Settings.ColdOverage <= 0 {
		return
	}
	s.load.reported, s.load.coldSince, s.load.longest = warmUp{}, time.Time{}, 0
	s.updateAdmittedLoad(now)
}

// beginReturn begins a warm-up after an evacuation: the backend server may have become
// cold, and all entries would send it tasks at once.
func (s *Starter) beginReturn(now time.Time) {
	if s.Settings.ColdOverage <= 0 {
		return
	}
	total := s.load.longest
	if total == 0 {
		total = defaultWarmUp
	}
	s.load.returned = newWarmUp(now, total)
	s.load.slackLeft = s.Settings.ColdSlack
	s.updateAdmittedLoad(now)
}

// AdvanceWarmUp raises the admitted load as time passes. Call it at short intervals.
func (s *Starter) AdvanceWarmUp(now time.Time) {
	if s.load.limited {
		s.updateAdmittedLoad(now)
	}
}

// updateAdmittedLoad computes the admitted load and starts queued tasks that it permits.
func (s *Starter) updateAdmittedLoad(now time.Time) {
	s.load.update(now, s.Settings.ColdOverage)
	s.startQueued()
}

// WarmUp is the state of a warm-up as shown to operators.
type WarmUp struct {
	End       time.Time // latest time at which it ends; zero: there is none
	Share     float64   // of the capacity that tasks may use
	SlackLeft int       // tasks that may be started above that
}

// WarmUp returns the state of the warm-up.
func (s *Starter) WarmUp() WarmUp {
	if !s.load.limited {
		return WarmUp{Share: 1}
	}
	end := s.load.reported.end
	if s.load.returned.end.After(end) {
		end = s.load.returned.end
	}
	return WarmUp{end, s.load.share, s.load.slackLeft}
}
