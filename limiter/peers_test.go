package limiter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against one source that takes all links of a process.
func TestOneSourceGetsHalfOfTheLinks(t *testing.T) {
	p := peers{limit: 5}
	for range 3 {
		require.True(t, p.add("a"))
	}
	require.False(t, p.add("a"))
	require.True(t, p.add("b"))
	require.True(t, p.add("c"))
	require.False(t, p.add("d"), "all links are in use")
	p.remove("a")
	require.True(t, p.add("d"))
	for _, source := range []string{"a", "a", "b", "c", "d"} {
		p.remove(source)
	}
	require.Zero(t, p.count)
	require.Empty(t, p.bySource)
}

// Guards against a large frame that waits for more memory than there is, and against one
// that waits for a connection that has ended.
func TestAllowanceAwait(t *testing.T) {
	a := Allowance{Limit: 10}
	require.Equal(t, int64(10), a.Await(nil, 25))
	done := make(chan struct{})
	close(done)
	require.Zero(t, a.Await(done, 1))
	a.Release(10)
	require.Equal(t, int64(1), a.Await(done, 1))
	a.Release(1)
	require.Zero(t, a.Used())
}
