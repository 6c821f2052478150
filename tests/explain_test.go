package tests

import (
	"bytes"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/explainer"
	"mustardlever.dev/mustardlever/platform/standin"
)

// killAndReadLogs kills all processes and reads their logs and the given logs of
// earlier processes.
func (f *platformFleet) killAndReadLogs(earlier ...[]byte) *explainer.Log {
	log := new(explainer.Log)
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		p.kill()
		earlier = append(earlier, p.log.Bytes())
	}
	for _, text := range earlier {
		require.NoError(f.t, log.Read(bytes.NewReader(text)))
	}
	require.Zero(f.t, log.Unreadable)
	return log
}

// Guards against log lines that no longer identify the three kinds of failed
// requests in docs/OPERATIONS.md: refused, failed by the job, and lost with its
// entry. The log lines come from daemon processes.
func TestFailedRequestsAreExplained(t *testing.T) {
	f := newPlatformFleet(t, 2, 2)
	var wg sync.WaitGroup
	var mu sync.Mutex
	refused := ""
	for n := range 80 {
		wg.Go(func() {
			id := jobID(n + 1)
			status, _ := postJob(f.entries[0], id, standin.Job(3, standin.Work{DurationMillis: 900, Millicores: taskMillicores}))
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusServiceUnavailable {
				refused = id
			}
		})
	}
	wg.Wait()
	require.NotEmpty(t, refused)

	faulty, lost := jobID(1001), jobID(1002)
	status, _ := postJob(f.entries[1], faulty, standin.Job(1, standin.Work{DurationMillis: 20, Millicores: taskMillicores, Fail: true}))
	require.Equal(t, http.StatusOK, status)
	wg.Go(func() {
		postJob(f.entries[0], lost, standin.Job(2, standin.Work{DurationMillis: 3000, Millicores: taskMillicores}))
	})
	require.Eventually(t, func() bool { return f.checker.Starts(lost) == 2 }, 5*time.Second, 5*time.Millisecond)
	f.entries[0].kill()
	before := f.entries[0].log.Bytes()
	wg.Wait()
	f.restart(f.entries[0])
	require.Eventually(t, func() bool { return f.isEntryReady(0) }, 5*time.Second, 10*time.Millisecond)

	log := f.killAndReadLogs(before)
	for id, verdict := range map[string]explainer.Verdict{
		refused: explainer.VerdictRefused, faulty: explainer.VerdictFaultyJob, lost: explainer.VerdictEntryLost,
	} {
		x, err := log.Explain(id)
		require.NoError(t, err)
		require.Equal(t, verdict, x.Verdict, "%s", x)
	}
}
