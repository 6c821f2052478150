package messenger

import (
	"encoding/json"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
)

// startHub returns a started Hub without addresses, and the identity of a peer.
func startHub(t *testing.T, peer protocol.Role) (*Hub, protocol.Identity) {
	h := &Hub{Self: protocol.Identity{Name: "a", Role: protocol.RoleEntry}.WithNewIncarnation()}
	h.Start(nil)
	t.Cleanup(h.Stop)
	return h, protocol.Identity{Name: "b", Role: peer}.WithNewIncarnation()
}

// attachTo attaches a new connection to the session with the peer of the hello.
func attachTo(t *testing.T, h *Hub, peer hello) bool {
	near, far := net.Pipe()
	t.Cleanup(func() { far.Close() })
	w := h.newWire(near)
	t.Cleanup(w.close)
	return h.attach(w, h.session(peer.Identity), peer, true)
}

// A peer gives its session up while a greeting that it sent before is on its
// way on a second connection. The greeting must not bring the old session back:
// its count of messages does not belong to the new one.
func TestGreetingOfAnEarlierSessionIsRefused(t *testing.T) {
	h, peer := startHub(t, protocol.RoleEntry)
	s := h.session(peer)
	before := hello{Identity: peer, Epoch: 7, PeerEpoch: s.epoch}
	require.True(t, attachTo(t, h, before))
	for i := range uint64(3) {
		require.True(t, h.Queue(peer.Incarnation, protocol.Message{Close: &protocol.Close{Below: i}}))
	}
	s.mu.Lock()
	s.next(10)
	s.mu.Unlock()
	stale := before
	stale.Received = 3

	require.True(t, attachTo(t, h, hello{Identity: peer, Epoch: 8, PeerEpoch: s.epoch}))
	require.False(t, attachTo(t, h, stale))
	require.True(t, h.Queue(peer.Incarnation, protocol.Message{Close: &protocol.Close{Below: 9}}))
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Len(t, s.next(10).Messages, 1)
}

// A connection's beginning arrives after this process has given up the session
// that it was meant for: what follows on it is numbered for that session.
func TestBeginningOfAnEarlierSessionIsRefused(t *testing.T) {
	h, peer := startHub(t, protocol.RoleAgent)
	before := h.session(peer)
	late := hello{Identity: peer, Epoch: 7, PeerEpoch: before.epoch}
	h.giveUp(before)
	near, far := net.Pipe()
	t.Cleanup(func() { far.Close() })
	params, err := json.Marshal(late)
	require.NoError(t, err)
	require.Error(t, h.begin(h.newWire(near), params))
	require.False(t, h.Queue(peer.Incarnation, protocol.Message{Close: &protocol.Close{}}), "no session is open")
}

// A peer that counts messages that this session never had means another
// session, by whatever fault: it is not let in, and both sides give up and begin
// anew. Taking its count would end the process when it next writes.
func TestPeerThatCountsTooManyMessagesIsRefused(t *testing.T) {
	h, peer := startHub(t, protocol.RoleAgent)
	s := h.session(peer)
	known := hello{Identity: peer, Epoch: 7, PeerEpoch: s.epoch}
	require.True(t, attachTo(t, h, known))
	for i := range uint64(3) {
		require.True(t, h.Queue(peer.Incarnation, protocol.Message{Close: &protocol.Close{Below: i}}))
	}
	known.Received = 4
	require.False(t, attachTo(t, h, known))
	known.Received = 3
	require.True(t, attachTo(t, h, known))
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Empty(t, s.next(10).Messages)
}
