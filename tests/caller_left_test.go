package tests

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/platform/standin"
)

// Callers submit jobs to an entry that is paused, leave, and submit the jobs at another
// entry, as callers do after a broken connection. The first entry resumes while the tasks
// run: it finds the requests in its buffers, and must not start the tasks a second time.
// The checker of the stand-in reports tasks that run twice at the same time.
func TestPlatformEntryResumesAfterCallersHaveLeft(t *testing.T) {
	f := newPlatformFleet(t, 2, 2)
	const jobs = 300
	body := standin.Job(1, standin.Work{DurationMillis: 900, Millicores: 50})
	address := strings.TrimPrefix(f.entries[0].callerURL, "http://")
	f.entries[0].signal(syscall.SIGSTOP)
	for n := range jobs {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		_, err = fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s", routePrefix, jobID(n+1), routeHost, len(body), body)
		require.NoError(t, err)
		require.NoError(t, c.Close())
	}
	time.Sleep(standin.ResendAfter)
	var wg sync.WaitGroup
	for n := range jobs {
		wg.Go(func() { postJob(f.entries[1], jobID(n+1), body) })
	}
	time.Sleep(300 * time.Millisecond)
	f.entries[0].signal(syscall.SIGCONT)
	wg.Wait()
}
