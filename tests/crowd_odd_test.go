package tests

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"mustardlever.dev/mustardlever/platform/standin"
)

const (
	crowdRepeats = 20 // connections that one client opens in turn
	crowdLookups = 50 // requests that one client sends in turn about jobs that never existed
)

// sendAndReset opens connections in turn and resets each in the middle of a request.
func sendAndReset(c net.Conn, n int, body []byte, _ bool) {
	address := c.RemoteAddr().String()
	for i := range crowdRepeats {
		request := completeJob(jobID(1_000_000+1000*n+i), body)
		c.Write(request[:len(request)-crowdShortfall*(1+i%2*100)])
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		var err error
		if c, err = net.DialTimeout("tcp", address, time.Second); err != nil {
			return
		}
	}
	c.Close()
}

// sendAndHalfClose closes its side after a complete request, or in the middle of one.
func sendAndHalfClose(c net.Conn, n int, body []byte, _ bool) {
	request := completeJob(jobID(1_000_000+1000*n), body)
	if n%2 == 0 {
		request = request[:len(request)/2]
	}
	c.Write(request)
	c.(*net.TCPConn).CloseWrite()
	time.Sleep(crowdHold)
}

// sendLookups asks for and cancels jobs that never existed.
func sendLookups(c net.Conn, n int, _ []byte, _ bool) {
	c.SetDeadline(time.Now().Add(crowdWriteTimeout))
	r := bufio.NewReader(c)
	for i := range crowdLookups {
		method := []string{http.MethodDelete, http.MethodGet}[i%2]
		fmt.Fprintf(c, "%s %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", method, routePrefix, jobID(2_000_000+1000*n+i), routeHost)
		if !skipResponse(r) {
			return
		}
	}
}

// sendSameJob submits one job again and again and leaves each time.
func sendSameJob(c net.Conn, _ int, _ []byte, _ bool) {
	address := c.RemoteAddr().String()
	job := completeJob(jobID(500), []byte(standin.Job(1, standin.Work{DurationMillis: 3000, Millicores: 100})))
	for range crowdRepeats {
		c.Write(job)
		time.Sleep(20 * time.Millisecond)
		c.Close()
		var err error
		if c, err = net.DialTimeout("tcp", address, time.Second); err != nil {
			return
		}
	}
	c.Close()
}

// Guards against an entry that exceeds its memory or its descriptors, or does not serve
// callers any more, because of connections that end or say nothing useful.
func TestCrowdOfOddConnections(t *testing.T) {
	buildCrowdDaemon(t)
	job := []byte(standin.Job(1, standin.Work{DurationMillis: 5, Millicores: 1}))
	job = append(job, bytes.Repeat([]byte(" "), 20_000)...)
	for _, k := range []crowdKind{
		{"reset", sendAndReset}, {"half-closed", sendAndHalfClose}, {"lookups", sendLookups}, {"same-job", sendSameJob},
	} {
		t.Run(k.name, func(t *testing.T) {
			requireCrowdWithstood(t, func(f *platformFleet, w *crowd) {
				w.open(callersAddress(f.entries[0]), crowdCallers, []crowdKind{k}, job)
			})
		})
	}
}
