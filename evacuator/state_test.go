package evacuator_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/evacuator"
)

func ExampleState_WithReport() {
	var s *evacuator.State
	s = s.WithReport(evacuator.Report{AsOf: 10, Zones: []evacuator.Zone{{Name: "east", Version: 7, Evacuated: true}}})
	fmt.Println(s.EvacuatedZones())
	s = s.WithReport(evacuator.Report{Zones: []evacuator.Zone{{Name: "east", Version: 12}, {Name: "west", Version: 11, Evacuated: true}}})
	fmt.Println(s.EvacuatedZones())
	s = s.WithReport(evacuator.Report{AsOf: 10, Zones: []evacuator.Zone{{Name: "east", Version: 7, Evacuated: true}}}) // of a peer that was frozen
	fmt.Println(s.EvacuatedZones())
	// Output:
	// [east]
	// [west]
	// [west]
}

// history is a sequence of changes of a store, of which each has the next version.
type history []evacuator.Zone

func newHistory(r *rand.Rand, length int) history {
	evacuated := make(map[string]bool)
	var h history
	for version := 1; version <= length; version++ {
		name := fmt.Sprintf("zone-%d", r.IntN(3))
		evacuated[name] = !evacuated[name]
		h = append(h, evacuator.Zone{Name: name, Version: int64(version), Evacuated: evacuated[name]})
	}
	return h
}

// at returns the evacuated zones as of a version, with the versions of their rows.
func (h history) at(version int64) []evacuator.Zone {
	rows := make(map[string]evacuator.Zone)
	for _, z := range h[:version] {
		rows[z.Name] = z
	}
	var zones []evacuator.Zone
	for _, z := range rows {
		if z.Evacuated {
			zones = append(zones, z)
		}
	}
	slices.SortFunc(zones, func(a, b evacuator.Zone) int { return strings.Compare(a.Name, b.Name) })
	return zones
}

// TestMergeFollowsVersions guards against a state that depends on the order in which
// reports arrive, or on who passes them on: several processes that read the store at
// different versions, or follow its changes, and exchange their states in any order, all
// end in the newest state of each zone.
func TestMergeFollowsVersions(t *testing.T) {
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 1))
		h := newHistory(r, 1+r.IntN(12))
		last := int64(len(h))
		processes := make([]*evacuator.State, 4)
		for range 20 {
			i := r.IntN(len(processes))
			switch r.IntN(3) {
			case 0:
				version := 1 + r.Int64N(last)
				processes[i] = processes[i].WithReport(evacuator.Report{AsOf: version, Zones: h.at(version)})
			case 1: // a change on its own, which may be old
				processes[i] = processes[i].WithReport(evacuator.Report{Zones: []evacuator.Zone{h[r.IntN(len(h))]}})
			default:
				processes[i] = processes[i].WithReport(processes[r.IntN(len(processes))].Report())
			}
		}
		complete := evacuator.Report{AsOf: last, Zones: h.at(last)}
		processes[0] = processes[0].WithReport(complete)
		for i := range processes {
			merged := processes[i].WithReport(processes[0].Report())
			require.Equal(t, complete, merged.Report(), "seed %d", seed)
			require.Equal(t, merged.Report(), processes[0].WithReport(processes[i].Report()).Report(), "seed %d: the order matters", seed)
			require.Equal(t, merged.Report(), merged.WithReport(merged.Report()).Report(), "seed %d: a repetition matters", seed)
		}
	}
}

// TestWithdrawnAndRequestedAgain guards against a zone that is used because the
// withdrawal arrives after the second request, or stays out of use because the first
// request arrives last.
func TestWithdrawnAndRequestedAgain(t *testing.T) {
	changes := []evacuator.Zone{{Name: "a", Version: 5, Evacuated: true}, {Name: "a", Version: 6}, {Name: "a", Version: 7, Evacuated: true}, {Name: "a", Version: 8}}
	for n := 1; n <= len(changes); n++ {
		for seed := range uint64(50) {
			order := rand.New(rand.NewPCG(seed, 2)).Perm(n)
			var s *evacuator.State
			for _, i := range order {
				s = s.WithReport(evacuator.Report{Zones: []evacuator.Zone{changes[i]}})
			}
			require.Equal(t, changes[n-1].Evacuated, s.Evacuated("a"), "order %v", order)
		}
	}
}

