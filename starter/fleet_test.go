package starter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
	"mustardlever.dev/mustardlever/starter"
)

const (
	fleetStep = time.Millisecond // a message takes one
	tellEvery = 20               // steps between two reports of room by an agent
	taskCPU   = 2600             // thousandths of a core
)

// fleet replays how several entries share agents, without connections: what is
// sent arrives a step later.
type fleet struct {
	random  *rand.Rand
	step    int
	entries map[string]*dispatcher.Dispatcher[*fleetJob]
	names   []string // of the entries
	agents  map[string]*fleetAgent
	order   []string             // of the agents
	mail    map[int][]func()     // by step
	jobs    map[uint64]*fleetJob // by ticket number

	starts, refused, reports int
}

type fleetJob struct {
	dispatcher.Job[*fleetJob]
	number  uint64
	waiting int // not started
	left    int // not ended
	starts  int
}

type fleetAgent struct {
	starter.Starter
	slowness float64
}

var fleetBegin = time.Unix(1_000_000, 0)

func newFleet(entries, agents int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(1, 2)), entries: map[string]*dispatcher.Dispatcher[*fleetJob]{},
		agents: map[string]*fleetAgent{}, mail: map[int][]func(){}, jobs: map[uint64]*fleetJob{},
	}
	for i := range entries {
		d := new(dispatcher.Dispatcher[*fleetJob])
		d.Init(fleetBegin)
		name := fmt.Sprintf("entry-%d", i)
		f.entries[name], f.names = d, append(f.names, name)
	}
	for i := range agents {
		f.addAgent(fmt.Sprintf("agent-%d", i), i%3)
	}
	return f
}

// addAgent adds a backend server of one of three speeds, the fastest the largest.
func (f *fleet) addAgent(name string, kind int) {
	a := &fleetAgent{slowness: []float64{1 / 0.6, 1, 1 / 1.6}[kind]}
	a.Self, a.Capacity = name, sizer.Resources{CPU: []int{32000, 32000, 48000}[kind]}
	a.Init()
	f.agents[name], f.order = a, append(f.order, name)
	for _, e := range f.names {
		a.Up(e)
		f.entries[e].AddAgent(name, a.Capacity, nil)
		for range 100 {
			f.entries[e].Observe(name, 100*time.Millisecond, time.Duration(a.slowness*float64(100*time.Millisecond)))
		}
	}
	f.carryOut(a)
}

func (f *fleet) now() time.Time { return fleetBegin.Add(time.Duration(f.step) * fleetStep) }

func (f *fleet) after(steps int, do func()) { f.mail[f.step+steps] = append(f.mail[f.step+steps], do) }

// carryOut sends and starts what an agent has decided.
func (f *fleet) carryOut(a *fleetAgent) {
	d := a.Drain()
	for _, m := range d.Messages {
		f.after(1, func() { f.tell(m.To, a.Self, m.Message) })
	}
	for _, r := range d.Starts {
		took := time.Duration(float64(f.jobs[r.Ticket.Sequence].Estimate) * a.slowness)
		f.after(int(took/fleetStep), func() {
			a.Finish(r.ID, &protocol.Result{Status: 200})
			f.carryOut(a)
		})
	}
}

// tell hands a message of an agent to an entry.
func (f *fleet) tell(entry, agent string, m protocol.Message) {
	d := f.entries[entry]
	switch {
	case m.Load != nil:
		f.reports++
		d.Report(agent, *m.Load)
	case m.Announce != nil:
		d.Report(agent, m.Announce.Load)
	case m.Outcome != nil:
		d.Report(agent, m.Outcome.Load)
		d.Ended(agent)
		j := f.jobs[m.Outcome.Ticket.Sequence]
		if m.Outcome.Refusal == "" {
			j.left--
		} else {
			f.refused++
			j.waiting++
			d.Add(&j.Job, j.waiting, j.left)
		}
	}
	f.place(entry)
}

// place has an entry start what it can.
func (f *fleet) place(entry string) {
	for {
		j, name, ok := f.entries[entry].Next(f.now(), nil)
		if !ok {
			return
		}
		f.starts++
		j.Value.waiting--
		j.Value.starts++
		a, m := f.agents[name], protocol.Message{Start: &protocol.Start{
			Agent: name, Ticket: protocol.Ticket{Sequence: j.Value.number}, Task: j.Value.starts, SessionBound: true,
			Request: protocol.Request{Need: j.Need},
		}}
		f.after(1, func() {
			a.Receive(entry, m)
			f.carryOut(a)
		})
	}
}

// run lets jobs come: short, long and middle ones in the mix of a court's
// morning, the next after a step with the probability p, and so on.
func (f *fleet) run(length time.Duration, p float64) {
	for end := f.step + int(length/fleetStep); f.step < end; f.step++ {
		for _, do := range f.mail[f.step] {
			do()
		}
		delete(f.mail, f.step)
		for f.random.Float64() < p {
			f.submit()
		}
		for i, name := range f.order {
			if (f.step+i)%tellEvery == 0 {
				f.agents[name].SendLoad()
				f.carryOut(f.agents[name])
			}
		}
	}
}

func (f *fleet) submit() {
	work, tasks := 200*time.Millisecond, 2
	switch x := f.random.Float64(); {
	case x < 0.24:
		work, tasks = 60*time.Millisecond, 8
	case x < 0.28:
		work, tasks = 900*time.Millisecond, 4
	}
	j := &fleetJob{number: uint64(len(f.jobs) + 1), waiting: tasks, left: tasks}
	j.Job = dispatcher.Job[*fleetJob]{
		Value: j, Arrived: f.now(), Due: f.now().Add(work*8/5 + 60*time.Millisecond), Estimate: work, Need: sizer.Resources{CPU: taskCPU},
	}
	f.jobs[j.number] = j
	entry := f.names[f.random.IntN(len(f.names))]
	f.entries[entry].Add(&j.Job, tasks, tasks)
	f.place(entry)
}

// Nine entries place on 54 agents. When an agent tells its room to all of them
// at the same moment, all prefer it and most of their starts are refused: then
// 15% are at the load of an ordinary morning.
func TestEntriesDoNotMeetAtTheSameAgents(t *testing.T) {
	f := newFleet(9, 54)
	f.run(3*time.Second, 0.4)
	t.Logf("%d starts, %d refused, %d reports of room", f.starts, f.refused, f.reports)
	require.Less(t, float64(f.refused), 0.05*float64(f.starts))
	require.LessOrEqual(t, f.reports, 54*50*3)
}
