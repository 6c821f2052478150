package server

import (
	"testing"

	"mustardlever.dev/mustardlever/caller"
)

func FuzzParseSubmission(f *testing.F) {
	f.Add([]byte(`{"tasks":[{"path":"/x","body":{"a":1},"timeout-ms":5}],"deadline-ms":9}`))
	f.Add([]byte(`{"tasks":[{}]} x`))
	f.Fuzz(func(t *testing.T, body []byte) {
		job, err := ParseSubmission(body)
		if err == nil && (len(job.Tasks) < 1 || len(job.Tasks) > caller.MaxTasks || job.Digest == "") {
			t.Fatalf("accepted %q as %v", body, job)
		}
	})
}
