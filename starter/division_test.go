package starter_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
	"mustardlever.dev/mustardlever/starter"
)

// backlog returns the backlog that an entry sends to an agent with a start.
func (s *simulation) backlog(entry, agent string) *protocol.Backlog {
	if !s.sharesBacklog {
		return nil
	}
	return s.entries[entry].BacklogForStart(s.now(), agent)
}

// tickEntry does what an entry does at intervals.
func (s *simulation) tickEntry(entry string) {
	if s.refusesLate {
		s.entries[entry].Tick(s.now())
		for _, j := range s.jobs {
			if j.entry == entry && !j.refused && j.starts == 0 && s.now().After(j.Arrived.Add(3*j.Due.Sub(j.Arrived)-j.Estimate)) {
				j.refused = true
				s.entries[entry].Remove(&j.Job)
			}
		}
	}
	if s.sharesBacklog {
		s.entries[entry].ReportBacklog(s.now(), func(agent string, b protocol.Backlog) {
			s.backlogReports++
			s.schedule(1, func() {
				s.agents[agent].Receive(entry, protocol.Message{Backlog: &b})
				s.applyDecisions(s.agents[agent])
			})
		})
	}
}

// unevenLoad is what a replay of an uneven load has shown.
type unevenLoad struct {
	starts, refusedStarts int
	late, refused         float64   // shares of the jobs that ended late, and that were refused
	workInTime            float64   // share of the work of all jobs whose jobs ended in time
	refusedAt             []float64 // share of the refused jobs, by entry
	messages              int       // load reports to entries and backlog reports to agents
}

// replayUneven replays 5 s at ten entries on 59 agents, each of which is connected to
// six entries. One entry gets three times as many jobs as the average, three a third.
func replayUneven(sharesBacklog bool, arrivalProbability float64) unevenLoad {
	s := newSimulation(10, 0)
	s.sharesBacklog, s.perAgent, s.refusesLate = sharesBacklog, 6, true
	s.capacities, s.needs = []int{8000, 12000, 16000}, []int{1400, 2400}
	for i := range 59 {
		s.addAgent(fmt.Sprintf("agent-%d", i), i%3)
	}
	weights := []float64{3, 1, 1, 1, 1, 1, 1, 0.33, 0.33, 0.34}
	s.chooseEntry = func() string {
		x := s.rng.Float64() * 10
		for i, w := range weights {
			if x < w {
				return s.entryNames[i]
			}
			x -= w
		}
		return s.entryNames[0]
	}
	s.run(5*time.Second, arrivalProbability)
	return s.evaluate()
}

// work returns the work of all tasks of the job, in thousandths of a core times seconds.
func (j *simulatedJob) work() float64 {
	return float64(j.tasks*j.Need.CPU) * j.Estimate.Seconds()
}

// evaluate counts the jobs that arrived early enough to have ended.
func (s *simulation) evaluate() unevenLoad {
	r := unevenLoad{starts: s.starts, refusedStarts: s.refusals, messages: s.reports + s.backlogReports}
	jobs, refused, late, sum, work := make([]float64, len(s.entryNames)), make([]float64, len(s.entryNames)), 0.0, 0.0, 0.0
	for _, j := range s.jobs {
		if j.Due.After(s.now().Add(-time.Second)) {
			continue
		}
		i := slices.Index(s.entryNames, j.entry)
		sum++
		jobs[i]++
		work += j.work()
		switch {
		case j.refused:
			refused[i]++
			r.refused++
		case j.endedAt.IsZero() || j.endedAt.After(j.Due):
			late++
		default:
			r.workInTime += j.work()
		}
	}
	for i := range jobs {
		r.refusedAt = append(r.refusedAt, math.Round(1000*refused[i]/max(jobs[i], 1))/1000)
	}
	r.late, r.refused, r.workInTime = late/sum, r.refused/sum, r.workInTime/work
	return r
}

