package leaser

// maxPresumedLosses bounds the presumed losses that are remembered. Older ones are neither
// retracted nor confirmed.
const maxPresumedLosses = 256

// presumedLoss is a run that was reported as lost with its backend server because that
// did not answer until the lease had expired. It crashed, or was only unreachable.
type presumedLoss struct {
	id     uint64
	serial uint64 // of the newest call when the run was reported
}

// markLost records whether the backend server was lost under a run. One that leaves as
// planned is not.
func (l *Leaser) markLost(r *run, lost bool) { r.serverLost = r.serverLost || lost && !l.draining }

// presumeLost remembers a run whose loss has to be retracted or confirmed.
func (l *Leaser) presumeLost(r *run) {
	if len(l.presumedLosses) == maxPresumedLosses {
		l.presumedLosses = l.presumedLosses[1:]
	}
	l.presumedLosses = append(l.presumedLosses, presumedLoss{r.id, l.serial})
	r.lossPresumed = true
}

// confirmLosses confirms the presumed losses: the incarnation under which they occurred
// has ended.
func (l *Leaser) confirmLosses() {
	for _, p := range l.presumedLosses {
		l.ends = append(l.ends, End{ID: p.id, Confirmed: true})
	}
	l.presumedLosses = nil
}

// retractLosses retracts the presumed losses that the known incarnation has survived,
// since it has answered a call that was sent after them.
func (l *Leaser) retractLosses(c Call) {
	for len(l.presumedLosses) > 0 && l.presumedLosses[0].serial < c.serial {
		l.ends = append(l.ends, End{ID: l.presumedLosses[0].id, RanOn: true})
		l.presumedLosses = l.presumedLosses[1:]
	}
}
