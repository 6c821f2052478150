package canceller_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/canceller"
)

var testTime = time.Unix(1_000_000, 0)

const testMillis = 1_000_000_000

func ExampleCanceller() {
	var here, there canceller.Canceller
	now := time.Unix(1_000_000, 0)
	k, result := here.Add(now, now.UnixMilli(), "5c0e7a21d94b36f8")
	fmt.Println(result == canceller.Added, here.IsCancelled(now, "5c0e7a21d94b36f8"))
	fmt.Println(there.Receive(now, k) == canceller.Added, there.Receive(now, k) == canceller.Known)
	fmt.Println(there.IsCancelled(now.Add(canceller.Lifetime), "5c0e7a21d94b36f8"))
	// Output:
	// true true
	// true true
	// false
}

// A caller that waits for 30 s and submits again after 1.3 s must still meet the tombstone,
// also if that submission is held up for as long as it waits.
func TestTombstoneOutlivesResubmission(t *testing.T) {
	var c canceller.Canceller
	c.Add(testTime, testMillis, "a")
	last := testTime.Add(30*time.Second + 1300*time.Millisecond + 30*time.Second)
	require.True(t, c.IsCancelled(last, "a"))
	require.Zero(t, c.Count(testTime.Add(canceller.Lifetime)))
}

// At the limit no tombstone is dropped before its time, and a cancel that is not kept is
// not reported as in force.
func TestLimitIsReported(t *testing.T) {
	c := canceller.Canceller{Limit: 2}
	for _, name := range []string{"a", "b"} {
		_, result := c.Add(testTime, testMillis, name)
		require.Equal(t, canceller.Added, result)
	}
	_, result := c.Add(testTime, testMillis, "c")
	require.Equal(t, canceller.Full, result)
	require.Equal(t, canceller.Full, c.Receive(testTime, canceller.Cancel{Name: "d", At: testMillis, Remaining: time.Second}))
	require.True(t, c.IsCancelled(testTime, "a"))
	require.False(t, c.IsCancelled(testTime, "c"))
	require.Equal(t, 2, c.Rejected())
	_, result = c.Add(testTime.Add(canceller.Lifetime), testMillis, "c")
	require.Equal(t, canceller.Added, result, "the others have expired")
}

func TestDefaultLimit(t *testing.T) {
	var c canceller.Canceller
	for i := range 40_000 {
		c.Add(testTime, testMillis, strconv.Itoa(i))
	}
	require.Equal(t, 32_768, c.Count(testTime))
}

// Each entry passes a cancel on once; otherwise it would circulate without end.
func TestCancelSpreadsOnce(t *testing.T) {
	entries := make([]canceller.Canceller, 5)
	now := testTime
	messages := 0
	var pass func(from int, k canceller.Cancel)
	pass = func(from int, k canceller.Cancel) {
		for i := range entries {
			if i == from {
				continue
			}
			messages++
			now = now.Add(20 * time.Millisecond)
			if entries[i].Receive(now, k) == canceller.Added {
				pass(i, k)
			}
		}
	}
	k, _ := entries[0].Add(now, testMillis, "a")
	pass(0, k)
	require.Equal(t, 5*4, messages, "one for each peer of each entry")
	second, result := entries[0].Add(now.Add(5*time.Second), testMillis+5000, "a")
	require.Equal(t, canceller.Added, result, "a later cancel renews the tombstones")
	pass(0, second)
	require.Equal(t, 2*5*4, messages)
	for i := range entries {
		require.Equal(t, canceller.Known, entries[i].Receive(now, k), "the first one, which arrives again")
	}
}

// Two entries receive a cancel of the same job at about the same time. Passing on must end.
func TestConcurrentCancelsSettle(t *testing.T) {
	var a, b canceller.Canceller
	first, _ := a.Add(testTime, testMillis, "a")
	second, _ := b.Add(testTime, testMillis+1, "a")
	require.Equal(t, canceller.Added, a.Receive(testTime, second))
	require.Equal(t, canceller.Known, b.Receive(testTime, first))
	require.Equal(t, canceller.Known, b.Receive(testTime, second))
}

func TestRepeatedCancelCostsNoMessage(t *testing.T) {
	var c canceller.Canceller
	first, _ := c.Add(testTime, testMillis, "a")
	_, result := c.Add(testTime.Add(900*time.Millisecond), testMillis, "a")
	require.Equal(t, canceller.Known, result)
	later, result := c.Add(testTime.Add(2*time.Second), testMillis-5000, "a")
	require.Equal(t, canceller.Added, result)
	require.Greater(t, later.At, first.At, "also with a clock that was set back")
}

// An entry that was disconnected learns the rest of a tombstone's life, not a whole one.
func TestLiveTombstonesKeepTheirTime(t *testing.T) {
	var c, reconnected canceller.Canceller
	c.Add(testTime, testMillis, "a")
	c.Add(testTime.Add(time.Second), testMillis, "b")
	now := testTime.Add(canceller.Lifetime - time.Second)
	live := c.Live(now)
	require.Equal(t, []string{"a", "b"}, []string{live[0].Name, live[1].Name})
	for _, k := range live {
		require.Equal(t, canceller.Added, reconnected.Receive(now, k))
	}
	require.False(t, reconnected.IsCancelled(now.Add(time.Second), "a"))
	require.True(t, reconnected.IsCancelled(now.Add(time.Second), "b"))
}

// What another process sends must not stay for longer, nor be larger, than what this one
// keeps of its own.
func TestForeignValuesAreBounded(t *testing.T) {
	var c canceller.Canceller
	require.Equal(t, canceller.Added, c.Receive(testTime, canceller.Cancel{Name: "a", At: testMillis, Remaining: time.Hour}))
	require.False(t, c.IsCancelled(testTime.Add(canceller.Lifetime), "a"))
	require.Equal(t, canceller.Full, c.Receive(testTime, canceller.Cancel{Name: strings.Repeat("x", 65), At: testMillis, Remaining: time.Second}))
	require.Equal(t, canceller.Full, c.Receive(testTime, canceller.Cancel{At: testMillis, Remaining: time.Second}))
	require.Equal(t, canceller.Known, c.Receive(testTime, canceller.Cancel{Name: "b", At: testMillis, Remaining: -time.Second}))
	require.Zero(t, len(c.Live(testTime.Add(canceller.Lifetime))))
}
