package messenger

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
)

// Guards against a peer that is taken for a process of the system without the key of the
// links, and against processes with the key that do not connect.
func TestOnlyPeersWithTheKeyConnect(t *testing.T) {
	for _, tt := range []struct {
		name, acceptor, dialer string
		connects               bool
	}{
		{"none", "", "", true},
		{"same", "one key", "one key", true},
		{"other", "one key", "other key", false},
		{"dialer without", "one key", "", false},
		{"acceptor without", "", "one key", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			ignore := func(protocol.Identity, protocol.Message) {}
			a := &Hub{Key: []byte(tt.acceptor), Deliver: ignore, Self: protocol.Identity{Name: "a", Role: protocol.RoleEntry, Address: listener.Addr().String()}.WithNewIncarnation()}
			b := &Hub{Key: []byte(tt.dialer), Deliver: ignore, Self: protocol.Identity{Name: "b", Role: protocol.RoleAgent}.WithNewIncarnation()}
			opened := make(chan *Hub, 10)
			for _, h := range []*Hub{a, b} {
				h.SessionOpened = func(protocol.Identity) {
					if tt.connects || len(h.Key) > 0 { // one without a key may take the other for a peer
						opened <- h
					}
				}
			}
			a.Start(listener)
			b.Start(nil)
			defer a.Stop()
			defer b.Stop()
			b.KeepConnected(listener.Addr().String())
			if tt.connects {
				for range 2 {
					select {
					case <-opened:
					case <-time.After(5 * time.Second):
						t.Fatal("no session was opened")
					}
				}
				return
			}
			time.Sleep(500 * time.Millisecond)
			require.Empty(t, opened)
		})
	}
}

// Guards against a proof that can be used again, by another process or from the other side.
func TestProofIsBoundToItsHandshake(t *testing.T) {
	key := []byte("one key")
	s := handshake{
		dialed: protocol.Identity{Name: "b", Incarnation: "b.1"}, accepted: protocol.Identity{Name: "a", Incarnation: "a.1"},
		dialedChallenge: newChallenge(), acceptedChallenge: newChallenge(),
	}
	proof := s.proof(key, proofOfDialed)
	require.True(t, s.isProof(key, proofOfDialed, proof))
	require.False(t, s.isProof(key, proofOfAccepted, proof))
	require.False(t, s.isProof(key, proofOfDialed, ""))
	for _, change := range []func(s *handshake){
		func(s *handshake) { s.acceptedChallenge = newChallenge() },
		func(s *handshake) { s.dialedChallenge = newChallenge() },
		func(s *handshake) { s.dialed.Incarnation = "b.2" },
		func(s *handshake) { s.accepted.Name = "c" },
	} {
		other := s
		change(&other)
		require.False(t, other.isProof(key, proofOfDialed, proof))
	}
}
