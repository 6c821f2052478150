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

// Guards against an entry that closes the link of its agent to make room for others, and
// against an agent that cannot connect while others fill the limit for links.
func TestAgentConnectsBesideCrowdOfLinks(t *testing.T) {
	buildCrowdDaemon(t)
	f := newCrowdFleet(t)
	before := f.agentIncarnations(f.entries[0])
	require.Len(t, before, 1)
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	address := f.settings["entry-1"]["link-address"].(string)
	for range crowdOthers {
		crowd.Go(func() {
			for {
				c, err := net.DialTimeout("tcp", address, time.Second)
				if err == nil {
					c.SetReadDeadline(time.Now().Add(5 * time.Second))
					c.Read(make([]byte, 1)) // until the entry closes the connection
					c.Close()
				}
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
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
