package starter

import (
	"mustardlever.dev/mustardlever/granter"
	"mustardlever.dev/mustardlever/messenger"
)

// superseded tells whether a start of this attempt may be carried out although
// an earlier one was refused.
func (k *mark) superseded(attempt int) bool {
	return k.state == refused && attempt > k.attempt
}

// start carries out rule 1 and rule 2: one start a task, refusals remembered.
func (s *Starter) start(from string, m *messenger.Start) {
	if m.Ticket.Owner == "" {
		m.Ticket.Owner = from
	}
	p := pair{m.Ticket.Owner, m.Ticket.Witness}
	granted := s.grants.Use(from, m.Demand)
	known := s.find(p, m.Ticket.Sequence, m.Task)
	if known != nil && !known.superseded(m.Attempt) {
		s.unuse(granted)
		s.repeat(from, m, known)
		return
	}
	if r := s.refusal(from, p, m, granted); r != "" {
		s.unuse(granted)
		s.refuse(from, p, m, r)
		return
	}
	k := &mark{attempt: m.Attempt, notify: []string{from}}
	s.put(p, m.Ticket.Sequence, m.Task, k)
	s.nextRun++
	s.runs[s.nextRun] = run{p, m.Ticket, m.Task, k}
	s.started = append(s.started, Run{s.nextRun, m.Ticket, m.Task, m.Request})
}

// unuse frees the slot of a start that was not carried out.
func (s *Starter) unuse(granted bool) {
	if !granted {
		return
	}
	s.grants.Free()
	s.rebalance()
}

// refusal returns why a start must not be carried out, empty if it may.
func (s *Starter) refusal(from string, p pair, m *messenger.Start, granted bool) messenger.Refusal {
	l := s.ledgers[p]
	switch {
	case m.Agent != s.Self:
		return messenger.RefusalIncarnation
	case m.Ticket.Sequence < s.below[p.owner]:
		return messenger.RefusalClosed
	case l != nil && m.Ticket.Sequence < l.below:
		return messenger.RefusalClosed
	case l != nil && l.sealed && from == p.owner:
		return messenger.RefusalSealed
	case s.leaving:
		return messenger.RefusalLeaving
	case !granted:
		return messenger.RefusalNoGrant
	}
	return ""
}

// refuse answers with a refusal and remembers it. Closed and sealed tickets
// need no mark: their watermark and seal refuse every copy.
func (s *Starter) refuse(from string, p pair, m *messenger.Start, r messenger.Refusal) {
	if r != messenger.RefusalClosed && r != messenger.RefusalSealed {
		s.put(p, m.Ticket.Sequence, m.Task, &mark{state: refused, attempt: m.Attempt, refusal: r})
	}
	o := &messenger.Outcome{Ticket: wireTicket(from, m.Ticket), Task: m.Task, Attempt: m.Attempt, Refusal: r}
	s.send(from, messenger.Message{Outcome: o})
}

// repeat answers a start that came before. It changes nothing.
func (s *Starter) repeat(from string, m *messenger.Start, k *mark) {
	if k.state == running {
		k.notify = appendNew(k.notify, from)
		return
	}
	s.report(from, m.Ticket, m.Task, k, 0)
}

// wireTicket leaves the owner out when it is the receiver.
func wireTicket(to string, t messenger.Ticket) messenger.Ticket {
	if t.Owner == to {
		t.Owner = ""
	}
	return t
}

func (s *Starter) report(to string, t messenger.Ticket, task int, k *mark, grant int) {
	o := &messenger.Outcome{Ticket: wireTicket(to, t), Task: task, Attempt: k.attempt, Grant: grant}
	switch {
	case k.state == refused:
		o.Refusal = k.refusal
	case k.result == nil:
		o.Result = &messenger.Result{Error: "the result is no longer kept"}
	default:
		o.Result = k.result
	}
	s.send(to, messenger.Message{Outcome: o})
}

// Finish ends a run. A nil result means that the backend server refused the
// connection, so that the task did not start.
func (s *Starter) Finish(id uint64, result *messenger.Result) {
	r, ok := s.runs[id]
	if !ok {
		return
	}
	delete(s.runs, id)
	s.grants.Free()
	if result == nil {
		r.mark.state, r.mark.refusal = refused, messenger.RefusalUnreachable
	} else {
		r.mark.state, r.mark.result = done, result
	}
	grants, recalls := s.divide()
	for i, to := range r.mark.notify {
		grant := 0
		if i == 0 {
			grant, grants = takeGrant(grants, to)
		}
		s.report(to, r.ticket, r.task, r.mark, grant)
	}
	r.mark.notify = nil
	s.tell(grants, recalls)
	if result != nil {
		s.keep(r.mark)
	}
}

// takeGrant removes the grant for entry from grants.
func takeGrant(grants []granter.Grant, entry string) (int, []granter.Grant) {
	for i, g := range grants {
		if g.Entry == entry {
			return g.Slots, append(grants[:i], grants[i+1:]...)
		}
	}
	return 0, grants
}
