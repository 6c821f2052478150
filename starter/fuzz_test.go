package starter

import (
	"encoding/json"
	"testing"

	"mustardlever.dev/mustardlever/protocol"
)

// FuzzReceive delivers arbitrary messages of an entry to a Starter with a running
// task. No message may cause a panic.
func FuzzReceive(f *testing.F) {
	for _, seed := range []string{
		`{"start":{"agent":"agent.1","ticket":{"sequence":2},"task":-1,"request":{"need":{"cpu":-9223372036854775808}}}}`,
		`{"start":{"agent":"agent.1","session-bound":true,"attempt":-1}}`,
		`{"stop":{"ticket":{"owner":"owner.1","sequence":1},"tasks":[0,-1,99999]}}`,
		`{"seal":{"owner":""}}`, `{"fetch":{"ticket":{"sequence":18446744073709551615}}}`, `{"close":{"owner":"owner.1","below":18446744073709551615}}`, `{}`,
	} {
		f.Add([]byte(seed), []byte(seed))
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		s := newStarter()
		_, runs := requestStart(s, 1)
		for _, content := range [][]byte{first, second} {
			var m protocol.Message
			if json.Unmarshal(content, &m) != nil {
				return
			}
			s.Receive(testOwner, m)
			s.SendLoad()
			runs = append(runs, s.TakeDecisions().Starts...)
		}
		for _, r := range runs {
			s.Finish(r.ID, nil)
		}
		s.EntryLost(testTime, testOwner)
		s.Tick(testTime.Add(defaultOwnerRetention))
		s.TakeDecisions()
	})
}
