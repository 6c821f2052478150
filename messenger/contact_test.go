package messenger

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
)

// A batch that waited in a buffer, for example while this process was paused, shows that
// the peer was running when it sent the batch, not when the batch is read.
func TestBufferedBatchIsNoRecentContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, peer := startHub(t, protocol.RoleEntry)
		require.Zero(t, h.ConfirmedContact(peer.Incarnation))
		require.True(t, attachTo(t, h, hello{Identity: peer, Epoch: 7, PeerEpoch: h.ensureSession(peer).localEpoch}))
		s := h.findSession(peer.Incarnation)
		record := func(b batch) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.recordContact(h, b)
		}
		time.Sleep(time.Second)
		sentAt, stamp := time.Now(), h.stamp()
		time.Sleep(900 * time.Millisecond)
		record(batch{Sent: 20, Echo: stamp})
		require.Equal(t, sentAt, h.ConfirmedContact(peer.Incarnation))
		record(batch{Sent: 10, Echo: stamp - 5})
		require.Equal(t, sentAt, h.ConfirmedContact(peer.Incarnation), "batches may overtake each other over two connections")
		require.EqualValues(t, 20, s.peerStamp)
		record(batch{})
		require.Equal(t, time.Now(), h.ConfirmedContact(peer.Incarnation), "a peer that stamps no batches")
		h.Stop()
	})
}

// Contact is confirmed by heartbeats alone.
func TestContactIsConfirmedByHeartbeats(t *testing.T) {
	p := newPair(t, Settings{Entries: Timing{Heartbeat: 20 * time.Millisecond}})
	begin := time.Now()
	for _, h := range []*Hub{p.a, p.b} {
		peer := p.a.Self.Incarnation
		if h == p.a {
			peer = p.b.Self.Incarnation
		}
		require.Eventually(t, func() bool { return h.ConfirmedContact(peer).After(begin) }, 5*time.Second, time.Millisecond)
		require.False(t, h.ConfirmedContact(peer).After(time.Now()))
	}
}

// After a reconnection the contact of an idle session is confirmed before a heartbeat is
// due, so that leases are renewed and starts accepted.
func TestContactIsConfirmedAtOnceAfterReconnection(t *testing.T) {
	p := newPair(t, Settings{Entries: Timing{time.Minute, time.Minute, time.Minute}, MaxRedialDelay: 50 * time.Millisecond})
	contact := func() time.Time { return p.b.ConfirmedContact(p.a.Self.Incarnation) }
	require.Eventually(t, func() bool { return !contact().IsZero() }, 5*time.Second, time.Millisecond, "first connection")
	for range 3 {
		p.closeConn()
		closedAt := time.Now()
		require.Eventually(t, func() bool { return contact().After(closedAt) }, 5*time.Second, time.Millisecond)
		t.Logf("confirmed %v after the connection was closed", time.Since(closedAt).Round(time.Millisecond))
	}
}

// A batch confirms no contact that is later than the messages which it leaves unsent: one
// of them may be a stop.
func TestBatchConfirmsNoContactSinceUnsentMessages(t *testing.T) {
	h, peer := startHub(t, protocol.RoleAgent)
	s := h.ensureSession(peer)
	begin := hello{Identity: peer, Epoch: 7, PeerEpoch: s.localEpoch, Sent: 5}
	require.True(t, attachTo(t, h, begin))
	// echo returns what the next batch echoes after the peer's stamp was read and n
	// messages were queued, in this order.
	echo := func(stamp int64, n int) int64 {
		s.mu.Lock()
		s.peerStamp = max(s.peerStamp, stamp)
		s.mu.Unlock()
		for range n {
			require.True(t, h.Queue(peer.Incarnation, protocol.Message{Stop: &protocol.Stop{}}))
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.nextBatch(2).Echo
	}
	require.EqualValues(t, 5, echo(0, 2), "all sent")
	require.EqualValues(t, 6, echo(6, 0))
	require.LessOrEqual(t, echo(7, 5), int64(7))
	require.LessOrEqual(t, echo(8, 0), int64(7), "a message that was queued before 8 was read is unsent")
	require.EqualValues(t, 9, echo(9, 0), "all sent")

	require.LessOrEqual(t, echo(10, 5), int64(10))
	for stamp := int64(11); stamp < 100; stamp++ {
		e := echo(stamp, 2)
		require.Less(t, e, stamp, "a message of the round before is unsent")
		require.GreaterOrEqual(t, e, stamp-4, "a backlog delays contact only by its own length")
	}

	begin.Sent = 100
	require.True(t, attachTo(t, h, begin))
	require.Zero(t, echo(0, 0), "what was written on the earlier connection may be lost")
}
