package starter

import (
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

// seal carries out rule 4 at the agent: the owner's starts for this witness's
// tickets are refused from now on, and the marks are reported.
func (s *Starter) seal(witness string, m *protocol.Seal) {
	p := pair{m.Owner, witness}
	l := s.ledger(p)
	l.sealed = true
	reply := &protocol.StartRecords{Owner: m.Owner, ClosedBelow: max(l.below, s.below[m.Owner])}
	if _, known := s.below[m.Owner]; s.forgotten && !known {
		reply.ClosedBelow = never
	}
	for sequence, tasks := range l.tickets {
		for task, k := range tasks {
			if k.state == refused {
				continue
			}
			reply.Records = append(reply.Records, protocol.StartRecord{Sequence: sequence, Task: task, Attempt: k.attempt, Done: k.state == done})
		}
	}
	s.send(witness, protocol.Message{StartRecords: reply})
	if s.entries[m.Owner] {
		s.send(m.Owner, protocol.Message{Sealed: &protocol.Sealed{Backup: witness}})
	}
}

// fetch reports a ticket's outcomes to its witness, those of running tasks
// when they end.
func (s *Starter) fetch(witness string, m *protocol.Fetch) {
	l := s.ledgers[pair{m.Ticket.Owner, witness}]
	if l == nil {
		return
	}
	for task, k := range l.tickets[m.Ticket.Sequence] {
		switch k.state {
		case running:
			k.notify = appendNew(k.notify, witness)
		case done:
			s.report(witness, m.Ticket, task, k)
		}
	}
}

// close forgets the marks of tickets that can start nothing any more. An owner
// closes its own tickets, a witness those of a pair it has sealed.
func (s *Starter) close(from string, m *protocol.Close) {
	if from == m.Owner {
		s.raise(m.Owner, m.Below)
		for p, l := range s.ledgers {
			if p.owner == m.Owner {
				s.forget(l, m.Below)
			}
		}
		return
	}
	l := s.ledgers[pair{m.Owner, from}]
	if l == nil || !l.sealed || m.Backup != from {
		return
	}
	l.below = max(l.below, m.Below)
	s.forget(l, m.Below)
}

// forget drops the marks of tickets below the watermark. A task that still
// runs ends as usual: its run holds the mark.
func (s *Starter) forget(l *ledger, below uint64) {
	for sequence, tasks := range l.tickets {
		if sequence >= below {
			continue
		}
		for _, k := range tasks {
			s.drop(k)
		}
		s.marks -= len(tasks)
		delete(l.tickets, sequence)
	}
	for len(s.results) > 0 && s.results[0].result == nil {
		s.results = s.results[1:]
	}
}

// raise lifts an owner's watermark. When too many owners are remembered one is
// forgotten, and from then on an unknown owner counts as closed.
func (s *Starter) raise(owner string, below uint64) {
	if _, known := s.below[owner]; !known && len(s.below) >= maxOwners {
		for o := range s.below {
			if !s.entries[o] {
				delete(s.below, o)
				s.forgotten = true
				break
			}
		}
	}
	s.below[owner] = max(s.below[owner], below)
}

// Tick closes the tickets of owners that have been lost for OwnerRetention.
func (s *Starter) Tick(now time.Time) {
	for owner, since := range s.lost {
		if now.Sub(since) < s.Settings.OwnerRetention {
			continue
		}
		delete(s.lost, owner)
		s.raise(owner, never)
		for p, l := range s.ledgers {
			if p.owner == owner {
				s.forget(l, never)
				delete(s.ledgers, p)
			}
		}
	}
}
