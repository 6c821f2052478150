package leaser

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reconcileWith reconciles a new process with a backend server that has seen the given
// token, and returns the token that the server has seen then.
func reconcileWith(t *testing.T, now time.Time, seen int64) int64 {
	f := &fixture{T: t, now: now}
	f.Init(f.now)
	f.confirmReport(testStartedAt)
	for range 60 {
		c := f.takeCall(KindRenew)
		if c.Token < seen {
			f.answer(c, Answer{Status: StatusFenced, ClockMillis: 10, StartedAt: testStartedAt})
			continue
		}
		seen = c.Token
		f.answer(c, Answer{ClockMillis: 10, StartedAt: testStartedAt})
		if f.Reconciled() {
			return seen
		}
	}
	require.FailNow(t, "no token was accepted")
	return 0
}

// A start of an earlier process may be executed late by an incarnation of the backend
// server that has seen no token of that process. The present process must have fenced it
// off, however often the agent's process was replaced before.
func TestTokensRiseOverProcesses(t *testing.T) {
	now, seen := time.Now(), int64(0)
	for range 10 {
		now = now.Add(time.Second)
		seen = reconcileWith(t, now, seen)
	}
	now = now.Add(time.Second)
	require.Greater(t, reconcileWith(t, now, 0), seen, "a new incarnation has seen no token")
}

// The wall clock may be set back while the backend server has seen a higher token.
func TestTokenPassesThatOfProcessWithLaterClock(t *testing.T) {
	now := time.Now()
	seen := reconcileWith(t, now, 0)
	require.Greater(t, reconcileWith(t, now.Add(-24*time.Hour), seen), seen)
}

// JSON decoders that use floating-point numbers keep integers exact up to 2^53.
// JSON decoders that use floating-point numbers keep integers exact up to 2^53.
func TestTokensAreExactInJSON(t *testing.T) {
	inFiftyYears := time.Now().AddDate(50, 0, 0)
	require.Less(t, initialToken(inFiftyYears)+2*maxTokenIncrement, int64(1)<<53)
	require.Positive(t, initialToken(time.Now()))
}
