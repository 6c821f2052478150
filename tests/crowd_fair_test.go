package tests

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/platform/standin"
)

// crowdAddress is the address of a crowd that is another client than the test.
var crowdAddress = net.IPv4(127, 0, 0, 9)

const (
	ordinaryJobs     = 10 // submitted beside a crowd, one after another
	ordinaryInterval = 100 * time.Millisecond
	ordinaryDeadline = 10 * time.Second
	busyJobMillis    = 3000
)

// sendBusy submits a job that runs as long as the crowd lasts, and waits for its answer.
func sendBusy(c net.Conn, n int, _ []byte, _ bool) {
	job := standin.Job(1, standin.Work{DurationMillis: busyJobMillis, Millicores: 10})
	c.Write(completeJob(jobID(1000+n), []byte(job)))
	c.SetReadDeadline(time.Now().Add(crowdWriteTimeout))
	c.Read(make([]byte, 1)) // until the answer begins, or the connection was closed
}

// Guards against a crowd of one client that keeps the callers of other clients out: their
// requests are refused, or their connections closed, to make room for it.
func TestOrdinaryCallerBesideCrowd(t *testing.T) {
	buildCrowdDaemon(t)
	body := paddedJob(crowdBodyBytes)
	kinds := append(crowdKinds(), crowdKind{"in-turn", sendInTurn}, crowdKind{"busy", sendBusy}, crowdKind{"pipelined", sendPipelined})
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			f := newCrowdFleet(t)
			w := &crowd{t: t, from: crowdAddress, starts: func(n int) int { return f.checker.Starts(jobID(1000 + n)) }}
			w.open(callersAddress(f.entries[0]), crowdCallers, []crowdKind{k}, body)
			for i := range ordinaryJobs {
				time.Sleep(ordinaryInterval)
				requireNotKeptOut(t, f.entries[0], jobID(900+i))
			}
			w.close()
			w.work.Wait()
			require.False(t, hasExited(f.entries[0]))
		})
	}
}

// requireNotKeptOut checks that an ordinary job is answered and at no try refused by the
// limits. On a machine without processor time the agent may be lost for a time; the entry
// then refuses jobs with that cause.
func requireNotKeptOut(t *testing.T, entry *process, id string) {
	job := standin.Job(1, standin.Work{DurationMillis: 1, Millicores: 10})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: ordinaryDeadline + 5*time.Second}
	for end := time.Now().Add(crowdAnswerTimeout); ; time.Sleep(ordinaryInterval) {
		a := standin.Submit(t.Context(), client, entry.callerURL, routeHost, routePrefix, id, job, ordinaryDeadline)
		require.NotZero(t, a.Status, "job %s: the connection ended without an answer", id)
		if a.Status == http.StatusOK {
			return
		}
		require.NotEmpty(t, a.Body, "job %s was refused by the limits with status %d", id, a.Status)
		require.NotContains(t, a.Body, "memory", "job %s", id)
		require.True(t, time.Now().Before(end), "job %s is refused with %d and %s", id, a.Status, a.Body)
		t.Logf("job %s: %d, %s", id, a.Status, a.Body)
	}
}
