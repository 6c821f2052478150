package soaker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"mustardlever.dev/mustardlever/platform/standin"
)

// Behavior of callers. It follows the platform's callers, with the times that the
// platform's documentation gives.
const (
	jobDeadline       = 8 * time.Second        // from the first attempt
	maxThinkTime      = 250 * time.Millisecond // longest pause between two jobs of one caller
	maxTasks          = 6                      // of one job
	taskMillicores    = 1000
	minTaskMillis     = 20
	maxTaskMillis     = 250
	longJobOneIn      = 16 // one job in 16, on average, is long: it is still running when its caller retries
	minLongTaskMillis = 1200
	maxLongTaskMillis = 2500
	failingJobOneIn   = 20 // one job in 20, on average, fails
	readyPollInterval = 250 * time.Millisecond
)

// job is a job that a caller has submitted, in one or more attempts.
type job struct {
	id           string
	tasks        int
	fails        bool          // its tasks fail
	taskDuration time.Duration // of each task
	submittedAt  time.Time     // first attempt
	elapsed      time.Duration // from the first attempt until the caller stops retrying
	attempts     int
	answer       standin.Answer // to the last attempt
}

// served reports whether the job got its final answer.
func (j *job) served() bool { return j.answer.Status == http.StatusOK }

// attempt is one attempt to run a job: one request to an entry.
type attempt struct {
	entry     int
	jobID     string
	endedAt   time.Time
	answer    standin.Answer
	starts    int  // starts of the job's tasks during the attempt
	exclusive bool // no earlier attempt of the job can still be running
}

// balancer stands in for the load balancer between callers and entries: it directs
// new connections to entries that are ready.
type balancer struct {
	mu    sync.Mutex
	ready []bool
}

// set records whether an entry is ready.
func (b *balancer) set(i int, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[i] = ready
}

// pick returns a random entry for a new connection, a ready one if there is any.
func (b *balancer) pick() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := rand.IntN(len(b.ready))
	for n := range b.ready {
		if i := (first + n) % len(b.ready); b.ready[i] {
			return i
		}
	}
	return first
}

// caller submits one job after the other. It reuses one connection and replaces it
// after a failed attempt.
type caller struct {
	soak      *soak
	rand      *rand.Rand
	number    int
	submitted int // jobs so far
	entry     int
	client    *http.Client
}

// connect picks an entry and replaces the HTTP client; the first request dials.
func (c *caller) connect() {
	c.entry = c.soak.balancer.pick()
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: jobDeadline}
}

// run submits jobs until quit is closed.
func (c *caller) run(quit <-chan struct{}) {
	c.connect()
	for {
		select {
		case <-quit:
			return
		case <-time.After(rand.N(maxThinkTime)):
		}
		c.soak.recordJob(c.submit())
	}
}

// submit submits one job and, as the platform's callers do, retries it until it is
// served or its deadline has passed.
func (c *caller) submit() *job {
	c.submitted++
	millis := minTaskMillis + c.rand.IntN(maxTaskMillis-minTaskMillis)
	fails := c.rand.IntN(failingJobOneIn) == 0
	if !fails && c.rand.IntN(longJobOneIn) == 0 {
		millis = minLongTaskMillis + c.rand.IntN(maxLongTaskMillis-minLongTaskMillis)
	}
	j := &job{
		id: standin.JobID(uint64(c.number+1)<<32 | uint64(c.submitted)), tasks: 1 + c.rand.IntN(maxTasks), fails: fails,
		taskDuration: time.Duration(millis) * time.Millisecond, submittedAt: time.Now(),
	}
	body := standin.Job(j.tasks, standin.Work{DurationMillis: millis, Millicores: taskMillicores, Fail: j.fails})
	exclusive := true
	for !j.served() && time.Since(j.submittedAt) < jobDeadline {
		c.sendOnce(j, body, exclusive)
		exclusive = exclusive && !j.answer.MayHaveRun()
		if !j.served() {
			time.Sleep(j.answer.ResendDelay())
		}
	}
	j.elapsed = time.Since(j.submittedAt)
	return j
}

// sendOnce makes one attempt of a job and records it.
func (c *caller) sendOnce(j *job, body string, exclusive bool) {
	startsBefore := c.soak.checker.Starts(j.id)
	a := attempt{entry: c.entry, jobID: j.id, exclusive: exclusive}
	address := c.soak.entries[c.entry].callerAddress
	j.answer = standin.Submit(context.Background(), c.client, address, host, pathPrefix, j.id, body, jobDeadline-time.Since(j.submittedAt))
	j.attempts++
	a.endedAt, a.answer, a.starts = time.Now(), j.answer, c.soak.checker.Starts(j.id)-startsBefore
	c.soak.recordAttempt(a)
	if !j.served() {
		c.client.CloseIdleConnections()
		c.connect() // the next attempt uses another connection
	}
}

// pollReady polls the readiness of an entry for the balancer.
func (k *soak) pollReady(index int, quit <-chan struct{}) {
	client := http.Client{Timeout: readyPollInterval}
	for {
		response, err := client.Get("http://" + k.entries[index].readyAddress + "/readyz")
		if err == nil {
			response.Body.Close()
		}
		k.balancer.set(index, err == nil && response.StatusCode == http.StatusOK)
		select {
		case <-quit:
			return
		case <-time.After(readyPollInterval):
		}
	}
}
