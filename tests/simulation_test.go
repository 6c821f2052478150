package tests

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
	"mustardlever.dev/mustardlever/starter"
	"mustardlever.dev/mustardlever/ticketer"
)

// The simulation runs the decision code of entries and agents on a simulated
// clock. Each pair of processes, except two agents, has a session, which delivers
// messages in order until it is closed. rapid draws the next step.

const (
	simulationEntries = 3
	simulationAgents  = 3
	simulationSlots   = 2
	simulationTasks   = 4
)

// channel is one direction of a session.
type channel struct{ from, to string }

// node is one incarnation of an entry or an agent.
type node struct {
	name        string
	coordinator *coordinator.Coordinator // entries
	starter     *starter.Starter         // agents
	runs        map[uint64]starter.Run
	paused      bool // receives no messages and no clock ticks
}

// submittedJob is a job with the answers that its callers received.
type submittedJob struct {
	ticket     ticketer.Ticket
	pendingAt  []string // entries with an unanswered submission
	answers    []*coordinator.Answer
	errorCount int
}

type simulation struct {
	t              *rapid.T
	now            time.Time
	nodes          map[string]*node
	names          []string // of nodes, in the order in which they were added
	queues         map[channel][]protocol.Message
	blocked        map[channel]bool
	jobs           []*submittedJob
	starts         map[string]int  // by task
	reportedNotRun map[string]bool // tasks that an answer reported as not-run
	incarnations   int             // number of nodes ever added
	steps          int
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, now: time.Unix(1_000_000, 0), nodes: map[string]*node{}, queues: map[channel][]protocol.Message{},
		blocked: map[channel]bool{}, starts: map[string]int{}, reportedNotRun: map[string]bool{},
	}
	for i := range simulationEntries {
		s.addEntry(fmt.Sprintf("e%d", i))
	}
	for i := range simulationAgents {
		s.addAgent(fmt.Sprintf("a%d", i))
	}
	s.quiesce()
	return s
}

func (s *simulation) add(n *node) {
	s.incarnations++
	n.name += "." + strconv.Itoa(s.incarnations)
	if n.coordinator != nil {
		n.coordinator.Self = n.name
		n.coordinator.Zone = n.name[:2]
		n.coordinator.Service = service
		n.coordinator.Init(s.now)
	} else {
		n.starter.Self = n.name
		n.starter.Capacity = sizer.Slots(simulationSlots)
		n.starter.Service = service
		n.starter.Init()
	}
	earlier := slices.Clone(s.names)
	s.nodes[n.name] = n
	s.names = append(s.names, n.name)
	for _, peer := range earlier {
		s.connect(n.name, peer)
	}
}

func (s *simulation) addEntry(name string) {
	// Short durations, so that expiry and removal happen between the other steps.
	s.add(&node{name: name, coordinator: &coordinator.Coordinator{Settings: coordinator.Settings{
		TicketLife: 8 * time.Second, Retention: 3 * time.Second, MaxDeadline: 5 * time.Second,
	}}})
}

func (s *simulation) addAgent(name string) {
	s.add(&node{name: name, starter: &starter.Starter{}, runs: map[uint64]starter.Run{}})
}

// connect opens a session between two nodes, unless both are agents.
func (s *simulation) connect(a, b string) {
	for _, c := range []channel{{a, b}, {b, a}} {
		n, peer := s.nodes[c.from], s.nodes[c.to]
		if n == nil || peer == nil || n.starter != nil && peer.starter != nil {
			return
		}
		s.queues[c] = []protocol.Message{}
	}
	for _, c := range []channel{{a, b}, {b, a}} {
		n, peer := s.nodes[c.from], s.nodes[c.to]
		switch {
		case n.starter != nil:
			n.starter.EntryConnected(c.to)
		case peer.coordinator != nil:
			n.coordinator.BackupConnected(c.to, peer.coordinator.Zone)
		}
		s.applyDecisions(n)
	}
}

