// Package router finds the service for a caller's request, by host and path. A
// Table is one version of the routes in the configuration and is immutable.
package router

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Route maps a host and a path prefix to a service.
type Route struct {
	Name        string        `json:"name"`
	Host        string        `json:"host"`
	Prefix      string        `json:"prefix"`     // of the path; the longest match wins
	Service     string        `json:"service"`    // runs the tasks
	Priority    int           `json:"priority"`   // lower numbers come first; 0 is the highest priority
	MaxAttempts int           `json:"attempts"`   // number of failures after which a task is not restarted; 1 or more
	Stretch     float64       `json:"stretch"`    // duration that a job may take, as a multiple of its critical path; 0: not specified
	Allowance   time.Duration `json:"allowed-ns"` // time that a job may take beyond Stretch times its critical path
	Timeout     time.Duration `json:"timeout-ns"` // of a request; 0: not specified
}

// Due returns the time from submission in which a job should complete, 0 if the
// route specifies none. The critical path is the expected duration of the job's
// longest chain of dependent tasks. A Stretch below 1 counts as 1.
func (r *Route) Due(criticalPath time.Duration) time.Duration {
	if r.Stretch <= 0 && r.Allowance <= 0 {
		return 0
	}
	return time.Duration(max(r.Stretch, 1)*float64(criticalPath)) + r.Allowance
}

// Table is one version of the routes. The zero value has no routes.
type Table struct {
	Version   int64
	Document  []byte    // encoded configuration that the table was decoded from
	DecodedAt time.Time // time at which Document was decoded

	byHost map[string][]Route // longest prefix first
}

// NewTable returns the table of the routes of a version, without a document.
func NewTable(version int64, routes []Route) *Table {
	t := &Table{Version: version, byHost: make(map[string][]Route)}
	for _, r := range routes {
		host := normalizeHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, hostRoutes := range t.byHost {
		slices.SortStableFunc(hostRoutes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// WithDocument returns a copy of the table with the document that it was decoded
// from and the time of decoding.
func (t *Table) WithDocument(document []byte, decodedAt time.Time) *Table {
	c := *t
	c.Document, c.DecodedAt = document, decodedAt
	return &c
}

// Routes returns the routes in the order of their hosts. For each host, longer
// path prefixes come first.
func (t *Table) Routes() []Route {
	var routes []Route
	for _, host := range slices.Sorted(maps.Keys(t.byHost)) {
		routes = append(routes, t.byHost[host]...)
	}
	return routes
}

// normalizeHost returns the host name without its port, in lower case.
func normalizeHost(host string) string {
	host, _, _ = strings.Cut(host, ":")
	return strings.ToLower(host)
}

// Find returns the route of the host with the longest prefix of path, and the rest
// of the path. The route is nil if none matches.
func (t *Table) Find(host, path string) (*Route, string) {
	routes := t.byHost[normalizeHost(host)]
	for i := range routes {
		if rest, ok := strings.CutPrefix(path, routes[i].Prefix); ok {
			return &routes[i], rest
		}
	}
	return nil, ""
}
