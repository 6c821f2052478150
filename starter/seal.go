package starter

import (
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

// handleSeal makes the agent refuse the owner's further starts on tickets with this
// backup (rule 4). It reports the records of accepted and finished starts to the
// backup, and tells the owner that it is sealed.
func (s *Starter) handleSeal(backup string, m *protocol.Seal) {
	key := tableKey{m.Owner, backup}
	table := s.ensureTable(key)
	table.sealed = true
	reply := &protocol.StartRecords{Owner: m.Owner, ClosedBelow: max(table.closedBelow, s.closedBelow[m.Owner])}
	if _, known := s.closedBelow[m.Owner]; s.watermarkDropped && !known {
		reply.ClosedBelow = allClosed
	}
	for sequence, tasks := range table.tickets {
		for task, record := range tasks {
			if record.state == stateRefused {
				continue
			}
			reply.Records = append(reply.Records, protocol.StartRecord{Sequence: sequence, Task: task, Attempt: record.attempt, Done: record.state == stateDone})
		}
	}
	s.send(backup, protocol.Message{StartRecords: reply})
	if s.entries[m.Owner] {
		s.send(m.Owner, protocol.Message{Sealed: &protocol.Sealed{Backup: backup}})
	}
}

// handleFetch reports the outcomes of a ticket's tasks to its backup: those of
// finished tasks at once, those of the others when they end.
func (s *Starter) handleFetch(backup string, m *protocol.Fetch) {
	table := s.tables[tableKey{m.Ticket.Owner, backup}]
	if table == nil {
		return
	}
	for task, record := range table.tickets[m.Ticket.Sequence] {
		switch record.state {
		case stateAccepted:
			record.recipients = appendUnique(record.recipients, backup)
		case stateDone:
			s.sendOutcome(backup, m.Ticket, task, record)
		}
	}
}

// handleClose removes the start records of tickets for which no task can be started
// any more. An owner closes its own tickets; a backup closes the tickets that it
// backs up for an owner that it has sealed.
func (s *Starter) handleClose(from string, m *protocol.Close) {
	if from == m.Owner {
		s.advanceClosedBelow(m.Owner, m.Below)
		for key, table := range s.tables {
			if key.owner == m.Owner {
				s.removeClosed(table, m.Below)
			}
		}
		return
	}
	table := s.tables[tableKey{m.Owner, from}]
	if table == nil || !table.sealed || m.Backup != from {
		return
	}
	table.closedBelow = max(table.closedBelow, m.Below)
	s.removeClosed(table, m.Below)
}

// removeClosed removes the start records of tickets below the watermark. A task that
// is still running ends as usual, since its run refers to the record.
func (s *Starter) removeClosed(table *recordTable, below uint64) {
	for sequence, tasks := range table.tickets {
		if sequence >= below {
			continue
		}
		for _, record := range tasks {
			s.dropResult(record)
		}
		s.recordCount -= len(tasks)
		delete(table.tickets, sequence)
	}
	for len(s.retained) > 0 && s.retained[0].result == nil {
		s.retained = s.retained[1:]
	}
}

// advanceClosedBelow raises an owner's watermark. When there are already
// maxClosedWatermarks, it first drops the watermark of an owner without a session.
// From then on, the reply to a seal of an owner without a watermark reports all of
// the owner's tickets as closed, since its watermark may be the one that was dropped.
func (s *Starter) advanceClosedBelow(owner string, below uint64) {
	if _, known := s.closedBelow[owner]; !known && len(s.closedBelow) >= maxClosedWatermarks {
		for o := range s.closedBelow {
			if !s.entries[o] {
				delete(s.closedBelow, o)
				s.watermarkDropped = true
				break
			}
		}
	}
	s.closedBelow[owner] = max(s.closedBelow[owner], below)
}

// Tick closes the tickets of owners that have been lost for OwnerRetention.
func (s *Starter) Tick(now time.Time) {
	s.profiler.Tick(now)
	for owner, since := range s.lostAt {
		if now.Sub(since) < s.Settings.OwnerRetention {
			continue
		}
		delete(s.lostAt, owner)
		s.advanceClosedBelow(owner, allClosed)
		for key, table := range s.tables {
			if key.owner == owner {
				s.removeClosed(table, allClosed)
				delete(s.tables, key)
			}
		}
	}
}
