package estimator_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/estimator"
)

var start = time.Unix(1_000_000, 0)

// ExampleTable shows two entries that exchange their demand.
func ExampleTable() {
	a, b := estimator.Table{Self: "a.1"}, estimator.Table{Self: "b.1"}
	a.SetOwn(start, estimator.Demand{Work: []int{2000}, Rate: 4000})
	b.SetOwn(start, estimator.Demand{Work: []int{1000}, Rate: 2000})
	b.Merge(start, "a.1", a.Share(start))
	s := b.Summarize(start)
	wait, known := s.Start(0, estimator.Own{Ahead: 1000, Total: 1000, Rate: 2000}, 0)
	fmt.Println(s.Entries, s.Total(0), wait, known)
	// Output: 2 3000 500ms true
}

// gossip is a number of entries, each connected to six others, that exchange demand.
type gossip struct {
	now     time.Time
	tables  []*estimator.Table
	peers   [][]string
	byName  map[string]*estimator.Table
	silent  map[string]bool // neither send nor receive
	sent    int             // messages
	largest int             // message, in bytes
}

func newGossip(entries int) *gossip {
	g := &gossip{now: start, byName: map[string]*estimator.Table{}, silent: map[string]bool{}}
	rng := rand.New(rand.NewPCG(3, 4))
	for i := range entries {
		t := &estimator.Table{Self: fmt.Sprintf("entry-%03d.0123456789abcdef", i)}
		g.tables, g.byName[t.Self] = append(g.tables, t), t
	}
	g.peers = make([][]string, entries)
	for i := range entries {
		for _, k := range rng.Perm(entries)[:min(7, entries)] {
			if k != i && len(g.peers[i]) < 6 {
				g.peers[i] = append(g.peers[i], g.tables[k].Self)
				g.peers[k] = append(g.peers[k], g.tables[i].Self) // a session serves both ways
			}
		}
	}
	return g
}

func (g *gossip) run(duration time.Duration) {
	for end := g.now.Add(duration); g.now.Before(end); g.now = g.now.Add(20 * time.Millisecond) {
		for i, t := range g.tables {
			if g.silent[t.Self] || !t.Due(g.now) {
				continue
			}
			t.SetOwn(g.now, estimator.Demand{Work: []int{100_000, 200_000, 0, 0}, Jobs: []int{100, 100, 0, 0}, Arrivals: []int{300_000, 0, 0, 0}, Rate: 300_000, Refused: 10, Used: 950})
			for _, peer := range t.Recipients(g.peers[i]) {
				m := t.Share(g.now)
				text, _ := json.Marshal(m)
				g.sent++
				g.largest = max(g.largest, len(text))
				if !g.silent[peer] {
					g.byName[peer].Merge(g.now, t.Self, m)
				}
			}
		}
	}
}

// Guards against entries that stay unknown through six connections each, and against a
// cost that grows with the number of entries.
func TestAllEntriesAreKnownAtConstantCost(t *testing.T) {
	for _, entries := range []int{8, 10, 35, 140} {
		g := newGossip(entries)
		g.run(5 * time.Second)
		least, oldest := entries, time.Duration(0)
		for _, table := range g.tables {
			s := table.Summarize(g.now)
			least, oldest = min(least, s.Entries), max(oldest, s.OldestAge)
		}
		perSecond := float64(g.sent) / float64(entries) / 5
		t.Logf("%d entries: at least %d known, oldest demand %v, %.0f messages a second of at most %d bytes", entries, least, oldest, perSecond, g.largest)
		require.LessOrEqual(t, perSecond, 20.5)
		require.LessOrEqual(t, g.largest, 1024)
		if entries <= 35 {
			require.Equal(t, entries, least)
			require.Less(t, oldest, estimator.MaxAge)
		} else {
			require.Greater(t, least, entries/3, "the known ones are a sample")
		}
	}
}

