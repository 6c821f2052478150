package loadgenerator_test

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/loadgenerator"
)

const plan = `{
  // Two kinds, and a burst.
  "seconds": 10, "seed": 3, "entries": ["a", "b"],
  "bursts": [{"at-s": 4, "for-s": 2, "times": 5}],
  "kinds": [
    {"name": "short", "service": "desk", "rate": 50, "tasks": {"least": 1, "most": 4}, "work-ms": {"least": 20, "most": 60}, "due-ms": 50},
    {"name": "long", "host": "h", "prefix": "/l/", "rate": 5, "tasks": {"least": 9, "most": 9}, "work-ms": {"least": 900, "most": 900}, "fails": 0.5}
  ]
}`

func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, err := loadgenerator.Parse("plan.json", []byte(plan))
		require.NoError(t, err)
		var burst atomic.Int64
		begin := time.Now()
		g := loadgenerator.Generator{Plan: p, Submit: func(_ context.Context, j loadgenerator.Job) (loadgenerator.Outcome, int) {
			if at := time.Since(begin); at >= 4*time.Second && at < 6*time.Second {
				burst.Add(1)
			}
			time.Sleep(time.Duration(j.WorkMillis) * time.Millisecond)
			if j.Fails {
				return loadgenerator.OutcomeFailed, 3
			}
			return loadgenerator.OutcomeCompleted, 1
		}}
		results := g.Run(t.Context())
		short, long := results[0], results[1]
		require.InDelta(t, 50*8+50*5*2, short.Submitted, 100, "arrivals do not wait for answers")
		require.InDelta(t, 275*2, burst.Load(), 120)
		require.Equal(t, short.Submitted, short.Completed)
		require.InDelta(t, 40, short.Median, 3)
		require.InDelta(t, 60, short.Max, 1)
		require.InDelta(t, 0.75, float64(short.InTime)/float64(short.Submitted), 0.1)
		require.Equal(t, long.Submitted, long.Completed+long.Failed)
		require.Equal(t, long.Submitted+2*long.Failed, long.Attempts)
		require.InDelta(t, 900, long.Median, 1)
	})
}

func TestParseReportsAllMistakes(t *testing.T) {
	_, err := loadgenerator.Parse("plan.json", []byte(`{"seconds": 0, "entries": [], "sead": 1}`))
	require.ErrorContains(t, err, `plan.json:1:31: unknown key "sead"; did you mean "seed"?`)
	_, err = loadgenerator.Parse("plan.json", []byte(`{"seconds": 1, "entries": ["a"], "kinds": [{"name": "x", "rate": 1, "tasks": {"least": 5, "most": 2}}]}`))
	require.ErrorContains(t, err, "kinds/0: expected a service, or a host and a prefix")
	require.ErrorContains(t, err, "kinds/0/tasks: found 5 to 2, expected a range within 1 to 270")
}

func TestExamplePlanIsValid(t *testing.T) {
	text, err := os.ReadFile("../examples/load.json")
	require.NoError(t, err)
	p, err := loadgenerator.Parse("load.json", text)
	require.NoError(t, err)
	require.Len(t, p.Kinds, 1)
}

func ExampleParse() {
	_, err := loadgenerator.Parse("plan.json", []byte(`{"seconds": -1}`))
	fmt.Println(err)
	// Output:
	// check: invalid: plan.json:1:1: entries: expected at least one entry address
	// plan.json:1:1: kinds: expected at least one kind of jobs
	// plan.json:1:13: seconds: found -1, expected more than 0
}
