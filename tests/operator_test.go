package tests

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/executor"
	"mustardlever.dev/mustardlever/internal/relayer"
	"mustardlever.dev/mustardlever/platform/standin"
	"mustardlever.dev/mustardlever/server"
)

// runController runs mustardctl and returns its output and its exit code.
func runController(t *testing.T, args ...string) (string, int) {
	out, err := exec.Command(controllerPath, args...).CombinedOutput()
	var x *exec.ExitError
	if err != nil && !errors.As(err, &x) {
		t.Fatal(err)
	}
	if x != nil {
		return string(out), x.ExitCode()
	}
	return string(out), 0
}

// Guards against operator views that omit a running job, its agents, the
// configuration in use, or the age of a report from a backend server.
func TestOperatorViews(t *testing.T) {
	f := newPlatformFleet(t, 2, 2)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		postJob(f.entries[0], jobID(7), standin.Job(3, standin.Work{DurationMillis: 2000, Millicores: taskMillicores}))
	})
	require.Eventually(t, func() bool { return f.checker.Starts(jobID(7)) == 3 }, 5*time.Second, 5*time.Millisecond)
	time.Sleep(100 * time.Millisecond) // until the starts are acknowledged

	var jobs []server.JobsView
	require.NoError(t, get(f.entries[0].operatorAddress, "/v1/jobs", &jobs))
	require.Len(t, jobs, 1)
	require.Len(t, jobs[0].Jobs, 1)
	j := jobs[0].Jobs[0]
	require.Equal(t, jobID(7), j.Name)
	require.Equal(t, 3, j.Sent)
	require.NotEmpty(t, j.Agents)
	require.Positive(t, j.AgeMillis)

	runs := 0
	for _, a := range f.agents {
		var v executor.View
		require.NoError(t, get(a.operatorAddress, "/v1/backend-server", &v))
		require.True(t, v.Offered)
		require.True(t, v.Renewing)
		require.GreaterOrEqual(t, v.ReportAgeMillis, int64(0))
		runs += len(v.Runs)
	}
	require.Equal(t, 3, runs)

	var c server.ConfigurationView
	require.NoError(t, get(f.entries[1].operatorAddress, "/v1/configuration", &c))
	require.Equal(t, int64(1), c.Version)
	require.Equal(t, "store", c.Source)
	require.Len(t, c.Routes, 1)

	for _, command := range []string{"jobs", "configuration", "services", "process"} {
		out, code := runController(t, command, "--operator", f.entries[0].operatorAddress)
		require.Zero(t, code, out)
		require.NotEmpty(t, out)
	}
	out, code := runController(t, "-o", "json", "executors", "--operator", f.agents[0].operatorAddress, "--operator", f.agents[1].operatorAddress)
	require.Zero(t, code, out)
	require.True(t, json.Valid([]byte(out)), out)
}

// Guards against a metric series of docs/OPERATIONS.md that is missing or wrong
// after a completed job.
func TestMetricsAreServed(t *testing.T) {
	f := newPlatformFleet(t, 1, 1)
	status, _ := postJob(f.entries[0], jobID(1), standin.Job(2, standin.Work{DurationMillis: 20, Millicores: taskMillicores}))
	require.Equal(t, http.StatusOK, status)
	requireSeries(t, f.entries[0],
		`answers_total{route="checks",service="access-desk",outcome="complete",cause=""} 1`,
		`answer_seconds_count{route="checks",outcome="complete"} 1`, `store_calls_total{call="get",verdict="done"}`,
		"store_call_seconds_count", "configuration_version 1", "configuration_age_seconds", "agents 1", "suspect_agents 0",
		"waiting_tasks 0", "unfinished_jobs 0", "room_cores 8", "sessions_with_agents 1", "sessions_with_entries 0", "log_lines_dropped 0")
	requireSeries(t, f.agents[0],
		`backend_calls_total{call="start",verdict="done"} 2`, `backend_call_seconds_count{call="start"} 2`, "running_tasks 0",
		"leased_tasks 0", "leases_renewed 1", "backend_server_offered 1", "backend_server_silent 0",
		"backend_server_report_age_seconds", "sessions_with_entries 1", "log_lines_dropped 0")
}

func requireSeries(t *testing.T, p *process, series ...string) {
	response, err := http.Get("http://" + p.operatorAddress + "/metrics")
	require.NoError(t, err)
	defer response.Body.Close()
	page, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	for _, s := range series {
		require.Contains(t, string(page), "mustardlever_"+s, p.name)
	}
}

// Guards against invalid input that mustardctl accepts, or rejects with a stack
// trace or an exit code other than 2. The exit code for an unreachable process is 1.
func TestControllerRejectsInvalidInput(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "entry.json")
	require.NoError(t, os.WriteFile(settings, []byte("{\n  \"name\": \"e\",\n  \"rolle\": \"entry\"\n}"), 0o600))
	out, code := runController(t, "check", "--settings", settings)
	require.Equal(t, 2, code)
	require.Contains(t, out, settings+`:3:3: unknown key "rolle"; did you mean "role"?`)
	for _, valid := range [][]string{
		{"--settings", "../examples/entry-1.json"}, {"--settings", "../examples/platform-agent.json"},
		{"--platform-configuration", "../examples/platform-config.json"},
		{"--base", "../examples/base.json", "--overlay", "../examples/huber.json"},
	} {
		out, code := runController(t, append([]string{"check"}, valid...)...)
		require.Zero(t, code, out)
	}
	for name, args := range map[string][]string{
		"nothing to check": {"check"},
		"two to check":     {"check", "--base", "a", "--settings", "b"},
		"format":           {"-o", "xml", "check"},
		"missing log":      {"explain", "x", "--log", "does-not-exist"},
		"unknown command":  {"job", "nothing"},
		"unknown flag":     {"jobs", "--bogus"},
		"missing flag":     {"jobs"},
	} {
		out, code := runController(t, args...)
		require.Equal(t, 2, code, fmt.Sprint(name, ": ", out))
		require.NotContains(t, out, "runtime.main", name)
	}
	out, code = runController(t, "jobs", "--operator", relayer.NewAddress())
	require.Equal(t, 1, code, out)
}
