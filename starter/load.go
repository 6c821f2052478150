package starter

import (
	"slices"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

// updateLoad returns the load to report to an entry, and stores its free capacity
// as the last one reported to that entry.
func (s *Starter) updateLoad(entry string) dispatcher.Load {
	free := s.freeFor(entry)
	s.reportedFree[entry] = free
	s.setReportedCold(entry)
	return dispatcher.Load{Free: free, Cold: s.load.limited, Received: s.receivedStarts[entry], OfferedElsewhere: s.offeredElsewhere(entry), Profile: s.takeProfile(entry)}
}

// setReportedCold stores whether the backend server was reported as cold to an entry.
func (s *Starter) setReportedCold(entry string) {
	if !s.load.limited {
		delete(s.reportedCold, entry)
		return
	}
	if s.reportedCold == nil {
		s.reportedCold = make(map[string]bool)
	}
	s.reportedCold[entry] = true
}

// SetUnresponsive sets whether the backend server is unresponsive, and reports the
// new load to the entries. As long as the backend server is unresponsive, no task is
// started there: if it has crashed, the task would be lost.
func (s *Starter) SetUnresponsive(unresponsive bool) {
	if s.unresponsive == unresponsive {
		return
	}
	s.unresponsive = unresponsive
	s.division.withdrawAll()
	s.startQueued()
	s.offerFree("")
	for range s.reportOrder {
		s.reportLoad()
	}
}

// freeCapacity returns the free capacity to report. A backend server that is
// unresponsive or in an evacuated zone has no free CPU, and a cold one not more than it
// admits.
func (s *Starter) freeCapacity() sizer.Resources {
	free := s.Capacity.Sub(s.admission.committed())
	if s.unresponsive || s.evacuated {
		free.CPU = min(free.CPU, 0)
	}
	if s.load.limited && s.load.slackLeft <= 0 {
		free.CPU = min(free.CPU, s.load.millicores(s.Capacity)-s.admission.committed().CPU)
	}
	return free
}

// SendLoad reports the load to one entry whose last report is out of date, in
// round-robin order. Call it at fixed intervals, which limits the number of
// messages. Entries that learned of the same free capacity at the same time would
// each send a task for it, and all but one would be refused.
func (s *Starter) SendLoad() {
	if s.draining {
		return
	}
	s.division.tick()
	s.offerFree("")
	s.reportLoad()
}

// reportLoad reports the load to the entry that is next in turn, if any.
func (s *Starter) reportLoad() {
	if s.draining {
		return
	}
	for i, e := range s.reportOrder {
		if (s.reportedFree[e] != s.freeFor(e) || s.reportedCold[e] != s.load.limited || s.newProfile(e) != nil) && !s.unannounced[e] {
			s.reportOrder = append(slices.Delete(s.reportOrder, i, i+1), e)
			load := s.updateLoad(e)
			s.send(e, protocol.Message{Load: &load})
			return
		}
	}
}
