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

// control runs mustardctl and returns what it prints and its exit code.
func control(t *testing.T, args ...string) (string, int) {
	out, err := exec.Command(controller, args...).CombinedOutput()
	var x *exec.ExitError
	if err != nil && !errors.As(err, &x) {
		t.Fatal(err)
	}
	if x != nil {
		return string(out), x.ExitCode()
	}
	return string(out), 0
}

// Operators see what runs, where, under which configuration, and how old what
// each process knows is.
func TestOperatorsSeeTheSystem(t *testing.T) {
	h := newHosted(t, 2, 2)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { post(h.entries[0], hostedID(7), standin.Job(3, standin.Work{Millis: 2000, CPU: taskCPU})) })
	require.Eventually(t, func() bool { return h.judge.Starts(hostedID(7)) == 3 }, 5*time.Second, 5*time.Millisecond)
	time.Sleep(100 * time.Millisecond) // the starts are answered

	var jobs []server.JobsView
	require.NoError(t, get(h.entries[0].operator, "/v1/jobs", &jobs))
	require.Len(t, jobs, 1)
	require.Len(t, jobs[0].Jobs, 1)
	j := jobs[0].Jobs[0]
	require.Equal(t, hostedID(7), j.Name)
	require.Equal(t, 3, j.Sent)
	require.NotEmpty(t, j.Agents)
	require.Positive(t, j.AgeMillis)

	runs := 0
	for _, a := range h.agents {
		var v executor.View
		require.NoError(t, get(a.operator, "/v1/backend-server", &v))
		require.True(t, v.Offered)
		require.True(t, v.Renewing)
		require.GreaterOrEqual(t, v.ReportAgeMillis, int64(0))
		runs += len(v.Runs)
	}
	require.Equal(t, 3, runs)

	var c server.ConfigurationView
	require.NoError(t, get(h.entries[1].operator, "/v1/configuration", &c))
	require.Equal(t, int64(1), c.Version)
	require.Equal(t, "store", c.Source)
	require.Len(t, c.Routes, 1)

	for _, command := range []string{"jobs", "configuration", "services", "process"} {
		out, code := control(t, command, "--operator", h.entries[0].operator)
		require.Zero(t, code, out)
		require.NotEmpty(t, out)
	}
	out, code := control(t, "-o", "json", "executors", "--operator", h.agents[0].operator, "--operator", h.agents[1].operator)
	require.Zero(t, code, out)
	require.True(t, json.Valid([]byte(out)), out)
}

// The series that docs/OPERATIONS.md names are there after some work.
func TestMetricsAreServed(t *testing.T) {
	h := newHosted(t, 1, 1)
	status, _ := post(h.entries[0], hostedID(1), standin.Job(2, standin.Work{Millis: 20, CPU: taskCPU}))
	require.Equal(t, http.StatusOK, status)
	requireSeries(t, h.entries[0],
		`answers_total{route="checks",service="access-desk",outcome="complete",cause=""} 1`,
		`answer_seconds_count{route="checks",outcome="complete"} 1`, `store_calls_total{call="get",verdict="done"}`,
		"store_call_seconds_count", "configuration_version 1", "configuration_age_seconds", "agents 1", "suspect_agents 0",
		"waiting_tasks 0", "unfinished_jobs 0", "room_cores 8", "sessions_with_agents 1", "sessions_with_entries 0", "log_lines_dropped 0")
	requireSeries(t, h.agents[0],
		`backend_calls_total{call="start",verdict="done"} 2`, `backend_call_seconds_count{call="start"} 2`, "running_tasks 0",
		"leased_tasks 0", "leases_renewed 1", "backend_server_offered 1", "backend_server_silent 0",
		"backend_server_report_age_seconds", "sessions_with_entries 1", "log_lines_dropped 0")
}

func requireSeries(t *testing.T, p *process, series ...string) {
	a, err := http.Get("http://" + p.operator + "/metrics")
	require.NoError(t, err)
	defer a.Body.Close()
	page, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	for _, s := range series {
		require.Contains(t, string(page), "mustardlever_"+s, p.name)
	}
}

// Exit codes and messages of wrong use.
func TestControlRefusesWrongInput(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "entry.json")
	require.NoError(t, os.WriteFile(settings, []byte("{\n  \"name\": \"e\",\n  \"rolle\": \"entry\"\n}"), 0o600))
	out, code := control(t, "check", "--settings", settings)
	require.Equal(t, 2, code)
	require.Contains(t, out, settings+`:3:3: unknown key "rolle"; did you mean "role"?`)
	for _, good := range [][]string{
		{"--settings", "../examples/entry-1.json"}, {"--settings", "../examples/platform-agent.json"},
		{"--platform-configuration", "../examples/platform-config.json"},
		{"--base", "../examples/base.json", "--overlay", "../examples/huber.json"},
	} {
		out, code := control(t, append([]string{"check"}, good...)...)
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
		out, code := control(t, args...)
		require.Equal(t, 2, code, fmt.Sprint(name, ": ", out))
		require.NotContains(t, out, "runtime.main", name)
	}
	out, code = control(t, "jobs", "--operator", relayer.NewAddress())
	require.Equal(t, 1, code, out)
}
