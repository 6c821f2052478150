package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/platform"
	"mustardlever.dev/mustardlever/router"
	"mustardlever.dev/mustardlever/server"
)

// callerSite is an entry without agents and its server for callers, which accepts no
// connection until serve is called.
type callerSite struct {
	t         *testing.T
	entry     *server.Entry
	listener  net.Listener
	submitted atomic.Int64 // jobs that the coordinator accepted
}

func newCallerSite(t *testing.T) *callerSite {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &callerSite{t: t, entry: &server.Entry{
		Settings: server.EntrySettings{AddAnnouncedServices: true}, Log: logrus.NewEntry(log), Recorder: newRecorder(),
	}}
	s.entry.ObserveDecision = func(_ string, d coordinator.Decision) {
		if d.Kind == "job-submitted" {
			s.submitted.Add(1)
		}
	}
	s.entry.Routes.Adopt(router.NewTable(1, []router.Route{{Host: "desk.example", Prefix: "/checks/", Service: "s", MaxAttempts: 1}}))
	links, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.entry.Start(links)
	t.Cleanup(s.entry.Stop)
	s.listener, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { s.listener.Close() })
	return s
}

// send opens a connection and sends the given number of jobs on it at once, with ids from
// first.
func (s *callerSite) send(first, jobs int) *net.TCPConn {
	return s.sendWithDeadline(first, jobs, 8*time.Second)
}

func (s *callerSite) sendWithDeadline(first, jobs int, deadline time.Duration) *net.TCPConn {
	c, err := net.Dial("tcp", s.listener.Addr().String())
	require.NoError(s.t, err)
	const body = `{"spec":"x","bestEffort":true,"steps":[{"count":1,"cpu":1}]}`
	var b strings.Builder
	for i := range jobs {
		fmt.Fprintf(&b, "POST /checks/%016x HTTP/1.1\r\nHost: desk.example\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
			first+i, deadline.Milliseconds(), len(body), body)
	}
	_, err = io.WriteString(c, b.String())
	require.NoError(s.t, err)
	return c.(*net.TCPConn)
}

// serve accepts the connections, until the test ends.
func (s *callerSite) serve() {
	callerServer := newCallerServer(&platform.ClientHandler{Submit: s.entry.SubmitSync, Cancel: s.entry.Cancel, LookupPath: s.entry.LookupPath})
	go callerServer.Serve(s.listener)
	s.t.Cleanup(func() { callerServer.Close() })
}

// Guards against a job that is started though its caller has closed the connection: the
// caller submits it again to another entry after 1.3 s. The entry reads the request late,
// when the end of the connection is already behind it.
func TestJobOfCallerThatHasLeftIsNotSubmitted(t *testing.T) {
	const connections = 100
	for _, tt := range []struct {
		name  string
		jobs  int // on each connection
		leave func(*net.TCPConn) error
	}{
		{"closed", 1, (*net.TCPConn).Close},
		{"reset", 1, func(c *net.TCPConn) error { c.SetLinger(0); return c.Close() }},
		{"closed behind a second request", 2, (*net.TCPConn).Close},
		{"reset behind a second request", 2, func(c *net.TCPConn) error { c.SetLinger(0); return c.Close() }},
	} {
		for _, processors := range []int{1, runtime.GOMAXPROCS(0)} {
			t.Run(fmt.Sprintf("%s, %d processors", tt.name, processors), func(t *testing.T) {
				defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(processors))
				s := newCallerSite(t)
				for i := range connections {
					require.NoError(t, tt.leave(s.send(i*tt.jobs, tt.jobs)))
				}
				s.serve()
				stays := s.send(1_000_000, 1) // accepted after the others
				defer stays.Close()
				require.Eventually(t, func() bool { return s.entry.LookupPath("desk.example", "/checks/").UnstartedSyncJobs == 1 }, 5*time.Second, 5*time.Millisecond)
				time.Sleep(50 * time.Millisecond)
				require.EqualValues(t, 1, s.submitted.Load(), "only the job of the caller that waits")
			})
		}
	}
}

// Guards against rejecting the jobs of callers that wait, and of those that have sent more.
func TestJobOfCallerThatWaitsIsSubmitted(t *testing.T) {
	s := newCallerSite(t)
	for i := range 10 {
		defer s.send(2*i, 1+i%2).Close()
	}
	s.serve()
	require.Eventually(t, func() bool { return s.submitted.Load() == 10 }, 5*time.Second, 5*time.Millisecond)
}

// Guards against a request that is read late, as by an entry that was paused, and gets
// its whole time from then on. Its caller submits the job to another entry 1.3 s after
// its own time; the end of the connection may be lost.
func TestDeadlineCountsFromArrivalOfRequest(t *testing.T) {
	const wait, tolerance = 400 * time.Millisecond, 150 * time.Millisecond
	for _, tt := range []struct {
		deadline  time.Duration
		submitted int64
	}{{wait / 2, 0}, {2 * wait, 1}} {
		t.Run(tt.deadline.String(), func(t *testing.T) {
			s := newCallerSite(t)
			sentAt := time.Now()
			c := s.sendWithDeadline(1, 1, tt.deadline)
			defer c.Close()
			time.Sleep(wait)
			s.serve()
			c.SetReadDeadline(sentAt.Add(5 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			response.Body.Close()
			require.Less(t, time.Since(sentAt), max(wait, tt.deadline)+tolerance)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "nothing was started")
			require.NotEmpty(t, response.Header.Get("Retry-After"))
			require.Equal(t, tt.submitted, s.submitted.Load())
		})
	}
}

// Guards against a job that goes on after its caller has left: with more data behind the
// request, net/http does not notice the end of the connection.
func TestJobIsCancelledWhenCallerLeavesBehindSecondRequest(t *testing.T) {
	s := newCallerSite(t)
	s.serve()
	c := s.send(1, 1)
	unstarted := func() int { return s.entry.LookupPath("desk.example", "/checks/").UnstartedSyncJobs }
	require.Eventually(t, func() bool { return unstarted() == 1 }, 5*time.Second, 5*time.Millisecond)
	_, err := io.WriteString(c, "POST /checks/0000000000000002 HTTP/1.1\r\n")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return unstarted() == 0 }, time.Second, 5*time.Millisecond)
}
