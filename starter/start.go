package starter

import (
	"slices"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

// permitsRetry reports whether the task may be started with this attempt number
// although an earlier attempt was refused.
func (r *startRecord) permitsRetry(attempt int) bool {
	return r.state == stateRefused && attempt > r.attempt
}

// handleStart starts, queues or refuses a task. A task is started at most once
// (rule 1), and a refused attempt stays refused (rule 2).
func (s *Starter) handleStart(from string, m *protocol.Start) {
	if m.SessionBound && (!s.entries[from] || s.unannounced[from]) {
		return // the session that delivered the start is closed
	}
	s.receivedStarts[from]++
	s.recordBacklog(from, m.Backlog)
	if m.Ticket.Owner == "" {
		m.Ticket.Owner = from
	}
	key := tableKey{m.Ticket.Owner, m.Ticket.Backup}
	earlier := s.findRecord(key, m.Ticket.Sequence, m.Task)
	if earlier != nil && !earlier.permitsRetry(m.Attempt) {
		s.answerRepeatedStart(from, m, earlier)
		return
	}
	need := m.Request.Need
	if need == (sizer.Resources{}) {
		need = sizer.Slots(1)
	}
	if reason := s.refusalReason(from, key, m, need); reason != "" {
		if reason == protocol.RefusalEvacuated {
			s.evacuatedStarts++
		}
		s.refuseStart(from, key, m, reason)
		return
	}
	record := &startRecord{attempt: m.Attempt, recipients: []string{from}}
	s.putRecord(key, m.Ticket.Sequence, m.Task, record)
	s.lastRunID++
	r := &acceptedRun{
		Run: Run{ID: s.lastRunID, Requester: from, Ticket: m.Ticket, Task: m.Task, Attempt: m.Attempt, Request: m.Request, RequiredLabel: m.RequiredLabel},
		key: key, record: record, need: need, sessionBound: m.SessionBound,
		serverIncarnation: s.profiler.Incarnation(), expected: expectedDuration(m),
	}
	s.runs[r.ID] = r
	s.division.recordStart(from, need)
	if s.unresponsive || !s.admission.canStart(s.Capacity, need) {
		s.admission.enqueue(r)
		return
	}
	s.load.countStart(s.Capacity, s.admission.used, need)
	s.admission.reserve(r)
	s.offerFree("")
	s.startRun(r)
}

// startRun starts a run whose capacity is reserved.
func (s *Starter) startRun(r *acceptedRun) {
	r.Used = s.admission.used
	s.decisions.Starts = append(s.decisions.Starts, r.Run)
}

// startQueued starts queued tasks, oldest first, as long as the next one fits.
func (s *Starter) startQueued() {
	if s.unresponsive {
		return
	}
	for s.admitsNext() {
		used := s.admission.used
		r := s.admission.startNext(s.Capacity)
		if r == nil {
			return
		}
		s.load.countStart(s.Capacity, used, r.need)
		s.startRun(r)
	}
}

// admitsNext reports whether a warm-up permits the oldest queued task.
func (s *Starter) admitsNext() bool {
	queue := s.admission.queuedRuns
	return len(queue) > 0 && s.load.admits(s.Capacity, s.admission.used, queue[0].need)
}

// handleStop stops session-bound tasks at the request of their owner.
func (s *Starter) handleStop(from string, m *protocol.Stop) {
	if m.Ticket.Owner == "" {
		m.Ticket.Owner = from
	}
	for _, r := range s.runs {
		if r.sessionBound && r.Requester == from && r.key.owner == m.Ticket.Owner &&
			r.Ticket.Sequence == m.Ticket.Sequence && slices.Contains(m.Tasks, r.Task) {
			s.stopRun(r)
		}
	}
	s.startQueued()
}

// stopRun stops a run. A queued one is refused at once; a running one occupies its
// capacity until it is finished.
func (s *Starter) stopRun(r *acceptedRun) {
	switch {
	case s.admission.remove(r):
		s.refuseQueued(r, protocol.RefusalStopped)
	case !r.stopping:
		r.stopping = true
		s.decisions.Stops = append(s.decisions.Stops, r.Run)
	}
}

// refuseQueued refuses a run that was removed from the queue.
func (s *Starter) refuseQueued(r *acceptedRun, reason protocol.Refusal) {
	delete(s.runs, r.ID)
	r.record.state, r.record.refusal = stateRefused, reason
	s.reportOutcome(r)
	s.announceIfIdle(r.Requester)
}

// reportOutcome sends the outcome of a run to its recipients. The record of a
// session-bound task is not needed afterwards and is removed.
func (s *Starter) reportOutcome(r *acceptedRun) {
	for _, to := range r.record.recipients {
		s.sendOutcome(to, r.Ticket, r.Task, r.record)
	}
	r.record.recipients = nil
	if r.sessionBound {
		s.removeRecord(r.key, r.Ticket.Sequence, r.Task)
	}
}

// refusalReason returns why a start must be refused, or "" if it may be accepted.
func (s *Starter) refusalReason(from string, key tableKey, m *protocol.Start, need sizer.Resources) protocol.Refusal {
	table := s.tables[key]
	switch {
	case m.Agent != s.Self:
		return protocol.RefusalWrongIncarnation
	case m.Ticket.Sequence < s.closedBelow[key.owner]:
		return protocol.RefusalClosed
	case table != nil && m.Ticket.Sequence < table.closedBelow:
		return protocol.RefusalClosed
	case table != nil && table.sealed && from == key.owner:
		return protocol.RefusalSealed
	case s.draining || s.releasing[from]:
		return protocol.RefusalDraining
	case s.evacuated:
		return protocol.RefusalEvacuated
	case !hasLabel(s.Labels, m.RequiredLabel):
		return protocol.RefusalLabel
	case s.recordCount >= s.Settings.MaxStartRecords, !s.canAccept(need):
		return protocol.RefusalNoCapacity
	}
	return ""
}

// hasLabel reports whether a backend server with the given labels meets the required one.
func hasLabel(labels []string, required string) bool {
	return required == "" || slices.Contains(labels, required)
}

// canAccept reports whether a task can be started or queued. Nothing is queued for a cold
// backend server: the queue would outlast several steps.
func (s *Starter) canAccept(need sizer.Resources) bool {
	if s.load.limited {
		return !s.unresponsive && s.admission.canStart(s.Capacity, need) && s.load.admits(s.Capacity, s.admission.used, need)
	}
	return !s.unresponsive && s.admission.canStart(s.Capacity, need) || s.admission.canQueue(s.Capacity, need)
}

// refuseStart replies with a refusal and records it. No record is needed for closed
// and sealed tickets, since the watermark and the seal refuse every repeated start,
// nor for session-bound tasks: only their owner starts them, and a session delivers
// each start once.
func (s *Starter) refuseStart(from string, key tableKey, m *protocol.Start, reason protocol.Refusal) {
	if reason != protocol.RefusalClosed && reason != protocol.RefusalSealed && !m.SessionBound {
		s.putRecord(key, m.Ticket.Sequence, m.Task, &startRecord{state: stateRefused, attempt: m.Attempt, refusal: reason})
	}
	outcome := &protocol.Outcome{Ticket: omitOwner(from, m.Ticket), Task: m.Task, Attempt: m.Attempt, Refusal: reason, Load: s.updateLoad(from)}
	s.send(from, protocol.Message{Outcome: outcome})
}

// answerRepeatedStart answers a start that has a record: with its outcome if there
// is one, else the sender is added to the recipients. The task is not started again.
func (s *Starter) answerRepeatedStart(from string, m *protocol.Start, record *startRecord) {
	if record.state == stateAccepted {
		record.recipients = appendUnique(record.recipients, from)
		return
	}
	s.sendOutcome(from, m.Ticket, m.Task, record)
}

// omitOwner returns t without its owner if the owner is the receiver.
func omitOwner(to string, t protocol.Ticket) protocol.Ticket {
	if t.Owner == to {
		t.Owner = ""
	}
	return t
}

func (s *Starter) sendOutcome(to string, t protocol.Ticket, task int, record *startRecord) {
	outcome := &protocol.Outcome{Ticket: omitOwner(to, t), Task: task, Attempt: record.attempt, Load: s.updateLoad(to)}
	switch {
	case record.state == stateRefused:
		outcome.Refusal = record.refusal
	case record.result == nil:
		outcome.Result = &protocol.Result{Error: "the agent has dropped the result to free memory"}
	default:
		outcome.Result = record.result
	}
	s.send(to, protocol.Message{Outcome: outcome})
}

// Finish finishes a run. A nil result means that no connection to the backend server
// was established, so that the task did not start.
func (s *Starter) Finish(id uint64, result *protocol.Result) {
	if result == nil {
		s.finishRefused(id, protocol.RefusalUnreachable)
		return
	}
	r := s.removeRun(id)
	if r == nil {
		return
	}
	s.recordRun(r, result)
	r.record.state, r.record.result = stateDone, result
	s.reportOutcome(r)
	if !r.sessionBound {
		s.retainResult(r.record)
	}
}

// FinishStopped finishes a run that has no result: it was stopped, its lease expired,
// or it did not start. If the backend server was lost meanwhile, all entries are told,
// since the task may be submitted again at any of them.
func (s *Starter) FinishStopped(id uint64, loss Loss) {
	if r := s.runs[id]; r != nil && loss != NotLost && !r.serverRanOn && r.Request.Name != "" {
		presumed := loss == PresumedLost && !r.lossConfirmed
		s.reportLoss(id, protocol.ServerLoss{Task: r.Request.Name, Attempt: r.Attempt, Agent: s.Self, Presumed: presumed})
	}
	reason := protocol.RefusalLeaseExpired
	if r := s.runs[id]; r != nil && r.stopping {
		reason = protocol.RefusalStopped
	}
	s.finishRefused(id, reason)
}

// finishRefused finishes a run that has no result.
func (s *Starter) finishRefused(id uint64, reason protocol.Refusal) {
	if r := s.removeRun(id); r != nil {
		r.record.state, r.record.refusal = stateRefused, reason
		s.reportOutcome(r)
	}
}

// removeRun removes a run, starts queued runs in the released capacity and returns
// the removed run. It returns nil for an unknown ID.
func (s *Starter) removeRun(id uint64) *acceptedRun {
	r := s.runs[id]
	if r == nil {
		return nil
	}
	delete(s.runs, id)
	if !s.admission.remove(r) {
		s.admission.release(r)
	}
	s.startQueued()
	s.offerFree(r.Requester)
	s.announceIfIdle(r.Requester)
	return r
}