// Guards against the demand of a frozen or lost entry that others pass on for ever, and
// against an entry that decides by old demand after it was cut off.
func TestDemandOfSilentEntryExpires(t *testing.T) {
	g := newGossip(10)
	g.run(2 * time.Second)
	silent := g.tables[3]
	g.silent[silent.Self] = true
	g.run(estimator.MaxAge + 500*time.Millisecond)
	for _, table := range g.tables {
		if table != silent {
			require.Equal(t, 9, table.Summarize(g.now).Entries)
		}
	}
	require.Equal(t, 1, silent.Summarize(g.now).Entries)
	g.silent[silent.Self] = false
	g.run(time.Second)
	for _, table := range g.tables {
		require.Equal(t, 10, table.Summarize(g.now).Entries)
	}
}

// Guards against figures outside of plausible bounds that decide.
func TestImplausibleDemandIsIgnored(t *testing.T) {
	valid := estimator.Demand{Entry: "b.1", Sequence: 1, Work: []int{1000}, Rate: 1000}
	for name, change := range map[string]func(*estimator.Demand){
		"no entry":          func(d *estimator.Demand) { d.Entry = "" },
		"long entry":        func(d *estimator.Demand) { d.Entry = string(make([]byte, 300)) },
		"negative work":     func(d *estimator.Demand) { d.Work = []int{-1} },
		"too much work":     func(d *estimator.Demand) { d.Work = []int{1 << 50} },
		"too many levels":   func(d *estimator.Demand) { d.Work = make([]int, 5) },
		"too many arrivals": func(d *estimator.Demand) { d.Arrivals = make([]int, 100) },
		"negative rate":     func(d *estimator.Demand) { d.Rate = -5 },
		"more than all":     func(d *estimator.Demand) { d.Used = 1001 },
		"negative age":      func(d *estimator.Demand) { d.AgeMillis = -1 },
		"expired":           func(d *estimator.Demand) { d.AgeMillis = estimator.MaxAge.Milliseconds() },
	} {
		t.Run(name, func(t *testing.T) {
			table := estimator.Table{Self: "a.1"}
			d := valid
			change(&d)
			table.Merge(start, "c.1", []estimator.Demand{d})
			require.Equal(t, 1, table.Summarize(start).Entries)
			require.EqualValues(t, 1, table.Ignored())
			table.Merge(start, "c.1", []estimator.Demand{valid})
			require.Equal(t, 2, table.Summarize(start).Entries)
		})
	}
}

// Guards against a peer that reports wrong figures of a third entry with a high sequence
// number, which would hide the right ones, and against figures of this entry from others.
func TestDemandAtFirstHandReplacesOthers(t *testing.T) {
	table := estimator.Table{Self: "a.1"}
	table.SetOwn(start, estimator.Demand{Work: []int{10}})
	table.Merge(start, "c.1", []estimator.Demand{
		{Entry: "b.1", Sequence: 1 << 60, Work: []int{1_000_000}}, {Entry: "a.1", Sequence: 1 << 60, Work: []int{1_000_000}},
	})
	table.Merge(start, "b.1", []estimator.Demand{{Entry: "b.1", Sequence: 7, Work: []int{20}}})
	s := table.Summarize(start)
	require.Equal(t, 30.0, s.Total(0))
	table.Merge(start, "c.1", []estimator.Demand{{Entry: "b.1", Sequence: 6, Work: []int{50}}})
	s = table.Summarize(start)
	require.Equal(t, 30.0, s.Total(0), "older figures")
}

// Guards against memory that grows with the number of names that a faulty peer reports.
func TestKnownEntriesAreBounded(t *testing.T) {
	table := estimator.Table{Self: "a.1"}
	for i := range 5000 {
		table.Merge(start.Add(time.Duration(i)*time.Microsecond), "c.1", []estimator.Demand{{Entry: fmt.Sprintf("x-%d.1", i), Sequence: 1}})
	}
	require.LessOrEqual(t, table.Summarize(start.Add(time.Second)).Entries, 513)
	require.LessOrEqual(t, len(table.Share(start.Add(time.Second))), 6)
	many := make([]estimator.Demand, 1000)
	for i := range many {
		many[i] = estimator.Demand{Entry: fmt.Sprintf("y-%d.1", i), Sequence: 1}
	}
	other := estimator.Table{Self: "a.1"}
	other.Merge(start, "c.1", many)
	require.LessOrEqual(t, other.Summarize(start).Entries, 7)
}
