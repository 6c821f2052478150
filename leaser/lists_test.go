package leaser

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A call of an earlier process, or to an earlier incarnation, may be executed after the
// reconciliation if the present incarnation has not seen a higher token. The run that it
// started is found by the next renewal, and has to be stopped before anything is started.
func TestUnknownRunIsStoppedAfterReconciliation(t *testing.T) {
	f := newFixtureWithRun(t)
	listed := []ActiveRun{{"a", 1}, {"x", 4}}
	f.answer(f.takeCall(KindRenew), Answer{ClockMillis: 5050, StartedAt: testStartedAt, Active: listed})
	require.False(t, f.Reconciled())
	stop := f.takeCall(KindStop)
	require.Equal(t, "x", stop.Task)
	require.Equal(t, 4, stop.Number)
	require.Equal(t, 1, f.RunCount(), "the other run continues")
	reconcile := f.takeCall(KindRenew)
	f.answer(reconcile, Answer{ClockMillis: 5100, StartedAt: testStartedAt, Active: listed[:1]})
	require.True(t, f.Reconciled())
	require.Empty(t, f.ended)
}

// A row that cannot be decoded may be that of a run, or of an unknown one.
func TestUnreadableRowsEndNoRun(t *testing.T) {
	f := newFixtureWithRun(t)
	f.answer(f.takeCall(KindRenew), Answer{ClockMillis: 5050, StartedAt: testStartedAt, Active: []ActiveRun{{"a", 1}}})
	f.answer(f.takeCall(KindRenew), Answer{ClockMillis: 5100, StartedAt: testStartedAt, UnreadableRows: 1})
	require.Empty(t, f.ended)
	f.confirmReport(testStartedAt + 1)
	f.takeCall(KindRenew) // of the earlier incarnation
	f.answer(f.takeCall(KindRenew), Answer{ClockMillis: 20, StartedAt: testStartedAt + 1, UnreadableRows: 1})
	require.False(t, f.Reconciled())
}

// An answer that was overtaken may list a run whose end is known already.
func TestEndedRunIsNotUnknown(t *testing.T) {
	f := newFixtureWithRun(t)
	overtaken := f.takeCall(KindRenew)
	f.sendRenewal(f.now)
	f.answer(f.takeCall(KindRenew), Answer{ClockMillis: 5050, StartedAt: testStartedAt, Ended: []EndedRun{{1, "a", 1, EndCompleted}}})
	f.answer(overtaken, Answer{ClockMillis: 5040, StartedAt: testStartedAt, Active: []ActiveRun{{"a", 1}}})
	require.True(t, f.Reconciled())
	require.Zero(t, f.countCalls(KindStop))
}
