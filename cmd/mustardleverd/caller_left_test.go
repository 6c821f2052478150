package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/platform"
	"mustardlever.dev/mustardlever/server"
)

// A request waits in the buffer of its connection, for example while this process is
// paused. Its caller leaves, and submits the job at another entry. When the request is
// read at last, the end of the connection is behind it, and no task may be started.
func TestRequestOfCallerThatHasLeftIsNotSubmitted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	const requests = 20
	body := `{"spec":"a","bestEffort":true,"steps":[{"count":1,"cpu":100,"estimateMs":90}]}`
	for i := range requests {
		c, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprintf(c, "POST /checks/%016x HTTP/1.1\r\nHost: desk.example\r\nDeadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s", i, len(body), body)
		require.NoError(t, err)
		require.NoError(t, c.Close())
	}
	time.Sleep(50 * time.Millisecond)
	var submitted, handled atomic.Int64
	s := newCallerServer(&platform.ClientHandler{Submit: func(ctx context.Context, job server.SyncJob) server.SyncReply {
		if ctx.Err() == nil && !job.CallerLeft() { // as server.Entry.SubmitSync checks
			submitted.Add(1)
		}
		return server.SyncReply{Outcome: server.OutcomeNotRun}
	}})
	s.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			handled.Add(1)
		}
	}
	defer s.Close()
	go s.Serve(listener)
	require.Eventually(t, func() bool { return handled.Load() == requests }, 5*time.Second, time.Millisecond)
	require.Zero(t, submitted.Load(), "of %d requests", requests)
}
