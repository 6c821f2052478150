package coordinator

import (
	"fmt"
	"math"
	"slices"
	"time"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

// replayedJob is a job of an uneven load.
type replayedJob struct {
	entry, kind int
	tasks       int
	priority    int
	arrived     time.Time
	due         time.Duration
	starts      int
	ended       time.Time
	answer      *Answer
	work        float64
}

// inTime, late and refused are the ways in which a job can end.
func (j *replayedJob) inTime() bool  { return j.completed() && j.ended.Sub(j.arrived) <= j.due }
func (j *replayedJob) refused() bool { return j.answer != nil && j.answer.State != StateComplete }
func (j *replayedJob) completed() bool {
	return j.answer != nil && j.answer.State == StateComplete && j.ended.Sub(j.arrived) <= 3*j.due
}

// unevenSystem is ten entries and 59 agents. An agent is connected to six entries, and an
// entry to six others. One entry gets three times as many jobs as the average, three a
// third.
type unevenSystem struct {
	*recordedSystem
	jobs     []*replayedJob
	byNumber map[*Coordinator]map[uint64]*replayedJob
	weights  []float64
}

func newUnevenSystem(share bool) *unevenSystem {
	s := &unevenSystem{byNumber: map[*Coordinator]map[uint64]*replayedJob{}, weights: []float64{3, 1, 1, 1, 1, 1, 1, 0.33, 0.33, 0.34}}
	s.recordedSystem = newRecordedSystem(10, 0, func(c *Coordinator) {
		if share {
			c.SharesDemand = func() bool { return true }
			c.Settings.DivideCapacity, c.Settings.ShedLoad = true, true
		}
	})
	s.quiet = true
	for i, c := range s.entries {
		var peers []string
		for k := 1; k <= 6; k++ {
			peers = append(peers, s.entries[(i+k)%10].Self)
		}
		c.ConnectedEntries = func() []string { return slices.Clone(peers) }
		s.byNumber[c] = map[uint64]*replayedJob{}
	}
	s.duration = func(agent int, estimate int64) int {
		return int(math.Ceil(float64(estimate) / []float64{0.6, 1, 1.6}[agent%3]))
	}
	s.observeStart = func(c *Coordinator, number uint64) {
		if j := s.byNumber[c][number]; j != nil {
			j.starts++
		}
	}
	s.observeEnd = func(c *Coordinator, e JobEnd) {
		if j := s.byNumber[c][e.Sequence]; j != nil {
			j.ended, j.answer = s.now(), e.Answer
		}
	}
	for i := range 59 {
		var entries []*Coordinator
		for _, k := range s.rng.Perm(10)[:6] {
			entries = append(entries, s.entries[k])
		}
		s.addAgent(i, sizer.Resources{CPU: []int{8000, 12000, 16000}[i%3]}, entries)
		s.learnSpeed(i, entries)
	}
	return s
}

// learnSpeed delivers the agent's announcement, and makes the entries learn its speed.
func (s *unevenSystem) learnSpeed(agent int, entries []*Coordinator) {
	s.advance(2, func() {})
	for _, c := range entries {
		for range 100 {
			c.queue.RecordDuration(s.agents[agent].Self, time.Second, time.Duration(s.duration(agent, 1000))*time.Millisecond)
		}
	}
}

var unevenKinds = []struct {
	tasks    int
	estimate int64
}{{2, 200}, {8, 60}, {4, 900}}

// submit submits a job to an entry.
func (s *unevenSystem) submit(entry, kind, tasks, priority int, need sizer.Resources) {
	k := unevenKinds[kind]
	due := time.Duration(k.estimate)*time.Millisecond*8/5 + 60*time.Millisecond
	j := &replayedJob{entry: entry, kind: kind, tasks: tasks, priority: priority, arrived: s.now(), due: due}
	j.work = float64(tasks*need.CPU) * float64(k.estimate) / 1000
	spec := Job{
		Name: fmt.Sprintf("job-%d", len(s.jobs)), Restart: RestartPolicy{MaxAttempts: 3, FirstAttempt: 1},
		Due: due, Priority: priority, DeadlineMillis: 6500,
	}
	for range tasks {
		spec.Tasks = append(spec.Tasks, protocol.Request{EstimateMillis: k.estimate, Need: need})
	}
	s.jobs = append(s.jobs, j)
	c := s.entries[entry]
	s.byNumber[c][c.nextSequence] = j
	_, a, err := c.RunSync(s.now(), spec)
	if err != nil {
		panic(err)
	}
	if a != nil {
		j.ended, j.answer = s.now(), a
	}
	s.applyEntry(c)
}

// advance runs the system for a number of milliseconds, in each of which arrive is called.
func (s *unevenSystem) advance(milliseconds int, arrive func()) {
	for end := s.step + milliseconds; s.step < end; s.step++ {
		for _, event := range s.events[s.step] {
			event()
		}
		delete(s.events, s.step)
		arrive()
		for i, c := range s.entries {
			if (s.step+2*i)%20 == 0 {
				s.checkJobs(c)
				c.Tick(s.now())
				s.applyEntry(c)
			}
		}
		for i, a := range s.agents {
			if (s.step+i)%20 == 0 {
				a.SendLoad()
				s.applyAgent(a)
			}
		}
	}
}

// arrivals returns a function that submits the mix of kinds, jobsPerMilli jobs in each
// millisecond on average.
func (s *unevenSystem) arrivals(jobsPerMilli float64) func() {
	return func() {
		for s.rng.Float64() < jobsPerMilli/(1+jobsPerMilli) {
			kind := 0
			switch x := s.rng.Float64(); {
			case x < 0.24:
				kind = 1
			case x < 0.28:
				kind = 2
			}
			need := sizer.Resources{CPU: []int{1400, 2400}[s.rng.IntN(2)]}
			x, entry := s.rng.Float64()*10, 0
			for entry < 9 && x >= s.weights[entry] {
				x -= s.weights[entry]
				entry++
			}
			s.submit(entry, kind, unevenKinds[kind].tasks, 0, need)
		}
	}
}

// unevenResult is what a replay has shown of the jobs that arrived in a period.
type unevenResult struct {
	jobs                  int
	inTime, late, refused float64       // shares of the jobs
	workInTime            float64       // share of the work
	workServed            float64       // share of the work whose jobs ended while the answer was of use
	onArrival             float64       // share of the refused jobs that were refused when they arrived
	heldMedian            time.Duration // until the refusal of a job of which nothing was started
	heldLong              float64       // share of the refused jobs that were held for more than a quarter of their objective, untried
	refusedAt             []float64     // share of the refused jobs, by entry
	worth                 float64       // in time 1, late 0.2
}

func (s *unevenSystem) result(from, to int) unevenResult {
	var r unevenResult
	var held []time.Duration
	perEntry, refusedAt := make([]float64, 10), make([]float64, 10)
	work := 0.0
	for _, j := range s.jobs {
		at := int(j.arrived.Sub(testStart).Milliseconds())
		if at < from || at >= to {
			continue
		}
		r.jobs++
		work += j.work
		perEntry[j.entry]++
		switch {
		case j.inTime():
			r.inTime++
			r.workInTime += j.work
			r.workServed += j.work
		case j.completed():
			r.late++
			r.workServed += j.work
		default:
			r.refused++
			refusedAt[j.entry]++
			if j.ended.Equal(j.arrived) {
				r.onArrival++
			}
			if j.starts == 0 && j.answer != nil {
				h := j.ended.Sub(j.arrived)
				held = append(held, h)
				if h > j.due/4 {
					r.heldLong++
				}
			}
		}
	}
	for i := range refusedAt {
		r.refusedAt = append(r.refusedAt, math.Round(1000*refusedAt[i]/max(perEntry[i], 1))/1000)
	}
	if len(held) > 0 {
		slices.Sort(held)
		r.heldMedian = held[len(held)/2]
	}
	n := float64(r.jobs)
	r.onArrival /= max(r.refused, 1)
	r.heldLong /= max(r.refused, 1)
	r.worth = (r.inTime + 0.2*r.late) / n
	r.inTime, r.late, r.refused, r.workInTime = r.inTime/n, r.late/n, r.refused/n, r.workInTime/work
	r.workServed /= work
	return r
}
