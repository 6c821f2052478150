package router_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/router"
)

// A process whose own source brings the version in time asks nobody; one whose
// source is away asks one peer after the other.
func TestOffersAskOnlyWhenTheOwnSourceIsAway(t *testing.T) {
	var o router.PeerVersions
	now := time.Unix(1000, 0)
	o.Update("a", 5)
	o.Update("b", 5)
	require.Empty(t, o.NextFetch(now, 4))
	require.Empty(t, o.NextFetch(now.Add(100*time.Millisecond), 5))

	o.Update("a", 6)
	o.Update("b", 6)
	now = now.Add(time.Second)
	require.Empty(t, o.NextFetch(now, 5))
	first := o.NextFetch(now.Add(300*time.Millisecond), 5)
	require.Contains(t, []string{"a", "b"}, first)
	require.Empty(t, o.NextFetch(now.Add(600*time.Millisecond), 5))
	second := o.NextFetch(now.Add(1100*time.Millisecond), 5)
	require.NotEqual(t, first, second)
	require.NotEmpty(t, second)
	o.Remove("a")
	o.Remove("b")
	require.Empty(t, o.NextFetch(now.Add(5*time.Second), 5))
}

func TestOffersAskAtOnceWithoutAnyVersion(t *testing.T) {
	var o router.PeerVersions
	o.Update("a", 5)
	require.Equal(t, "a", o.NextFetch(time.Unix(1000, 0), 0))
}
