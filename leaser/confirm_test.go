package leaser

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newIdleFixture returns a Leaser whose backend server has had no runs, and got no call, for
// an hour.
func newIdleFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.advance(time.Hour)
	require.Zero(t, f.countCalls(KindRenew))
	return f
}

// withhold requests a start that has to wait, and returns the renewal that it waits for.
func (f *fixture) withhold(id uint64, task string) Call {
	f.Start(f.now, Request{ID: id, Task: task, StartedAt: testStartedAt, Confirm: true})
	f.drain()
	require.Zero(f, f.countCalls(KindStart))
	return f.takeCall(KindRenew)
}

var presentAnswer = Answer{ClockMillis: 9000, StartedAt: testStartedAt}

// An idle backend server may have been replaced under its id without the agent's knowledge.
// Without the confirmation the start would reach the next incarnation.
func TestStartIsWithheldUntilIdleIncarnationIsConfirmed(t *testing.T) {
	f := newIdleFixture(t)
	c := f.withhold(1, "a")
	require.Zero(t, c.Wait)
	f.answer(c, presentAnswer)
	require.Equal(t, "a", f.takeCall(KindStart).Task)
	require.Empty(t, f.ended)
}

func TestWithheldStartDoesNotReachNextIncarnation(t *testing.T) {
	f := newIdleFixture(t)
	f.answer(f.withhold(1, "a"), Answer{ClockMillis: 1, StartedAt: testStartedAt + 1})
	require.Equal(t, []End{{ID: 1}}, f.ended)
	require.False(t, f.Present(testStartedAt))
	require.Zero(t, f.countCalls(KindStart))
}

// A withheld start has its end when the confirmation fails, so that the task is placed
// elsewhere.
func TestWithheldStartEndsWithoutConfirmation(t *testing.T) {
	for _, status := range []Status{StatusNoAnswer, StatusRefused, StatusWrongIncarnation} {
		f := newIdleFixture(t)
		f.answer(f.withhold(1, "a"), Answer{Status: status})
		require.Equal(t, []End{{ID: 1}}, f.ended, status)
		require.Zero(t, f.countCalls(KindStart))
	}
}

// A report confirms the next incarnation while the renewal is in flight. Its answer, or the
// lack of one, is then that of an earlier incarnation and would leave the start without an end.
func TestWithheldStartEndsWhenIncarnationIsReplaced(t *testing.T) {
	f := newIdleFixture(t)
	c := f.withhold(1, "a")
	f.confirmReport(testStartedAt + 1)
	require.Equal(t, []End{{ID: 1}}, f.ended)
	f.answer(c, Answer{Status: StatusNoAnswer})
	require.Len(t, f.ended, 1)
}

func TestRenewalOfWithheldStartIsRepeatedWithHigherToken(t *testing.T) {
	f := newIdleFixture(t)
	c := f.withhold(1, "a")
	f.answer(c, Answer{Status: StatusFenced, ClockMillis: 9000, StartedAt: testStartedAt})
	next := f.takeCall(KindRenew)
	require.Greater(t, next.Token, c.Token)
	f.answer(next, presentAnswer)
	require.Equal(t, "a", f.takeCall(KindStart).Task)
}

// A server that rejects every token must not be called without end.
func TestRenewalOfWithheldStartIsRepeatedBoundedly(t *testing.T) {
	f := newIdleFixture(t)
	c := f.withhold(1, "a")
	for range maxStartAttempts {
		f.answer(c, Answer{Status: StatusFenced, ClockMillis: 9000, StartedAt: testStartedAt})
		c = f.takeCall(KindRenew)
	}
	f.answer(c, Answer{Status: StatusFenced, ClockMillis: 9000, StartedAt: testStartedAt})
	require.Equal(t, []End{{ID: 1}}, f.ended)
}

func TestStopEndsWithheldStart(t *testing.T) {
	f := newIdleFixture(t)
	c := f.withhold(1, "a")
	f.Stop(f.now, 1)
	f.drain()
	require.Equal(t, []End{{ID: 1}}, f.ended)
	f.answer(c, presentAnswer)
	require.Zero(t, f.countCalls(KindStart))
}

// Starts that arrive together wait for one renewal, and those that follow shortly after
// need none: otherwise a busy server would get a further call for each start.
func TestConfirmationServesSeveralStarts(t *testing.T) {
	f := newIdleFixture(t)
	c := f.withhold(1, "a")
	f.Start(f.now, Request{ID: 2, Task: "b", Confirm: true})
	f.drain()
	require.Zero(t, f.countCalls(KindRenew))
	f.answer(c, presentAnswer)
	require.Equal(t, 2, f.countCalls(KindStart))
	f.Start(f.now.Add(idleConfirmationAge-1), Request{ID: 3, Task: "c", Confirm: true})
	f.drain()
	require.Equal(t, 3, f.countCalls(KindStart))
}

// The renewal that is in flight while there are runs breaks when the server crashes, so an
// answer within the last 100 ms suffices.
func TestBusyIncarnationNeedsNoFurtherCall(t *testing.T) {
	f := newIdleFixture(t)
	f.answer(f.startRun(1, "a"), presentAnswer)
	f.answer(f.takeCall(KindRenew), Answer{ClockMillis: 9000, StartedAt: testStartedAt, Active: []ActiveRun{{"a", 1}}})
	require.Equal(t, 1, f.countCalls(KindRenew), "the next one waits for an end")
	f.now = f.now.Add(confirmationAge - 1)
	f.Start(f.now, Request{ID: 2, Task: "b", Confirm: true})
	f.drain()
	require.Equal(t, "b", f.takeCall(KindStart).Task)
	require.Equal(t, 1, f.countCalls(KindRenew))
}

// A call without an answer may be the sign of a crash: earlier answers no longer count.
func TestUnansweredCallRaisesSuspicion(t *testing.T) {
	f := newIdleFixture(t)
	f.answer(f.startRun(1, "a"), presentAnswer)
	f.answer(f.takeCall(KindRenew), Answer{ClockMillis: 9000, StartedAt: testStartedAt, Active: []ActiveRun{{"a", 1}}})
	f.answer(f.takeCall(KindRenew), Answer{Status: StatusNoAnswer})
	f.Start(f.now, Request{ID: 2, Task: "b", Confirm: true})
	f.drain()
	require.Zero(t, f.countCalls(KindStart))
	f.answer(f.takeCall(KindRenew), Answer{ClockMillis: 9000, StartedAt: testStartedAt, Active: []ActiveRun{{"a", 1}}})
	require.Equal(t, "b", f.takeCall(KindStart).Task)
}
