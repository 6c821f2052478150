package tests

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mustardlever.dev/mustardlever/platform/standin"
)

const (
	crowdJobsInTurn    = 60  // small jobs that one connection submits, each after the answer to the one before
	crowdJobsPipelined = 400 // small jobs that one connection submits without reading an answer
)

// completeJob returns a complete request for a job on the platform.
func completeJob(id string, body []byte) []byte {
	return standin.JobRequest(routeHost, routePrefix+id, crowdDeadline, "", string(body))
}

// sendAndRead sends a complete request and waits for the beginning of the answer.
func sendAndRead(c net.Conn, request []byte) {
	c.Write(request)
	c.SetReadDeadline(time.Now().Add(crowdWriteTimeout))
	c.Read(make([]byte, 1)) // an error means that the request was refused by closing the connection
}

// sendInTurn submits small jobs one after another and reads each answer.
func sendInTurn(c net.Conn, n int, _ []byte, _ bool) {
	c.SetDeadline(time.Now().Add(crowdWriteTimeout))
	r := bufio.NewReader(c)
	job := []byte(standin.Job(1, standin.Work{DurationMillis: 1, Millicores: 1}))
	for i := range crowdJobsInTurn {
		if _, err := c.Write(completeJob(jobID(1_000_000+1000*n+i), job)); err != nil {
			return
		}
		if !skipResponse(r) {
			return
		}
	}
}

// skipResponse reads a response and reports whether there was one.
func skipResponse(r *bufio.Reader) bool {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return err == nil
}

// sendPipelined submits small jobs at once and reads no answer.
func sendPipelined(c net.Conn, n int, _ []byte, _ bool) {
	job := []byte(standin.Job(1, standin.Work{DurationMillis: 1, Millicores: 1}))
	var b bytes.Buffer
	for i := range crowdJobsPipelined {
		b.Write(completeJob(jobID(1_000_000+1000*n+i), job))
	}
	c.Write(b.Bytes())
	time.Sleep(crowdHold)
}

// Guards against an entry that exceeds its memory or its descriptors, or does not serve
// callers any more, after many connections whose requests are complete.
func TestCrowdOfCompleteRequests(t *testing.T) {
	buildCrowdDaemon(t)
	kinds := []crowdKind{{"in-turn", sendInTurn}, {"pipelined", sendPipelined}}
	for name, body := range standin.HardJobs() {
		kinds = append(kinds, crowdKind{name, func(c net.Conn, n int, _ []byte, _ bool) {
			sendAndRead(c, completeJob(jobID(1000+n), []byte(body)))
		}})
	}
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			requireCrowdWithstood(t, func(f *platformFleet, w *crowd) {
				w.open(callersAddress(f.entries[0]), crowdCallers, []crowdKind{k}, nil)
			})
		})
	}
}
