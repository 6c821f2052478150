package coordinator

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/estimator"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

// Guards against refusals of jobs that could be served: of one that may start in time, and
// of one for which nothing is known.
func TestRefusalCause(t *testing.T) {
	const ms = time.Millisecond
	for name, test := range map[string]struct {
		prospects
		cause string
	}{
		"nothing known":            {prospects{latestStart: 100 * ms, usefulStart: 400 * ms}, ""},
		"starts in time":           {prospects{100 * ms, 400 * ms, 90 * ms, true, math.MaxInt64, true}, ""},
		"may start in time":        {prospects{100 * ms, 400 * ms, 130 * ms, true, math.MaxInt64, true}, ""},
		"late, with headroom soon": {prospects{100 * ms, 400 * ms, 200 * ms, true, 300 * ms, true}, ""},
		"late, headroom unknown":   {prospects{100 * ms, 400 * ms, 200 * ms, true, 0, false}, ""},
		"late, without headroom":   {prospects{100 * ms, 400 * ms, 200 * ms, true, 500 * ms, true}, causeNoHeadroom},
		"too late to be of use":    {prospects{100 * ms, 400 * ms, 600 * ms, true, 0, false}, causeWorkAhead},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, test.cause, test.refusalCause()) })
	}
}

// Guards against decisions that change although the demand of at most six entries is
// known: entries that exchange demand decide as recorded.
func TestDecisionsOfSixEntriesAreAsRecorded(t *testing.T) {
	s := newRecordedSystem(4, 6, func(c *Coordinator) {
		c.SharesDemand = func() bool { return true }
		c.Settings.DivideCapacity, c.Settings.ShedLoad = true, true
	})
	for _, c := range s.entries {
		c.ConnectedEntries = func() []string {
			var peers []string
			for _, p := range s.entries {
				if p != c {
					peers = append(peers, p.Self)
				}
			}
			return peers
		}
	}
	s.run(6000)
	exchanged := len(s.log)
	s.log = slices.DeleteFunc(s.log, func(line string) bool { return strings.Contains(line, `"demand":[`) })
	require.Less(t, len(s.log), exchanged)
	require.Equal(t, 4, s.entries[0].demand.summary.Entries)
	recorded, err := os.ReadFile(recordedDecisionsPath)
	require.NoError(t, err)
	require.Equal(t, string(recorded), s.summary())
}

// Guards against entries under overload that refuse jobs late, or one of them more than
// others, against jobs that are served late since too many are accepted, and against an
// accepted job less that could have been served. The load is that of ten entries with
// uneven arrivals, at 100, 120 and 150% of the capacity.
func TestDemandOfAllEntriesUnderUnevenLoad(t *testing.T) {
	for _, load := range []float64{0.6, 0.75, 0.9, 1.1} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			before, after := newUnevenSystem(false), newUnevenSystem(true)
			before.advance(7000, before.arrivals(load))
			after.advance(7000, after.arrivals(load))
			b, a := before.result(1500, 5500), after.result(1500, 5500)
			t.Logf("before: %+v", b)
			t.Logf("after:  %+v", a)
			require.LessOrEqual(t, a.late, b.late)
			require.GreaterOrEqual(t, a.worth, b.worth-0.005)
			require.GreaterOrEqual(t, a.workInTime, b.workInTime)
			if a.refused < 0.1 {
				return
			}
			require.LessOrEqual(t, a.heldMedian, 20*time.Millisecond)
			require.GreaterOrEqual(t, a.onArrival, 0.7)
		})
	}
}

// Guards against entries that refuse more of their jobs than others: at most 1.5 times the
// share. The period is long, since an entry with few jobs refuses few in one second.
func TestEntriesRefuseEvenly(t *testing.T) {
	for _, load := range []float64{0.9, 1.1} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			s := newUnevenSystem(true)
			s.advance(18_000, s.arrivals(load))
			r := s.result(2000, 16_000)
			t.Logf("%+v", r)
			require.LessOrEqual(t, slices.Max(r.refusedAt), 1.5*slices.Min(r.refusedAt))
		})
	}
}