// Guards against collisions of ten entries whose load is uneven, and against queues that
// stay longer at one entry than at others: without shared backlogs 7 to 14% of the starts
// are refused, and the share of refused jobs differs by a factor of ten. More than 1% of
// the starts must not be refused. No more jobs may end late, and more must end in time.
func TestCapacityIsDividedByBacklog(t *testing.T) {
	for _, probability := range []float64{0.3, 0.4, 0.48} {
		before, after := replayUneven(false, probability), replayUneven(true, probability)
		t.Logf("arrivals %v, before: %+v", probability, before)
		t.Logf("arrivals %v, after: %+v", probability, after)
		require.Less(t, float64(after.refusedStarts), 0.01*float64(after.starts))
		require.Less(t, after.late, before.late+0.01)
		require.LessOrEqual(t, after.refused+after.late, before.refused+before.late+0.01)
		if after.refused > 0.1 {
			require.Less(t, slices.Max(after.refusedAt), 3*slices.Min(after.refusedAt))
		}
	}
}

const (
	entryA = "entry-a.1"
	entryB = "entry-b.1"
)

// sharedAgent is a Starter with four cores and sessions with two entries that share their
// demand.
type sharedAgent struct {
	*starter.Starter
	reported map[string]int // free CPU last reported to each entry, in cores
}

func newSharedAgent() sharedAgent {
	s := sharedAgent{&starter.Starter{Self: "agent.1", Service: "s", Capacity: sizer.Slots(4)}, map[string]int{}}
	s.Init()
	for _, e := range []string{entryA, entryB} {
		s.EntryConnected(e)
	}
	s.report(entryA, 0)
	s.report(entryB, 0)
	s.tick(3) // one entry learns of the division at a time
	return s
}

// report reports a backlog of one-core tasks.
func (s sharedAgent) report(entry string, work int) {
	s.Receive(entry, protocol.Message{Backlog: &protocol.Backlog{Work: work, Need: sizer.Slots(1)}})
	s.update()
}

// start sends a start of a one-core task with a backlog, without one if work is negative,
// and returns the run.
func (s sharedAgent) start(entry string, sequence uint64, work int) []starter.Run {
	m := &protocol.Start{Agent: s.Self, Ticket: protocol.Ticket{Sequence: sequence}, SessionBound: true, Request: protocol.Request{Need: sizer.Slots(1)}}
	if work >= 0 {
		m.Backlog = &protocol.Backlog{Work: work, Need: sizer.Slots(1)}
	}
	s.Receive(entry, protocol.Message{Start: m})
	return s.update()
}

func (s sharedAgent) tick(times int) {
	for range times {
		s.SendLoad()
		s.update()
	}
}

// update applies the reports among the pending messages, and returns the pending starts.
func (s sharedAgent) update() []starter.Run {
	d := s.TakeDecisions()
	for _, m := range d.Messages {
		switch {
		case m.Message.Announce != nil:
			s.reported[m.To] = m.Message.Announce.Load.Free.CPU / 1000
		case m.Message.Load != nil:
			s.reported[m.To] = m.Message.Load.Free.CPU / 1000
		case m.Message.Outcome != nil:
			s.reported[m.To] = m.Message.Outcome.Load.Free.CPU / 1000
		}
	}
	return d.Starts
}

// Guards against the same free capacity being offered to two entries with a backlog, and
// against an offer that is never used and never withdrawn.
func TestFreeCapacityIsOfferedToOneEntryOnly(t *testing.T) {
	s := newSharedAgent()
	s.report(entryA, 1000)
	s.report(entryB, 1000)
	s.tick(1)
	require.Equal(t, 4, s.reported[entryA]+s.reported[entryB])
	s.start(entryA, 1, 1000)
	s.tick(1)
	require.Equal(t, 3, s.reported[entryA]+s.reported[entryB])
	s.start(entryB, 1, 1000)
	for range 20 {
		s.tick(1)
		s.report(entryB, 1000)
		require.LessOrEqual(t, s.reported[entryA]+s.reported[entryB], 2)
		if s.reported[entryB] > 0 {
			return
		}
	}
	require.Fail(t, "the capacity that one entry does not use is not offered to the other")
}

// Guards against capacity that is kept for an entry whose waiting tasks need other servers,
// while an entry without a backlog learns of none.
func TestBacklogThatCannotUseTheAgentKeepsNoCapacity(t *testing.T) {
	s := newSharedAgent()
	s.report(entryA, 1000)
	started := 0
	for i := range uint64(300) {
		s.tick(1)
		s.report(entryA, 1000)
		if s.reported[entryB] == 0 {
			continue
		}
		started++
		for _, r := range s.start(entryB, i, 0) {
			s.Finish(r.ID, &protocol.Result{Status: 200})
			s.update()
		}
	}
	require.Greater(t, started, 200)
}