// TestMissingRowWithdraws guards against an evacuation that outlives its row because its
// removal was not seen, as after the store has discarded its history.
func TestMissingRowWithdraws(t *testing.T) {
	var h evacuator.Holder
	h.Merge(evacuator.Report{AsOf: 4, Zones: []evacuator.Zone{{Name: "a", Version: 3, Evacuated: true}}})
	_, after, changed := h.Merge(evacuator.Report{AsOf: 9})
	require.True(t, changed, "peers are told")
	require.False(t, after.Evacuated("a"))
	_, after, changed = h.Merge(evacuator.Report{Zones: []evacuator.Zone{{Name: "a", Version: 3, Evacuated: true}}})
	require.False(t, changed)
	require.False(t, after.Evacuated("a"), "the row of version 3 was removed before version 9")
	_, after, _ = h.Merge(evacuator.Report{Zones: []evacuator.Zone{{Name: "a", Version: 10, Evacuated: true}}})
	require.True(t, after.Evacuated("a"))
}

// TestCorrects guards against a process that stays unaware of a change, and against two
// that send each other the same for ever.
func TestCorrects(t *testing.T) {
	requested := evacuator.Report{AsOf: 4, Zones: []evacuator.Zone{{Name: "a", Version: 3, Evacuated: true}}}
	var unaware, s *evacuator.State
	require.False(t, unaware.Corrects(requested))
	require.False(t, unaware.WithReport(requested).Corrects(requested))
	require.True(t, s.WithReport(evacuator.Report{AsOf: 9}).WithReport(requested).Corrects(requested), "the evacuation was withdrawn")
	require.True(t, s.WithReport(requested).Corrects(evacuator.Report{AsOf: 2}))
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 3))
		h := newHistory(r, 8)
		a, b := s, s
		for range 6 {
			version := 1 + r.Int64N(8)
			a = a.WithReport(evacuator.Report{AsOf: version, Zones: h.at(version)})
			b = b.WithReport(evacuator.Report{Zones: []evacuator.Zone{h[r.IntN(8)]}})
		}
		merged := b.WithReport(a.Report())
		require.False(t, merged.Corrects(a.WithReport(merged.Report()).Report()), "seed %d: both know the same", seed)
	}
}

// TestIncompleteReportWithdrawsNothing guards against a truncated read that is taken for
// the removal of the rows that it lacks.
func TestIncompleteReportWithdrawsNothing(t *testing.T) {
	var s *evacuator.State
	s = s.WithReport(evacuator.Report{AsOf: 4, Zones: []evacuator.Zone{{Name: "a", Version: 3, Evacuated: true}}})
	s = s.WithReport(evacuator.Report{Zones: []evacuator.Zone{{Name: "b", Version: 8, Evacuated: true}}})
	require.Equal(t, []string{"a", "b"}, s.EvacuatedZones())
}

// TestStateIsBounded guards against a state, and messages, that grow with the number of
// zones that were ever named, and against evacuations that give way to withdrawn ones.
func TestStateIsBounded(t *testing.T) {
	var s *evacuator.State
	s = s.WithReport(evacuator.Report{Zones: []evacuator.Zone{{Name: "kept", Version: 1, Evacuated: true}}})
	for i := range 2000 {
		s = s.WithReport(evacuator.Report{Zones: []evacuator.Zone{{Name: fmt.Sprint(i), Version: int64(i + 2)}}})
	}
	require.True(t, s.Evacuated("kept"))
	require.LessOrEqual(t, len(s.Zones()), 256)
	s = s.WithReport(evacuator.Report{Zones: []evacuator.Zone{{Name: strings.Repeat("x", 1000), Version: 9999, Evacuated: true}, {Version: 9999, Evacuated: true}}})
	require.Equal(t, []string{"kept"}, s.EvacuatedZones(), "malformed names are ignored")
}

// TestZeroValue guards against a process that refuses work, or panics, because it has
// learned nothing yet.
func TestZeroValue(t *testing.T) {
	var h evacuator.Holder
	require.False(t, h.State().Known())
	require.False(t, h.State().Evacuated("a"))
	require.Empty(t, h.State().EvacuatedZones())
	require.Equal(t, evacuator.Report{}, h.State().Report())
	_, after, changed := h.Merge(evacuator.Report{AsOf: 3})
	require.False(t, changed, "that no zone is evacuated is no news")
	require.True(t, after.Known())
}
