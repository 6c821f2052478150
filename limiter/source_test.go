package limiter

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// openFrom opens a connection of a source, with the given bytes of an account.
func openFrom(t *testing.T, l *Ledger, now time.Time, source string, a Account, n int64) *Holder {
	t.Helper()
	h := &Holder{Source: source}
	require.Equal(t, Granted, l.Open(now, h, 1000))
	require.Equal(t, Granted, l.Reserve(now, h, a, n))
	return h
}

// Load: one source fills an account with unfinished requests, all young and small. Guards
// against a refusal of another source until those of the first are old enough to be evicted.
func TestSourceWithinItsShareTakesFromTheLargest(t *testing.T) {
	l := newTestLedger()
	var crowd []*Holder
	for range 8 {
		crowd = append(crowd, openFrom(t, l, start, "crowd", Bodies, 12_500))
	}
	ordinary := openFrom(t, l, start, "ordinary", Headers, 500)
	require.Equal(t, Waits, l.Reserve(start, ordinary, Bodies, 20_000))
	evicted := l.TakeEvicted()
	require.Len(t, evicted, 2)
	for _, h := range evicted {
		require.Contains(t, crowd, h)
		l.Close(h)
	}
	require.Equal(t, []*Holder{ordinary}, l.TakeGranted())
}

// Load: one source asks for room that another one's request holds, which is within its
// share. Guards against a crowd that keeps others out by opening ever younger requests.
func TestSourceBeyondItsShareTakesFromNoOther(t *testing.T) {
	l := newTestLedger()
	ordinary := openFrom(t, l, start, "ordinary", Bodies, 30_000)
	openFrom(t, l, at(time.Second), "crowd", Bodies, 30_000)
	openFrom(t, l, at(2*time.Second), "crowd", Bodies, 30_000)
	h := openFrom(t, l, at(5*time.Second), "crowd", Headers, 500)
	require.Equal(t, Waits, l.Reserve(at(5*time.Second), h, Bodies, 15_000))
	evicted := l.TakeEvicted()
	require.Len(t, evicted, 1)
	require.NotContains(t, evicted, ordinary)
}

// Load: one source has as many connections as it gets, and all are in use. Guards against
// others that can open none.
func TestOneSourceLeavesConnectionsToOthers(t *testing.T) {
	l := newTestLedger()
	l.MaxConnections = 10
	for range 9 {
		l.SetPhase(start, openFrom(t, l, start, "crowd", Headers, 500), PhaseBusy)
	}
	require.Equal(t, Hoarded, l.Open(start, &Holder{Source: "crowd"}, 1000))
	require.Empty(t, l.TakeEvicted())
	openFrom(t, l, start, "ordinary", Headers, 500)
}

// Load: small requests of one source are in use and fill an account. Guards against a
// reserve that it has taken whole.
func TestOneSourceLeavesReserveToOthers(t *testing.T) {
	l := newTestLedger()
	busy := openFrom(t, l, start, "crowd", Jobs, 100_000)
	l.SetPhase(start, busy, PhaseBusy)
	refused := false
	for range 4 {
		h := openFrom(t, l, start, "crowd", Headers, 500)
		l.SetPhase(start, h, PhaseBusy)
		refused = l.Reserve(start, h, Jobs, 1000) == Refused || refused
	}
	require.True(t, refused)
	openFrom(t, l, start, "ordinary", Jobs, 1000)
}

// Load: the crowd of one source reads more large requests than are read at a time. Guards
// against the eviction of another source's older one.
func TestLargeRequestOfOtherSourceIsKept(t *testing.T) {
	l := newTestLedger()
	l.MaxLarge = 2
	ordinary := openFrom(t, l, start, "ordinary", Bodies, 20_000)
	for i := range 3 {
		openFrom(t, l, at(time.Duration(5+i)*time.Second), "crowd", Bodies, 20_000)
	}
	require.False(t, ordinary.evicted)
	require.Len(t, l.TakeEvicted(), 2)
}

// Guards against one caller that counts as many sources, and two that count as one.
func TestSourceOf(t *testing.T) {
	for address, want := range map[string]string{
		"10.0.0.1": "10.0.0.1", "::ffff:10.0.0.1": "10.0.0.1", "2001:db8:1:2:3::1": "2001:db8:1:2::/64", "2001:db8:1:2:ffff::9": "2001:db8:1:2::/64",
	} {
		require.Equal(t, want, sourceOf(addressConn{address: &net.TCPAddr{IP: net.ParseIP(address)}}))
	}
	require.Empty(t, sourceOf(addressConn{address: &net.UnixAddr{}}))
}

type addressConn struct {
	net.Conn
	address net.Addr
}

func (c addressConn) RemoteAddr() net.Addr { return c.address }
