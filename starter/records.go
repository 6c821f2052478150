package starter

import "mustardlever.dev/mustardlever/protocol"

// tableKey identifies a recordTable by the owner and the backup of its tickets.
type tableKey struct{ owner, backup string }

// startState is the state of a start request.
type startState int

const (
	stateAccepted startState = iota // the task is queued, running or being stopped
	stateDone
	stateRefused
)

// startRecord describes the last start of one task of one ticket.
type startRecord struct {
	state      startState
	attempt    int // of the start that created the record
	refusal    protocol.Refusal
	result     *protocol.Result // nil unless done; nil again once it was dropped to free memory
	recipients []string         // entries that receive the outcome
}

// ticketRecords are the start records of one ticket by task.
type ticketRecords map[int]*startRecord

// recordTable holds the start records of the tickets of one owner and one backup.
type recordTable struct {
	tickets     map[uint64]ticketRecords
	sealed      bool
	closedBelow uint64 // tickets with lower numbers were closed by the backup
}

// retainResult retains the result of a record for backups, and drops the oldest
// results beyond MaxResultBytes.
func (s *Starter) retainResult(record *startRecord) {
	s.retained = append(s.retained, record)
	s.resultBytes += resultSize(record.result)
	for s.resultBytes > s.Settings.MaxResultBytes && len(s.retained) > 0 {
		s.dropResult(s.retained[0])
		s.retained = s.retained[1:]
	}
}

func (s *Starter) dropResult(record *startRecord) {
	if record.result == nil {
		return
	}
	s.resultBytes -= resultSize(record.result)
	record.result = nil
}

// resultSize returns the number of bytes that count towards MaxResultBytes.
func resultSize(r *protocol.Result) int { return len(r.Body) + len(r.Error) }

// findRecord returns the start record of a task, or nil if there is none.
func (s *Starter) findRecord(key tableKey, sequence uint64, task int) *startRecord {
	table := s.tables[key]
	if table == nil {
		return nil
	}
	return table.tickets[sequence][task]
}

// ensureTable returns the table of an owner and a backup, and creates it if needed.
func (s *Starter) ensureTable(key tableKey) *recordTable {
	table := s.tables[key]
	if table == nil {
		table = &recordTable{tickets: make(map[uint64]ticketRecords)}
		s.tables[key] = table
	}
	return table
}

func (s *Starter) putRecord(key tableKey, sequence uint64, task int, record *startRecord) {
	table := s.ensureTable(key)
	if table.tickets[sequence] == nil {
		table.tickets[sequence] = make(ticketRecords)
	}
	if table.tickets[sequence][task] == nil {
		s.recordCount++
	}
	table.tickets[sequence][task] = record
}

func (s *Starter) removeRecord(key tableKey, sequence uint64, task int) {
	table := s.tables[key]
	if table == nil || table.tickets[sequence][task] == nil {
		return
	}
	s.recordCount--
	delete(table.tickets[sequence], task)
	if len(table.tickets[sequence]) == 0 {
		delete(table.tickets, sequence)
	}
}

// appendUnique appends s unless the list contains it.
func appendUnique(list []string, s string) []string {
	for _, item := range list {
		if item == s {
			return list
		}
	}
	return append(list, s)
}
