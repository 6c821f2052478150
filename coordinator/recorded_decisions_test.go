package coordinator

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
	"mustardlever.dev/mustardlever/starter"
)

var recordDecisions = flag.Bool("record-decisions", false, "write testdata/recorded-decisions.txt instead of comparing with it")

const recordedDecisionsPath = "testdata/recorded-decisions.txt"

// recordedSystem is a number of entries and agents on simulated time. Messages arrive
// one millisecond after they were sent. Its log has every message and every end of a job.
type recordedSystem struct {
	rng     *rand.Rand
	step    int // milliseconds
	entries []*Coordinator
	agents  []*starter.Starter
	events  map[int][]func()
	log     []string
	quiet   bool // nothing is added to the log

	observeStart func(c *Coordinator, sequence uint64)
	observeEnd   func(c *Coordinator, e JobEnd)
	duration     func(agent int, estimate int64) int // of a task, in milliseconds
}

// replaySeed changes the arrivals of the replays. The recording is of seed 9.
var replaySeed = flag.Uint64("replay-seed", 9, "seed of the replayed loads")

func newRecordedSystem(entries, agents int, configure func(*Coordinator)) *recordedSystem {
	s := &recordedSystem{
		rng: rand.New(rand.NewPCG(7, *replaySeed)), events: make(map[int][]func()),
		observeStart: func(*Coordinator, uint64) {}, observeEnd: func(*Coordinator, JobEnd) {},
		duration: func(agent int, estimate int64) int { return int(estimate) * (80 + 10*agent) / 100 },
	}
	for i := range entries {
		c := &Coordinator{Self: fmt.Sprintf("entry-%d.1", i), Service: "s", Settings: Settings{UsefulFactor: 3}}
		configure(c)
		c.Init(s.now())
		s.entries = append(s.entries, c)
	}
	for i := range agents {
		s.addAgent(i, sizer.Slots(4+2*(i%3)), s.entries)
	}
	return s
}

func (s *recordedSystem) addAgent(i int, capacity sizer.Resources, entries []*Coordinator) {
	a := &starter.Starter{Self: fmt.Sprintf("agent-%d.1", i), Service: "s", Capacity: capacity}
	a.Init()
	s.agents = append(s.agents, a)
	for _, c := range entries {
		a.EntryConnected(c.Self)
	}
	s.applyAgent(a)
}

func (s *recordedSystem) now() time.Time {
	return testStart.Add(time.Duration(s.step) * time.Millisecond)
}

func (s *recordedSystem) schedule(steps int, event func()) {
	s.events[s.step+steps] = append(s.events[s.step+steps], event)
}

func (s *recordedSystem) appendMessage(lines []string, from, to string, m protocol.Message) []string {
	if s.quiet {
		return lines
	}
	text, _ := json.Marshal(m)
	return append(lines, from+" to "+to+" "+string(text))
}

// record adds lines to the log. Messages sent in one call have no defined order.
func (s *recordedSystem) record(lines []string) {
	if s.quiet {
		return
	}
	slices.Sort(lines)
	for _, l := range lines {
		s.log = append(s.log, fmt.Sprintf("%d %s", s.step, l))
	}
}

func (s *recordedSystem) applyAgent(a *starter.Starter) {
	d := a.TakeDecisions()
	var lines []string
	for _, m := range d.Messages {
		lines = s.appendMessage(lines, a.Self, m.To, m.Message)
		i := slices.IndexFunc(s.entries, func(c *Coordinator) bool { return c.Self == m.To })
		s.schedule(1, func() {
			s.entries[i].Receive(s.now(), a.Self, m.Message)
			s.applyEntry(s.entries[i])
		})
	}
	for _, r := range d.Starts {
		length := s.duration(slices.Index(s.agents, a), r.Request.EstimateMillis)
		s.schedule(length, func() {
			a.Finish(r.ID, &protocol.Result{Status: 200, ServeMicros: int64(length) * 1000})
			s.applyAgent(a)
		})
	}
	slices.SortFunc(d.Stops, func(r, q starter.Run) int { return cmp.Compare(r.ID, q.ID) })
	for _, r := range d.Stops {
		s.schedule(3, func() {
			a.FinishStopped(r.ID, starter.NotLost)
			s.applyAgent(a)
		})
	}
	s.record(lines)
}