// Guards against large jobs that are starved under overload: the largest tenth of each
// kind, and the fifth below, are served at least half as often as the kind.
func TestLargeJobsAreNotStarved(t *testing.T) {
	s := newUnevenSystem(true)
	s.advance(8000, func() {
		for s.rng.Float64() < 0.32 {
			kind := []int{0, 0, 0, 1, 1, 2}[s.rng.IntN(6)]
			tasks, need := unevenKinds[kind].tasks, 1400
			switch x := s.rng.Float64(); {
			case x < 0.1:
				tasks, need = 3*tasks, 2400
			case x < 0.3:
				tasks, need = 2*tasks, 2000
			}
			s.submit(s.rng.IntN(10), kind, tasks, 0, sizer.Resources{CPU: need})
		}
	})
	for kind := range unevenKinds {
		served, all := map[int]float64{}, map[int]float64{}
		for _, j := range s.jobs {
			if at := j.arrived.Sub(testStart); j.kind != kind || at < 2*time.Second || at > 6*time.Second {
				continue
			}
			for _, size := range []int{0, j.tasks / unevenKinds[kind].tasks} { // 0: all sizes
				all[size]++
				if j.completed() {
					served[size]++
				}
			}
		}
		whole := served[0] / all[0]
		t.Logf("kind %d: served %.2f of all, %.2f of the largest tenth, %.2f of the fifth below", kind, whole, served[3]/all[3], served[2]/all[2])
		require.Less(t, whole, 0.9, "not overloaded")
		require.Greater(t, served[3]/all[3], 0.5*whole)
		require.Greater(t, served[2]/all[2], 0.5*whole)
	}
}

// Guards against refusals while capacity is free: much work waits for servers with a label
// that none has, and the little other work is served.
func TestNothingIsShedWhileCapacityIsFree(t *testing.T) {
	s := newUnevenSystem(true)
	arrive := s.arrivals(0.1)
	s.advance(4000, func() {
		arrive()
		if s.step%10 == 0 {
			c := s.entries[s.rng.IntN(10)]
			_, a, err := c.RunSync(s.now(), Job{
				Name: fmt.Sprint("labeled-", s.step), Tasks: make([]protocol.Request, 20), RequiredLabel: "none",
				Restart: RestartPolicy{MaxAttempts: 3, FirstAttempt: 1}, Due: time.Second, DeadlineMillis: 6500,
			})
			require.NoError(t, err)
			require.Nil(t, a)
		}
	})
	require.Greater(t, s.entries[0].demand.summary.Total(3), 100_000.0)
	r := s.result(500, 3000)
	t.Logf("%+v", r)
	require.Zero(t, r.refused)
}

// Guards against refusals of high priority while work of low priority is accepted.
func TestLowPriorityIsShedFirst(t *testing.T) {
	s := newUnevenSystem(true)
	s.advance(7000, func() {
		for s.rng.Float64() < 0.58 {
			s.submit(s.rng.IntN(10), 0, 2, s.rng.IntN(2), sizer.Resources{CPU: 2000})
		}
	})
	var refused, all [2]float64
	for _, j := range s.jobs {
		if at := j.arrived.Sub(testStart); at > 2*time.Second && at < 5500*time.Millisecond {
			all[j.priority]++
			if j.refused() {
				refused[j.priority]++
			}
		}
	}
	t.Logf("refused: %.3f of priority 0, %.3f of priority 1", refused[0]/all[0], refused[1]/all[1])
	require.Greater(t, refused[1]/all[1], 0.1, "not overloaded")
	require.Less(t, refused[0]/all[0], 0.1*refused[1]/all[1])
}

