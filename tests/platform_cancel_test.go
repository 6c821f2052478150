package tests

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/internal/relayer"
	"mustardlever.dev/mustardlever/platform/standin"
)

// cancelJob sends DELETE for a job to an entry and returns the status, 0 without an answer.
func cancelJob(t *testing.T, e *process, id string) int {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodDelete, e.callerURL+routePrefix+id, nil)
	require.NoError(t, err)
	r.Host = routeHost
	response, err := (&http.Client{Timeout: 5 * time.Second}).Do(r)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// Guards against a job that goes on, or starts again, after it was cancelled at another entry
// than the one that has it, or by way of an entry that was cut off from the others when the
// cancel arrived and has been connected again.
func TestPlatformCancelAtOtherEntry(t *testing.T) {
	const failed = `{"state":"failed"}`
	for name, cut := range map[string]bool{"connected": false, "cut off meanwhile": true} {
		t.Run(name, func(t *testing.T) {
			f := newPlatformFleet(t, 2, 2)
			id, body := jobID(1), standin.Job(3, standin.Work{DurationMillis: 4000, Millicores: taskMillicores})
			type reply struct {
				status int
				answer string
			}
			replies := make(chan reply, 1)
			if !cut {
				go func() {
					status, answer := postJob(f.entries[0], id, body)
					replies <- reply{status, answer}
				}()
				require.Eventually(t, func() bool { return f.checker.Starts(id) == 3 }, 5*time.Second, 5*time.Millisecond)
			} else {
				f.entries[0].relay.SetFaults(relayer.Faults{Refuse: true}, "entry-2")
				f.entries[1].relay.SetFaults(relayer.Faults{Refuse: true}, "entry-1")
				time.Sleep(1500 * time.Millisecond) // the session of the entries is closed
			}
			require.Equal(t, http.StatusOK, cancelJob(t, f.entries[1], id))
			if !cut {
				require.Equal(t, reply{http.StatusOK, failed}, <-replies)
			} else {
				f.entries[0].relay.ClearFaults()
				f.entries[1].relay.ClearFaults()
				time.Sleep(2 * time.Second) // more than the longest pause before an entry is dialed again
			}
			starts := f.checker.Starts(id)
			for _, e := range f.entries {
				status, answer := postJob(e, id, body)
				require.Equal(t, reply{http.StatusOK, failed}, reply{status, answer})
			}
			require.Equal(t, starts, f.checker.Starts(id))
			require.Zero(t, f.checker.CompletedTasks(id))
		})
	}
}
