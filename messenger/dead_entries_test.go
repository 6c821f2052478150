package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
)

// An agent learns 30 addresses at which nothing answers, beside those of 4 entries.
// The attempts to reach them must neither keep the agent from the entries nor flood
// the network.
func TestDeadEntriesAreDialedRarely(t *testing.T) {
	const dead = 30
	for name, delay := range map[string]time.Duration{"refused": 0, "no answer": 250 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			settings := Settings{MaxEntries: 6, DialTimeout: 250 * time.Millisecond, MaxRedialDelay: 250 * time.Millisecond}
			ignore := func(protocol.Identity, protocol.Message) {}
			addresses := make([]string, 0, dead+4)
			for i := range dead {
				addresses = append(addresses, fmt.Sprintf("192.0.2.%d:7720", i))
			}
			for i := range 4 {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				entry := &Hub{Settings: settings, Deliver: ignore, Self: protocol.Identity{
					Name: fmt.Sprintf("entry-%d", i), Role: protocol.RoleEntry, Address: listener.Addr().String(),
				}.WithNewIncarnation()}
				entry.Start(listener)
				defer entry.Stop()
				addresses = append(addresses, listener.Addr().String())
			}
			var dials atomic.Int64
			agent := &Hub{Settings: settings, Deliver: ignore, Self: protocol.Identity{Name: "agent", Role: protocol.RoleAgent}.WithNewIncarnation()}
			agent.Dial = func(ctx context.Context, address string) (net.Conn, error) {
				if !strings.HasPrefix(address, "192.0.2.") {
					var d net.Dialer
					return d.DialContext(ctx, "tcp", address)
				}
				dials.Add(1)
				select {
				case <-ctx.Done():
				case <-time.After(delay):
				}
				return nil, errors.New("unreachable")
			}
			agent.Start(nil)
			defer agent.Stop()
			begin := time.Now()
			agent.KeepConnected(addresses...)
			require.Eventually(t, func() bool { return len(agent.Peers()) == 4 }, 10*time.Second, 10*time.Millisecond)
			t.Logf("connected to all entries after %v", time.Since(begin).Round(time.Millisecond))
			before := dials.Load()
			const measured = 3 * time.Second
			time.Sleep(measured)
			rate := float64(dials.Load()-before) / measured.Seconds()
			t.Logf("%.1f dials of dead addresses per second", rate)
			require.Less(t, rate, 80.0)
			require.Len(t, agent.Peers(), 4)
		})
	}
}