// Guards against shares that are not those asked for, by class and by level.
func TestShedder(t *testing.T) {
	var s shedder
	require.False(t, s.sheds(0, 100, time.Second, 1), "nothing observed")
	for range 1000 {
		s.observe(100*time.Millisecond, 200*time.Millisecond)
	}
	for _, test := range []struct {
		work     float64
		estimate time.Duration
		share    float64
	}{
		{1000, 200 * time.Millisecond, 0.2}, {8000, 200 * time.Millisecond, 0.2}, {100, 200 * time.Millisecond, 0.2},
		{1000, 20 * time.Millisecond, 0.12}, {1000, 450 * time.Millisecond, 0.3}, {1000, 20 * time.Second, 0.4},
	} {
		n := 0
		for range 1000 {
			if s.sheds(0, test.work, test.estimate, 0.2) {
				n++
			}
		}
		require.InDelta(t, test.share, float64(n)/1000, 0.01, "%+v", test)
	}
	overload := estimator.Summary{Entries: 10, Rate: 100_000, Arrivals: [4]float64{60_000, 60_000, 0, 0}}
	require.Zero(t, s.share(&overload, 1), "nothing waits")
	const horizonWork = 0.1 * 100_000 // that starts within the mean horizon
	overload.Work[0] = horizonWork * (sheddingStart + 0.2*sheddingSlope)
	require.InDelta(t, 0.4, s.share(&overload, 1), 0.001, "twice a fifth of all")
	require.Zero(t, s.share(&overload, 0))
	overload.Work[0] = horizonWork * (sheddingStart + 0.8*sheddingSlope)
	require.InDelta(t, 0.6, s.share(&overload, 0), 0.001)
	require.InDelta(t, maxShed, s.share(&overload, 1), 0.001)
	overload.Rate = 0
	require.Zero(t, s.share(&overload, 1), "the rate is not known")
}

// Guards against callers that return by the queue of the entry that refused them, or
// before callers of a higher priority.
func TestRetryAfterIsTheCommonDrainTime(t *testing.T) {
	c := newTestCoordinator()
	c.SharesDemand = func() bool { return true }
	c.Settings.DivideCapacity, c.Settings.ShedLoad = true, true
	for i := range 6 {
		c.Receive(testStart, "entry-0.1", protocol.Message{Demand: []protocol.Demand{
			{Entry: fmt.Sprintf("entry-%d.1", i), Sequence: 1, Work: []int{50_000, 100_000}, Rate: 100_000},
		}})
	}
	c.Tick(testStart)
	for priority, delay := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 1500 * time.Millisecond} {
		require.Equal(t, delay, c.retryAfter(&job{queueItem: dispatcher.Job[*job]{Priority: priority}}))
	}
}

// Guards against an entry that goes on deciding by the demand of others after all of them
// have become silent.
func TestSilentEntriesEndSharing(t *testing.T) {
	c := newTestCoordinator()
	c.SharesDemand = func() bool { return true }
	c.Settings.DivideCapacity, c.Settings.ShedLoad = true, true
	c.Tick(testStart)
	require.False(t, c.sharing)
	var demands []protocol.Demand
	for i := range 6 {
		demands = append(demands, protocol.Demand{Entry: fmt.Sprintf("entry-%d.1", i), Sequence: 1, Work: []int{1_000_000}, Rate: 1})
	}
	c.Receive(testStart, "entry-0.1", protocol.Message{Demand: demands})
	c.Tick(testStart.Add(20 * time.Millisecond))
	require.True(t, c.sharing, "seven entries are known")
	outputs, _, _ := c.TakeDecisions()
	require.True(t, slices.ContainsFunc(outputs, func(o Output) bool { return o.Message.Backlog != nil && o.Message.Backlog.Work == 0 }))
	_, answer, err := c.RunSync(testStart.Add(20*time.Millisecond), syncJob("a"))
	require.NoError(t, err)
	require.Nil(t, answer, "an entry with free capacity accepts whatever others report")
	c.TakeDecisions()
	c.Tick(testStart.Add(estimator.MaxAge))
	require.False(t, c.sharing)
	outputs, _, _ = c.TakeDecisions()
	require.True(t, slices.ContainsFunc(outputs, func(o Output) bool { return o.Message.Backlog != nil && o.Message.Backlog.Work < 0 }))
}