// closeSession closes a session as lost on both sides.
func (s *simulation) closeSession(a, b string) {
	for _, c := range []channel{{a, b}, {b, a}} {
		if _, open := s.queues[c]; !open {
			return
		}
		delete(s.queues, c)
	}
	for _, c := range []channel{{a, b}, {b, a}} {
		if n := s.nodes[c.from]; n != nil {
			s.reportLost(n, c.to)
		}
	}
}

func (s *simulation) reportLost(n *node, peer string) {
	switch {
	case n.starter != nil:
		n.starter.EntryLost(s.now, peer)
	case peer[0] == 'e':
		n.coordinator.BackupLost(s.now, peer)
	default:
		n.coordinator.AgentLost(s.now, peer)
	}
	s.applyDecisions(n)
}

// replace kills a process and starts a new incarnation in its place.
func (s *simulation) replace(name string) {
	n := s.nodes[name]
	for _, peer := range slices.Clone(s.names) {
		s.closeSession(name, peer)
	}
	delete(s.nodes, name)
	s.names = slices.DeleteFunc(s.names, func(other string) bool { return other == name })
	if n.coordinator != nil {
		s.addEntry(name[:2])
	} else {
		s.addAgent(name[:2])
	}
}

// applyDecisions sends the messages and starts the runs that a process has
// decided on, and records the jobs that have ended.
func (s *simulation) applyDecisions(n *node) {
	if n.starter != nil {
		d := n.starter.TakeDecisions()
		for _, o := range d.Messages {
			s.enqueue(channel{n.name, o.To}, o.Message)
		}
		for _, r := range d.Starts {
			n.runs[r.ID] = r
			s.recordStart(r)
		}
		return
	}
	out, ends, _ := n.coordinator.TakeDecisions()
	for _, o := range out {
		s.enqueue(channel{n.name, o.To}, o.Message)
	}
	for _, e := range ends {
		s.recordEnd(n, e)
	}
}

func (s *simulation) enqueue(c channel, m protocol.Message) {
	if q, open := s.queues[c]; open {
		s.queues[c] = append(q, m)
	}
}

func taskName(owner string, number uint64, task int) string {
	return fmt.Sprintf("%s/%d/%d", owner, number, task)
}

func (s *simulation) recordStart(r starter.Run) {
	id := taskName(r.Ticket.Owner, r.Ticket.Sequence, r.Task)
	s.starts[id]++
	if s.starts[id] > 1 {
		s.t.Fatalf("%s was started twice", id)
	}
	if s.reportedNotRun[id] {
		s.t.Fatalf("%s was started after it was reported as not-run", id)
	}
}

func (s *simulation) recordEnd(n *node, e coordinator.JobEnd) {
	for _, j := range s.jobs {
		if j.ticket.Owner != e.Owner || j.ticket.Sequence != e.Sequence || !slices.Contains(j.pendingAt, n.name) {
			continue
		}
		j.pendingAt = slices.DeleteFunc(j.pendingAt, func(entry string) bool { return entry == n.name })
		if e.Answer == nil {
			s.resubmit(j, j.ticket.Backup, true)
			continue
		}
		s.recordAnswer(j, e.Answer)
	}
}

// recordAnswer stores an answer and checks it against the recorded starts.
func (s *simulation) recordAnswer(j *submittedJob, a *coordinator.Answer) {
	j.answers = append(j.answers, a)
	if len(a.Tasks) != simulationTasks {
		s.t.Fatalf("an answer has %d tasks", len(a.Tasks))
	}
	for i, task := range a.Tasks {
		id := taskName(j.ticket.Owner, j.ticket.Sequence, i)
		switch {
		case task.State == protocol.TaskNotRun:
			s.reportedNotRun[id] = true
			if s.starts[id] > 0 {
				s.t.Fatalf("%s was started but reported as not-run", id)
			}
		case task.State == protocol.TaskRan && s.starts[id] != 1:
			s.t.Fatalf("%s was reported as ran but was not started exactly once", id)
		case a.State == coordinator.StateComplete && (task.Result == nil || string(task.Result.Body) != strconv.Quote(id)):
			s.t.Fatalf("%s has no result or the result of another task", id)
		}
	}
}

