package starter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
)

// takeLoad returns the load among the messages since the last call, nil if there is none.
func takeLoad(s *Starter) *protocol.Load {
	for _, o := range s.TakeDecisions().Messages {
		if o.Message.Load != nil {
			return o.Message.Load
		}
	}
	return nil
}

// Guards against a backend server that operators see as cold after its warm-up, when its
// free capacity does not change with it, or do not see as cold.
func TestColdIsReported(t *testing.T) {
	s := newColdStarter(1.5, 2)
	s.SendLoad()
	s.TakeDecisions()
	s.SetCold(testTime, 8*time.Second)
	s.SendLoad()
	l := takeLoad(s)
	require.NotNil(t, l)
	require.True(t, l.Cold)
	require.Equal(t, 10_000, l.Free.CPU, "the slack is left")
	s.SendLoad()
	require.Nil(t, takeLoad(s), "nothing has changed")
	s.AdvanceWarmUp(testTime.Add(8 * time.Second))
	s.SendLoad()
	l = takeLoad(s)
	require.NotNil(t, l)
	require.False(t, l.Cold)
}
