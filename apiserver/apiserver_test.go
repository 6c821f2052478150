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

func newCluster(t *testing.T, s cluster.Settings) *cluster.Cluster {
	c, err := cluster.Start(s)
	require.NoError(t, err)
	t.Cleanup(c.Stop)
	require.Eventually(t, c.Ready, 10*time.Second, 5*time.Millisecond)
	return c
}

func ask(t *testing.T, method, address string, body io.Reader) (int, caller.Failure) {
	q, err := http.NewRequestWithContext(t.Context(), method, address, body)
	require.NoError(t, err)
	q.Header.Set(caller.RequestHeader, "my-id")
	p, err := http.DefaultClient.Do(q)
	require.NoError(t, err)
	defer p.Body.Close()
	var f caller.Failure
	require.NoError(t, json.NewDecoder(p.Body).Decode(&f))
	return p.StatusCode, f
}

func tasks(n int) string {
	return `{"tasks":[` + strings.TrimSuffix(strings.Repeat(`{"body":{"id":"x"}},`, n), ",") + `]}`
}

func TestBadInput(t *testing.T) {
	c := newCluster(t, cluster.Settings{Entries: 1, Agents: 1})
	s := &submitter.Client{Entries: c.URLs}
	ticket, err := s.Ticket(t.Context(), cluster.Service)
	require.NoError(t, err)
	foreign := ticketer.Coder{Key: []byte("another key")}.Encode(ticketer.Ticket{Service: cluster.Service})
	job := c.URLs[0] + "/v1/jobs/"
	service := c.URLs[0] + "/v1/services/"
	for _, x := range []struct {
		name, method, address, body string
		status                      int
		kind                        string
	}{
		{"broken JSON", "PUT", job + ticket, `{"tasks":[`, 400, "bad-request"},
		{"unknown key", "PUT", job + ticket, `{"tusks":[]}`, 400, "bad-request"},
		{"two objects", "PUT", job + ticket, tasks(1) + tasks(1), 400, "bad-request"},
		{"no task", "PUT", job + ticket, `{"tasks":[]}`, 400, "bad-request"},
		{"271 tasks", "PUT", job + ticket, tasks(271), 400, "bad-request"},
		{"path without slash", "PUT", job + ticket, `{"tasks":[{"path":"x"}]}`, 400, "bad-request"},
		{"negative deadline", "PUT", job + ticket, `{"tasks":[{}],"deadline-ms":-1}`, 400, "bad-request"},
		{"bad wait", "PUT", job + ticket + "?wait=soon", tasks(1), 400, "bad-request"},
		{"not a ticket", "PUT", job + "abc", tasks(1), 400, "forged-ticket"},
		{"changed ticket", "PUT", job + ticket + "x", tasks(1), 400, "forged-ticket"},
		{"foreign ticket", "PUT", job + foreign, tasks(1), 400, "forged-ticket"},
		{"unknown service", "POST", service + "nope/tickets", `{"count":1}`, 404, "unknown-service"},
		{"too many tickets", "POST", service + cluster.Service + "/tickets", `{"count":1001}`, 400, "bad-request"},
		{"unknown path", "GET", c.URLs[0] + "/v2", "", 404, "no-such-path"},
		{"no job yet", "GET", job + ticket, "", 404, "no-job"},
	} {
		t.Run(x.name, func(t *testing.T) {
			status, f := ask(t, x.method, x.address, strings.NewReader(x.body))
			require.Equal(t, x.status, status, f.Message)
			require.Equal(t, x.kind, f.Kind)
			require.NotEmpty(t, f.Message)
			require.False(t, f.MayHaveRun)
			require.Equal(t, "my-id", f.RequestID)
		})
	}
	require.Zero(t, c.Backends[0].Total(), "bad input started a task")
	a, err := s.SubmitTicket(t.Context(), ticket, "id", []byte(tasks(1)))
	require.NoError(t, err, "the ticket is still good")
	require.Equal(t, caller.StateComplete, a.State)
	require.Equal(t, "id", a.RequestID)
	status, f := ask(t, "PUT", job+ticket, strings.NewReader(tasks(2)))
	require.Equal(t, 409, status)
	require.True(t, f.MayHaveRun)
}

func TestExpiredTicket(t *testing.T) {
	c := newCluster(t, cluster.Settings{Entries: 1, Agents: 1, Coordinator: coordinator.Settings{TicketLife: 50 * time.Millisecond}})
	s := &submitter.Client{Entries: c.URLs}
	list, _, err := c.Entries[0].IssueTickets(cluster.Service, 1)
	require.NoError(t, err)
	time.Sleep(60 * time.Millisecond)
	_, err = s.SubmitTicket(t.Context(), list[0], "", []byte(tasks(1)))
	require.ErrorContains(t, err, "time is over")
	require.Zero(t, c.Backends[0].Total())
}

// endless is a body of left bytes. The transport may read on after the answer.
type endless struct{ left atomic.Int64 }

