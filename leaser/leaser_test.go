package leaser

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testStart = time.Unix(1_000_000, 0)

const testBorn = 77

// bench is a Leaser with a clock and the calls it made that are not answered.
type bench struct {
	*testing.T
	Leaser
	now   time.Time
	open  []Call
	ended []End
}

// newBench returns a Leaser whose first look found nothing.
func newBench(t *testing.T) *bench {
	b := &bench{T: t, now: testStart}
	b.Init(b.now)
	b.HandleRestart(b.now, testBorn)
	b.drain()
	b.answer(b.take(KindRenew), Answer{Clock: 5000, StartedAt: testBorn})
	require.False(t, b.Reconciled(), "the token leaps first")
	b.answer(b.take(KindRenew), Answer{Clock: 5000, StartedAt: testBorn})
	require.True(t, b.Reconciled())
	return b
}

func (b *bench) drain() {
	calls, ends := b.Drain()
	b.open = append(b.open, calls...)
	b.ended = append(b.ended, ends...)
}

// take removes and returns the oldest call of the kind.
func (b *bench) take(k Kind) Call {
	b.drain()
	for i, c := range b.open {
		if c.Kind == k {
			b.open = append(b.open[:i], b.open[i+1:]...)
			return c
		}
	}
	require.FailNow(b, "no such call", "kind %d among %v", k, b.open)
	return Call{}
}

func (b *bench) answer(c Call, a Answer) {
	b.HandleAnswer(b.now, c, a)
	b.drain()
}

func (b *bench) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.Tick(b.now)
	b.drain()
}

func (b *bench) start(id uint64, task string) Call {
	b.Start(b.now, id, task, 1, nil)
	b.Tick(b.now)
	return b.take(KindStart)
}

func (b *bench) count(k Kind) int {
	n := 0
	for _, c := range b.open {
		if c.Kind == k {
			n++
		}
	}
	return n
}

func TestRunIsHeldUntilItEnds(t *testing.T) {
	b := newBench(t)
	c := b.start(1, "a")
	require.Equal(t, int64(5700), c.Until, "700 ms by the backend server's clock")
	b.answer(c, Answer{Clock: 5001, StartedAt: testBorn})
	h := b.take(KindRenew)
	require.Positive(t, h.Wait)
	b.now = b.now.Add(60 * time.Millisecond)
	b.answer(h, Answer{Clock: 5060, StartedAt: testBorn, Ended: []EndedRun{{1, "a", 1, EndCompleted}}})
	require.Equal(t, []End{{ID: 1, Reason: EndCompleted, Started: true, Took: 60 * time.Millisecond}}, b.ended)
	last := b.take(KindRenew)
	require.Equal(t, 1, last.AckedEnds, "the backend server may forget the end")
	b.answer(last, Answer{Clock: 5061, StartedAt: testBorn})
	b.advance(time.Second)
	require.Empty(t, b.open, "nothing runs, so nothing is held")
}

// A start without an answer counts as running until a call with a higher token
// was answered, which no older call can follow.
func TestUnansweredStartIsSettledByAHigherToken(t *testing.T) {
	b := newBench(t)
	c := b.start(1, "a")
	old := b.take(KindRenew)
	b.answer(c, Answer{Status: StatusNoAnswer})
	settle := b.take(KindRenew)
	require.Greater(t, settle.Token, c.Token)
	b.answer(old, Answer{Clock: 5150, StartedAt: testBorn})
	require.Equal(t, 1, b.Running(), "the answer to a call with the old token proves nothing")
	b.answer(settle, Answer{Clock: 5151, StartedAt: testBorn})
	require.Zero(t, b.Running())
	require.Equal(t, []End{{ID: 1, Reason: EndStopped, Took: 0}}, b.ended)
}

func TestUnansweredStartThatActedRunsOn(t *testing.T) {
	b := newBench(t)
	c := b.start(1, "a")
	b.answer(c, Answer{Status: StatusNoAnswer})
	b.take(KindRenew)
	b.answer(b.take(KindRenew), Answer{Clock: 5150, StartedAt: testBorn, Active: []ActiveRun{{"a", 1}}})
	require.Equal(t, 1, b.Running())
	require.Empty(t, b.ended)
}

