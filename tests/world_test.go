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

// The world runs the decision code of entries and agents on a clock of its own
// with a session between each two processes: messages in order, until the
// session is lost. rapid draws what happens next.

const (
	worldEntries = 3
	worldAgents  = 3
	worldSlots   = 2
	worldTasks   = 4
)

type link struct{ from, to string }

// node is an entry or an agent of the world, one incarnation.
type node struct {
	name        string
	coordinator *coordinator.Coordinator // entries
	starter     *starter.Starter         // agents
	runs        map[uint64]starter.Run
	frozen      bool
}

// told is what a caller was told of a job.
type told struct {
	ticket ticketer.Ticket
	asked  []string // entries that hold a submission
	answer []*coordinator.Answer
	errors int
}

type world struct {
	t       *rapid.T
	now     time.Time
	nodes   map[string]*node
	order   []string
	queues  map[link][]protocol.Message
	cut     map[link]bool
	jobs    []*told
	starts  map[string]int
	refused map[string]bool // told not-run
	serial  int
	steps   int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1_000_000, 0), nodes: map[string]*node{}, queues: map[link][]protocol.Message{},
		cut: map[link]bool{}, starts: map[string]int{}, refused: map[string]bool{},
	}
	for i := range worldEntries {
		w.addEntry(fmt.Sprintf("e%d", i))
	}
	for i := range worldAgents {
		w.addAgent(fmt.Sprintf("a%d", i))
	}
	w.settle()
	return w
}

func (w *world) add(n *node) {
	w.serial++
	n.name += "." + strconv.Itoa(w.serial)
	if n.coordinator != nil {
		n.coordinator.Self = n.name
		n.coordinator.Zone = n.name[:2]
		n.coordinator.Service = service
		n.coordinator.Init(w.now)
	} else {
		n.starter.Self = n.name
		n.starter.Capacity = sizer.Slots(worldSlots)
		n.starter.Service = service
		n.starter.Init()
	}
	others := slices.Clone(w.order)
	w.nodes[n.name] = n
	w.order = append(w.order, n.name)
	for _, o := range others {
		w.connect(n.name, o)
	}
}

func (w *world) addEntry(name string) {
	// Short lives, so that expiry and forgetting happen among the other steps.
	w.add(&node{name: name, coordinator: &coordinator.Coordinator{Settings: coordinator.Settings{
		TicketLife: 8 * time.Second, Retention: 3 * time.Second, MaxDeadline: 5 * time.Second,
	}}})
}

func (w *world) addAgent(name string) {
	w.add(&node{name: name, starter: &starter.Starter{}, runs: map[uint64]starter.Run{}})
}

// connect opens a session, where the two roles speak to each other.
func (w *world) connect(a, b string) {
	for _, x := range []link{{a, b}, {b, a}} {
		n, peer := w.nodes[x.from], w.nodes[x.to]
		if n == nil || peer == nil || n.starter != nil && peer.starter != nil {
			return
		}
		w.queues[x] = []protocol.Message{}
	}
	for _, x := range []link{{a, b}, {b, a}} {
		n, peer := w.nodes[x.from], w.nodes[x.to]
		switch {
		case n.starter != nil:
			n.starter.EntryConnected(x.to)
		case peer.coordinator != nil:
			n.coordinator.BackupUp(x.to, peer.coordinator.Zone)
		}
		w.flush(n)
	}
}

// lose gives a session up on both sides.
func (w *world) lose(a, b string) {
	for _, x := range []link{{a, b}, {b, a}} {
		if _, open := w.queues[x]; !open {
			return
		}
		delete(w.queues, x)
	}
	for _, x := range []link{{a, b}, {b, a}} {
		if n := w.nodes[x.from]; n != nil {
			w.lost(n, x.to)
		}
	}
}

func (w *world) lost(n *node, peer string) {
	switch {
	case n.starter != nil:
		n.starter.EntryLost(w.now, peer)
	case peer[0] == 'e':
		n.coordinator.BackupLost(w.now, peer)
	default:
		n.coordinator.AgentLost(w.now, peer)
	}
	w.flush(n)
}

// kill ends a process; a new incarnation takes its place.
func (w *world) kill(name string) {
	n := w.nodes[name]
	for _, o := range slices.Clone(w.order) {
		w.lose(name, o)
	}
	delete(w.nodes, name)
	w.order = slices.DeleteFunc(w.order, func(s string) bool { return s == name })
	if n.coordinator != nil {
		w.addEntry(name[:2])
	} else {
		w.addAgent(name[:2])
	}
}

