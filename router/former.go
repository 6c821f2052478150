package router

import (
	"strings"
	"time"
)

// maxFormerRoutes bounds the removed routes that are remembered; beyond that the oldest are
// forgotten.
const maxFormerRoutes = 1024

// Former remembers routes that were removed from the configuration: jobs that were accepted
// under them may be unfinished. The zero value remembers none. It is not safe for concurrent
// use.
type Former struct {
	Retention time.Duration // how long a removed route is remembered

	routes []formerRoute // oldest first
}

type formerRoute struct {
	host, prefix string
	removedAt    time.Time
}

// Replace records the routes of the earlier table, which may be nil, that the later one does
// not have at the same host and prefix.
func (f *Former) Replace(now time.Time, earlier, later *Table) {
	f.expire(now)
	if earlier == nil {
		return
	}
	for host, routes := range earlier.byHost {
		kept := make(map[string]bool)
		for _, r := range later.byHost[host] {
			kept[r.Prefix] = true
		}
		for _, r := range routes {
			if !kept[r.Prefix] {
				f.routes = append(f.routes, formerRoute{host, r.Prefix, now})
			}
		}
	}
	f.routes = f.routes[max(len(f.routes)-maxFormerRoutes, 0):]
}

// Matches reports whether path is that of a removed route followed by rest.
func (f *Former) Matches(now time.Time, host, path, rest string) bool {
	f.expire(now)
	host = normalizeHost(host)
	prefix, ok := strings.CutSuffix(path, rest)
	for _, r := range f.routes {
		if ok && r.host == host && r.prefix == prefix {
			return true
		}
	}
	return false
}

func (f *Former) expire(now time.Time) {
	for len(f.routes) > 0 && now.Sub(f.routes[0].removedAt) >= f.Retention {
		f.routes = f.routes[1:]
	}
}
