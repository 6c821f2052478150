package starter

import (
	"slices"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

// superseded tells whether a start of this attempt may be carried out although
// an earlier one was refused.
func (k *mark) superseded(attempt int) bool {
	return k.state == refused && attempt > k.attempt
}

// start carries out rule 1 and rule 2: one start a task, refusals remembered.
func (s *Starter) start(from string, m *protocol.Start) {
	if m.SessionBound && (!s.entries[from] || s.awaiting[from]) {
		return // the session that it came by is given up
	}
	s.received[from]++
	if m.Ticket.Owner == "" {
		m.Ticket.Owner = from
	}
	p := pair{m.Ticket.Owner, m.Ticket.Backup}
	known := s.find(p, m.Ticket.Sequence, m.Task)
	if known != nil && !known.superseded(m.Attempt) {
		s.repeat(from, m, known)
		return
	}
	need := m.Request.Need
	if need == (sizer.Resources{}) {
		need = sizer.Slots(1)
	}
	if r := s.refusal(from, p, m, need); r != "" {
		s.refuse(from, p, m, r)
		return
	}
	k := &mark{attempt: m.Attempt, notify: []string{from}}
	s.put(p, m.Ticket.Sequence, m.Task, k)
	s.nextRun++
	r := &run{
		Run: Run{s.nextRun, from, m.Ticket, m.Task, m.Attempt, m.Request}, pair: p, mark: k, need: need, bound: m.SessionBound,
	}
	s.runs[r.ID] = r
	if s.held || !s.room.fits(s.Capacity, need) {
		s.room.wait(r)
		return
	}
	s.room.use(r)
	s.decided.Starts = append(s.decided.Starts, r.Run)
}

// admit starts what waits and has room now.
func (s *Starter) admit() {
	if s.held {
		return
	}
	for r := s.room.next(s.Capacity); r != nil; r = s.room.next(s.Capacity) {
		s.decided.Starts = append(s.decided.Starts, r.Run)
	}
}

// stopTasks ends bound tasks at their owner's word.
func (s *Starter) stopTasks(from string, m *protocol.Stop) {
	if m.Ticket.Owner == "" {
		m.Ticket.Owner = from
	}
	for _, r := range s.runs {
		if r.bound && r.Owner == from && r.pair.owner == m.Ticket.Owner &&
			r.Ticket.Sequence == m.Ticket.Sequence && slices.Contains(m.Tasks, r.Task) {
			s.stop(r)
		}
	}
	s.admit()
}

// stop ends a run. One that runs takes room until Finish.
func (s *Starter) stop(r *run) {
	switch {
	case s.room.leave(r):
		s.turnAway(r, protocol.RefusalStopped)
	case !r.stopping:
		r.stopping = true
		s.decided.Stops = append(s.decided.Stops, r.Run)
	}
}

// turnAway refuses a run that has left the queue.
func (s *Starter) turnAway(r *run, why protocol.Refusal) {
	delete(s.runs, r.ID)
	r.mark.state, r.mark.refusal = refused, why
	s.tellMark(r)
	s.greet(r.Owner)
}

// tellMark tells those who asked what became of a run. A bound task's mark is
// not needed any more.
func (s *Starter) tellMark(r *run) {
	for _, to := range r.mark.notify {
		s.report(to, r.Ticket, r.Task, r.mark)
	}
	r.mark.notify = nil
	if r.bound {
		s.remove(r.pair, r.Ticket.Sequence, r.Task)
	}
}

// refusal returns why a start must not be carried out, empty if it may.
func (s *Starter) refusal(from string, p pair, m *protocol.Start, need sizer.Resources) protocol.Refusal {
	l := s.ledgers[p]
	switch {
	case m.Agent != s.Self:
		return protocol.RefusalIncarnation
	case m.Ticket.Sequence < s.below[p.owner]:
		return protocol.RefusalClosed
	case l != nil && m.Ticket.Sequence < l.below:
		return protocol.RefusalClosed
	case l != nil && l.sealed && from == p.owner:
		return protocol.RefusalSealed
	case s.leaving:
		return protocol.RefusalDraining
	case s.marks >= s.Settings.MaxStartRecords, !s.roomFor(need):
		return protocol.RefusalNoCapacity
	}
	return ""
}

// roomFor tells whether a task may start or wait.
func (s *Starter) roomFor(need sizer.Resources) bool {
	return !s.held && s.room.fits(s.Capacity, need) || s.room.mayWait(s.Capacity, need)
}

// refuse answers with a refusal and remembers it. Closed and sealed tickets
// need no mark: their watermark and seal refuse every copy. Nor do bound tasks:
// only their owner starts them, and a session delivers each start once.
func (s *Starter) refuse(from string, p pair, m *protocol.Start, r protocol.Refusal) {
	if r != protocol.RefusalClosed && r != protocol.RefusalSealed && !m.SessionBound {
		s.put(p, m.Ticket.Sequence, m.Task, &mark{state: refused, attempt: m.Attempt, refusal: r})
	}
	o := &protocol.Outcome{Ticket: wireTicket(from, m.Ticket), Task: m.Task, Attempt: m.Attempt, Refusal: r, Load: s.load(from)}
	s.send(from, protocol.Message{Outcome: o})
}

// repeat answers a start that came before. It changes nothing.
func (s *Starter) repeat(from string, m *protocol.Start, k *mark) {
	if k.state == running {
		k.notify = appendNew(k.notify, from)
		return
	}
	s.report(from, m.Ticket, m.Task, k)
}

// wireTicket leaves the owner out when it is the receiver.
func wireTicket(to string, t protocol.Ticket) protocol.Ticket {
	if t.Owner == to {
		t.Owner = ""
	}
	return t
}

func (s *Starter) report(to string, t protocol.Ticket, task int, k *mark) {
	o := &protocol.Outcome{Ticket: wireTicket(to, t), Task: task, Attempt: k.attempt, Load: s.load(to)}
	switch {
	case k.state == refused:
		o.Refusal = k.refusal
	case k.result == nil:
		o.Result = &protocol.Result{Error: "the result is no longer kept"}
	default:
		o.Result = k.result
	}
	s.send(to, protocol.Message{Outcome: o})
}

// Finish ends a run. A nil result means that the backend server refused the
// connection, so that the task did not start.
func (s *Starter) Finish(id uint64, result *protocol.Result) {
	if result == nil {
		s.end(id, protocol.RefusalUnreachable)
		return
	}
	r := s.take(id)
	if r == nil {
		return
	}
	r.mark.state, r.mark.result = done, result
	s.tellMark(r)
	if !r.bound {
		s.keep(r.mark)
	}
}

// FinishStopped ends a run that the backend server has ended before it was
// done: it was stopped, or its lease lapsed.
func (s *Starter) FinishStopped(id uint64) {
	why := protocol.RefusalLeaseExpired
	if r := s.runs[id]; r != nil && r.stopping {
		why = protocol.RefusalStopped
	}
	s.end(id, why)
}

// end ends a run that has no result.
func (s *Starter) end(id uint64, why protocol.Refusal) {
	if r := s.take(id); r != nil {
		r.mark.state, r.mark.refusal = refused, why
		s.tellMark(r)
	}
}

// take removes a run, gives its room to what waits and returns it.
func (s *Starter) take(id uint64) *run {
	r := s.runs[id]
	if r == nil {
		return nil
	}
	delete(s.runs, id)
	if !s.room.leave(r) {
		s.room.free(r)
	}
	s.admit()
	s.greet(r.Owner)
	return r
}
