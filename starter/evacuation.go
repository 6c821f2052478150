package starter

import (
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

// Evacuated returns what was passed to SetEvacuated last.
func (s *Starter) Evacuated() bool { return s.evacuated }

// SetEvacuated sets whether the agent's zone is evacuated, and reports the new load to
// the entries. In an evacuated zone all starts are refused, also those that are queued;
// running tasks continue. When the evacuation is withdrawn, a warm-up begins.
func (s *Starter) SetEvacuated(now time.Time, evacuated bool) {
	if s.evacuated == evacuated {
		return
	}
	s.evacuated = evacuated
	if evacuated {
		for _, r := range s.admission.clear() {
			s.evacuatedStarts++
			s.refuseQueued(r, protocol.RefusalEvacuated)
		}
	} else {
		s.beginReturn(now)
	}
	for range s.reportOrder {
		s.SendLoad()
	}
}

// EvacuatedStarts returns the number of starts refused because of an evacuation.
func (s *Starter) EvacuatedStarts() int { return s.evacuatedStarts }
