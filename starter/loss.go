package starter

import "mustardlever.dev/mustardlever/protocol"

// Loss tells whether the backend server was lost under a run.
type Loss int

const (
	NotLost      Loss = iota
	PresumedLost      // it was unresponsive until the leases had expired
	Lost              // it has crashed
)

// maxReportedLosses bounds the reported losses that can still be retracted or confirmed.
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
			l.loss.Presumed, l.loss.Retracted = false, true
			s.sendLoss(l.loss)
		}
	}
}

// ConfirmLoss tells all entries that the backend server, which FinishStopped reported as
// presumably lost under a run, has restarted. It may overtake FinishStopped.
func (s *Starter) ConfirmLoss(id uint64) {
	if r := s.runs[id]; r != nil {
		r.lossConfirmed = true
	}
	for _, l := range s.reportedLosses {
		if l.id == id {
			l.loss.Presumed = false
			s.sendLoss(l.loss)
		}
	}
}

func (s *Starter) sendLoss(loss protocol.ServerLoss) {
	for e := range s.entries {
		s.send(e, protocol.Message{ServerLosses: []protocol.ServerLoss{loss}})
	}
}
