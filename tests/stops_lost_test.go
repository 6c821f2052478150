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

// An entry is paused for less than a session lasts. Callers leave meanwhile, and submit
// their jobs at another entry as early as they may. All stops are lost: the tasks must have
// ended by lease expiry before the second submission starts them.
func TestPlatformEntryPausedBrieflyAndStopsLost(t *testing.T) {
	f := newPlatformFleet(t, 2, 2)
	const jobs = 40
	body := standin.Job(1, standin.Work{DurationMillis: 2500, Millicores: 100})
	address := strings.TrimPrefix(f.entries[0].callerURL, "http://")
	var callers []net.Conn
	for n := range jobs {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		_, err = fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s", routePrefix, jobID(n+1), routeHost, len(body), body)
		require.NoError(t, err)
		callers = append(callers, c)
	}
	time.Sleep(300 * time.Millisecond)
	for _, x := range f.executors {
		x.SetIgnoreStops(true)
	}
	f.entries[0].signal(syscall.SIGSTOP)
	for _, c := range callers {
		require.NoError(t, c.Close())
	}
	var wg sync.WaitGroup
	leftAt := time.Now()
	time.Sleep(450 * time.Millisecond)
	f.entries[0].signal(syscall.SIGCONT)
	time.Sleep(time.Until(leftAt.Add(standin.ResendAfter)))
	for n := range jobs {
		wg.Go(func() { postJob(f.entries[1], jobID(n+1), body) })
	}
	wg.Wait()
}
