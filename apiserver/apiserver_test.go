package apiserver_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/caller"
	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/internal/cluster"
	"mustardlever.dev/mustardlever/submitter"
	"mustardlever.dev/mustardlever/ticketer"
)

func newCluster(t *testing.T, settings cluster.Settings) *cluster.Cluster {
	c, err := cluster.Start(settings)
	require.NoError(t, err)
	t.Cleanup(c.Stop)
	require.Eventually(t, c.Ready, 10*time.Second, 5*time.Millisecond)
	return c
}

// send sends a request with the request id my-id and returns the status and the
// failure in the response.
func send(t *testing.T, method, address string, body io.Reader) (int, caller.Failure) {
	request, err := http.NewRequestWithContext(t.Context(), method, address, body)
	require.NoError(t, err)
	request.Header.Set(caller.RequestIDHeader, "my-id")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	var failure caller.Failure
	require.NoError(t, json.NewDecoder(response.Body).Decode(&failure))
	return response.StatusCode, failure
}

// submission returns the body of a submission with taskCount equal tasks.
func submission(taskCount int) string {
	return `{"tasks":[` + strings.TrimSuffix(strings.Repeat(`{"body":{"id":"x"}},`, taskCount), ",") + `]}`
}

// TestBadInput guards against invalid requests that start a task, are reported as
// possibly run, or use up the ticket they are sent with.
func TestBadInput(t *testing.T) {
	c := newCluster(t, cluster.Settings{Entries: 1, Agents: 1})
	client := &submitter.Client{Entries: c.URLs}
	ticket, err := client.Ticket(t.Context(), cluster.Service)
	require.NoError(t, err)
	foreignTicket := ticketer.Coder{Key: []byte("another key")}.Encode(ticketer.Ticket{Service: cluster.Service})
	jobsURL := c.URLs[0] + "/v1/jobs/"
	servicesURL := c.URLs[0] + "/v1/services/"
	for _, testCase := range []struct {
		name, method, address, body string
		status                      int
		kind                        string
	}{
		{"broken JSON", "PUT", jobsURL + ticket, `{"tasks":[`, 400, "bad-request"},
		{"unknown key", "PUT", jobsURL + ticket, `{"tusks":[]}`, 400, "bad-request"},
		{"two objects", "PUT", jobsURL + ticket, submission(1) + submission(1), 400, "bad-request"},
		{"no task", "PUT", jobsURL + ticket, `{"tasks":[]}`, 400, "bad-request"},
		{"271 tasks", "PUT", jobsURL + ticket, submission(271), 400, "bad-request"},
		{"path without slash", "PUT", jobsURL + ticket, `{"tasks":[{"path":"x"}]}`, 400, "bad-request"},
		{"negative deadline", "PUT", jobsURL + ticket, `{"tasks":[{}],"deadline-ms":-1}`, 400, "bad-request"},
		{"bad wait", "PUT", jobsURL + ticket + "?wait=soon", submission(1), 400, "bad-request"},
		{"not a ticket", "PUT", jobsURL + "abc", submission(1), 400, "forged-ticket"},
		{"changed ticket", "PUT", jobsURL + ticket + "x", submission(1), 400, "forged-ticket"},
		{"foreign ticket", "PUT", jobsURL + foreignTicket, submission(1), 400, "forged-ticket"},
		{"unknown service", "POST", servicesURL + "nope/tickets", `{"count":1}`, 404, "unknown-service"},
		{"too many tickets", "POST", servicesURL + cluster.Service + "/tickets", `{"count":1001}`, 400, "bad-request"},
		{"unknown path", "GET", c.URLs[0] + "/v2", "", 404, "no-such-path"},
		{"no job yet", "GET", jobsURL + ticket, "", 404, "no-job"},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			status, failure := send(t, testCase.method, testCase.address, strings.NewReader(testCase.body))
			require.Equal(t, testCase.status, status, failure.Message)
			require.Equal(t, testCase.kind, failure.Kind)
			require.NotEmpty(t, failure.Message)
			require.False(t, failure.MayHaveRun)
			require.Equal(t, "my-id", failure.RequestID)
		})
	}
	require.Zero(t, c.Backends[0].Total(), "invalid input started a task")
	answer, err := client.SubmitTicket(t.Context(), ticket, "id", []byte(submission(1)))
	require.NoError(t, err, "the ticket is still valid")
	require.Equal(t, caller.StateComplete, answer.State)
	require.Equal(t, "id", answer.RequestID)
	status, failure := send(t, "PUT", jobsURL+ticket, strings.NewReader(submission(2)))
	require.Equal(t, 409, status)
	require.True(t, failure.MayHaveRun)
}

// TestExpiredTicket guards against a job that runs although its ticket had expired
// when it was submitted.
func TestExpiredTicket(t *testing.T) {
	c := newCluster(t, cluster.Settings{Entries: 1, Agents: 1, Coordinator: coordinator.Settings{TicketLife: 50 * time.Millisecond}})
	client := &submitter.Client{Entries: c.URLs}
	tickets, _, err := c.Entries[0].IssueTickets(cluster.Service, 1)
	require.NoError(t, err)
	time.Sleep(60 * time.Millisecond)
	_, err = client.SubmitTicket(t.Context(), tickets[0], "", []byte(submission(1)))
	require.ErrorContains(t, err, "the ticket has expired")
	require.Zero(t, c.Backends[0].Total())
}

