package router_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/router"
)

// A process fetches from a peer only if its own source does not deliver the newer
// version in time; otherwise every change would send the whole configuration over
// the links between processes. If a fetch brings nothing, it asks another peer.
func TestFetchOnlyIfLocalSourceFails(t *testing.T) {
	var v router.PeerVersions
	now := time.Unix(1000, 0)
	v.Update("a", 5)
	v.Update("b", 5)
	require.Empty(t, v.NextFetch(now, 4))
	require.Empty(t, v.NextFetch(now.Add(100*time.Millisecond), 5))

	v.Update("a", 6)
	v.Update("b", 6)
	now = now.Add(time.Second)
	require.Empty(t, v.NextFetch(now, 5))
	first := v.NextFetch(now.Add(300*time.Millisecond), 5)
	require.Contains(t, []string{"a", "b"}, first)
	require.Empty(t, v.NextFetch(now.Add(600*time.Millisecond), 5))
	second := v.NextFetch(now.Add(1100*time.Millisecond), 5)
	require.NotEqual(t, first, second)
	require.NotEmpty(t, second)
	v.Remove("a")
	v.Remove("b")
	require.Empty(t, v.NextFetch(now.Add(5*time.Second), 5))
}

// A process without a configuration cannot serve callers, so it fetches at once.
func TestFetchAtOnceWithoutConfiguration(t *testing.T) {
	var v router.PeerVersions
	v.Update("a", 5)
	require.Equal(t, "a", v.NextFetch(time.Unix(1000, 0), 0))
}

// While the process's own source or a fetch makes progress, a second copy of the
// configuration would only slow it down.
func TestNoSecondFetchWhileOneProceeds(t *testing.T) {
	var v router.PeerVersions
	now := time.Unix(1000, 0)
	v.Update("a", 5)
	v.Update("b", 5)
	require.Empty(t, v.NextFetch(now, 4))
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		v.RecordSourceProgress(now)
		require.Empty(t, v.NextFetch(now, 4))
		require.Empty(t, v.NextFetch(now, 0))
	}
	now = now.Add(300 * time.Millisecond)
	first := v.NextFetch(now, 4)
	require.NotEmpty(t, first)
	for range 50 {
		now = now.Add(600 * time.Millisecond)
		require.Empty(t, v.NextFetch(now, 4))
		v.RecordFetchProgress(now)
	}
	second := v.NextFetch(now.Add(700*time.Millisecond), 4)
	require.NotEmpty(t, second, "a fetch without progress is given up")
	require.NotEqual(t, first, second)
}
