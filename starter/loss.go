package starter

import "mustardlever.dev/mustardlever/protocol"

// maxReportedLosses bounds the reported losses that can still be retracted.
const maxReportedLosses = 256

// reportedLoss is the loss of the backend server under a run.
type reportedLoss struct {
	id   uint64 // of the run
	loss protocol.ServerLoss
}

// reportLoss tells all entries of a loss.
func (s *Starter) reportLoss(id uint64, loss protocol.ServerLoss) {
	if len(s.reportedLosses) == maxReportedLosses {
		s.reportedLosses = s.reportedLosses[1:]
	}
	s.reportedLosses = append(s.reportedLosses, reportedLoss{id, loss})
	s.sendLoss(loss)
}

// RetractLoss tells all entries that the backend server, which FinishStopped reported as
// lost under a run, has run on. It may overtake FinishStopped.
func (s *Starter) RetractLoss(id uint64) {
	if r := s.runs[id]; r != nil {
		r.serverRanOn = true
	}
	for _, l := range s.reportedLosses {
		if l.id == id {
			l.loss.Retracted = true
			s.sendLoss(l.loss)
		}
	}
}

func (s *Starter) sendLoss(loss protocol.ServerLoss) {
	for e := range s.entries {
		s.send(e, protocol.Message{ServerLosses: []protocol.ServerLoss{loss}})
	}
}
