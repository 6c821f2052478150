package server

import (
	"cmp"
	"slices"
	"time"

	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/pausedetector"
	"mustardlever.dev/mustardlever/router"
)

// maxViewedJobs bounds the jobs that are listed of a service: a page of them is
// some 100 KB.
const maxViewedJobs = 200

// ServiceView is what operators see of a service.
type ServiceView struct {
	Service string             `json:"service"`
	Counts  coordinator.Counts `json:"counts"`
	Agents  []AgentView        `json:"agents"`
}

// AgentView is what an entry knows of an agent.
type AgentView struct {
	coordinator.AgentView
	LastContactMs int64 `json:"heard-ms"` // since it was heard last; -1: there is no connection
}

// Services returns what operators see of each service, by name.
func (e *Entry) Services() []ServiceView {
	var views []ServiceView
	for _, s := range e.sorted() {
		s.mu.Lock()
		v := ServiceView{Service: s.service, Counts: s.coordinator.Counts()}
		agents := s.coordinator.Agents(pausedetector.Now())
		s.mu.Unlock()
		for _, a := range agents {
			v.Agents = append(v.Agents, AgentView{a, e.hub.MillisSinceContact(a.Agent)})
		}
		views = append(views, v)
	}
	return views
}

// sorted returns the shards by the names of their services.
func (e *Entry) sorted() []*entryShard {
	list := e.shards.list()
	slices.SortFunc(list, func(a, b *entryShard) int { return cmp.Compare(a.service, b.service) })
	return list
}

// JobsView is what operators see of the unfinished jobs of a service.
type JobsView struct {
	Service    string                `json:"service"`
	Unfinished int                   `json:"unfinished"`
	Jobs       []coordinator.JobView `json:"jobs"` // the oldest ones
}

// Jobs returns the unfinished jobs of each service, by name.
func (e *Entry) Jobs() []JobsView {
	var views []JobsView
	for _, s := range e.sorted() {
		s.mu.Lock()
		views = append(views, JobsView{s.service, s.coordinator.Counts().Unfinished, s.coordinator.Unfinished(pausedetector.Now(), maxViewedJobs)})
		s.mu.Unlock()
	}
	return views
}

// ConfigurationView is what operators see of the configuration in force.
type ConfigurationView struct {
	Version int64            `json:"version"` // 0: none yet
	AgeMs   int64            `json:"age-ms"`  // since it was taken; -1: none yet
	Source  string           `json:"source"`  // "store", or the entry it came from
	Bytes   int              `json:"bytes"`
	Peers   map[string]int64 `json:"newer-at-peers,omitempty"` // versions that other entries told of and that are newer
	Routes  []router.Route   `json:"routes"`
}

// Configuration returns what operators see of the configuration in force.
func (e *Entry) Configuration() ConfigurationView {
	e.mu.Lock()
	v := ConfigurationView{AgeMs: -1, Source: e.routesFrom}
	e.mu.Unlock()
	t := e.Routes.Table()
	if t == nil {
		return v
	}
	v.Version, v.AgeMs, v.Bytes, v.Routes = t.Version, time.Since(t.Taken).Milliseconds(), len(t.Document), t.Routes()
	e.mu.Lock()
	v.Peers = e.offers.Newer(t.Version)
	e.mu.Unlock()
	return v
}
