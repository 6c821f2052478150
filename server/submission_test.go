package server

import (
	"encoding/json"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/caller"
)

// Guards against a list of tasks that is decoded differently from a slice.
func TestTasksDecodeAsSlice(t *testing.T) {
	for _, text := range []string{
		`null`, `[]`, `[{}]`, ` [ {"path":"/x"} , {"body":{"a":[1,2]}} ] `, `[null]`, `[{"path":5}]`, `[{},{"timeout-ms":1.5}]`,
		`[1]`, `{}`, `"x"`, `5`, `[`, `[{}`, `[{},]`, `[{}]]`, `[[]]`, `[` + strings.Repeat(`{},`, 100) + `{}]`,
	} {
		var list taskList
		var slice []caller.Task
		listErr, sliceErr := json.Unmarshal([]byte(text), &list), json.Unmarshal([]byte(text), &slice)
		require.Equal(t, sliceErr == nil, listErr == nil, text)
		if sliceErr == nil {
			require.Len(t, slice, list.count, text)
			require.ElementsMatch(t, slice, list.kept, text)
		}
	}
	_, err := ParseSubmission([]byte(`{"tasks":[{"unknown":1}]}`))
	require.ErrorContains(t, err, "unknown field")
	_, err = ParseSubmission([]byte(`{"tasks":[{}],"unknown":1}`))
	require.ErrorContains(t, err, "unknown field")
	job, err := ParseSubmission([]byte(`{"tasks":[{"path":"/x"}],"idempotent":true,"deadline-ms":9}`))
	require.NoError(t, err)
	require.Equal(t, int64(9), job.DeadlineMillis)
	require.Equal(t, "/x", job.Tasks[0].Path)
}

// Guards against a submission of permitted size that needs a multiple of its size to be
// decoded.
func TestManyTasksNeedLittleMemory(t *testing.T) {
	body := []byte(`{"tasks":[{}` + strings.Repeat(",{}", 1_000_000) + `]}`)
	require.Less(t, len(body), caller.MaxBodyBytes)
	before, after := new(runtime.MemStats), new(runtime.MemStats)
	runtime.ReadMemStats(before)
	_, err := ParseSubmission(body)
	runtime.ReadMemStats(after)
	require.ErrorContains(t, err, "job has 1000001 tasks")
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(4*caller.MaxBodyBytes))
}
