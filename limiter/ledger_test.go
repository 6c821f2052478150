package limiter

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// newTestLedger returns a ledger with room for 10 connections of 1,000 bytes and for
// 100,000 bytes of headers, bodies and jobs each.
func newTestLedger() *Ledger {
	return NewLedger(map[Account]int64{Connections: 10_000, Headers: 100_000, Bodies: 100_000, Jobs: 100_000, Reserve: 5000})
}

func open(t *testing.T, l *Ledger, now time.Time) *Holder {
	t.Helper()
	h := new(Holder)
	require.Equal(t, Granted, l.Open(now, h, 1000))
	return h
}

// Guards against a reservation that outlives its connection: ordinary callers would be
// refused for good.
func TestCloseEndsReservations(t *testing.T) {
	l := newTestLedger()
	h := open(t, l, start)
	for _, a := range []Account{Headers, Bodies, Jobs} {
		require.Equal(t, Granted, l.Reserve(start, h, a, 50_000))
	}
	l.Close(h)
	l.Close(h)
	for a := range accounts {
		require.Zero(t, l.Used(a))
	}
	require.Zero(t, l.Count())
	require.Equal(t, Refused, l.Reserve(start, h, Bodies, 1))
}

// Guards against the eviction of a request that is nearly complete, or of a young one,
// while older or less complete ones exist.
func TestOldestAndLeastCompleteIsEvicted(t *testing.T) {
	l := newTestLedger()
	nearlyComplete, little, younger := open(t, l, start), open(t, l, at(100*time.Millisecond)), open(t, l, at(5*time.Second))
	for h, received := range map[*Holder]int{nearlyComplete: 200_000, little: 1000, younger: 10} {
		require.Equal(t, Granted, l.Reserve(start, h, Bodies, 30_000))
		l.Receive(h, received)
	}
	h := open(t, l, at(6*time.Second))
	require.Equal(t, Waits, l.Reserve(at(6*time.Second), h, Bodies, 20_000))
	require.Equal(t, []*Holder{little}, l.TakeEvicted())
	require.Empty(t, l.TakeGranted())
	l.Close(little)
	require.Equal(t, []*Holder{h}, l.TakeGranted())
	require.EqualValues(t, 80_000, l.Used(Bodies))
	require.Equal(t, Refused, l.Reserve(at(7*time.Second), nearlyComplete, Bodies, 30_000), "the oldest one is not served at the cost of younger ones")
	require.Empty(t, l.TakeEvicted())
}

// Guards against the eviction of a request whose tasks may have been started.
func TestBusyIsNeverEvicted(t *testing.T) {
	l := newTestLedger()
	for range 10 {
		h := open(t, l, start)
		require.True(t, l.SetPhase(start, h, PhaseBusy))
		require.Equal(t, Granted, l.Reserve(start, h, Jobs, 10_000))
	}
	h := new(Holder)
	require.Equal(t, Refused, l.Open(at(time.Hour), h, 1000))
	require.Empty(t, l.TakeEvicted())
}

// Guards against ordinary requests that cannot be read while large ones fill the
// accounts, and against their eviction before they could be sent.
func TestSmallRequestIsServedBesideLargeOnes(t *testing.T) {
	l := newTestLedger()
	for range 4 {
		require.Equal(t, Granted, l.Reserve(start, open(t, l, start), Headers, 25_000))
	}
	small := open(t, l, at(time.Millisecond))
	require.Equal(t, Granted, l.Reserve(at(time.Millisecond), small, Headers, 2000))
	require.EqualValues(t, 2000, l.Used(Reserve))
	large := open(t, l, at(2*time.Millisecond))
	require.Equal(t, Waits, l.Reserve(at(2*time.Millisecond), large, Headers, 80_000))
	require.NotContains(t, l.TakeEvicted(), small)
	l.Release(small, Headers, 2000)
	require.Zero(t, l.Used(Reserve))
}

