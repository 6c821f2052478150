package messenger

import (
	"encoding/json"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
)

// startHub returns a started Hub without a listener, and the identity of a peer
// with the given role.
func startHub(t *testing.T, role protocol.Role) (*Hub, protocol.Identity) {
	h := &Hub{Self: protocol.Identity{Name: "a", Role: protocol.RoleEntry}.WithNewIncarnation()}
	h.Start(nil)
	t.Cleanup(h.Stop)
	return h, protocol.Identity{Name: "b", Role: role}.WithNewIncarnation()
}

// attachTo attaches a new connection to the session with the peer that sent
// peerHello, and reports whether it was accepted.
func attachTo(t *testing.T, h *Hub, peerHello hello) bool {
	near, far := net.Pipe()
	t.Cleanup(func() { far.Close() })
	c := h.newConn(near)
	t.Cleanup(c.close)
	return h.attach(c, h.ensureSession(peerHello.Identity), peerHello, true)
}

// TestHelloOfClosedSessionIsRefused sends a hello on a second connection, which
// arrives after the peer has closed the session and opened a new one. The late
// hello must not restore the closed session: its count of received messages would
// acknowledge messages of the new one.
func TestHelloOfClosedSessionIsRefused(t *testing.T) {
	h, peer := startHub(t, protocol.RoleEntry)
	s := h.ensureSession(peer)
	first := hello{Identity: peer, Epoch: 7, PeerEpoch: s.localEpoch}
	require.True(t, attachTo(t, h, first))
	for i := range uint64(3) {
		require.True(t, h.Queue(peer.Incarnation, protocol.Message{Close: &protocol.Close{Below: i}}))
	}
	s.mu.Lock()
	s.nextBatch(10)
	s.mu.Unlock()
	stale := first
	stale.Received = 3

	require.True(t, attachTo(t, h, hello{Identity: peer, Epoch: 8, PeerEpoch: s.localEpoch}))
	require.False(t, attachTo(t, h, stale))
	require.True(t, h.Queue(peer.Incarnation, protocol.Message{Close: &protocol.Close{Below: 9}}))
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Len(t, s.nextBatch(10).Messages, 1)
}

// TestBeginOfClosedSessionIsRefused delivers a begin after this process has closed
// the session that it names. The messages that follow on the connection are
// numbered for the closed session, so a new one must not accept it.
func TestBeginOfClosedSessionIsRefused(t *testing.T) {
	h, peer := startHub(t, protocol.RoleAgent)
	s := h.ensureSession(peer)
	late := hello{Identity: peer, Epoch: 7, PeerEpoch: s.localEpoch}
	h.closeSession(s)
	near, far := net.Pipe()
	t.Cleanup(func() { far.Close() })
	params, err := json.Marshal(late)
	require.NoError(t, err)
	require.Error(t, h.handleBegin(h.newConn(near), params))
	require.False(t, h.Queue(peer.Incarnation, protocol.Message{Close: &protocol.Close{}}), "no session is open")
}

// TestHelloCountingUnsentMessagesIsRefused attaches a peer that claims to have
// received messages that were never queued in this session. Accepting the count
// would cause a panic at the next write. The hello is refused instead, so that
// both sides close the session and start a new one.
func TestHelloCountingUnsentMessagesIsRefused(t *testing.T) {
	h, peer := startHub(t, protocol.RoleAgent)
	s := h.ensureSession(peer)
	reconnect := hello{Identity: peer, Epoch: 7, PeerEpoch: s.localEpoch}
	require.True(t, attachTo(t, h, reconnect))
	for i := range uint64(3) {
		require.True(t, h.Queue(peer.Incarnation, protocol.Message{Close: &protocol.Close{Below: i}}))
	}
	reconnect.Received = 4
	require.False(t, attachTo(t, h, reconnect))
	reconnect.Received = 3
	require.True(t, attachTo(t, h, reconnect))
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Empty(t, s.nextBatch(10).Messages)
}
