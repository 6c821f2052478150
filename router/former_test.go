package router_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/router"
)

// A job of a removed route is found by its path as long as it may be unfinished. A path that
// never had a route is not.
func TestFormerRoutesAreRemembered(t *testing.T) {
	f := router.Former{Retention: time.Minute}
	now := time.Unix(1000, 0)
	first := router.NewTable(1, []router.Route{{Host: "Desk.example", Prefix: "/a/"}, {Host: "desk.example", Prefix: "/b/"}})
	f.Replace(now, nil, first)
	f.Replace(now, first, router.NewTable(2, []router.Route{{Host: "desk.example", Prefix: "/b/", Service: "another"}}))
	require.True(t, f.Matches(now, "desk.example:80", "/a/5c0e", "5c0e"))
	require.False(t, f.Matches(now, "desk.example", "/b/5c0e", "5c0e"), "the route has only moved")
	require.False(t, f.Matches(now, "other.example", "/a/5c0e", "5c0e"))
	require.False(t, f.Matches(now, "desk.example", "/c/5c0e", "5c0e"))
	require.False(t, f.Matches(now, "desk.example", "/a/x/5c0e", "5c0e"))
	require.False(t, f.Matches(now.Add(time.Minute), "desk.example", "/a/5c0e", "5c0e"))
}

func TestFormerRoutesAreBounded(t *testing.T) {
	f := router.Former{Retention: time.Minute}
	now := time.Unix(1000, 0)
	var routes []router.Route
	for i := range 2000 {
		routes = append(routes, router.Route{Host: "h", Prefix: "/" + strconv.Itoa(i) + "/"})
	}
	f.Replace(now, router.NewTable(1, routes), router.NewTable(2, nil))
	f.Replace(now, router.NewTable(2, routes[:1]), router.NewTable(3, nil))
	found := 0
	for i := range 2000 {
		if f.Matches(now, "h", "/"+strconv.Itoa(i)+"/x", "x") {
			found++
		}
	}
	require.LessOrEqual(t, found, 1024)
	require.True(t, f.Matches(now, "h", "/0/x", "x"), "the newest is kept")
}
