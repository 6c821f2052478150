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

// logs ends all processes and reads what they and earlier ones have logged.
func (h *hosted) logs(earlier ...[]byte) *explainer.Log {
	log := new(explainer.Log)
	for _, p := range append(append([]*process{}, h.entries...), h.agents...) {
		p.kill()
		earlier = append(earlier, p.log.Bytes())
	}
	for _, text := range earlier {
		require.NoError(h.t, log.Read(bytes.NewReader(text)))
	}
	require.Zero(h.t, log.Unreadable)
	return log
}

// The three kinds of failed request of docs/OPERATIONS.md are told from the
// lines that real processes write.
func TestHostedRequestsAreExplained(t *testing.T) {
	h := newHosted(t, 2, 2)
	var wg sync.WaitGroup
	var mu sync.Mutex
	refused := ""
	for n := range 80 {
		wg.Go(func() {
			id := hostedID(n + 1)
			status, _ := post(h.entries[0], id, standin.Job(3, standin.Work{Millis: 900, CPU: taskCPU}))
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusServiceUnavailable {
				refused = id
			}
		})
	}
	wg.Wait()
	require.NotEmpty(t, refused)

	faulty, lost := hostedID(1001), hostedID(1002)
	status, _ := post(h.entries[1], faulty, standin.Job(1, standin.Work{Millis: 20, CPU: taskCPU, Fail: true}))
	require.Equal(t, http.StatusOK, status)
	wg.Go(func() { post(h.entries[0], lost, standin.Job(2, standin.Work{Millis: 3000, CPU: taskCPU})) })
	require.Eventually(t, func() bool { return h.judge.Starts(lost) == 2 }, 5*time.Second, 5*time.Millisecond)
	h.entries[0].kill()
	before := h.entries[0].log.Bytes()
	wg.Wait()
	h.restart(h.entries[0])
	require.Eventually(t, func() bool { return h.isReady(0) }, 5*time.Second, 10*time.Millisecond)

	log := h.logs(before)
	for id, verdict := range map[string]explainer.Verdict{
		refused: explainer.VerdictRefused, faulty: explainer.VerdictFaultyJob, lost: explainer.VerdictEntryLost,
	} {
		x, err := log.Explain(id)
		require.NoError(t, err)
		require.Equal(t, verdict, x.Verdict, "%s", x)
	}
}
