package operator_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/operator"
	"mustardlever.dev/mustardlever/platform"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/router"
	"mustardlever.dev/mustardlever/server"
)

const planJob = `{"spec":"x","bestEffort":true,"steps":[{"count":2,"cpu":1000,"memMb":64,"estimateMs":60}]}`

// startPlanServer starts an entry with one service and no agent, and its operator pages. It
// returns the operator address.
func startPlanServer(t *testing.T) (e *server.Entry, address string) {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	e = &server.Entry{
		Settings: server.EntrySettings{
			Identity: protocol.Identity{Name: "entry", Role: protocol.RoleEntry}, Services: map[string]coordinator.Settings{"s": {}},
		},
		Log: logrus.NewEntry(log), Recorder: new(recorder.Recorder),
	}
	links, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e.Start(links)
	t.Cleanup(e.Stop)
	e.AdoptRoutes(router.NewTable(1, []router.Route{
		{Name: "r", Host: "desk.example", Prefix: "/checks/", Service: "s", Priority: 2, MaxAttempts: 3, Stretch: 1.6, Allowance: 60 * time.Millisecond},
		{Name: "lost", Host: "desk.example", Prefix: "/lost/", Service: "unknown", MaxAttempts: 1},
	}).WithDocument([]byte("{}"), time.Now()), "test")
	pages := operator.New(operator.Source{
		Process: func() operator.Process { return operator.Process{} }, Recorder: e.Recorder,
		Plan: func(r server.PlanRequest) (server.PlanView, error) { return e.Plan(r, platform.DecodePlanned) },
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go pages.Serve(l)
	t.Cleanup(func() { pages.Close() })
	return e, l.Addr().String()
}

// Guards against a plan by another route, due time or service than that of the job.
func TestPlanFollowsRoute(t *testing.T) {
	e, address := startPlanServer(t)
	for _, path := range []string{"/checks/", "/checks", "/checks/8d13e9209d055626"} {
		v, err := operator.RequestPlan(t.Context(), address, server.PlanRequest{Host: "DESK.example:80", Path: path, Job: []byte(planJob)})
		require.NoError(t, err)
		require.Equal(t, "r", v.Route)
		require.Equal(t, "s", v.Service)
		require.Equal(t, 2, v.Priority)
		require.EqualValues(t, 156, v.DueMillis)
		require.Equal(t, server.PlanWaits, v.Decision)
		require.Equal(t, 2, v.Tasks)
	}
	v, err := operator.RequestPlan(t.Context(), address, server.PlanRequest{Service: "s", Job: []byte(planJob)})
	require.NoError(t, err)
	require.Zero(t, v.DueMillis)
	require.Empty(t, e.Jobs()[0].Jobs, "nothing is submitted")
}

// Guards against jobs that a submission would reject and a plan accepts.
func TestPlanOfInvalidJob(t *testing.T) {
	_, address := startPlanServer(t)
	for job, decision := range map[string]server.PlanDecision{
		`{"spec":"x","steps":[]}`:                   server.PlanRefused, // stored jobs are not supported
		`{"bestEffort":true,"steps":[{"count":1}]}`: server.PlanInvalid, // without spec
		`1`: server.PlanInvalid,
	} {
		v, err := operator.RequestPlan(t.Context(), address, server.PlanRequest{Service: "s", Job: []byte(job)})
		require.NoError(t, err, job)
		require.Equal(t, decision, v.Decision, job)
		require.NotEmpty(t, v.Cause, job)
	}
}

// Guards against a missing or unclear error, and against requests without a limit.
func TestPlanErrors(t *testing.T) {
	_, address := startPlanServer(t)
	for name, test := range map[string]struct {
		request server.PlanRequest
		kind    server.Kind
		status  int
	}{
		"no route":         {server.PlanRequest{Host: "other", Path: "/checks/", Job: []byte(planJob)}, server.KindNoRoute, 404},
		"no service":       {server.PlanRequest{Service: "other", Job: []byte(planJob)}, server.KindUnknownService, 404},
		"route's service":  {server.PlanRequest{Host: "desk.example", Path: "/lost/", Job: []byte(planJob)}, server.KindUnknownService, 404},
		"nothing":          {server.PlanRequest{Job: []byte(planJob)}, server.KindBadRequest, 400},
		"both":             {server.PlanRequest{Service: "s", Host: "h", Path: "/", Job: []byte(planJob)}, server.KindBadRequest, 400},
		"no path":          {server.PlanRequest{Host: "desk.example", Job: []byte(planJob)}, server.KindBadRequest, 400},
		"too large a body": {server.PlanRequest{Service: strings.Repeat("s", operator.MaxPlanBytes), Job: []byte(planJob)}, server.KindTooLarge, 413},
	} {
		_, err := operator.RequestPlan(t.Context(), address, test.request)
		var refusal *operator.Refusal
		require.ErrorAs(t, err, &refusal, name)
		require.Equal(t, test.kind, refusal.Kind, name)
		require.Equal(t, test.status, refusal.Status, name)
		require.NotEmpty(t, err.Error(), name)
	}
	resp, err := http.Post("http://"+address+"/v1/plan", "application/json", strings.NewReader("{"))
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
}