// Another start that was under way when the token was raised is refused, and
// sent again with the new one.
func TestStartFencedByOurOwnTokenIsSentAgain(t *testing.T) {
	b := newBench(t)
	c, d := b.start(1, "a"), b.start(2, "b")
	b.answer(c, Answer{Status: StatusNoAnswer})
	b.answer(d, Answer{Status: StatusFenced, Clock: 5002, StartedAt: testBorn})
	again := b.take(KindStart)
	require.Equal(t, "b", again.Task)
	require.Greater(t, again.Token, d.Token)
}

func TestNumberThatIsTooLowIsRaised(t *testing.T) {
	b := newBench(t)
	c := b.start(1, "a")
	b.answer(c, Answer{Status: StatusStaleRunNumber, Clock: 5002, StartedAt: testBorn})
	require.Greater(t, b.take(KindStart).Number, c.Number)
}

// Where some calls are lost, one lost hold must not stop the backend server.
func TestSilentAfterSeveralHolds(t *testing.T) {
	b := newBench(t)
	b.answer(b.start(1, "a"), Answer{Clock: 5001, StartedAt: testBorn})
	b.answer(b.take(KindRenew), Answer{Status: StatusNoAnswer})
	require.False(t, b.Unresponsive())
	h := b.take(KindRenew)
	require.Zero(t, h.Wait, "the next one asks at once")
	b.answer(h, Answer{Status: StatusNoAnswer})
	require.True(t, b.Unresponsive())
	b.answer(b.take(KindRenew), Answer{Clock: 5100, StartedAt: testBorn, Active: []ActiveRun{{"a", 1}}})
	require.False(t, b.Unresponsive())
	require.Equal(t, 1, b.Running())
}

// A process that starts anew finds runs of the one before: it starts nothing
// until they have ended.
func TestForeignRunsAreStoppedFirst(t *testing.T) {
	b := &bench{T: t, now: testStart}
	b.Init(b.now)
	b.HandleRestart(b.now, testBorn)
	b.answer(b.take(KindRenew), Answer{Clock: 9000, StartedAt: testBorn, Active: []ActiveRun{{"x", 4}}})
	require.False(t, b.Reconciled())
	s := b.take(KindStop)
	require.Equal(t, "x", s.Task)
	require.Equal(t, 4, s.Number)
	b.Start(b.now, 1, "a", 1, nil)
	b.drain()
	require.Zero(t, b.count(KindStart))
	require.Equal(t, []End{{ID: 1}}, b.ended, "it is told as not started")
	look := b.take(KindRenew)
	require.Zero(t, look.Until, "their leases are not renewed")
	b.answer(look, Answer{Clock: 9050, StartedAt: testBorn, Ended: []EndedRun{{1, "x", 4, EndStopped}}})
	b.answer(b.take(KindRenew), Answer{Clock: 9051, StartedAt: testBorn})
	require.True(t, b.Reconciled())
}

func TestTokenThatIsTooLowLeaps(t *testing.T) {
	b := &bench{T: t, now: testStart}
	b.Init(b.now)
	b.HandleRestart(b.now, testBorn)
	c := b.take(KindRenew)
	b.answer(c, Answer{Status: StatusFenced, Clock: 9000, StartedAt: testBorn})
	require.GreaterOrEqual(t, b.take(KindRenew).Token, c.Token+fenceLeap)
}

// The process before may have sent a start with a token that the backend server
// has not seen, and this one's clock may have gone back: its token must be above
// that start's, not only above what was seen. Found by the model.
func TestNewProcessLeapsAboveItsPredecessor(t *testing.T) {
	b := &bench{T: t, now: testStart}
	b.Init(b.now)
	b.HandleRestart(b.now, testBorn)
	c := b.take(KindRenew)
	b.answer(c, Answer{Clock: 9000, StartedAt: testBorn})
	require.False(t, b.Reconciled())
	d := b.take(KindRenew)
	require.GreaterOrEqual(t, d.Token, c.Token+fenceLeap)
	b.answer(d, Answer{Clock: 9001, StartedAt: testBorn})
	require.True(t, b.Reconciled())
}

