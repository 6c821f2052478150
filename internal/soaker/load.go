package soaker

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"mustardlever.dev/mustardlever/platform/standin"
)

// How callers behave: as the platform's do, with the times that its pages give.
const (
	resendAfter = 1300 * time.Millisecond // after no answer, 502 or 504
	deadline    = 8 * time.Second
	thinkMost   = 250 * time.Millisecond // between two jobs of one caller
	maxTasks    = 6
	taskCPU     = 1500
	taskLeast   = 20 // ms
	taskMost    = 250
	longOf      = 8 // one job of so many is long: it still runs when its caller sends it again
	longLeast   = 1200
	longMost    = 2500
	failsOf     = 20 // one job of so many fails
	asksEvery   = 250 * time.Millisecond
)

// Bodies of final answers.
const (
	completed = `{"state":"completed"}`
	failed    = `{"state":"failed"}`
)

// job is what a caller has done, told of its last answer.
type job struct {
	id     string
	tasks  int
	fails  bool
	work   time.Duration // of each task
	begin  time.Time
	took   time.Duration
	tries  int
	status int // of the last try; 0: no answer
	body   string
}

// served tells whether the job had its final answer.
func (j *job) served() bool { return j.status == http.StatusOK }

// attempt is one try of a job.
type attempt struct {
	entry  int
	id     string
	begin  time.Time
	end    time.Time
	status int
	starts int  // seen of the job while the try went on
	alone  bool // no earlier try of the job may still be at work
}

// balancer knows which entries take new connections.
type balancer struct {
	mu    sync.Mutex
	ready []bool
}

func (b *balancer) set(i int, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[i] = ready
}

// pick returns an entry for a new connection: a ready one if there is any.
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

// caller submits one job after the other over one connection for as long as it
// holds.
type caller struct {
	soak   *soak
	rand   *rand.Rand
	number int
	jobs   int
	entry  int
	client *http.Client
}

func (c *caller) connect() {
	c.entry = c.soak.balancer.pick()
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: deadline}
}

func (c *caller) run(quit <-chan struct{}) {
	c.connect()
	for {
		select {
		case <-quit:
			return
		case <-time.After(rand.N(thinkMost)):
		}
		c.soak.note(c.submit())
	}
}

// submit has one job done, as callers of the platform do.
func (c *caller) submit() *job {
	c.jobs++
	millis := taskLeast + c.rand.IntN(taskMost-taskLeast)
	if c.rand.IntN(longOf) == 0 {
		millis = longLeast + c.rand.IntN(longMost-longLeast)
	}
	j := &job{
		id: fmt.Sprintf("%08x%08x", c.number+1, c.jobs), tasks: 1 + c.rand.IntN(maxTasks), fails: c.rand.IntN(failsOf) == 0,
		work: time.Duration(millis) * time.Millisecond, begin: time.Now(),
	}
	body := standin.Job(j.tasks, standin.Work{Millis: millis, CPU: taskCPU, Fail: j.fails})
	alone := true
	for !j.served() && time.Since(j.begin) < deadline {
		wait := c.try(j, body, alone)
		alone = alone && j.status != 0 && j.status != http.StatusGatewayTimeout && j.status != http.StatusBadGateway
		if !j.served() {
			time.Sleep(wait)
		}
	}
	j.took = time.Since(j.begin)
	return j
}

// try sends the job once and returns when to come back.
func (c *caller) try(j *job, body string, alone bool) time.Duration {
	before := c.soak.judge.Starts(j.id)
	a := attempt{entry: c.entry, id: j.id, begin: time.Now(), alone: alone}
	var retry string
	j.status, j.body, retry = c.post(j.id, body, deadline-time.Since(j.begin))
	j.tries++
	a.end, a.status, a.starts = time.Now(), j.status, c.soak.judge.Starts(j.id)-before
	c.soak.attempted(a)
	if j.status == 0 {
		c.client.CloseIdleConnections()
		c.connect()
	}
	seconds, err := strconv.Atoi(retry)
	if err != nil || j.status == 0 || j.status >= http.StatusGatewayTimeout {
		return resendAfter
	}
	c.connect() // a refused job comes back over another connection
	return time.Duration(seconds) * time.Second
}

func (c *caller) post(id, body string, left time.Duration) (status int, answer, retry string) {
	q, err := http.NewRequest(http.MethodPost, "http://"+c.soak.entries[c.entry].callers+prefix+id, strings.NewReader(body))
	if err != nil {
		return 0, "", ""
	}
	q.Host, q.GetBody = host, nil // the library must not send it again
	q.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	q.Header.Set("Request-Id", "r-"+id)
	p, err := c.client.Do(q)
	if err != nil {
		return 0, "", ""
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return 0, "", ""
	}
	return p.StatusCode, string(b), p.Header.Get("Retry-After")
}

// askReady asks an entry again and again whether it takes connections.
func (k *soak) askReady(i int, quit <-chan struct{}) {
	client := http.Client{Timeout: asksEvery}
	for {
		p, err := client.Get("http://" + k.entries[i].ready + "/readyz")
		if err == nil {
			p.Body.Close()
		}
		k.balancer.set(i, err == nil && p.StatusCode == http.StatusOK)
		select {
		case <-quit:
			return
		case <-time.After(asksEvery):
		}
	}
}