// Guards against an entry that gets capacity because its tasks end there, not because
// its backlog is large: freed capacity goes to the entry that has had less for it.
func TestFreedCapacityFollowsBacklog(t *testing.T) {
	s := newSharedAgent()
	backlogs, starts, running := map[string]int{entryA: 300, entryB: 3000}, map[string]int{}, []starter.Run{}
	s.report(entryA, backlogs[entryA])
	for i := range 4 {
		running = append(running, s.start(entryA, uint64(i), backlogs[entryA])...)
	}
	s.report(entryB, backlogs[entryB])
	for i := range uint64(110) {
		s.Finish(running[0].ID, &protocol.Result{Status: 200})
		s.update()
		running = running[1:]
		for entry, work := range backlogs {
			if s.reported[entry] > 0 {
				starts[entry]++
				running = append(running, s.start(entry, 100+i, work)...)
			}
		}
	}
	t.Log(starts)
	require.InDelta(t, 10, starts[entryA], 5)
	require.InDelta(t, 100, starts[entryB], 5)
}

// Guards against idle entries that keep free capacity from one with a backlog.
func TestCapacityOfferedWithoutBacklogIsReclaimed(t *testing.T) {
	s := newSharedAgent()
	for i := range uint64(4) {
		s.report(entryB, 500)
		require.Positive(t, s.reported[entryB])
		s.start(entryB, i, 500)
	}
	require.Equal(t, 4, s.RunCount())
}

// Guards against an entry of an earlier release, or one that knows of fewer entries, that
// gets nothing while others report a backlog: all are then told of all free capacity.
func TestNothingIsDividedUnlessAllEntriesShareDemand(t *testing.T) {
	for name, end := range map[string]func(s sharedAgent){
		"sharing ends":          func(s sharedAgent) { s.report(entryB, -1) },
		"start without backlog": func(s sharedAgent) { s.start(entryB, 1, -1) },
		"new entry":             func(s sharedAgent) { s.EntryConnected("entry-c.1") },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSharedAgent()
			s.report(entryA, 1000)
			s.tick(1)
			end(s)
			s.Finish(1, &protocol.Result{Status: 200})
			s.report(entryA, 1000)
			s.tick(10)
			require.Equal(t, 4, s.reported[entryA])
			require.Equal(t, 4, s.reported[entryB])
		})
	}
}

// Guards against an offer of a backend server that has just answered again that lapses
// before its entry can use it, and against an offer while the server is unresponsive.
func TestOfferAfterUnresponsiveness(t *testing.T) {
	s := newSharedAgent()
	for i := range 4 {
		s.EntryConnected(fmt.Sprintf("idle-%d.1", i))
		s.report(fmt.Sprintf("idle-%d.1", i), 0)
	}
	s.SetUnresponsive(true)
	s.update()
	s.report(entryB, 1000)
	s.tick(5)
	require.Zero(t, s.reported[entryA]+s.reported[entryB])
	s.report(entryB, 1000)
	s.SetUnresponsive(false)
	s.update()
	require.Equal(t, 4, s.reported[entryB])
	s.tick(1)
	require.Equal(t, 4, s.reported[entryB])
}

// Guards against the offer of a lost entry that is not offered to others.
func TestOfferEndsWithSession(t *testing.T) {
	for name, end := range map[string]func(s sharedAgent){
		"lost":     func(s sharedAgent) { s.EntryLost(simulationStart, entryA) },
		"released": func(s sharedAgent) { s.ReleaseEntry(entryA) },
		"released, and sends a start": func(s sharedAgent) {
			s.ReleaseEntry(entryA)
			s.start(entryA, 1, 1000)
			s.report(entryA, 1000)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSharedAgent()
			s.report(entryA, 1000)
			end(s)
			s.report(entryB, 1000)
			s.tick(1)
			require.Equal(t, 4, s.reported[entryB])
		})
	}
}
