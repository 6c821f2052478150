package apiserver_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/caller"
	"mustardlever.dev/mustardlever/internal/cluster"
	"mustardlever.dev/mustardlever/limiter"
)

// Guards against a submission of the permitted size that the limits do not admit, and
// against memory that is not released once its job is removed.
func TestLargestSubmissionIsServedWithinLimits(t *testing.T) {
	for _, s := range []limiter.Settings{{KeepsJobs: true}, {KeepsJobs: true, MemoryMiB: 96, Descriptors: 500}} {
		budget := limiter.NewBudget(s)
		c := newCluster(t, cluster.Settings{Entries: 1, Agents: 1, Budget: budget})
		body := []byte(`{"tasks":[{"body":{"id":"large","padding":"`)
		body = append(body, strings.Repeat("x", caller.MaxBodyBytes-len(body)-len(`"}}]}`))...)
		body = append(body, `"}}]}`...)
		require.Len(t, body, caller.MaxBodyBytes)
		response, err := http.Post(c.URLs[0]+"/v1/services/"+cluster.Service+"/jobs", "application/json", bytes.NewReader(body))
		require.NoError(t, err)
		var answer caller.Answer
		require.NoError(t, json.NewDecoder(response.Body).Decode(&answer))
		response.Body.Close()
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, caller.StateComplete, answer.State)
		require.Less(t, budget.HeldJobs.Used(), int64(10_000), "the request is not kept")
	}
}