// flush takes in what a process has decided.
func (w *world) flush(n *node) {
	if n.starter != nil {
		d := n.starter.Drain()
		for _, o := range d.Messages {
			w.post(link{n.name, o.To}, o.Message)
		}
		for _, r := range d.Starts {
			n.runs[r.ID] = r
			w.started(r)
		}
		return
	}
	out, endings, _ := n.coordinator.Drain()
	for _, o := range out {
		w.post(link{n.name, o.To}, o.Message)
	}
	for _, x := range endings {
		w.ended(n, x)
	}
}

func (w *world) post(x link, m protocol.Message) {
	if q, open := w.queues[x]; open {
		w.queues[x] = append(q, m)
	}
}

func taskName(owner string, number uint64, task int) string {
	return fmt.Sprintf("%s/%d/%d", owner, number, task)
}

func (w *world) started(r starter.Run) {
	id := taskName(r.Ticket.Owner, r.Ticket.Sequence, r.Task)
	w.starts[id]++
	if w.starts[id] > 1 {
		w.t.Fatalf("%s was started twice", id)
	}
	if w.refused[id] {
		w.t.Fatalf("%s was started after it was called not-run", id)
	}
}

func (w *world) ended(n *node, x coordinator.JobEnd) {
	for _, j := range w.jobs {
		if j.ticket.Owner != x.Owner || j.ticket.Sequence != x.Sequence || !slices.Contains(j.asked, n.name) {
			continue
		}
		j.asked = slices.DeleteFunc(j.asked, func(s string) bool { return s == n.name })
		if x.Answer == nil {
			w.resubmit(j, j.ticket.Backup, true)
			continue
		}
		w.answered(j, x.Answer)
	}
}

// answered checks an answer against the record of starts.
func (w *world) answered(j *told, a *coordinator.Answer) {
	j.answer = append(j.answer, a)
	if len(a.Tasks) != worldTasks {
		w.t.Fatalf("an answer has %d tasks", len(a.Tasks))
	}
	for i, task := range a.Tasks {
		id := taskName(j.ticket.Owner, j.ticket.Sequence, i)
		switch {
		case task.State == protocol.TaskNotRun:
			w.refused[id] = true
			if w.starts[id] > 0 {
				w.t.Fatalf("%s was called not-run and was started", id)
			}
		case task.State == protocol.TaskRan && w.starts[id] != 1:
			w.t.Fatalf("%s was called ran and was not", id)
		case a.State == coordinator.StateComplete && (task.Result == nil || string(task.Result.Body) != strconv.Quote(id)):
			w.t.Fatalf("%s has another task's result or none", id)
		}
	}
}

// submit takes a ticket at an entry and submits a job there.
func (w *world) submit(entry string) {
	tickets, err := w.nodes[entry].coordinator.Issue(w.now, 1)
	if err != nil {
		return
	}
	j := &told{ticket: tickets[0]}
	w.jobs = append(w.jobs, j)
	w.resubmit(j, entry, false)
}

// resubmit puts the job to an entry, which takes over if it is the witness and
// doubts the owner.
func (w *world) resubmit(j *told, entry string, doubt bool) {
	n := w.nodes[entry]
	if n == nil {
		return
	}
	in := coordinator.Job{Tasks: make([]protocol.Request, worldTasks), Digest: "same"}
	var a *coordinator.Answer
	var err error
	switch {
	case entry == j.ticket.Owner:
		a, err = n.coordinator.Submit(w.now, j.ticket.Ticket, in)
	case entry == j.ticket.Backup && doubt:
		a, err = n.coordinator.TakeOver(w.now, j.ticket.Ticket, in)
	default:
		return
	}
	switch {
	case err != nil:
		j.errors++
	case a != nil:
		w.answered(j, a)
	case !slices.Contains(j.asked, entry):
		j.asked = append(j.asked, entry)
	}
	w.flush(n)
}

// deliver hands over the oldest message of a session; repeat leaves it there.
func (w *world) deliver(x link, repeat bool) {
	q, n := w.queues[x], w.nodes[x.to]
	if len(q) == 0 || n == nil || n.frozen || w.cut[x] {
		return
	}
	m := q[0]
	if !repeat || m.Start == nil {
		w.queues[x] = q[1:]
	}
	m = clone(m)
	if n.starter != nil {
		n.starter.Receive(x.from, m)
	} else {
		n.coordinator.Receive(w.now, x.from, m)
	}
	w.flush(n)
}

// clone copies what receivers change.
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

