package limiter

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// openFrom opens a connection of a client, with the given bytes of an account.
func openFrom(t *testing.T, l *Ledger, now time.Time, client string, a Account, n int64) *Holder {
	t.Helper()
	h := &Holder{Client: client}
	require.Equal(t, Granted, l.Open(now, h, 1000))
	require.Equal(t, Granted, l.Reserve(now, h, a, n))
	return h
}

// Load: one client fills an account with unfinished requests, all young and small. Guards
// against a refusal of another client until those of the first are old enough to be evicted.
func TestClientWithinItsShareTakesFromTheLargest(t *testing.T) {
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

// Load: one client asks for room that another one's request holds, which is within its
// share. Guards against a crowd that keeps others out by opening ever younger requests.
func TestClientBeyondItsShareTakesFromNoOther(t *testing.T) {
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

// Load: one client has as many connections as it gets, and all are in use. Guards against
// others that can open none.
func TestOneClientLeavesConnectionsToOthers(t *testing.T) {
	l := newTestLedger()
	l.MaxConnections = 10
	for range 9 {
		l.SetPhase(start, openFrom(t, l, start, "crowd", Headers, 500), PhaseBusy)
	}
	require.Equal(t, Refused, l.Open(start, &Holder{Client: "crowd"}, 1000))
	require.Empty(t, l.TakeEvicted())
	openFrom(t, l, start, "ordinary", Headers, 500)
}

// Load: small requests of one client are in use and fill an account. Guards against a
// reserve that it has taken whole.
func TestOneClientLeavesReserveToOthers(t *testing.T) {
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

// Load: the crowd of one client reads more large requests than are read at a time. Guards
// against the eviction of another client's older one.
func TestLargeRequestOfOtherClientIsKept(t *testing.T) {
	l := newTestLedger()
	l.MaxLarge = 2
	ordinary := openFrom(t, l, start, "ordinary", Bodies, 20_000)
	for i := range 3 {
		openFrom(t, l, at(time.Duration(5+i)*time.Second), "crowd", Bodies, 20_000)
	}
	require.False(t, ordinary.evicted)
	require.Len(t, l.TakeEvicted(), 2)
}

// Guards against one caller that counts as many clients, and two that count as one.
func TestClientOf(t *testing.T) {
	for address, want := range map[string]string{
		"10.0.0.1": "10.0.0.1", "::ffff:10.0.0.1": "10.0.0.1", "2001:db8:1:2:3::1": "2001:db8:1:2::/64", "2001:db8:1:2:ffff::9": "2001:db8:1:2::/64",
	} {
		require.Equal(t, want, clientOf(addressConn{address: &net.TCPAddr{IP: net.ParseIP(address)}}))
	}
	require.Empty(t, clientOf(addressConn{address: &net.UnixAddr{}}))
}

type addressConn struct {
	net.Conn
	address net.Addr
}

func (c addressConn) RemoteAddr() net.Addr { return c.address }