// submit obtains a ticket from an entry and submits a job to it.
func (s *simulation) submit(entry string) {
	tickets, err := s.nodes[entry].coordinator.Issue(s.now, 1)
	if err != nil {
		return
	}
	j := &submittedJob{ticket: tickets[0]}
	s.jobs = append(s.jobs, j)
	s.resubmit(j, entry, false)
}

// resubmit submits the job to an entry. The backup takes the job over if it
// suspects the owner to be lost.
func (s *simulation) resubmit(j *submittedJob, entry string, suspected bool) {
	n := s.nodes[entry]
	if n == nil {
		return
	}
	job := coordinator.Job{Tasks: make([]protocol.Request, simulationTasks), Digest: "same"}
	var a *coordinator.Answer
	var err error
	switch {
	case entry == j.ticket.Owner:
		a, err = n.coordinator.Submit(s.now, j.ticket.Ticket, job)
	case entry == j.ticket.Backup && suspected:
		a, err = n.coordinator.TakeOver(s.now, j.ticket.Ticket, job)
	default:
		return
	}
	switch {
	case err != nil:
		j.errorCount++
	case a != nil:
		s.recordAnswer(j, a)
	case !slices.Contains(j.pendingAt, entry):
		j.pendingAt = append(j.pendingAt, entry)
	}
	s.applyDecisions(n)
}

// deliver passes the oldest message of a channel to its receiver. If keep is
// set, a start stays in the queue and can be delivered again.
func (s *simulation) deliver(c channel, keep bool) {
	q, n := s.queues[c], s.nodes[c.to]
	if len(q) == 0 || n == nil || n.paused || s.blocked[c] {
		return
	}
	m := q[0]
	if !keep || m.Start == nil {
		s.queues[c] = q[1:]
	}
	m = clone(m)
	if n.starter != nil {
		n.starter.Receive(c.from, m)
	} else {
		n.coordinator.Receive(s.now, c.from, m)
	}
	s.applyDecisions(n)
}

// clone copies the parts of a message that receivers modify.
func clone(m protocol.Message) protocol.Message {
	if m.Start != nil {
		c := *m.Start
		m.Start = &c
	}
	if m.Outcome != nil {
		c := *m.Outcome
		m.Outcome = &c
	}
	return m
}

// finishRun ends a run with a result, or as not started if its agent could not
// connect to the backend server.
func (s *simulation) finishRun(n *node, id uint64, connected bool) {
	r := n.runs[id]
	delete(n.runs, id)
	task := taskName(r.Ticket.Owner, r.Ticket.Sequence, r.Task)
	if !connected {
		s.starts[task]-- // not started: the backend server refused the connection
		n.starter.Finish(id, nil)
	} else {
		n.starter.Finish(id, &protocol.Result{Status: 200, Body: []byte(strconv.Quote(task)), ServeMicros: 1000})
	}
	s.applyDecisions(n)
}

func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, name := range s.names {
		n := s.nodes[name]
		if n.paused {
			continue
		}
		if n.coordinator != nil {
			n.coordinator.Tick(s.now)
		} else {
			n.starter.Tick(s.now)
			n.starter.SendLoad()
		}
		s.applyDecisions(n)
	}
}

// channels lists the open channels in a fixed order, since rapid samples from it.
func (s *simulation) channels() []channel {
	list := make([]channel, 0, len(s.queues))
	for c := range s.queues {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b channel) int {
		if a.from+a.to < b.from+b.to {
			return -1
		}
		return 1
	})
	return list
}

