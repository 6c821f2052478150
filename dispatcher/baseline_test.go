package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/sizer"
)

// Under a baseline a later job with an earlier due time waits its turn, and
// agents are used as the baseline says, within their room.
func TestBaselines(t *testing.T) {
	for _, b := range []dispatcher.Baseline{
		dispatcher.BaselineArrival, dispatcher.BaselineRoundRobin, dispatcher.BaselineRandom, dispatcher.BaselineLeastOfTwo,
	} {
		t.Run(string(b), func(t *testing.T) {
			d := &dispatcher.Dispatcher[string]{Settings: dispatcher.Settings{Baseline: b}}
			d.Init(begin)
			for _, a := range []string{"a", "b", "c"} {
				d.AddAgent(a, sizer.Slots(8), nil)
				room(d, a, 2)
			}
			first := &dispatcher.Job[string]{Value: "first", Arrived: begin, Due: begin.Add(-time.Second), Need: sizer.Slots(1)}
			urgent := &dispatcher.Job[string]{Value: "urgent", Arrived: begin.Add(time.Millisecond), Due: begin.Add(time.Second), Need: sizer.Slots(1)}
			d.Add(first, 3, 3)
			d.Add(urgent, 4, 4)
			d.Tick(begin)
			var jobs, agents []string
			used := make(map[string]int)
			for range 6 {
				j, a := next(t, d)
				jobs, agents = append(jobs, j), append(agents, a)
				used[a]++
			}
			none(t, d)
			require.Equal(t, []string{"first", "first", "first", "urgent", "urgent", "urgent"}, jobs)
			require.Equal(t, map[string]int{"a": 2, "b": 2, "c": 2}, used)
			if b == dispatcher.BaselineRoundRobin {
				require.Equal(t, []string{"b", "c", "a", "b", "c", "a"}, agents)
			}
		})
	}
}
