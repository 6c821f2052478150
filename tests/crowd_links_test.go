package tests

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/operator"
)

// agentIncarnations returns the incarnations of agents that an entry has sessions with.
func (f *platformFleet) agentIncarnations(e *process) []string {
	var p operator.Process
	if get(e.operatorAddress, "/v1/process", &p) != nil {
		return nil
	}
	var list []string
	for _, peer := range p.Peers {
		if peer.Role == "agent" {
			list = append(list, peer.Incarnation)
		}
	}
	return list
}

// silentCrowd is a number of clients that open links, say nothing, and come again after a
// pause when the entry closes them.
type silentCrowd struct {
	clients int
	from    net.IP // default: the address of the processes
	pause   time.Duration
	before  time.Duration // until the agent is restarted
}

// Guards against an entry that closes the link of its agent to make room for others, and
// against an agent that cannot connect while others fill the limit for links.
func TestAgentConnectsBesideCrowdOfLinks(t *testing.T) {
	requireAgentConnectsBeside(t, silentCrowd{clients: crowdOthers, pause: 50 * time.Millisecond, before: 3 * time.Second})
}

// Guards against a restarted agent whose connection waits behind those of another source that
// say nothing and come again at once.
func TestAgentConnectsBesideManySilentLinks(t *testing.T) {
	requireAgentConnectsBeside(t, silentCrowd{clients: crowdCallers, from: crowdAddress, pause: 5 * time.Millisecond, before: 2 * time.Second})
}

// requireAgentConnectsBeside checks that an agent keeps its link beside a crowd, and connects
// again after a restart.
func requireAgentConnectsBeside(t *testing.T, s silentCrowd) {
	buildCrowdDaemon(t)
	f := newCrowdFleet(t)
	before := f.agentIncarnations(f.entries[0])
	require.Len(t, before, 1)
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	address := f.settings["entry-1"]["link-address"].(string)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: s.from}, Timeout: time.Second}
	for range s.clients {
		crowd.Go(func() {
			for {
				c, err := dialer.Dial("tcp", address)
				if err == nil {
					c.SetReadDeadline(time.Now().Add(5 * time.Second))
					c.Read(make([]byte, 1)) // until the entry closes the connection
					c.Close()
				}
				select {
				case <-stop:
					return
				case <-time.After(s.pause):
				}
			}
		})
	}
	time.Sleep(s.before)
	require.Equal(t, before, f.agentIncarnations(f.entries[0]))
	f.agents[0].kill()
	f.restart(f.agents[0])
	require.Eventually(t, func() bool {
		now := f.agentIncarnations(f.entries[0])
		return len(now) == 1 && now[0] != before[0]
	}, readyTimeout, 20*time.Millisecond, "the agent does not connect again")
	close(stop)
	crowd.Wait()
}