func TestRebornBackendServerRunsNothing(t *testing.T) {
	b := newBench(t)
	b.answer(b.start(1, "a"), Answer{Clock: 5001, StartedAt: testBorn})
	h := b.take(KindRenew)
	b.answer(h, Answer{Clock: 12, StartedAt: testBorn + 1})
	require.Equal(t, EndStopped, b.ended[0].Reason)
	require.False(t, b.Reconciled())
	look := b.take(KindRenew)
	require.Greater(t, look.Token, h.Token, "calls to the earlier life must not act in this one")
	b.answer(look, Answer{Clock: 13, StartedAt: testBorn + 1})
	require.True(t, b.Reconciled())
}

// A start that was on its way when the backend server began anew may be carried
// out in its new life, which knows no token yet. Nor does a lapse settle it.
// Found by the model (spec/lease.pml).
func TestStartInDoubtOutlastsTheBackendServersLife(t *testing.T) {
	b := newBench(t)
	c := b.start(1, "a")
	b.take(KindRenew)
	b.HandleRestart(b.now, testBorn+1)
	b.drain()
	require.Empty(t, b.ended)
	b.answer(c, Answer{Status: StatusNoAnswer})
	b.advance(2 * time.Second)
	require.Empty(t, b.ended, "no look was answered yet")
	b.answer(b.take(KindRenew), Answer{Clock: 12, StartedAt: testBorn + 1})
	require.Equal(t, []End{{ID: 1, Reason: EndStopped, Took: 2 * time.Second}}, b.ended)
	require.True(t, b.Reconciled())
}

func TestStartInDoubtOutlastsALapse(t *testing.T) {
	b := newBench(t)
	b.answer(b.start(1, "a"), Answer{Clock: 5001, StartedAt: testBorn})
	b.answer(b.start(2, "b"), Answer{Status: StatusNoAnswer})
	b.advance(2 * time.Second)
	require.Len(t, b.ended, 1, "the lease of the one that ran has lapsed")
	for b.count(KindRenew) > 0 {
		b.answer(b.take(KindRenew), Answer{Status: StatusNoAnswer})
	}
	b.advance(time.Second)
	require.Len(t, b.ended, 1)
	b.answer(b.take(KindRenew), Answer{Clock: 8000, StartedAt: testBorn})
	require.Len(t, b.ended, 2)
}

// When no hold is answered, what runs ends by itself; until then it counts.
func TestRunsLapseWithoutHolds(t *testing.T) {
	b := newBench(t)
	b.answer(b.start(1, "a"), Answer{Clock: 5001, StartedAt: testBorn})
	b.take(KindRenew)
	b.advance(700 * time.Millisecond)
	require.Equal(t, 1, b.Running(), "the backend server's clock may be slow")
	b.advance(50 * time.Millisecond)
	require.Zero(t, b.Running())
	require.False(t, b.Reconciled(), "a look comes before the next start")
}

// Holds that are sent in vain may be carried out all the same. They must not
// renew the leases for ever.
func TestHoldsInVainDoNotRenewForEver(t *testing.T) {
	b := newBench(t)
	b.answer(b.start(1, "a"), Answer{Clock: 5001, StartedAt: testBorn})
	begin := b.now
	for b.Running() > 0 {
		for b.count(KindRenew) > 0 {
			h := b.take(KindRenew)
			b.now = b.now.Add(40 * time.Millisecond) // the caller's time-out
			b.answer(h, Answer{Status: StatusNoAnswer})
		}
		b.advance(20 * time.Millisecond)
		require.Less(t, b.now.Sub(begin), time.Second)
	}
	require.Greater(t, b.now.Sub(begin), 700*time.Millisecond)
}

func TestStopIsRepeatedUntilTheEnd(t *testing.T) {
	b := newBench(t)
	b.answer(b.start(1, "a"), Answer{Clock: 5001, StartedAt: testBorn})
	b.Stop(b.now, 1)
	b.drain()
	require.Equal(t, 1, b.count(KindStop))
	b.advance(stopRetry)
	require.Equal(t, 2, b.count(KindStop))
	require.Equal(t, 1, b.Running(), "what is being stopped takes room")
	b.answer(b.take(KindRenew), Answer{Clock: 5120, StartedAt: testBorn, Ended: []EndedRun{{1, "a", 1, EndStopped}}})
	require.Zero(t, b.Running())
}