// quiesce repeatedly delivers all messages that are not blocked, finishes all
// runs and advances the clock.
func (s *simulation) quiesce() {
	for range 40 {
		for _, c := range s.channels() {
			for len(s.queues[c]) > 0 && !s.blocked[c] && !s.nodes[c.to].paused {
				s.deliver(c, false)
			}
		}
		for _, name := range slices.Clone(s.names) {
			for _, id := range slices.Sorted(maps.Keys(s.nodes[name].runs)) {
				s.finishRun(s.nodes[name], id, true)
			}
		}
		s.advance(50 * time.Millisecond)
	}
}

// step performs one action that rapid draws.
func (s *simulation) step() {
	s.steps++
	name := rapid.SampledFrom(s.names).Draw(s.t, "process")
	n := s.nodes[name]
	c := rapid.SampledFrom(s.channels()).Draw(s.t, "channel")
	switch rapid.IntRange(0, 30).Draw(s.t, "action") {
	case 0, 1:
		if n.coordinator != nil {
			s.submit(name)
		}
	case 2, 3:
		if len(s.jobs) > 0 {
			j := rapid.SampledFrom(s.jobs).Draw(s.t, "job")
			suspected := rapid.IntRange(0, 3).Draw(s.t, "suspected") == 0 || s.nodes[j.ticket.Owner] == nil
			s.resubmit(j, name, suspected)
		}
	case 4:
		if len(s.jobs) > 0 && n.coordinator != nil {
			j := rapid.SampledFrom(s.jobs).Draw(s.t, "job")
			if a, err := n.coordinator.Cancel(s.now, j.ticket.Ticket); err == nil && a != nil {
				s.recordAnswer(j, a)
			}
			s.applyDecisions(n)
		}
	case 5:
		if rapid.IntRange(0, 3).Draw(s.t, "kill") == 0 {
			s.replace(name)
		}
	case 6:
		n.paused = !n.paused
	case 7:
		s.blocked[c] = !s.blocked[c]
	case 8:
		s.closeSession(c.from, c.to)
		s.connect(c.from, c.to)
	case 9:
		s.advance(time.Duration(rapid.IntRange(1, 10_000).Draw(s.t, "ms")) * time.Millisecond)
	case 10:
		s.advance(100 * time.Millisecond)
	case 11, 12, 13, 14:
		if len(n.runs) > 0 {
			id := slices.Min(slices.Collect(maps.Keys(n.runs)))
			s.finishRun(n, id, rapid.IntRange(0, 9).Draw(s.t, "connected") > 0)
		}
	case 15:
		s.deliver(c, true)
	default:
		for range rapid.IntRange(1, 8).Draw(s.t, "messages") {
			s.deliver(c, false)
		}
	}
}

// endFaults ends all faults and checks that every submission to a live entry is
// answered.
func (s *simulation) endFaults() {
	clear(s.blocked)
	for _, n := range s.nodes {
		n.paused = false
	}
	s.quiesce()
	s.advance(25 * time.Second)
	s.quiesce()
	for _, j := range s.jobs {
		for _, entry := range j.pendingAt {
			if s.nodes[entry] != nil {
				s.t.Fatalf("ticket %d of %s was never answered by %s", j.ticket.Sequence, j.ticket.Owner, entry)
			}
		}
	}
}

// Guards against a task that is started twice, an answer that contradicts the
// starts, and a submission that is never answered. Such failures come from an
// interleaving of kills, pauses, blocked channels, closed sessions, repeated
// starts, takeovers and expiry.
func TestGuaranteesUnderFaults(t *testing.T) {
	steps, jobs, answers, complete := 0, 0, 0, 0
	rapid.Check(t, func(r *rapid.T) {
		s := newSimulation(r)
		for range rapid.IntRange(20, 150).Draw(r, "steps") {
			s.step()
		}
		s.endFaults()
		steps += s.steps
		jobs += len(s.jobs)
		for _, j := range s.jobs {
			answers += len(j.answers)
			for _, a := range j.answers {
				if a.State == coordinator.StateComplete {
					complete++
				}
			}
		}
	})
	t.Logf("%d steps, %d jobs, %d answers, %d of them complete", steps, jobs, answers, complete)
}
