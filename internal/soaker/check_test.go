package soaker

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/platform/standin"
)

// newSoak returns a run in which nothing was seen yet.
func newSoak() *soak {
	return &soak{system: system{Settings: Settings{Say: func(string, ...any) {}}}, begin: time.Now()}
}

// Each check says nothing of what may be, and names what must not be.
func TestChecks(t *testing.T) {
	from := time.Now()
	completed := standin.Answer{Status: http.StatusOK, Body: `{"state":"completed"}`}
	failed := standin.Answer{Status: http.StatusOK, Body: `{"state":"failed"}`}
	refused := standin.Answer{Status: http.StatusServiceUnavailable}
	during := span{from, from.Add(2 * time.Second)}
	good := func() *job {
		return &job{id: "a", answer: failed, fails: true, begin: from, took: time.Second, tries: 1}
	}
	tests := map[string]struct {
		check func(*soak)
		want  string // empty: nothing is broken
	}{
		"answer":            {func(k *soak) { k.checkAnswer(good()) }, ""},
		"no answer":         {func(k *soak) { j := good(); j.answer.Status = 504; k.checkAnswer(j) }, ""},
		"wrongly completed": {func(k *soak) { j := good(); j.answer = completed; k.checkAnswer(j) }, "is told as completed"},
		"wrongly failed":    {func(k *soak) { j := good(); j.fails = false; k.checkAnswer(j) }, "is told as failed"},
		"not whole": {func(k *soak) {
			j := good()
			j.answer, j.fails, j.tasks = completed, false, 2
			k.checkAnswer(j)
		}, "with 0 of 2 tasks done"},
		"other answer": {func(k *soak) { j := good(); j.answer.Body = "{}"; k.checkAnswer(j) }, `has the answer "{}"`},

		"refused":           {func(k *soak) { k.checkAttempt(attempt{answer: refused, alone: true}) }, ""},
		"refused, may run":  {func(k *soak) { k.checkAttempt(attempt{answer: refused, starts: 1}) }, ""},
		"refused, ran":      {func(k *soak) { k.checkAttempt(attempt{answer: refused, starts: 1, alone: true}) }, "was refused by entry-1 and has run"},
		"recovered":         {func(k *soak) { k.jobs = []*job{good()}; k.checkCalm(during) }, ""},
		"nothing came":      {func(k *soak) { k.checkCalm(during) }, "no job came"},
		"slow in calm":      {func(k *soak) { j := good(); j.took = 4 * time.Second; k.jobs = []*job{j}; k.checkCalm(during) }, "after 4s"},
		"unserved in calm":  {func(k *soak) { j := good(); j.answer.Status = 0; k.jobs = []*job{j}; k.checkCalm(during) }, "status 0"},
		"refused in calm":   {func(k *soak) { j := good(); j.tries = 2; k.jobs = []*job{j, j}; k.checkCalm(during) }, "2 of 2 jobs"},
		"planned":           {func(k *soak) { k.attempts = []attempt{{end: from, answer: failed, starts: 1}}; k.checkPlanned(during) }, ""},
		"cut when planned":  {func(k *soak) { k.attempts = []attempt{{end: from, starts: 1}}; k.checkPlanned(during) }, "was cut at entry-1"},
		"cut in the storm":  {func(k *soak) { k.attempts = []attempt{{end: from.Add(-1), starts: 1}}; k.checkPlanned(during) }, ""},
		"cut before a byte": {func(k *soak) { k.attempts = []attempt{{end: from}}; k.checkPlanned(during) }, ""},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			k := newSoak()
			x.check(k)
			if x.want == "" {
				require.Empty(t, k.report.Broken)
				return
			}
			require.Len(t, k.report.Broken, 1)
			require.Contains(t, k.report.Broken[0], x.want)
		})
	}
}

// A promise of time is not judged over a span in which the soak itself stood
// still; others are.
func TestStallsVoidPromisesOfTime(t *testing.T) {
	k := newSoak()
	now := time.Now()
	k.stalls = []span{{now, now.Add(time.Second)}}
	k.checkCalm(span{now.Add(2 * time.Second), now.Add(4 * time.Second)})
	require.Empty(t, k.report.Broken)
	require.Len(t, k.report.Void, 1)
	k.checkCalm(span{now.Add(20 * time.Second), now.Add(24 * time.Second)})
	require.Len(t, k.report.Broken, 1)
	k.checkAttempt(attempt{answer: standin.Answer{Status: http.StatusServiceUnavailable}, starts: 1, alone: true})
	require.Len(t, k.report.Broken, 2)
}
