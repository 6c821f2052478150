package starter

import (
	"time"

	"mustardlever.dev/mustardlever/profiler"
	"mustardlever.dev/mustardlever/protocol"
)

// SetServerIdentity sets the identity of the backend server's incarnation. Another one than
// before, or an empty one, begins a new profile. Call it before UpdateOffer.
func (s *Starter) SetServerIdentity(identity string) {
	if s.Settings.ReportProfiles {
		s.profiler.SetIdentity(identity)
	}
}

// Profile returns the backend server's profile.
func (s *Starter) Profile() profiler.Profile { return s.profiler.Profile() }

// recordRun adds a finished run to the backend server's profile. The result of a run
// without a status is unknown.
func (s *Starter) recordRun(r *acceptedRun, result *protocol.Result) {
	switch {
	case !s.Settings.ReportProfiles || result.Status == 0:
	case result.OK():
		s.profiler.RecordSuccess(r.serverIncarnation, r.expected, time.Duration(result.ServeMicros)*time.Microsecond)
	default:
		s.profiler.RecordFailure(r.serverIncarnation)
	}
}

// expectedDuration returns how long the requested task takes on a server of average speed,
// zero if unknown.
func expectedDuration(m *protocol.Start) time.Duration {
	if m.ExpectedMillis > 0 {
		return time.Duration(m.ExpectedMillis) * time.Millisecond
	}
	return time.Duration(m.Request.EstimateMillis) * time.Millisecond
}

// newProfile returns the profile to report to an entry, nil if it has not changed since the
// last report to that entry.
func (s *Starter) newProfile(entry string) *profiler.Profile {
	if !s.Settings.ReportProfiles {
		return nil
	}
	p := s.profiler.Profile()
	if p == s.reportedProfiles[entry] {
		return nil
	}
	return &p
}

// takeProfile returns newProfile and counts it as reported.
func (s *Starter) takeProfile(entry string) *profiler.Profile {
	p := s.newProfile(entry)
	if p != nil {
		s.reportedProfiles[entry] = *p
	}
	return p
}