// Guards against connections without a request that keep others out, and against their
// eviction as soon as they are opened.
func TestConnectionsAtTheLimit(t *testing.T) {
	l := newTestLedger()
	l.MaxConnections = 3
	idle, first := open(t, l, start), open(t, l, start)
	open(t, l, at(time.Millisecond))
	require.True(t, l.SetPhase(start, idle, PhaseIdle))
	require.Equal(t, Granted, l.Open(at(2*time.Millisecond), new(Holder), 1000))
	require.Equal(t, []*Holder{idle}, l.TakeEvicted())
	require.Equal(t, Refused, l.Open(at(100*time.Millisecond), new(Holder), 1000))
	require.Equal(t, Granted, l.Open(at(300*time.Millisecond), new(Holder), 1000))
	require.Equal(t, []*Holder{first}, l.TakeEvicted())
}

// Guards against an agent's link that waits for room until silent links have used up the
// grace of those that sent a hello.
func TestSilentConnectionIsEvictedSooner(t *testing.T) {
	l := newTestLedger()
	l.MaxConnections, l.Grace, l.SilentGrace = 2, time.Second, 200*time.Millisecond
	talking, silent := open(t, l, start), open(t, l, at(time.Millisecond))
	l.Receive(talking, 100)
	require.Equal(t, Refused, l.Open(at(150*time.Millisecond), new(Holder), 1000))
	require.Equal(t, Granted, l.Open(at(300*time.Millisecond), new(Holder), 1000))
	require.Equal(t, []*Holder{silent}, l.TakeEvicted())
}

// Guards against large requests that take the processor from ordinary callers.
func TestLargeRequestsAreFew(t *testing.T) {
	l := newTestLedger()
	l.MaxLarge = 2
	var holders []*Holder
	for i := range 3 {
		h := open(t, l, at(time.Duration(i)*2*time.Second))
		require.Equal(t, Granted, l.Reserve(start, h, Bodies, 20_000))
		holders = append(holders, h)
	}
	require.Equal(t, holders[:1], l.TakeEvicted())
}

// Guards against a wait that never ends, and against reservations beyond a limit, in any
// sequence of events. The seeds are fixed.
func TestLimitsHoldInRandomSequences(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		l := newTestLedger()
		if seed%2 == 0 {
			l = NewLedger(map[Account]int64{Connections: 100_000})
		}
		l.MaxConnections, l.MaxLarge = 8, 3
		now := start
		var list []*Holder
		endEvicted := func(chance int) {
			list = slices.DeleteFunc(list, func(h *Holder) bool {
				ends := h.evicted && r.IntN(100) < chance
				if ends {
					l.Close(h)
				}
				return ends
			})
		}
		names := []string{"", "a", "b", "c"}[:1+seed%4]
		for range 400 {
			now = now.Add(time.Duration(r.IntN(200)) * time.Millisecond)
			if len(list) < 12 && r.IntN(3) == 0 {
				if h := (&Holder{Source: names[r.IntN(len(names))]}); !slices.Contains([]Verdict{Refused, Hoarded}, l.Open(now, h, 1000)) {
					list = append(list, h)
				}
			} else if len(list) > 0 {
				h := list[r.IntN(len(list))]
				switch r.IntN(8) {
				case 0:
					l.SetPhase(now, h, Phase(r.IntN(3)))
				case 1:
					l.ReleaseRequest(h)
				case 2:
					l.CancelWait(h)
				case 3:
					l.Release(h, Account(1+r.IntN(3)), int64(r.IntN(30_000)))
				default:
					l.Receive(h, r.IntN(5000))
					l.Reserve(now, h, Account(1+r.IntN(3)), int64(r.IntN(40_000)))
				}
			}
			for a := range accounts {
				require.GreaterOrEqual(t, l.Used(a), int64(0), "seed %d", seed)
				require.LessOrEqual(t, l.usage(a), max(l.limit(a), l.limits[Reserve]), "seed %d", seed)
			}
			if r.IntN(4) == 0 { // otherwise evicted connections end late
				endEvicted(50)
			}
		}
		endEvicted(100)
		for _, h := range list {
			require.False(t, h.waiting, "seed %d: a reservation still waits after all evicted connections have ended", seed)
			l.Close(h)
		}
		for a := range accounts {
			require.Zero(t, l.Used(a), "seed %d", seed)
			require.Zero(t, l.leavingUsed[a], "seed %d", seed)
		}
		require.Zero(t, l.Count(), "seed %d", seed)
		require.Zero(t, l.leavingCount, "seed %d", seed)
		require.Empty(t, l.sources, "seed %d", seed)
	}
}
