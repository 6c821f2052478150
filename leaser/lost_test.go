package leaser

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startConfirmed returns a fixture with one confirmed run.
func startConfirmed(t *testing.T) *fixture {
	f := newFixture(t)
	f.answer(f.startRun(1, "a"), Answer{ClockMillis: 5001, StartedAt: testStartedAt})
	return f
}

// failCalls leaves all calls without an answer for d.
func (f *fixture) failCalls(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		if f.countCalls(KindRenew) > 0 {
			f.answer(f.takeCall(KindRenew), Answer{Status: StatusNoAnswer})
		}
		f.advance(20 * time.Millisecond)
	}
}

func TestRunIsLostWithItsServer(t *testing.T) {
	t.Run("restart", func(t *testing.T) {
		f := startConfirmed(t)
		f.HandleRestart(f.now, testStartedAt+1)
		f.drain()
		require.Len(t, f.ended, 1)
		require.True(t, f.ended[0].Lost)
	})
	t.Run("restart seen in an answer", func(t *testing.T) {
		f := startConfirmed(t)
		f.answer(f.takeCall(KindRenew), Answer{ClockMillis: 10, StartedAt: testStartedAt + 1})
		require.Len(t, f.ended, 1)
		require.True(t, f.ended[0].Lost)
	})
	t.Run("no answer until the leases have expired", func(t *testing.T) {
		f := startConfirmed(t)
		f.failCalls(time.Second)
		require.Len(t, f.ended, 1)
		require.True(t, f.ended[0].Lost)
	})
}

func TestRunIsNotLostWithItsServer(t *testing.T) {
	t.Run("server leaves as planned", func(t *testing.T) {
		f := startConfirmed(t)
		f.SetDraining(true)
		f.HandleRestart(f.now, testStartedAt+1)
		f.drain()
		require.Len(t, f.ended, 1)
		require.False(t, f.ended[0].Lost)
	})
	t.Run("leases not renewed for the owner", func(t *testing.T) {
		f := newFixture(t)
		f.startOwned(1, "a", "entry")
		for range 60 {
			if f.countCalls(KindRenew) > 0 {
				f.answer(f.takeCall(KindRenew), Answer{ClockMillis: 5001, StartedAt: testStartedAt, Active: []ActiveRun{{"a", 1}}})
			}
			f.advance(20 * time.Millisecond)
		}
		require.Len(t, f.ended, 1)
		require.False(t, f.ended[0].Lost)
	})
	t.Run("unconfirmed start is found running", func(t *testing.T) {
		f := startConfirmed(t)
		f.answer(f.startRun(2, "b"), Answer{Status: StatusNoAnswer})
		f.failCalls(time.Second)
		require.Len(t, f.ended, 1, "the confirmed run")
		f.answer(f.takeCall(KindRenew), Answer{ClockMillis: 7000, StartedAt: testStartedAt, Active: []ActiveRun{{"b", 1}}})
		f.answer(f.takeCall(KindRenew), Answer{ClockMillis: 7010, StartedAt: testStartedAt, Ended: []EndedRun{{Serial: 1, Task: "b", Number: 1, Reason: EndStopped}}})
		require.Len(t, f.ended, 2)
		require.False(t, f.ended[1].Lost)
	})
}
