package starter

import (
	"math"
	"time"

	"mustardlever.dev/mustardlever/granter"
	"mustardlever.dev/mustardlever/messenger"
)

// Defaults of Settings.
const (
	defaultKeptBytes      = 16 << 20 // 16 MiB
	defaultOwnerRetention = 10 * time.Minute
	defaultMaxMarks       = 200_000
	maxOwners             = 1 << 16 // watermarks of owners remembered
)

// never is the watermark of an owner none of whose tickets may start any more.
const never = math.MaxUint64

// Settings bounds a Starter. Zero fields take the defaults.
type Settings struct {
	KeptBytes      int           // result bytes kept for witnesses; default 16 MiB
	MaxMarks       int           // marks kept; beyond it no slot is granted; default 200,000
	OwnerRetention time.Duration // how long a lost owner's marks are kept; default 10 min
}

// Output is a message to an entry incarnation.
type Output struct {
	To      string
	Message messenger.Message
}

// Run is a task to execute. Finish takes its ID back.
type Run struct {
	ID      uint64
	Ticket  messenger.Ticket
	Task    int
	Request messenger.Request
}

type pair struct{ owner, witness string }

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
	refusal messenger.Refusal
	result  *messenger.Result // nil when dropped for room
	notify  []string          // entries that get the outcome
}

type ticketMarks map[int]*mark

// ledger holds the marks of the tickets of one owner and one witness.
type ledger struct {
	tickets map[uint64]ticketMarks
	sealed  bool
	below   uint64 // tickets below are closed, by the witness
}

type run struct {
	pair   pair
	ticket messenger.Ticket
	task   int
	mark   *mark
}

// Starter is the decision state of one backend server of one service at one
// agent incarnation. Set the exported fields first. It is not safe for
// concurrent use.
type Starter struct {
	Settings Settings
	Self     string // agent incarnation
	Service  string
	Address  string // backend server, host:port
	Slots    int

	grants    granter.Granter
	ledgers   map[pair]*ledger
	below     map[string]uint64 // tickets of the owner below are closed
	lost      map[string]time.Time
	forgotten bool // a watermark was dropped for room
	entries   map[string]bool
	leaving   bool
	runs      map[uint64]run
	nextRun   uint64
	results   []*mark // done marks, oldest first
	bytes     int
	marks     int
	out       []Output
	started   []Run
}

// Init prepares the Starter.
func (s *Starter) Init() {
	if s.Settings.KeptBytes == 0 {
		s.Settings.KeptBytes = defaultKeptBytes
	}
	if s.Settings.MaxMarks == 0 {
		s.Settings.MaxMarks = defaultMaxMarks
	}
	if s.Settings.OwnerRetention == 0 {
		s.Settings.OwnerRetention = defaultOwnerRetention
	}
	s.grants.Slots = s.Slots
	s.ledgers = make(map[pair]*ledger)
	s.below = make(map[string]uint64)
	s.lost = make(map[string]time.Time)
	s.entries = make(map[string]bool)
	s.runs = make(map[uint64]run)
}

// Drain returns and clears the messages and runs decided since the last call.
func (s *Starter) Drain() ([]Output, []Run) {
	out, started := s.out, s.started
	s.out, s.started = nil, nil
	return out, started
}

// Running returns the number of tasks that run.
func (s *Starter) Running() int { return len(s.runs) }

// Up notes a new session with an entry.
func (s *Starter) Up(entry string) {
	s.entries[entry] = true
	delete(s.lost, entry)
	s.grants.Join(entry)
	s.send(entry, messenger.Message{Announce: s.announce()})
	s.rebalance()
}

func (s *Starter) announce() *messenger.Announce {
	return &messenger.Announce{Slots: s.Slots, Address: s.Address, Leaving: s.leaving}
}

// Lost notes that the session with an entry was given up.
func (s *Starter) Lost(now time.Time, entry string) {
	delete(s.entries, entry)
	s.lost[entry] = now
	s.grants.Leave(entry)
	s.rebalance()
}

// LeaveService makes the agent refuse every further start, and tells entries.
func (s *Starter) LeaveService() {
	if s.leaving {
		return
	}
	s.leaving = true
	s.grants.Close()
	for e := range s.entries {
		s.send(e, messenger.Message{Announce: s.announce()})
	}
}

// Receive takes a message from an entry.
func (s *Starter) Receive(from string, m messenger.Message) {
	switch {
	case m.Start != nil:
		s.start(from, m.Start)
	case m.Demand != nil:
		s.grants.SetDemand(from, m.Demand.Tasks)
		s.rebalance()
	case m.Return != nil:
		s.grants.Returned(from, m.Return.Slots, m.Return.Demand)
		s.rebalance()
	case m.Seal != nil:
		s.seal(from, m.Seal)
	case m.Fetch != nil:
		s.fetch(from, m.Fetch)
	case m.Close != nil:
		s.close(from, m.Close)
	}
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

func size(r *messenger.Result) int { return len(r.Body) + len(r.Error) }

func (s *Starter) rebalance() { s.tell(s.divide()) }

// divide grants free slots, unless MaxMarks are kept already.
func (s *Starter) divide() (grants, recalls []granter.Grant) {
	s.grants.Held = s.marks >= s.Settings.MaxMarks
	return s.grants.Rebalance()
}

func (s *Starter) tell(grants, recalls []granter.Grant) {
	for _, g := range grants {
		s.send(g.Entry, messenger.Message{Credit: &messenger.Credit{Slots: g.Slots}})
	}
	for _, r := range recalls {
		s.send(r.Entry, messenger.Message{Recall: &messenger.Recall{Slots: r.Slots}})
	}
}

func (s *Starter) send(to string, m messenger.Message) {
	m.Service = s.Service
	s.out = append(s.out, Output{to, m})
}

func (s *Starter) find(p pair, sequence uint64, task int) *mark {
	l := s.ledgers[p]
	if l == nil {
		return nil
	}
	return l.tickets[sequence][task]
}

func (s *Starter) ledger(p pair) *ledger {
	l := s.ledgers[p]
	if l == nil {
		l = &ledger{tickets: make(map[uint64]ticketMarks)}
		s.ledgers[p] = l
	}
	return l
}

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

func appendNew(list []string, s string) []string {
	for _, x := range list {
		if x == s {
			return list
		}
	}
	return append(list, s)
}
