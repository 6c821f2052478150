package starter

import (
	"math"
	"slices"
	"time"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
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
	KeptBytes       int           // result bytes kept for witnesses; default 16 MiB
	MaxStartRecords int           // marks kept; beyond it no task is started; default 200,000
	OwnerRetention  time.Duration // how long a lost owner's marks are kept; default 10 min
}

// Output is a message to an entry incarnation.
type Output struct {
	To      string
	Message protocol.Message
}

// Run is a task to execute. Finish takes its ID back. Attempt grows with each
// start of the task.
type Run struct {
	ID      uint64
	Owner   string // entry incarnation that asked for it
	Ticket  protocol.Ticket
	Task    int
	Attempt int
	Request protocol.Request
}

// Decisions are what a Starter has decided: messages to send, tasks to start
// and runs to stop. Finish is expected for a stopped run too.
type Decisions struct {
	Messages []Output
	Starts   []Run
	Stops    []Run
}

// run is a start that was accepted: it waits for room, runs or is being
// stopped, and takes room until Finish.
type run struct {
	Run
	pair     pair
	mark     *mark
	need     sizer.Resources
	bound    bool
	stopping bool
}

// Starter is the decision state of one backend server of one service at one
// agent incarnation. Set the exported fields first. It is not safe for
// concurrent use.
type Starter struct {
	Settings Settings
	Self     string // agent incarnation
	Service  string
	Address  string // backend server, host:port
	Capacity sizer.Resources
	Labels   []string

	room      room
	received  map[string]uint64          // starts received from each entry
	told      map[string]sizer.Resources // room that each entry last heard of
	ledgers   map[pair]*ledger
	below     map[string]uint64 // tickets of the owner below are closed
	lost      map[string]time.Time
	forgotten bool // a watermark was dropped for room
	entries   map[string]bool
	turns     []string        // the entries, in the order in which they hear of room
	awaiting  map[string]bool // entries to which this agent is not announced yet
	leaving   bool
	held      bool // no room is told or used, since the backend server may not answer
	runs      map[uint64]*run
	nextRun   uint64
	results   []*mark // done marks, oldest first
	bytes     int
	marks     int
	decided   Decisions
}

// Init prepares the Starter.
func (s *Starter) Init() {
	if s.Settings.KeptBytes == 0 {
		s.Settings.KeptBytes = defaultKeptBytes
	}
	if s.Settings.MaxStartRecords == 0 {
		s.Settings.MaxStartRecords = defaultMaxMarks
	}
	if s.Settings.OwnerRetention == 0 {
		s.Settings.OwnerRetention = defaultOwnerRetention
	}
	s.received = make(map[string]uint64)
	s.told = make(map[string]sizer.Resources)
	s.ledgers = make(map[pair]*ledger)
	s.below = make(map[string]uint64)
	s.lost = make(map[string]time.Time)
	s.entries = make(map[string]bool)
	s.awaiting = make(map[string]bool)
	s.runs = make(map[uint64]*run)
}

// Drain returns and clears what was decided since the last call.
func (s *Starter) Drain() Decisions {
	d := s.decided
	s.decided = Decisions{}
	return d
}

// Running returns the number of tasks that wait or run.
func (s *Starter) Running() int { return len(s.runs) }

// Owners returns the entries with bound tasks that wait or run here.
func (s *Starter) Owners() []string {
	var owners []string
	for _, r := range s.runs {
		if r.bound {
			owners = appendNew(owners, r.Owner)
		}
	}
	return owners
}

// Up notes a new session with an entry. The entry hears of this agent when
// none of its bound tasks of an earlier session runs any more, so that it may
// start them elsewhere then.
func (s *Starter) Up(entry string) {
	if !s.entries[entry] {
		s.turns = append(s.turns, entry)
	}
	s.entries[entry] = true
	delete(s.lost, entry)
	delete(s.received, entry)
	s.awaiting[entry] = true
	s.greet(entry)
}

// greet announces this agent to an entry that waits for it, if it may.
func (s *Starter) greet(entry string) {
	if !s.awaiting[entry] {
		return
	}
	for _, r := range s.runs {
		if r.bound && r.Owner == entry {
			return
		}
	}
	delete(s.awaiting, entry)
	s.announce(entry)
}

func (s *Starter) announce(entry string) {
	s.send(entry, protocol.Message{Announce: &protocol.Announce{
		Capacity: s.Capacity, Labels: s.Labels, Address: s.Address, Draining: s.leaving, Load: s.load(entry),
	}})
}

// Offer changes the capacity, as when the backend server began anew, and tells
// the entries. What ran there before has to be finished by the caller.
func (s *Starter) Offer(address string, capacity sizer.Resources, labels []string) {
	s.Address, s.Capacity, s.Labels = address, capacity, labels
	s.leaving, s.held = false, false
	for e := range s.entries {
		if !s.awaiting[e] {
			s.announce(e)
		}
	}
}

// AllEntriesLost gives up all entries, as Lost does for one.
func (s *Starter) AllEntriesLost(now time.Time) {
	for e := range s.entries {
		s.EntryLost(now, e)
	}
}

// EntryLost notes that the session with an entry was given up. Its bound tasks are
// stopped.
func (s *Starter) EntryLost(now time.Time, entry string) {
	delete(s.entries, entry)
	s.turns = slices.DeleteFunc(s.turns, func(e string) bool { return e == entry })
	delete(s.received, entry)
	delete(s.told, entry)
	delete(s.awaiting, entry)
	s.lost[entry] = now
	for _, r := range s.runs {
		if r.bound && r.Owner == entry {
			s.stop(r)
		}
	}
	s.admit()
}

// BeginDrain makes the agent refuse every further start and those that wait
// for room, and tells entries.
func (s *Starter) BeginDrain() {
	if s.leaving {
		return
	}
	s.leaving = true
	for _, r := range s.room.clear() {
		s.turnAway(r, protocol.RefusalDraining)
	}
	for e := range s.entries {
		if !s.awaiting[e] {
			s.announce(e)
		}
	}
}

// Receive takes a message from an entry.
func (s *Starter) Receive(from string, m protocol.Message) {
	switch {
	case m.Start != nil:
		s.start(from, m.Start)
	case m.Stop != nil:
		s.stopTasks(from, m.Stop)
	case m.Seal != nil:
		s.seal(from, m.Seal)
	case m.Fetch != nil:
		s.fetch(from, m.Fetch)
	case m.Close != nil:
		s.close(from, m.Close)
	}
}

func (s *Starter) send(to string, m protocol.Message) {
	m.Service = s.Service
	s.decided.Messages = append(s.decided.Messages, Output{to, m})
}
