package tests

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/internal/relayer"
	"mustardlever.dev/mustardlever/platform/standin"
	"mustardlever.dev/mustardlever/server"
)

// Guards against a job plan that submits the job, shows no agents, or exits with another
// code than the other commands.
func TestControllerPlansJob(t *testing.T) {
	f := newPlatformFleet(t, 1, 2)
	address := f.entries[0].operatorAddress
	job := standin.Job(3, standin.Work{DurationMillis: 50, Millicores: taskMillicores})
	write := func(content string) string {
		name := filepath.Join(t.TempDir(), "plan.json")
		require.NoError(t, os.WriteFile(name, []byte(content), 0o600))
		return name
	}
	withRoute := write(fmt.Sprintf(`{"host":%q,"path":%q,"job":%s}`, routeHost, routePrefix, job))
	bare := write(job)

	out, code := runController(t, "-o", "json", "job", "plan", "--operator", address, withRoute)
	require.Zero(t, code, out)
	var v server.PlanView
	require.NoError(t, json.Unmarshal([]byte(out), &v), out)
	require.Equal(t, server.PlanStarts, v.Decision)
	require.Equal(t, 3, v.Starts)
	require.Len(t, v.Agents, 2)
	require.Equal(t, v.Next, v.Agents[0].Agent)

	for _, args := range [][]string{
		{withRoute}, {"--service", "access-desk", bare}, {"--host", routeHost, "--path", routePrefix, bare}, {"--service", "access-desk", withRoute},
	} {
		out, code := runController(t, append([]string{"job", "plan", "--operator", address}, args...)...)
		require.Zero(t, code, out)
		require.Contains(t, out, "starts: the next task goes to ", args)
		require.Contains(t, out, "FREE CORES", args)
	}
	for name, test := range map[string]struct {
		args []string
		code int
	}{
		"no file":             {[]string{"--operator", address}, 2},
		"missing file":        {[]string{"--operator", address, "does-not-exist"}, 2},
		"not JSON":            {[]string{"--operator", address, write("{")}, 2},
		"neither":             {[]string{"--operator", address, bare}, 2},
		"no operator":         {[]string{withRoute}, 2},
		"unknown service":     {[]string{"--operator", address, "--service", "other", bare}, 4},
		"unknown route":       {[]string{"--operator", address, "--host", "other.example", withRoute}, 4},
		"not an entry":        {[]string{"--operator", f.agents[0].operatorAddress, withRoute}, 4},
		"unreachable process": {[]string{"--operator", relayer.NewAddress(), withRoute}, 1},
	} {
		out, code := runController(t, append([]string{"job", "plan"}, test.args...)...)
		require.Equal(t, test.code, code, fmt.Sprint(name, ": ", out))
		require.NotContains(t, out, "runtime.main", name)
	}
	time.Sleep(100 * time.Millisecond) // a submitted job would have started
	require.Zero(t, f.checker.Starts(jobID(0)))
	var jobs []server.JobsView
	require.NoError(t, get(address, "/v1/jobs", &jobs))
	require.Zero(t, jobs[0].Unfinished)
	requireSeries(t, f.entries[0], "waiting_tasks 0", "room_cores 16")
}
