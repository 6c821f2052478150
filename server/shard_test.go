package server

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/recorder"
)

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// startEntry starts an entry that connects to the given others, and returns it and its
// link address.
func startEntry(t *testing.T, name string, entries ...string) (*Entry, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &Entry{
		Settings: EntrySettings{Identity: protocol.Identity{Name: name, Role: protocol.RoleEntry}, Entries: entries, AddAnnouncedServices: true},
		Log:      discardLog(), Recorder: new(recorder.Recorder),
	}
	e.Start(l)
	t.Cleanup(e.Stop)
	return e, l.Addr().String()
}

// Entries are usually connected before the first agent announces a service. Losses
// that an agent reports later reach the other entries nevertheless.
func TestServerLossesReachEntriesConnectedEarlier(t *testing.T) {
	first, address := startEntry(t, "entry-1")
	second, _ := startEntry(t, "entry-2", address)
	require.Eventually(t, func() bool { return len(first.Peers()) == 1 && len(second.Peers()) == 1 }, 5*time.Second, time.Millisecond)
	agent := protocol.Identity{Name: "agent", Incarnation: "agent.1", Role: protocol.RoleAgent}
	first.deliver(agent, protocol.Message{Service: "desk", Announce: &protocol.Announce{}})
	for attempt := range 3 {
		loss := protocol.ServerLoss{Task: "a.0.0.0", Attempt: attempt, Agent: agent.Incarnation}
		first.deliver(agent, protocol.Message{Service: "desk", ServerLosses: []protocol.ServerLoss{loss}})
	}
	job := coordinator.Job{Name: "a", Tasks: []protocol.Request{{Name: "a.0.0.0"}}, Restart: coordinator.RestartPolicy{MaxAttempts: 3}, DeadlineMillis: 20}
	require.Eventually(t, func() bool {
		answer, err := second.RunSync(t.Context(), "desk", job)
		return err == nil && answer.Reason == protocol.ReasonServersLost
	}, 5*time.Second, 10*time.Millisecond)
}

// An entry that has just started learns of losses before any agent has announced the
// service. It must keep them.
func TestServerLossesAddService(t *testing.T) {
	e := &Entry{Settings: EntrySettings{AddAnnouncedServices: true}, Log: discardLog()}
	require.Nil(t, e.shardFor(protocol.Message{Service: "desk", Load: &protocol.Load{}}))
	losses := []protocol.ServerLoss{{Task: "a.0.0.0", Attempt: 1, Agent: "agent.1"}}
	require.NotNil(t, e.shardFor(protocol.Message{Service: "desk", ServerLosses: losses}))
}
