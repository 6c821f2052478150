package router_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/router"
)

func ExampleTable_Find() {
	t := router.NewTable(7, []router.Route{
		{Name: "all", Host: "desk.example", Prefix: "/", Service: "general"},
		{Name: "checks", Host: "Desk.example", Prefix: "/checks/", Service: "fast"},
	})
	r, rest := t.Find("desk.example:8161", "/checks/0123456789abcdef")
	fmt.Println(r.Service, rest)
	r, rest = t.Find("desk.example", "/other")
	fmt.Println(r.Service, rest)
	r, _ = t.Find("other.example", "/checks/")
	fmt.Println(r)
	// Output:
	// fast 0123456789abcdef
	// general other
	// <nil>
}

// A configuration that arrives late must not replace a newer one.
func TestHolderKeepsNewestVersion(t *testing.T) {
	var h router.Holder
	require.Nil(t, h.Table())
	require.True(t, h.Adopt(router.NewTable(5, nil)))
	require.False(t, h.Adopt(router.NewTable(4, nil)))
	require.False(t, h.Adopt(router.NewTable(5, nil)))
	require.True(t, h.Adopt(router.NewTable(9, nil)))
	require.Equal(t, int64(9), h.Version())
}

// A request that arrives before the first configuration waits for it instead of
// failing, but not longer than its context allows.
func TestAwaitFirstTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h router.Holder
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		go func() {
			time.Sleep(20 * time.Millisecond)
			h.Adopt(router.NewTable(5, nil))
			h.Adopt(router.NewTable(6, nil))
		}()
		startTime := time.Now()
		require.NotNil(t, h.Await(ctx))
		require.Equal(t, 20*time.Millisecond, time.Since(startTime))
		require.Equal(t, int64(6), h.Await(ctx).Version)

		var empty router.Holder
		require.Nil(t, empty.Await(ctx))
		require.Equal(t, time.Second, time.Since(startTime))
	})
}

func TestDue(t *testing.T) {
	r := router.Route{Stretch: 1.6, Allowance: 60 * time.Millisecond}
	require.Equal(t, 220*time.Millisecond, r.Due(100*time.Millisecond))
	require.Zero(t, (&router.Route{}).Due(time.Second))
}