func (e *endless) Read(b []byte) (int, error) {
	n := e.left.Load()
	if n <= 0 {
		return 0, io.EOF
	}
	k := min(len(b), int(n))
	copy(b, bytes.Repeat([]byte(" "), k))
	e.left.Add(-int64(k))
	return k, nil
}

func TestHugeBodyIsRefusedEarly(t *testing.T) {
	c := newCluster(t, cluster.Settings{Entries: 1, Agents: 1})
	list, _, err := c.Entries[0].IssueTickets(cluster.Service, 1)
	require.NoError(t, err)
	body := new(endless)
	body.left.Store(100 << 20)
	q, err := http.NewRequestWithContext(t.Context(), "PUT", c.URLs[0]+"/v1/jobs/"+list[0], body)
	require.NoError(t, err)
	p, err := http.DefaultClient.Do(q)
	if err == nil { // the connection may also be closed under the writer
		require.Equal(t, http.StatusRequestEntityTooLarge, p.StatusCode)
		p.Body.Close()
	}
	require.Greater(t, body.left.Load(), int64(50<<20), "most of the body must not be read")
	require.Zero(t, c.Backends[0].Total())
}

// TestIdleConnections opens many connections that send half a request or
// garbage, to callers' and to processes' addresses. The entry serves on.
func TestIdleConnections(t *testing.T) {
	c := newCluster(t, cluster.Settings{Entries: 1, Agents: 1})
	for _, address := range []string{strings.TrimPrefix(c.URLs[0], "http://"), c.Entries[0].Identity().Address} {
		for i := range 100 {
			n, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer n.Close()
			fmt.Fprintf(n, "%s", []string{"PUT /v1/jo", "\xff\xff\xff\xff", "\x00\x00\x00\x05{{{{{"}[i%3])
		}
	}
	a, err := (&submitter.Client{Entries: c.URLs}).Submit(t.Context(), cluster.Service, "", caller.Submission{Tasks: make([]caller.Task, 3)})
	require.NoError(t, err)
	require.Equal(t, caller.StateComplete, a.State)
}

// TestAnswersAreNotSwapped runs many jobs with tasks of uneven times from many
// callers: each gets its own results and its own request id.
func TestAnswersAreNotSwapped(t *testing.T) {
	c := newCluster(t, cluster.Settings{Entries: 2, Agents: 3})
	s := &submitter.Client{Entries: c.URLs, TicketBatch: 50}
	errs := make(chan error, 200)
	for i := range 200 {
		go func() { errs <- ownAnswer(t, s, i) }()
	}
	for range 200 {
		require.NoError(t, <-errs)
	}
}

func ownAnswer(t *testing.T, s *submitter.Client, i int) error {
	var job caller.Submission
	for k := range 5 {
		body := fmt.Sprintf(`{"id":"%d-%d","work-ms":%d}`, i, k, (i*7+k*13)%25)
		job.Tasks = append(job.Tasks, caller.Task{Body: json.RawMessage(body)})
	}
	id := fmt.Sprint("request-", i)
	a, err := s.Submit(t.Context(), cluster.Service, id, job)
	if err != nil {
		return err
	}
	if a.RequestID != id || a.State != caller.StateComplete {
		return fmt.Errorf("request %s was answered %s %s", id, a.RequestID, a.State)
	}
	for k, r := range a.Tasks {
		if !strings.Contains(string(r.Body), fmt.Sprintf(`"id":"%d-%d"`, i, k)) {
			return fmt.Errorf("task %d of job %d got %s", k, i, r.Body)
		}
	}
	return nil
}

// TestCancel cancels a job whose tasks wait: those are not run, the others
// are, and the answer says which.
func TestCancel(t *testing.T) {
	c := newCluster(t, cluster.Settings{Entries: 2, Agents: 1, Slots: 2})
	s := &submitter.Client{Entries: c.URLs[:1]}
	ticket, err := s.Ticket(t.Context(), cluster.Service)
	require.NoError(t, err)
	done := make(chan *caller.Answer, 1)
	body := `{"tasks":[` + strings.TrimSuffix(strings.Repeat(`{"body":{"id":"c","work-ms":200}},`, 20), ",") + `]}`
	go func() {
		a, err := s.SubmitTicket(t.Context(), ticket, "", []byte(body))
		if err == nil {
			done <- a
		}
	}()
	require.Eventually(t, func() bool { return c.Backends[0].Serving() > 0 }, 5*time.Second, time.Millisecond)
	_, err = s.Cancel(t.Context(), ticket)
	require.NoError(t, err)
	a := <-done
	require.Equal(t, caller.StateFailed, a.State)
	require.Equal(t, "cancelled", a.Reason)
	ran := 0
	for _, r := range a.Tasks {
		if r.State == "ran" {
			ran++
		}
	}
	require.Equal(t, int64(ran), c.Backends[0].Total())
	require.Less(t, ran, 20)
}