func (w *world) finish(n *node, id uint64, reached bool) {
	r := n.runs[id]
	delete(n.runs, id)
	task := taskName(r.Ticket.Owner, r.Ticket.Sequence, r.Task)
	if !reached {
		w.starts[task]-- // the backend server refused the connection
		n.starter.Finish(id, nil)
	} else {
		n.starter.Finish(id, &protocol.Result{Status: 200, Body: []byte(strconv.Quote(task)), ServeMicros: 1000})
	}
	w.flush(n)
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, name := range w.order {
		n := w.nodes[name]
		if n.frozen {
			continue
		}
		if n.coordinator != nil {
			n.coordinator.Tick(w.now)
		} else {
			n.starter.Tick(w.now)
			n.starter.SendLoad()
		}
		w.flush(n)
	}
}

// links lists the open sessions in a fixed order.
func (w *world) links() []link {
	list := make([]link, 0, len(w.queues))
	for x := range w.queues {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b link) int {
		if a.from+a.to < b.from+b.to {
			return -1
		}
		return 1
	})
	return list
}

// settle delivers everything and ends every run, several times over.
func (w *world) settle() {
	for range 40 {
		for _, x := range w.links() {
			for len(w.queues[x]) > 0 && !w.cut[x] && !w.nodes[x.to].frozen {
				w.deliver(x, false)
			}
		}
		for _, name := range slices.Clone(w.order) {
			for _, id := range slices.Sorted(maps.Keys(w.nodes[name].runs)) {
				w.finish(w.nodes[name], id, true)
			}
		}
		w.advance(50 * time.Millisecond)
	}
}

// step does one thing that rapid draws.
func (w *world) step() {
	w.steps++
	name := rapid.SampledFrom(w.order).Draw(w.t, "process")
	n := w.nodes[name]
	x := rapid.SampledFrom(w.links()).Draw(w.t, "link")
	switch rapid.IntRange(0, 30).Draw(w.t, "action") {
	case 0, 1:
		if n.coordinator != nil {
			w.submit(name)
		}
	case 2, 3:
		if len(w.jobs) > 0 {
			j := rapid.SampledFrom(w.jobs).Draw(w.t, "job")
			doubt := rapid.IntRange(0, 3).Draw(w.t, "doubt") == 0 || w.nodes[j.ticket.Owner] == nil
			w.resubmit(j, name, doubt)
		}
	case 4:
		if len(w.jobs) > 0 && n.coordinator != nil {
			j := rapid.SampledFrom(w.jobs).Draw(w.t, "job")
			if a, err := n.coordinator.Cancel(w.now, j.ticket.Ticket); err == nil && a != nil {
				w.answered(j, a)
			}
			w.flush(n)
		}
	case 5:
		if rapid.IntRange(0, 3).Draw(w.t, "kill") == 0 {
			w.kill(name)
		}
	case 6:
		n.frozen = !n.frozen
	case 7:
		w.cut[x] = !w.cut[x]
	case 8:
		w.lose(x.from, x.to)
		w.connect(x.from, x.to)
	case 9:
		w.advance(time.Duration(rapid.IntRange(1, 10_000).Draw(w.t, "ms")) * time.Millisecond)
	case 10:
		w.advance(100 * time.Millisecond)
	case 11, 12, 13, 14:
		if len(n.runs) > 0 {
			id := slices.Min(slices.Collect(maps.Keys(n.runs)))
			w.finish(n, id, rapid.IntRange(0, 9).Draw(w.t, "reached") > 0)
		}
	case 15:
		w.deliver(x, true)
	default:
		for range rapid.IntRange(1, 8).Draw(w.t, "messages") {
			w.deliver(x, false)
		}
	}
}

// heal ends all faults and checks that every job whose owner or witness lives
// comes to an answer.
func (w *world) heal() {
	clear(w.cut)
	for _, n := range w.nodes {
		n.frozen = false
	}
	w.settle()
	w.advance(25 * time.Second)
	w.settle()
	for _, j := range w.jobs {
		for _, entry := range j.asked {
			if w.nodes[entry] != nil {
				w.t.Fatalf("ticket %d of %s was never answered at %s", j.ticket.Sequence, j.ticket.Owner, entry)
			}
		}
	}
}

func TestPromisesUnderFaults(t *testing.T) {
	steps, jobs, answers, complete := 0, 0, 0, 0
	rapid.Check(t, func(r *rapid.T) {
		w := newWorld(r)
		for range rapid.IntRange(20, 150).Draw(r, "steps") {
			w.step()
		}
		w.heal()
		steps += w.steps
		jobs += len(w.jobs)
		for _, j := range w.jobs {
			answers += len(j.answer)
			for _, a := range j.answer {
				if a.State == coordinator.StateComplete {
					complete++
				}
			}
		}
	})
	t.Logf("%d steps, %d jobs, %d answers, %d of them complete", steps, jobs, answers, complete)
}
