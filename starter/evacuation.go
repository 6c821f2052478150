package starter

import "mustardlever.dev/mustardlever/protocol"

// Evacuated returns what was passed to SetEvacuated last.
func (s *Starter) Evacuated() bool { return s.evacuated }

// SetEvacuated sets whether the agent's zone is evacuated, and reports the new load to
// the entries. In an evacuated zone all starts are refused, also those that are queued;
// running tasks continue.
func (s *Starter) SetEvacuated(evacuated bool) {
	if s.evacuated == evacuated {
		return
	}
	s.evacuated = evacuated
	if evacuated {
		for _, r := range s.admission.clear() {
			s.refuseQueued(r, protocol.RefusalEvacuated)
		}
	}
	for range s.reportOrder {
		s.SendLoad()
	}
}
