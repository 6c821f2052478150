// Package router finds the service that a caller's request is for. A Table is
// one version of the configuration's routes; it never changes.
package router

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Route leads from a host and the beginning of a path to a service.
type Route struct {
	Name     string        `json:"name"`
	Host     string        `json:"host"`
	Prefix   string        `json:"prefix"`     // of the path
	Service  string        `json:"service"`    // runs the tasks
	Priority int           `json:"priority"`   // 0 comes first
	Attempts int           `json:"attempts"`   // how often a task may fail; 1 or more
	Stretch  float64       `json:"stretch"`    // how many times its longest chain of tasks a job may take; 0: not stated
	Allowed  time.Duration `json:"allowed-ns"` // how much longer a job may take
	Timeout  time.Duration `json:"timeout-ns"` // of a request; 0: not stated
}

// NextFetch returns the time in which a job whose longest chain of tasks takes chain
// should be done, zero where the route states none.
func (r *Route) Due(chain time.Duration) time.Duration {
	if r.Stretch <= 0 && r.Allowed <= 0 {
		return 0
	}
	return time.Duration(max(r.Stretch, 1)*float64(chain)) + r.Allowed
}

// Table is one version of the routes. The zero value has none.
type Table struct {
	Version  int64
	Document []byte // what the table was read from
	Taken    time.Time

	byHost map[string][]Route // longest prefix first
}

// NewTable returns the table of a version.
func NewTable(version int64, routes []Route) *Table {
	t := &Table{Version: version, byHost: make(map[string][]Route)}
	for _, r := range routes {
		host := normal(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// WithDocument returns the table with what it was read from and when.
func (t *Table) WithDocument(document []byte, taken time.Time) *Table {
	c := *t
	c.Document, c.Taken = document, taken
	return &c
}

// Routes returns the routes by host, the longest prefix of each host first.
func (t *Table) Routes() []Route {
	var routes []Route
	for _, host := range slices.Sorted(maps.Keys(t.byHost)) {
		routes = append(routes, t.byHost[host]...)
	}
	return routes
}

// normal is a host name without its port, in lower case.
func normal(host string) string {
	host, _, _ = strings.Cut(host, ":")
	return strings.ToLower(host)
}

// Find returns the route with the longest prefix of path, and the rest of the
// path, nil when there is none.
func (t *Table) Find(host, path string) (*Route, string) {
	list := t.byHost[normal(host)]
	for i := range list {
		if rest, ok := strings.CutPrefix(path, list[i].Prefix); ok {
			return &list[i], rest
		}
	}
	return nil, ""
}
