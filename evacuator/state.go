package evacuator

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// maxZones bounds the zones of a State, and so the size of the message that carries
	// it. A site has a handful of zones.
	maxZones = 256
	// maxZoneBytes is the longest name of a zone. Longer ones are ignored.
	maxZoneBytes = 200
)

// Zone is a statement about a zone: as of the store's version Version it is evacuated,
// or it is not.
type Zone struct {
	Name      string `json:"zone"`
	Version   int64  `json:"version"`
	Evacuated bool   `json:"evacuated,omitempty"`
}

// Report is what one process tells another, or what the store tells a process. If AsOf
// is not 0, Zones lists every zone that was evacuated at the store's version AsOf: a
// zone that is not listed was not evacuated then. With an AsOf of 0, nothing is said
// about other zones.
type Report struct {
	AsOf  int64  `json:"as-of,omitempty"`
	Zones []Zone `json:"zones,omitempty"`
}

// State is what is known of all zones. It is immutable. The zero value, and nil, know
// nothing and have no evacuated zone.
type State struct {
	asOf  int64           // store version of the newest complete report
	zones map[string]Zone // evacuated zones, and others that are newer than asOf
}

// Known reports whether the State has learned anything, be it that no zone is evacuated.
func (s *State) Known() bool { return s != nil && (s.asOf > 0 || len(s.zones) > 0) }

// Evacuated reports whether nothing may be started in the zone.
func (s *State) Evacuated(zone string) bool { return s != nil && s.zones[zone].Evacuated }

// EvacuatedZones returns the names of the evacuated zones, sorted.
func (s *State) EvacuatedZones() []string {
	var names []string
	for _, z := range s.Zones() {
		if z.Evacuated {
			names = append(names, z.Name)
		}
	}
	return names
}

// Zones returns the zones about which there is a statement, sorted by name. Other zones
// are not evacuated.
func (s *State) Zones() []Zone {
	if s == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(s.zones), func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
}

// Report returns the State in the form in which it is passed on.
func (s *State) Report() Report {
	if s == nil {
		return Report{}
	}
	return Report{AsOf: s.asOf, Zones: s.Zones()}
}

// WithReport returns the State that results from merging r into s. Of two statements
// about a zone, the one that holds as of the higher version counts.
func (s *State) WithReport(r Report) *State {
	r = r.wellFormed()
	next := &State{asOf: r.AsOf, zones: make(map[string]Zone)}
	own := Report{}
	if s != nil {
		own = Report{s.asOf, slices.Collect(maps.Values(s.zones))}
		next.asOf = max(s.asOf, r.AsOf)
	}
	mine, theirs := own.byName(), r.byName()
	for _, zones := range []map[string]Zone{mine, theirs} {
		for name := range zones {
			if z := newest(statement(mine, own.AsOf, name), statement(theirs, r.AsOf, name)); z.Evacuated || z.Version > next.asOf {
				next.zones[name] = z
			}
		}
	}
	next.limit()
	return next
}

// wellFormed returns r without zones that no row of the store can name.
func (r Report) wellFormed() Report {
	r.AsOf = max(r.AsOf, 0)
	r.Zones = slices.DeleteFunc(slices.Clone(r.Zones), func(z Zone) bool {
		return z.Name == "" || len(z.Name) > maxZoneBytes || z.Version <= 0
	})
	return r
}

// byName returns the newest statement about each zone of r.
func (r Report) byName() map[string]Zone {
	zones := make(map[string]Zone, len(r.Zones))
	for _, z := range r.Zones {
		if known, ok := zones[z.Name]; !ok || z.Version >= known.Version {
			zones[z.Name] = z
		}
	}
	return zones
}

// datedZone is a zone with the latest version at which the statement is known to hold.
type datedZone struct {
	Zone
	holdsAt int64
}

// statement returns what a report says about a zone. A zone that a complete report does
// not list was not evacuated.
func statement(zones map[string]Zone, asOf int64, name string) datedZone {
	z, ok := zones[name]
	if !ok {
		z = Zone{Name: name, Version: asOf}
	}
	return datedZone{z, max(z.Version, asOf)}
}

// newest returns the statement that holds as of the higher version. Statements that hold
// as of the same version agree unless one of them is malformed; then the order of the
// arguments must not matter.
func newest(a, b datedZone) Zone {
	switch c := cmp.Or(cmp.Compare(a.holdsAt, b.holdsAt), cmp.Compare(a.Version, b.Version)); {
	case c > 0, c == 0 && !a.Evacuated:
		return a.Zone
	}
	return b.Zone
}

// limit removes zones above maxZones: those that are not evacuated, oldest first, then
// the most recently evacuated ones.
func (s *State) limit() {
	if len(s.zones) <= maxZones {
		return
	}
	byValue := slices.SortedFunc(maps.Values(s.zones), func(a, b Zone) int {
		switch {
		case a.Evacuated != b.Evacuated:
			return cmp.Compare(boolToInt(b.Evacuated), boolToInt(a.Evacuated))
		case a.Evacuated:
			return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Name, b.Name))
		}
		return cmp.Or(cmp.Compare(b.Version, a.Version), cmp.Compare(a.Name, b.Name))
	})
	for _, z := range byValue[maxZones:] {
		delete(s.zones, z.Name)
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Corrects reports whether a process that knows no more than r says lacks something that
// s knows: that a zone is evacuated, or that its evacuation was withdrawn.
func (s *State) Corrects(r Report) bool { return s.WithReport(r).tells(new(State).WithReport(r)) }

// tells reports whether other processes may not know what s adds to previous: a zone
// was evacuated, or an evacuation was withdrawn.
func (s *State) tells(previous *State) bool {
	for _, z := range s.Zones() {
		if old, ok := previous.zone(z.Name); !ok || old != z {
			return true
		}
	}
	for _, z := range previous.Zones() {
		if z.Evacuated && !s.Evacuated(z.Name) {
			return true
		}
	}
	return false
}

func (s *State) zone(name string) (Zone, bool) {
	if s == nil {
		return Zone{}, false
	}
	z, ok := s.zones[name]
	return z, ok
}
