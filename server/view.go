package server

import (
	"cmp"
	"slices"
	"time"

	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/pausedetector"
	"mustardlever.dev/mustardlever/router"
)

// maxViewedJobs is the maximum number of jobs listed for a service. A list of this
// length takes about 100 KB.
const maxViewedJobs = 200

// ServiceView is the state of a service as shown to operators.
type ServiceView struct {
	Service string             `json:"service"`
	Counts  coordinator.Counts `json:"counts"`
	Agents  []AgentView        `json:"agents"`

	EvacuatedZones []string `json:"evacuated-zones,omitempty"` // known to the entry
}

// AgentView is the state of an agent as known to an entry.
type AgentView struct {
	coordinator.AgentView
	LastContactMillis int64 `json:"heard-ms"` // milliseconds since the last contact; -1: not connected
}

// Services returns the state of all services, sorted by name.
func (e *Entry) Services() []ServiceView {
	var views []ServiceView
	for _, s := range e.sortedShards() {
		s.mu.Lock()
		v := ServiceView{Service: s.service, Counts: s.coordinator.Counts()}
		agents := s.coordinator.Agents(pausedetector.Now())
		v.EvacuatedZones = s.coordinator.Evacuations().EvacuatedZones()
		s.mu.Unlock()
		for _, a := range agents {
			v.Agents = append(v.Agents, AgentView{a, e.hub.MillisSinceContact(a.Agent)})
		}
		views = append(views, v)
	}
	return views
}

// sortedShards returns the shards sorted by service name.
func (e *Entry) sortedShards() []*entryShard {
	list := e.shards.list()
	slices.SortFunc(list, func(a, b *entryShard) int { return cmp.Compare(a.service, b.service) })
	return list
}

// JobsView lists unfinished jobs of a service for operators.
type JobsView struct {
	Service    string                `json:"service"`
	Unfinished int                   `json:"unfinished"`
	Jobs       []coordinator.JobView `json:"jobs"` // at most maxViewedJobs, oldest first
}

// Jobs returns the unfinished jobs of all services, sorted by service name.
func (e *Entry) Jobs() []JobsView {
	var views []JobsView
	for _, s := range e.sortedShards() {
		s.mu.Lock()
		views = append(views, JobsView{s.service, s.coordinator.Counts().Unfinished, s.coordinator.Unfinished(pausedetector.Now(), maxViewedJobs)})
		s.mu.Unlock()
	}
	return views
}

// ConfigurationView describes the current configuration for operators.
type ConfigurationView struct {
	Version   int64            `json:"version"` // 0: no configuration yet
	AgeMillis int64            `json:"age-ms"`  // milliseconds since it was decoded; -1: no configuration yet
	Source    string           `json:"source"`  // "store", or the incarnation of the entry that sent it
	Bytes     int              `json:"bytes"`
	Peers     map[string]int64 `json:"newer-at-peers,omitempty"` // newer versions announced by other entries, by incarnation
	Routes    []router.Route   `json:"routes"`
}

// Configuration returns a description of the current configuration.
func (e *Entry) Configuration() ConfigurationView {
	e.mu.Lock()
	v := ConfigurationView{AgeMillis: -1, Source: e.routesSource}
	e.mu.Unlock()
	t := e.Routes.Table()
	if t == nil {
		return v
	}
	v.Version, v.AgeMillis, v.Bytes, v.Routes = t.Version, time.Since(t.DecodedAt).Milliseconds(), len(t.Document), t.Routes()
	e.mu.Lock()
	v.Peers = e.peerVersions.Newer(t.Version)
	e.mu.Unlock()
	return v
}
