package coordinator

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
)

// FuzzReceive delivers arbitrary messages of an agent to a Coordinator that runs a
// job. No message may cause a panic, and time goes on afterwards.
func FuzzReceive(f *testing.F) {
	for _, seed := range []string{
		`{"outcome":{"ticket":{"sequence":1},"task":-1,"attempt":50,"result":{"status":200}}}`,
		`{"outcome":{"ticket":{"sequence":1},"task":9223372036854775807,"refusal":"closed"}}`,
		`{"load":{"free":{"cpu":-9223372036854775808},"received":18446744073709551615}}`,
		`{"announce":{"capacity":{"cpu":-5},"address":"x","labels":null,"load":{}}}`,
		`{"start-records":{"owner":"owner.1","records":[{"sequence":1,"task":-7}]}}`,
		`{"membership":{"members":[{"agent":""}]}}`, `{"finalize":{"job":null}}`, `{"sealed":{}}`, `{}`,
	} {
		f.Add([]byte(seed), []byte(seed))
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		c := newTestCoordinator()
		addAgents(c, testAgent)
		if _, _, err := c.RunSync(testStart, syncJob("a")); err != nil {
			require.NoError(t, err)
		}
		now := testStart
		for _, content := range [][]byte{first, second} {
			var m protocol.Message
			if json.Unmarshal(content, &m) != nil {
				return
			}
			c.Receive(now, testAgent, m)
			c.TakeDecisions()
			now = now.Add(50 * time.Millisecond)
			c.Tick(now)
		}
		c.AgentLost(now, testAgent)
		c.Tick(now.Add(time.Minute))
	})
}
