package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/sizer"
)

// Under every baseline, jobs start in order of arrival even if a later one is due
// earlier, and no agent gets more tasks than it has free capacity. Round robin
// uses the agents in turn.
func TestBaselines(t *testing.T) {
	for _, b := range []dispatcher.Baseline{
		dispatcher.BaselineArrival, dispatcher.BaselineRoundRobin, dispatcher.BaselineRandom, dispatcher.BaselineLeastOfTwo,
	} {
		t.Run(string(b), func(t *testing.T) {
			d := &dispatcher.Dispatcher[string]{Settings: dispatcher.Settings{Baseline: b}}
			d.Init(startTime)
			for _, a := range []string{"a", "b", "c"} {
				d.AddAgent(a, sizer.Slots(8), nil)
				reportFree(d, a, 2)
			}
			first := &dispatcher.Job[string]{Value: "first", Arrived: startTime, Due: startTime.Add(-time.Second), Need: sizer.Slots(1)}
			urgent := &dispatcher.Job[string]{Value: "urgent", Arrived: startTime.Add(time.Millisecond), Due: startTime.Add(time.Second), Need: sizer.Slots(1)}
			d.Add(first, 3, 3)
			d.Add(urgent, 4, 4)
			d.Tick(startTime)
			var jobs, agents []string
			used := make(map[string]int)
			for range 6 {
				j, a := nextStart(t, d)
				jobs, agents = append(jobs, j), append(agents, a)
				used[a]++
			}
			requireNoStart(t, d)
			require.Equal(t, []string{"first", "first", "first", "urgent", "urgent", "urgent"}, jobs)
			require.Equal(t, map[string]int{"a": 2, "b": 2, "c": 2}, used)
			if b == dispatcher.BaselineRoundRobin {
				require.Equal(t, []string{"b", "c", "a", "b", "c", "a"}, agents)
			}
		})
	}
}