// spaceReader is a body of spaces. The counter of remaining bytes is atomic since
// the transport may still read the body after the response.
type spaceReader struct{ remaining atomic.Int64 }

func (r *spaceReader) Read(b []byte) (int, error) {
	remaining := r.remaining.Load()
	if remaining <= 0 {
		return 0, io.EOF
	}
	n := min(len(b), int(remaining))
	copy(b, bytes.Repeat([]byte(" "), n))
	r.remaining.Add(-int64(n))
	return n, nil
}

// TestOversizedBodyIsRejectedEarly guards against an entry that reads a body beyond
// the limit to its end before it rejects the request.
func TestOversizedBodyIsRejectedEarly(t *testing.T) {
	c := newCluster(t, cluster.Settings{Entries: 1, Agents: 1})
	tickets, _, err := c.Entries[0].IssueTickets(cluster.Service, 1)
	require.NoError(t, err)
	body := new(spaceReader)
	body.remaining.Store(100 << 20)
	request, err := http.NewRequestWithContext(t.Context(), "PUT", c.URLs[0]+"/v1/jobs/"+tickets[0], body)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	if err == nil { // the server may also close the connection while the body is sent
		require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
		response.Body.Close()
	}
	require.Greater(t, body.remaining.Load(), int64(50<<20), "most of the body must not be read")
	require.Zero(t, c.Backends[0].Total())
}

// TestIdleConnections guards against connections that block the entry: many that
// send a partial request or invalid bytes to the addresses for callers and for
// other processes, and then stay open.
func TestIdleConnections(t *testing.T) {
	c := newCluster(t, cluster.Settings{Entries: 1, Agents: 1})
	for _, address := range []string{strings.TrimPrefix(c.URLs[0], "http://"), c.Entries[0].Identity().Address} {
		for i := range 100 {
			connection, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer connection.Close()
			fmt.Fprintf(connection, "%s", []string{"PUT /v1/jo", "\xff\xff\xff\xff", "\x00\x00\x00\x05{{{{{"}[i%3])
		}
	}
	answer, err := (&submitter.Client{Entries: c.URLs}).Submit(t.Context(), cluster.Service, "", caller.Submission{Tasks: make([]caller.Task, 3)})
	require.NoError(t, err)
	require.Equal(t, caller.StateComplete, answer.State)
}

// TestAnswersMatchTheirJobs guards against answers with the results or the request
// id of another job. Many concurrent callers run jobs whose tasks differ in
// duration.
func TestAnswersMatchTheirJobs(t *testing.T) {
	c := newCluster(t, cluster.Settings{Entries: 2, Agents: 3})
	client := &submitter.Client{Entries: c.URLs, TicketBatch: 50}
	errs := make(chan error, 200)
	for i := range 200 {
		go func() { errs <- submitAndCompare(t, client, i) }()
	}
	for range 200 {
		require.NoError(t, <-errs)
	}
}

// submitAndCompare submits job i and returns an error if the answer is not its own.
func submitAndCompare(t *testing.T, client *submitter.Client, i int) error {
	var job caller.Submission
	for k := range 5 {
		body := fmt.Sprintf(`{"id":"%d-%d","work-ms":%d}`, i, k, (i*7+k*13)%25)
		job.Tasks = append(job.Tasks, caller.Task{Body: json.RawMessage(body)})
	}
	id := fmt.Sprint("request-", i)
	answer, err := client.Submit(t.Context(), cluster.Service, id, job)
	if err != nil {
		return err
	}
	if answer.RequestID != id || answer.State != caller.StateComplete {
		return fmt.Errorf("request %s got an answer with request id %s and state %s", id, answer.RequestID, answer.State)
	}
	for k, r := range answer.Tasks {
		if !strings.Contains(string(r.Body), fmt.Sprintf(`"id":"%d-%d"`, i, k)) {
			return fmt.Errorf("task %d of job %d got the result %s", k, i, r.Body)
		}
	}
	return nil
}

// TestCancel guards against a cancelled job whose waiting tasks still run, and
// against an answer that does not say which tasks ran.
func TestCancel(t *testing.T) {
	c := newCluster(t, cluster.Settings{Entries: 2, Agents: 1, SlotsPerBackend: 2})
	client := &submitter.Client{Entries: c.URLs[:1]}
	ticket, err := client.Ticket(t.Context(), cluster.Service)
	require.NoError(t, err)
	done := make(chan *caller.Answer, 1)
	body := `{"tasks":[` + strings.TrimSuffix(strings.Repeat(`{"body":{"id":"c","work-ms":200}},`, 20), ",") + `]}`
	go func() {
		answer, err := client.SubmitTicket(t.Context(), ticket, "", []byte(body))
		if err == nil {
			done <- answer
		}
	}()
	require.Eventually(t, func() bool { return c.Backends[0].Serving() > 0 }, 5*time.Second, time.Millisecond)
	_, err = client.Cancel(t.Context(), ticket)
	require.NoError(t, err)
	answer := <-done
	require.Equal(t, caller.StateFailed, answer.State)
	require.Equal(t, "cancelled", answer.Reason)
	ran := 0
	for _, r := range answer.Tasks {
		if r.State == "ran" {
			ran++
		}
	}
	require.Equal(t, int64(ran), c.Backends[0].Total())
	require.Less(t, ran, 20)
}
