package starter

import "mustardlever.dev/mustardlever/protocol"

// pair is the owner and the witness of tickets.
type pair struct{ owner, witness string }

// state is what became of a start.
type state int

const (
	running state = iota
	done
	refused
)

// mark is what is known of one task of one ticket.
type mark struct {
	state   state
	attempt int // of the start that made the mark
	refusal protocol.Refusal
	result  *protocol.Result // nil when dropped for room
	notify  []string         // entries that get the outcome
}

// ticketMarks are the marks of one ticket by task.
type ticketMarks map[int]*mark

// ledger holds the marks of the tickets of one owner and one witness.
type ledger struct {
	tickets map[uint64]ticketMarks
	sealed  bool
	below   uint64 // tickets below are closed, by the witness
}

// keep holds a result for witnesses, and drops the oldest beyond KeptBytes.
func (s *Starter) keep(k *mark) {
	s.results = append(s.results, k)
	s.bytes += size(k.result)
	for s.bytes > s.Settings.KeptBytes && len(s.results) > 0 {
		s.drop(s.results[0])
		s.results = s.results[1:]
	}
}

// drop lets go of a mark's result.
func (s *Starter) drop(k *mark) {
	if k.result == nil {
		return
	}
	s.bytes -= size(k.result)
	k.result = nil
}

// size is the bytes that a result counts for.
func size(r *protocol.Result) int { return len(r.Body) + len(r.Error) }

// find returns the mark of a task, nil for none.
func (s *Starter) find(p pair, sequence uint64, task int) *mark {
	l := s.ledgers[p]
	if l == nil {
		return nil
	}
	return l.tickets[sequence][task]
}

// ledger returns the ledger of a pair, made if needed.
func (s *Starter) ledger(p pair) *ledger {
	l := s.ledgers[p]
	if l == nil {
		l = &ledger{tickets: make(map[uint64]ticketMarks)}
		s.ledgers[p] = l
	}
	return l
}

// put sets the mark of a task.
func (s *Starter) put(p pair, sequence uint64, task int, k *mark) {
	l := s.ledger(p)
	if l.tickets[sequence] == nil {
		l.tickets[sequence] = make(ticketMarks)
	}
	if l.tickets[sequence][task] == nil {
		s.marks++
	}
	l.tickets[sequence][task] = k
}

// remove forgets a mark.
func (s *Starter) remove(p pair, sequence uint64, task int) {
	l := s.ledgers[p]
	if l == nil || l.tickets[sequence][task] == nil {
		return
	}
	s.marks--
	delete(l.tickets[sequence], task)
	if len(l.tickets[sequence]) == 0 {
		delete(l.tickets, sequence)
	}
}

// appendNew appends s unless the list has it.
func appendNew(list []string, s string) []string {
	for _, x := range list {
		if x == s {
			return list
		}
	}
	return append(list, s)
}
