package starter

import (
	"math"
	"slices"
	"time"

	"mustardlever.dev/mustardlever/profiler"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

// Defaults of Settings.
const (
	defaultMaxResultBytes  = 16 << 20 // 16 MiB
	defaultOwnerRetention  = 10 * time.Minute
	defaultMaxStartRecords = 200_000
	maxClosedWatermarks    = 1 << 16 // owners whose watermark is kept
)

// allClosed is the watermark of an owner all of whose tickets are closed.
const allClosed = math.MaxUint64

// Settings are the limits of a Starter. Zero fields take the defaults.
type Settings struct {
	MaxResultBytes  int           // bytes of results retained for backups; default 16 MiB
	MaxStartRecords int           // when this many are kept, further starts are refused; default 200,000
	OwnerRetention  time.Duration // how long the start records of a lost owner are kept; default 10 min
	ReportProfiles  bool          // report what the runs tell of the backend server

	ColdOverage float64 // bound of the load of a cold backend server, as a multiple of its fair share; 0: cold servers are treated as others
	ColdSlack   int     // tasks that are started above that bound in each warm-up
}

// Output is a message to an entry incarnation.
type Output struct {
	To      string
	Message protocol.Message
}

// Run is a task to execute. Its ID is passed to Finish or FinishStopped when it
// ends. Attempt increases with each start of the task.
type Run struct {
	ID        uint64
	Requester string // entry incarnation that requested the start
	Ticket    protocol.Ticket
	Task      int
	Attempt   int
	Request   protocol.Request

	RequiredLabel string          // label that the backend server must have; empty: any
	Used          sizer.Resources // by this and all other running tasks when it starts
}

// Decisions are the pending decisions of a Starter: messages to send, tasks to
// start and runs to stop. A stopped run has to be finished too, by FinishStopped
// or Finish.
type Decisions struct {
	Messages []Output
	Starts   []Run
	Stops    []Run
}

// acceptedRun is a run whose start was accepted: it is queued, running or being
// stopped. It counts towards the committed capacity until it is finished.
type acceptedRun struct {
	Run
	key           tableKey
	record        *startRecord
	need          sizer.Resources
	sessionBound  bool
	stopping      bool
	serverRanOn   bool // RetractLoss was called before FinishStopped
	lossConfirmed bool // ConfirmLoss was called before FinishStopped

	serverIncarnation uint64        // of the backend server, when the run was accepted
	expected          time.Duration // on a server of average speed; zero: unknown
}

// Starter decides which tasks one agent incarnation starts on one backend server
// of one service. Set the exported fields before Init. A Starter is not safe for
// concurrent use.
type Starter struct {
	Settings Settings
	Self     string // agent incarnation
	Service  string
	Address  string // backend server, host:port
	Capacity sizer.Resources
	Labels   []string

	admission        admissionQueue
	division         division
	receivedStarts   map[string]uint64          // number of starts received in the session with each entry
	reportedFree     map[string]sizer.Resources // free capacity last reported to each entry
	reportedCold     map[string]bool            // entries whose last report was that the backend server is cold
	tables           map[tableKey]*recordTable
	closedBelow      map[string]uint64    // by owner: tickets with lower numbers are closed
	lostAt           map[string]time.Time // by entry: when its session was closed as lost
	watermarkDropped bool                 // a watermark was dropped to keep within maxClosedWatermarks
	entries          map[string]bool      // entries with a session
	reportOrder      []string             // entries with a session, the next to receive a load report first
	unannounced      map[string]bool      // entries with a session that have not received an Announce yet
	releasing        map[string]bool      // entries whose session will be closed: they get no more capacity
	draining         bool
	unresponsive     bool // the backend server may not answer: no capacity is offered or used
	evacuated        bool // the zone is evacuated: nothing is started
	evacuatedStarts  int  // starts refused for that reason
	load             admittedLoad
	runs             map[uint64]*acceptedRun
	lastRunID        uint64
	reportedLosses   []reportedLoss // oldest first
	retained         []*startRecord // records whose result was retained, oldest first
	resultBytes      int            // of the retained results
	recordCount      int            // start records in all tables
	decisions        Decisions
	profiler         profiler.Profiler
	reportedProfiles map[string]profiler.Profile // last reported to each entry
}

// Init prepares the Starter.
func (s *Starter) Init() {
	if s.Settings.MaxResultBytes == 0 {
		s.Settings.MaxResultBytes = defaultMaxResultBytes
	}
	if s.Settings.MaxStartRecords == 0 {
		s.Settings.MaxStartRecords = defaultMaxStartRecords
	}
	if s.Settings.OwnerRetention == 0 {
		s.Settings.OwnerRetention = defaultOwnerRetention
	}
	s.receivedStarts = make(map[string]uint64)
	s.reportedFree = make(map[string]sizer.Resources)
	s.reportedProfiles = make(map[string]profiler.Profile)
	s.tables = make(map[tableKey]*recordTable)
	s.closedBelow = make(map[string]uint64)
	s.lostAt = make(map[string]time.Time)
	s.entries = make(map[string]bool)
	s.unannounced = make(map[string]bool)
	s.releasing = make(map[string]bool)
	s.runs = make(map[uint64]*acceptedRun)
}

// TakeDecisions returns and clears the decisions made since the last call.
func (s *Starter) TakeDecisions() Decisions {
	d := s.decisions
	s.decisions = Decisions{}
	return d
}

// RunCount returns the number of queued and running tasks.
func (s *Starter) RunCount() int { return len(s.runs) }

// EntryConnected records a new session with an entry. The agent is announced to the
// entry once no session-bound task of an earlier session is queued or running: the
// entry may then start these tasks on other agents.
func (s *Starter) EntryConnected(entry string) {
	if !s.entries[entry] {
		s.reportOrder = append(s.reportOrder, entry)
	}
	s.entries[entry] = true
	delete(s.lostAt, entry)
	delete(s.receivedStarts, entry)
	delete(s.releasing, entry)
	s.unannounced[entry] = true
	s.announceIfIdle(entry)
}

// announceIfIdle announces this agent to an entry that has not received an Announce
// yet, if none of its session-bound tasks is queued or running.
func (s *Starter) announceIfIdle(entry string) {
	if !s.unannounced[entry] {
		return
	}
	for _, r := range s.runs {
		if r.sessionBound && r.Requester == entry {
			return
		}
	}
	delete(s.unannounced, entry)
	s.announce(entry)
}

func (s *Starter) announce(entry string) {
	s.send(entry, protocol.Message{Announce: &protocol.Announce{
		Capacity: s.Capacity, Labels: s.Labels, Address: s.Address, Draining: s.draining || s.releasing[entry], Load: s.updateLoad(entry),
	}})
}

// UpdateOffer changes the address, capacity and labels, for example after a restart
// of the backend server, and announces them to the entries. It also ends draining and
// treats the backend server as responsive again. The caller has to finish the runs
// that were started before the restart. Queued tasks whose label the backend server no
// longer has, or which no longer fit at all, are refused.
func (s *Starter) UpdateOffer(address string, capacity sizer.Resources, labels []string) {
	s.Address, s.Capacity, s.Labels = address, capacity, labels
	s.draining, s.unresponsive = false, false
	s.division.withdrawAll()
	for _, r := range s.admission.removeWithoutLabel(labels) {
		s.refuseQueued(r, protocol.RefusalLabel)
	}
	for _, r := range s.admission.removeLargerThan(capacity) {
		s.refuseQueued(r, protocol.RefusalNoCapacity)
	}
	s.startQueued()
	for e := range s.entries {
		if !s.unannounced[e] {
			s.announce(e)
		}
	}
}

// SetCapacity changes the capacity while the backend server runs, and announces it to
// the entries. If it shrinks, running tasks continue, nothing is started until enough
// of them have ended, and queued tasks that no longer fit at all are refused.
func (s *Starter) SetCapacity(capacity sizer.Resources) {
	s.Capacity = capacity
	s.division.withdrawAll()
	for _, r := range s.admission.removeLargerThan(capacity) {
		s.refuseQueued(r, protocol.RefusalNoCapacity)
	}
	s.startQueued()
	for e := range s.entries {
		if !s.unannounced[e] {
			s.announce(e)
		}
	}
}

// AllEntriesLost records the loss of the sessions with all entries, as EntryLost
// does for one.
func (s *Starter) AllEntriesLost(now time.Time) {
	for e := range s.entries {
		s.EntryLost(now, e)
	}
}

// EntryLost records that the session with an entry was closed as lost, and stops
// the entry's session-bound tasks.
func (s *Starter) EntryLost(now time.Time, entry string) {
	delete(s.entries, entry)
	s.reportOrder = slices.DeleteFunc(s.reportOrder, func(e string) bool { return e == entry })
	delete(s.receivedStarts, entry)
	delete(s.reportedFree, entry)
	delete(s.reportedCold, entry)
	delete(s.reportedProfiles, entry)
	delete(s.unannounced, entry)
	delete(s.releasing, entry)
	s.division.remove(entry)
	s.lostAt[entry] = now
	for _, r := range s.runs {
		if r.sessionBound && r.Requester == entry {
			s.stopRun(r)
		}
	}
	s.startQueued()
}

// ReleaseEntry refuses all further starts of an entry and tells it that this agent is
// draining. The session can be closed once HasRunsFrom is false.
func (s *Starter) ReleaseEntry(entry string) {
	if !s.entries[entry] || s.releasing[entry] {
		return
	}
	s.releasing[entry] = true
	s.division.remove(entry)
	s.reportOrder = slices.DeleteFunc(s.reportOrder, func(e string) bool { return e == entry })
	if !s.unannounced[entry] {
		s.announce(entry)
	}
}

// HasRunsFrom reports whether a task that the entry requested is queued or running.
func (s *Starter) HasRunsFrom(entry string) bool {
	for _, r := range s.runs {
		if r.Requester == entry {
			return true
		}
	}
	return false
}

// BeginDrain makes the agent refuse queued tasks and all further starts, and
// announces to the entries that it is draining.
func (s *Starter) BeginDrain() {
	if s.draining {
		return
	}
	s.draining = true
	s.division.withdrawAll()
	for _, r := range s.admission.clear() {
		s.refuseQueued(r, protocol.RefusalDraining)
	}
	for e := range s.entries {
		if !s.unannounced[e] {
			s.announce(e)
		}
	}
}

// Receive handles a message from an entry.
func (s *Starter) Receive(from string, m protocol.Message) {
	switch {
	case m.Start != nil:
		s.handleStart(from, m.Start)
	case m.Backlog != nil:
		s.handleBacklog(from, m.Backlog)
	case m.Stop != nil:
		s.handleStop(from, m.Stop)
	case m.Seal != nil:
		s.handleSeal(from, m.Seal)
	case m.Fetch != nil:
		s.handleFetch(from, m.Fetch)
	case m.Close != nil:
		s.handleClose(from, m.Close)
	}
}

func (s *Starter) send(to string, m protocol.Message) {
	m.Service = s.Service
	s.decisions.Messages = append(s.decisions.Messages, Output{to, m})
}