func (s *recordedSystem) applyEntry(c *Coordinator) {
	outputs, ends, _ := c.TakeDecisions()
	var lines []string
	// The messages to different agents and the stops of several jobs have no defined order.
	stopped := func(o Output) uint64 {
		if o.Message.Stop == nil {
			return math.MaxUint64
		}
		return o.Message.Stop.Ticket.Sequence
	}
	slices.SortStableFunc(outputs, func(o, p Output) int {
		return cmp.Or(cmp.Compare(o.To, p.To), cmp.Compare(stopped(o), stopped(p)))
	})
	for _, o := range outputs {
		lines = s.appendMessage(lines, c.Self, o.To, o.Message)
		if o.Message.Start != nil {
			s.observeStart(c, o.Message.Start.Ticket.Sequence)
		}
		i := slices.IndexFunc(s.agents, func(a *starter.Starter) bool { return a.Self == o.To })
		s.schedule(1, func() {
			if i < 0 {
				k := slices.IndexFunc(s.entries, func(c *Coordinator) bool { return c.Self == o.To })
				s.entries[k].Receive(s.now(), c.Self, o.Message)
				return
			}
			s.agents[i].Receive(c.Self, o.Message)
			s.applyAgent(s.agents[i])
		})
	}
	for _, e := range ends {
		s.observeEnd(c, e)
		lines = append(lines, fmt.Sprintf("%s ends %d %s %s %d %v", c.Self, e.Sequence, e.Answer.State, e.Answer.Reason, e.Answer.Starts, e.Answer.RetryAfter))
	}
	s.record(lines)
}

// checkJobs applies the time limits to the jobs in the order of their numbers. Tick, which
// does the same in no defined order, then finds nothing to end.
func (s *recordedSystem) checkJobs(c *Coordinator) {
	jobs := slices.SortedFunc(maps.Keys(c.active), func(a, b *job) int { return cmp.Compare(a.key.sequence, b.key.sequence) })
	for _, j := range jobs {
		c.checkJob(s.now(), j)
	}
}

// run submits jobs at a load that changes from half to twice the capacity and back.
func (s *recordedSystem) run(milliseconds int) {
	kinds := []struct {
		tasks    int
		estimate int64
	}{{8, 60}, {4, 900}, {2, 200}, {2, 210}, {3, 190}}
	for ; s.step < milliseconds; s.step++ {
		for _, event := range s.events[s.step] {
			event()
		}
		delete(s.events, s.step)
		phase := s.step * 8 / milliseconds // 0 to 7
		if s.rng.IntN(100) < []int{6, 10, 16, 20, 20, 16, 10, 4}[phase] {
			k := kinds[s.rng.IntN(len(kinds))]
			spec := Job{
				Name: fmt.Sprintf("job-%d", s.step), Restart: RestartPolicy{MaxAttempts: 3, FirstAttempt: 1},
				Due: time.Duration(k.estimate)*time.Millisecond*8/5 + 60*time.Millisecond, Priority: s.rng.IntN(3), DeadlineMillis: 4000,
			}
			for range k.tasks {
				spec.Tasks = append(spec.Tasks, protocol.Request{EstimateMillis: k.estimate, Need: sizer.Resources{CPU: 1400}})
			}
			c := s.entries[min(s.rng.IntN(len(s.entries)+2), len(s.entries)-1)]
			number, a, err := c.RunSync(s.now(), spec)
			s.record([]string{fmt.Sprintf("%s runs %d %v %v", c.Self, number, a != nil, err)})
			s.applyEntry(c)
		}
		for _, c := range s.entries {
			s.checkJobs(c)
			c.Tick(s.now())
			s.applyEntry(c)
		}
		if s.step%20 == 0 {
			for _, a := range s.agents {
				a.SendLoad()
				s.applyAgent(a)
			}
		}
	}
}

// summary returns, for each 100 ms, the number of lines and a hash of them.
func (s *recordedSystem) summary() string {
	var b strings.Builder
	for from := 0; from <= s.step; from += 100 {
		h, n := fnv.New64a(), 0
		for _, l := range s.log {
			var step int
			fmt.Sscan(l, &step)
			if step >= from && step < from+100 {
				fmt.Fprintln(h, l)
				n++
			}
		}
		fmt.Fprintf(&b, "%d ms: %d lines, %016x\n", from, n, h.Sum64())
	}
	return b.String()
}

// Guards against a change of decisions that reaches deployments whose entries do not
// share their demand. The recording was made with the code before demand was shared:
// go test ./coordinator -run TestDecisionsAsRecorded -record-decisions.
func TestDecisionsAsRecorded(t *testing.T) {
	s := newRecordedSystem(4, 6, func(*Coordinator) {})
	s.run(6000)
	if *recordDecisions {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(recordedDecisionsPath, []byte(s.summary()), 0o644))
		return
	}
	recorded, err := os.ReadFile(recordedDecisionsPath)
	require.NoError(t, err)
	require.Equal(t, string(recorded), s.summary())
}