// An end listed twice, or by an answer that was overtaken, counts once.
func TestEndsCountOnce(t *testing.T) {
	b := newBench(t)
	b.answer(b.start(1, "a"), Answer{Clock: 5001, StartedAt: testBorn})
	e := []EndedRun{{1, "a", 1, EndFailed}}
	b.answer(b.take(KindRenew), Answer{Clock: 5002, StartedAt: testBorn, Ended: e})
	b.answer(b.start(2, "a"), Answer{Clock: 5003, StartedAt: testBorn})
	b.answer(b.take(KindRenew), Answer{Clock: 5004, StartedAt: testBorn, Ended: e, Active: []ActiveRun{{"a", 1}}})
	require.Len(t, b.ended, 1)
	require.Equal(t, 1, b.Running())
}

// newRunningBench returns a bench on which a run has been started.
func newRunningBench(t *testing.T) *bench {
	b := newBench(t)
	b.answer(b.start(1, "a"), Answer{Clock: 5001, StartedAt: testBorn})
	return b
}

// An entry dies, and its stops may all be lost: its runs have to lapse before
// its caller sends the job again 1.3 s later.
func TestNothingIsRenewedForASuspectedOwner(t *testing.T) {
	b := newRunningBench(t)
	b.answer(b.take(KindRenew), Answer{Clock: 5050, StartedAt: testBorn, Active: []ActiveRun{{"a", 1}}})
	leased := b.take(KindRenew).Until
	require.Positive(t, leased)
	b.SetOwnerSuspected(true)
	b.now = b.now.Add(20 * time.Millisecond)
	b.sendHold(b.now)
	require.Zero(t, b.take(KindRenew).Until)
	require.Equal(t, leased, b.start(2, "b").Until, "it runs under the lease that there is, which a start has to name")
	b.SetOwnerSuspected(false)
	b.sendHold(b.now)
	require.Positive(t, b.take(KindRenew).Until)
	b.SetOwnerSuspected(true)
	b.now = b.now.Add(time.Second)
	require.Positive(t, b.start(3, "c").Until, "no lease is there any more")
}

func TestNothingIsRenewedWhileAStopHasNoEffect(t *testing.T) {
	b := newRunningBench(t)
	h := b.take(KindRenew)
	b.Stop(b.now, 1)
	b.drain()
	require.Equal(t, 1, b.count(KindStop))
	running := Answer{Clock: 5001, StartedAt: testBorn, Active: []ActiveRun{{"a", 1}}}
	for range 4 {
		b.answer(h, running)
		h = b.take(KindRenew)
		require.Positive(t, h.Until)
		b.now = b.now.Add(50 * time.Millisecond)
		running.Clock += 50
	}
	b.now = b.now.Add(50 * time.Millisecond)
	b.answer(h, running)
	h = b.take(KindRenew)
	require.Zero(t, h.Until, "250 ms after the stop")
	b.answer(h, Answer{Clock: running.Clock, StartedAt: testBorn, Ended: []EndedRun{{1, "a", 1, EndStopped}}})
	require.Positive(t, b.start(2, "b").Until)
}

// Answers of several holds overtake each other: one that waited lists a run in
// doubt, and one that was sent later but looked before the run began comes after
// it. The run is there all the while.
func TestAnswerOfAnEarlierLookDoesNotEndARun(t *testing.T) {
	b := newRunningBench(t)
	waiting := b.take(KindRenew)
	b.answer(b.start(2, "b"), Answer{Status: StatusNoAnswer})
	early := b.take(KindRenew)
	lost := b.start(3, "c")
	require.Equal(t, early.Token, lost.Token, "so that the start may follow that hold")
	b.answer(lost, Answer{Status: StatusNoAnswer})
	b.answer(waiting, Answer{Clock: 5050, StartedAt: testBorn, Active: []ActiveRun{{"a", 1}, {"b", 1}, {"c", 1}}})
	b.answer(early, Answer{Clock: 5050, StartedAt: testBorn, Active: []ActiveRun{{"a", 1}, {"b", 1}}})
	require.Empty(t, b.ended)
	require.Equal(t, 3, b.Running())
}
