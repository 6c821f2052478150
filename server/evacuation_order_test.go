package server

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/protocol"
)

// probe is a process that records the messages that it receives.
type probe struct {
	hub      messenger.Hub
	mu       sync.Mutex
	messages map[string][]protocol.Message // by the name of the sender
}

// startProbe starts a probe with a role. It listens if l is not nil.
func startProbe(t *testing.T, role protocol.Role, name string, l net.Listener) *probe {
	p := &probe{messages: make(map[string][]protocol.Message)}
	p.hub.Self = protocol.Identity{Name: name, Role: role, Zone: "b"}.WithNewIncarnation()
	if l != nil {
		p.hub.Self.Address = l.Addr().String()
	}
	p.hub.Settings = platformMessenger()
	p.hub.Deliver = func(from protocol.Identity, m protocol.Message) {
		p.mu.Lock()
		p.messages[from.Name] = append(p.messages[from.Name], m)
		p.mu.Unlock()
	}
	p.hub.Start(l)
	t.Cleanup(p.hub.Stop)
	return p
}

// await returns the messages of a sender up to the first that is wanted.
func (p *probe) await(t *testing.T, sender string, wanted func(protocol.Message) bool) []protocol.Message {
	var received []protocol.Message
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		for i, m := range p.messages[sender] {
			if wanted(m) {
				received = p.messages[sender][:i+1]
				return true
			}
		}
		return false
	}, 10*time.Second, time.Millisecond)
	return received
}

// TestEvacuationsComeFirst guards against a process that learns of the configuration, or
// offers a server, before it could know that a zone is evacuated: an entry tells another
// entry before the version of its configuration, and an agent tells an entry before it
// announces itself.
func TestEvacuationsComeFirst(t *testing.T) {
	s := newEvacuationSite(t)
	s.store.set("b", true)
	e := s.startEntry("entry-1")
	peer := startProbe(t, protocol.RoleEntry, "probe", mustListen(t))
	s.startAgent("agent-b", "b")
	s.awaitState("b")

	peer.hub.KeepConnected(s.address["entry-1"])
	received := peer.await(t, "entry-1", func(m protocol.Message) bool { return m.Configuration != nil })
	first := func(messages []protocol.Message) protocol.Message {
		for _, m := range messages {
			if m.Entries == nil { // addresses have nothing to do with zones
				return m
			}
		}
		return protocol.Message{}
	}
	require.NotNil(t, first(received).Evacuations)
	require.Equal(t, e.Evacuations().Report(), *first(received).Evacuations)

	again := startProbe(t, protocol.RoleEntry, "probe-2", mustListen(t))
	s.agents["agent-b"].AddEntries([]string{again.hub.Self.Address})
	received = again.await(t, "agent-b", func(m protocol.Message) bool { return m.Announce != nil })
	require.NotNil(t, first(received).Evacuations)
	require.Zero(t, received[len(received)-1].Announce.Load.Free.CPU, "no capacity is offered")
}

func mustListen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}
