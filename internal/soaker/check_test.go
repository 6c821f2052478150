package soaker

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/platform/standin"
)

// newSoak returns a run without records.
func newSoak() *soak {
	return &soak{system: system{Settings: Settings{Logf: func(string, ...any) {}}}, startTime: time.Now()}
}

// Guards against checks that report a violation where there is none, or miss one:
// each is run on records that are allowed and on records that are not.
func TestChecks(t *testing.T) {
	from := time.Now()
	completed := standin.Answer{Status: http.StatusOK, Body: `{"state":"completed"}`}
	failed := standin.Answer{Status: http.StatusOK, Body: `{"state":"failed"}`}
	refused := standin.Answer{Status: http.StatusServiceUnavailable}
	phase := interval{from, from.Add(2 * time.Second)}
	failedJob := func() *job {
		return &job{id: "a", answer: failed, fails: true, submittedAt: from, elapsed: time.Second, attempts: 1}
	}
	tests := map[string]struct {
		check func(*soak)
		want  string // part of the one violation; empty: no violation
	}{
		"answer":            {func(k *soak) { k.checkAnswer(failedJob()) }, ""},
		"no answer":         {func(k *soak) { j := failedJob(); j.answer.Status = 504; k.checkAnswer(j) }, ""},
		"wrongly completed": {func(k *soak) { j := failedJob(); j.answer = completed; k.checkAnswer(j) }, "fails but was reported as completed"},
		"wrongly failed":    {func(k *soak) { j := failedJob(); j.fails = false; k.checkAnswer(j) }, "was reported as failed"},
		"wrongly given up":  {func(k *soak) { k.Liberties = true; j := failedJob(); j.fails = false; k.checkAnswer(j) }, "was reported as failed"},
		"wrongly given up, clock set back": {func(k *soak) {
			k.ReportFaults = []Kind{RestartSetBack}
			j := failedJob()
			j.fails = false
			k.checkAnswer(j)
		}, "was reported as failed"},
		"incomplete": {func(k *soak) {
			j := failedJob()
			j.answer, j.fails, j.tasks = completed, false, 2
			k.checkAnswer(j)
		}, "with 0 of 2 tasks done"},
		"unexpected answer": {func(k *soak) { j := failedJob(); j.answer.Body = "{}"; k.checkAnswer(j) }, `got the unexpected answer "{}"`},

		"refused":                          {func(k *soak) { k.checkAttempt(attempt{answer: refused, exclusive: true}) }, ""},
		"refused, earlier attempt may run": {func(k *soak) { k.checkAttempt(attempt{answer: refused, starts: 1}) }, ""},
		"refused, ran":                     {func(k *soak) { k.checkAttempt(attempt{answer: refused, starts: 1, exclusive: true}) }, "was refused by entry-1 but has run"},
		"recovered":                        {func(k *soak) { k.jobs = []*job{failedJob()}; k.checkSteady(phase) }, ""},
		"no job":                           {func(k *soak) { k.checkSteady(phase) }, "no job was submitted"},
		"slow in steady phase":             {func(k *soak) { j := failedJob(); j.elapsed = 4 * time.Second; k.jobs = []*job{j}; k.checkSteady(phase) }, "after 4s"},
		"unserved in steady phase":         {func(k *soak) { j := failedJob(); j.answer.Status = 0; k.jobs = []*job{j}; k.checkSteady(phase) }, "status 0"},
		"retried in steady phase":          {func(k *soak) { j := failedJob(); j.attempts = 2; k.jobs = []*job{j, j}; k.checkSteady(phase) }, "2 of 2 jobs"},
		"served in maintenance": {func(k *soak) {
			k.attempts = []attempt{{endedAt: from, answer: failed, starts: 1}}
			k.checkMaintenance(phase)
		}, ""},
		"unanswered in maintenance":     {func(k *soak) { k.attempts = []attempt{{endedAt: from, starts: 1}}; k.checkMaintenance(phase) }, "got no answer from entry-1 in a maintenance phase"},
		"unanswered before maintenance": {func(k *soak) { k.attempts = []attempt{{endedAt: from.Add(-1), starts: 1}}; k.checkMaintenance(phase) }, ""},
		"unanswered before a start":     {func(k *soak) { k.attempts = []attempt{{endedAt: from}}; k.checkMaintenance(phase) }, ""},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			k := newSoak()
			x.check(k)
			if x.want == "" {
				require.Empty(t, k.report.Violations)
				return
			}
			require.Len(t, k.report.Violations, 1)
			require.Contains(t, k.report.Violations[0], x.want)
		})
	}
}

// Guards against counting a violated timing guarantee when the soaker itself was
// stalled, as on an overloaded machine: such a violation is reported as inconclusive.
// Timing violations at other times and violations of other guarantees still count.
func TestStallMakesTimingViolationsInconclusive(t *testing.T) {
	k := newSoak()
	now := time.Now()
	k.stalls = []interval{{now, now.Add(time.Second)}}
	k.checkSteady(interval{now.Add(2 * time.Second), now.Add(4 * time.Second)})
	require.Empty(t, k.report.Violations)
	require.Len(t, k.report.Inconclusive, 1)
	k.checkSteady(interval{now.Add(20 * time.Second), now.Add(24 * time.Second)})
	require.Len(t, k.report.Violations, 1)
	k.checkAttempt(attempt{answer: standin.Answer{Status: http.StatusServiceUnavailable}, starts: 1, exclusive: true})
	require.Len(t, k.report.Violations, 2)
}
