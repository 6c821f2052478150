package selector

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// group simulates the choices of many processes. Unreachable holds the addresses of
// entries that do not answer.
type group struct {
	processes   []*Selector
	unreachable map[string]bool
	connections []map[string]bool // by process
	now         time.Time
}

func newGroup(entries, processes, limit int) *group {
	g := &group{unreachable: make(map[string]bool), now: time.Unix(0, 0)}
	for i := range processes {
		s := &Selector{Self: fmt.Sprintf("side-zone-%d-%d", i%6, i), Limit: limit}
		for e := range entries {
			s.Add(entryAddress(e))
		}
		g.processes = append(g.processes, s)
		g.connections = append(g.connections, make(map[string]bool))
	}
	return g
}

func entryAddress(i int) string { return fmt.Sprintf("10.%d.0.%d:7720", i%6+1, 13+i) }

// run lets all processes choose and connect every 100 ms for d.
func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(100 * time.Millisecond) {
		for i, s := range g.processes {
			for address := range g.connections[i] {
				if g.unreachable[address] {
					delete(g.connections[i], address)
				}
			}
			chosen := s.Choose(g.now, func(address string) bool { return g.connections[i][address] })
			for _, address := range chosen {
				if !g.unreachable[address] {
					g.connections[i][address] = true
				}
			}
			for _, address := range s.Surplus(g.now) {
				delete(g.connections[i], address)
				s.Release(address)
			}
		}
	}
}

// sessions returns the number of sessions of each entry, ascending.
func (g *group) sessions(entries int) []int {
	counts := make([]int, entries)
	for i := range entries {
		for _, c := range g.connections {
			if c[entryAddress(i)] {
				counts[i]++
			}
		}
	}
	slices.Sort(counts)
	return counts
}

// TestSessionsGrowWithProcessesNotWithTheirProduct connects deployments of several
// sizes. Every process keeps at most the limit of connections, and they are spread
// evenly enough over the entries, whose callers send each as many jobs.
func TestSessionsGrowWithProcessesNotWithTheirProduct(t *testing.T) {
	const limit = 6
	for _, size := range []struct{ entries, agents int }{{4, 11}, {9, 56}, {35, 160}, {24, 770}, {140, 640}} {
		g := newGroup(size.entries, size.agents, limit)
		g.run(time.Second)
		for _, c := range g.connections {
			require.Len(t, c, min(limit, size.entries))
		}
		counts := g.sessions(size.entries)
		mean := size.agents * min(limit, size.entries) / size.entries
		require.Greater(t, 2*counts[0], mean/2, "%v: %v", size, counts)
		require.Less(t, counts[size.entries-1], 2*mean, "%v: %v", size, counts)
	}
}

// TestEntryThatJoinsOrLeavesMovesFewConnections adds one entry and removes it again.
func TestEntryThatJoinsOrLeavesMovesFewConnections(t *testing.T) {
	g := newGroup(35, 160, 6)
	g.run(time.Second)
	before := make([]map[string]bool, len(g.connections))
	for i, c := range g.connections {
		before[i] = make(map[string]bool)
		for address := range c {
			before[i][address] = true
		}
	}
	for _, s := range g.processes {
		s.Add("10.9.0.9:7720")
	}
	g.run(5 * time.Second)
	moved := 0
	for i, c := range g.connections {
		require.Len(t, c, 6)
		for address := range c {
			if !before[i][address] {
				require.Equal(t, "10.9.0.9:7720", address)
				moved++
			}
		}
	}
	require.Less(t, moved, 2*160*6/36)
	require.Positive(t, moved)
	g.unreachable["10.9.0.9:7720"] = true
	g.run(5 * time.Second)
	for i, c := range g.connections {
		for address := range before[i] {
			require.True(t, c[address], "the connections of before are back")
		}
	}
}

// TestUnreachableEntriesAreReplaced loses any third of the entries, all entries of a
// zone, all preferred entries of a process, and all but one entry. Within 5 s, the
// shortest time within which a machine counts as in touch, every process is connected
// to as many entries as there are, up to the limit; afterwards substitutes go.
func TestUnreachableEntriesAreReplaced(t *testing.T) {
	const entries, limit = 35, 6
	losses := map[string]func(i int) bool{
		"first third":  func(i int) bool { return i < entries/3 },
		"second third": func(i int) bool { return i >= entries/3 && i < 2*entries/3 },
		"third third":  func(i int) bool { return i >= 2*entries/3 },
		"a zone":       func(i int) bool { return i%6 == 2 },
		"all but one":  func(i int) bool { return i != 17 },
		"all partners": func(i int) bool {
			g := newGroup(entries, 1, limit)
			return slices.Contains(g.processes[0].Choose(g.now, func(string) bool { return false }), entryAddress(i))
		},
	}
	for name, isLost := range losses {
		g := newGroup(entries, 160, limit)
		g.run(time.Second)
		left := 0
		for i := range entries {
			if isLost(i) {
				g.unreachable[entryAddress(i)] = true
			} else {
				left++
			}
		}
		g.run(5 * time.Second)
		for _, c := range g.connections {
			require.GreaterOrEqual(t, len(c), min(limit, left), name)
		}
		g.unreachable = make(map[string]bool)
		g.run(5 * time.Second)
		for _, c := range g.connections {
			require.Len(t, c, limit, name)
		}
	}
}

// TestDialsAreBounded loses all entries. The number of addresses that a process dials
// at once does not grow with the number of entries, and all are tried in turn.
func TestDialsAreBounded(t *testing.T) {
	s := newGroup(35, 1, 6).processes[0]
	tried := make(map[string]bool)
	now := time.Unix(0, 0)
	for range 80 {
		chosen := s.Choose(now, func(string) bool { return false })
		require.LessOrEqual(t, len(chosen), 12)
		for _, address := range chosen {
			tried[address] = true
		}
		now = now.Add(100 * time.Millisecond)
	}
	require.Len(t, tried, 35)
}

func TestWithoutLimitAllEntriesAreChosen(t *testing.T) {
	g := newGroup(35, 1, 0)
	g.run(time.Second)
	require.Len(t, g.connections[0], 35)
	require.False(t, g.processes[0].Add(entryAddress(3)))
}

// TestDeadAddressesDelayConnectionsLittle gives every process 4 entries and 30
// addresses where none answers, such as those of stale registrations.
func TestDeadAddressesDelayConnectionsLittle(t *testing.T) {
	const entries, processes, dead = 4, 300, 30
	g := newGroup(entries, processes, 6)
	for i := range dead {
		address := fmt.Sprintf("10.99.0.%d:7720", i)
		g.unreachable[address] = true
		for _, s := range g.processes {
			s.Add(address)
		}
	}
	connectedBy := func(n int) int {
		count := 0
		for _, c := range g.connections {
			if len(c) >= n {
				count++
			}
		}
		return count
	}
	g.run(1500 * time.Millisecond)
	require.Equal(t, processes, connectedBy(1))
	g.run(2 * time.Second)
	require.Equal(t, processes, connectedBy(entries))

	// While entries are connected, all other addresses are tried at intervals.
	trials := 0
	dialing := make(map[string]bool)
	for range 100 {
		g.run(100 * time.Millisecond)
		s := g.processes[0]
		for _, c := range s.ranked[s.limit():] {
			if c.chosen && !c.connected && !dialing[c.address] {
				trials++
			}
			dialing[c.address] = c.chosen && !c.connected
		}
	}
	require.LessOrEqual(t, trials, 3*dead, "each is tried every 5 s")
	require.GreaterOrEqual(t, trials, dead-6, "entries that come back are found")
}
