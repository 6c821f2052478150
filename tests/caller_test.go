package tests

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/platform/standin"
)

// sendJob opens a connection to an entry and sends a job on it. It does not wait for the
// answer.
func (f *platformFleet) sendJob(entry int, id, body string, deadline time.Duration) *net.TCPConn {
	c, err := net.Dial("tcp", strings.TrimPrefix(f.entries[entry].callerURL, "http://"))
	require.NoError(f.t, err)
	_, err = fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		routePrefix, id, routeHost, deadline.Milliseconds(), len(body), body)
	require.NoError(f.t, err)
	return c.(*net.TCPConn)
}

// pause stops an entry and returns when it has stopped.
func (f *platformFleet) pause(entry int) {
	p := f.entries[entry].command.Process
	require.NoError(f.t, p.Signal(syscall.SIGSTOP))
	require.Eventually(f.t, func() bool {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid))
		return err == nil && strings.Contains(string(status), "T (stopped)")
	}, 5*time.Second, time.Millisecond)
}

// Guards against a task that is started for a caller that has left. The entry is paused,
// so briefly that it stays connected to the agents, when the callers close their
// connections.
func TestPlatformCallersLeaveWhileEntryPaused(t *testing.T) {
	t.Setenv("GOMAXPROCS", "1") // as on the platform's machines
	for _, tt := range []struct {
		name  string
		leave func(*net.TCPConn)
	}{
		{"closed", func(c *net.TCPConn) { c.Close() }},
		{"reset", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			const jobs = 8
			f := newPlatformFleet(t, 1, 2)
			work := standin.Job(1, standin.Work{DurationMillis: 900, Millicores: taskMillicores / 2})
			f.pause(0)
			for n := range jobs {
				tt.leave(f.sendJob(0, jobID(n+1), work, 8*time.Second))
			}
			f.entries[0].signal(syscall.SIGCONT)
			status, _ := postJob(f.entries[0], jobID(jobs+1), standin.Job(1, standin.Work{DurationMillis: 100, Millicores: taskMillicores / 2}))
			require.Equal(t, http.StatusOK, status, "the job of a caller that waits")
			for n := range jobs {
				require.Zero(t, f.checker.Starts(jobID(n+1)), "starts of job %d", n+1)
			}
		})
	}
}

// Guards against a task that runs twice at the same time. An entry is paused while callers
// send jobs to it, give up, and send them to another entry 1.3 s later. The ends of the
// connections to the paused entry are lost.
func TestPlatformCallersGiveUpWhileEntryPaused(t *testing.T) {
	const jobs, deadline = 8, time.Second
	f := newPlatformFleet(t, 2, 2)
	work := standin.Job(1, standin.Work{DurationMillis: 900, Millicores: taskMillicores / 2})
	f.pause(0)
	for n := range jobs {
		defer f.sendJob(0, jobID(n+1), work, deadline).Close()
	}
	time.Sleep(deadline + standin.ResendAfter)
	var wg sync.WaitGroup
	for n := range jobs {
		wg.Go(func() { postJob(f.entries[1], jobID(n+1), work) })
	}
	time.Sleep(200 * time.Millisecond)
	f.entries[0].signal(syscall.SIGCONT)
	wg.Wait()
	for n := range jobs {
		require.Equal(t, 1, f.checker.Starts(jobID(n+1)), "starts of job %d", n+1)
	}
}
