package soaker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"mustardlever.dev/mustardlever/platform/standin"
)

// How callers behave: as the platform's do, with the times that its pages give.
const (
	deadline  = 8 * time.Second
	thinkMost = 250 * time.Millisecond // between two jobs of one caller
	maxTasks  = 6
	taskCPU   = 1000
	taskLeast = 20 // ms
	taskMost  = 250
	longOf    = 16 // one job of so many is long: it still runs when its caller sends it again
	longLeast = 1200
	longMost  = 2500
	failsOf   = 20 // one job of so many fails
	asksEvery = 250 * time.Millisecond
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
	answer standin.Answer // to the last try
}

// served tells whether the job had its final answer.
func (j *job) served() bool { return j.answer.Status == http.StatusOK }

// attempt is one try of a job.
type attempt struct {
	entry  int
	id     string
	end    time.Time
	answer standin.Answer
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
	fails := c.rand.IntN(failsOf) == 0
	if !fails && c.rand.IntN(longOf) == 0 {
		millis = longLeast + c.rand.IntN(longMost-longLeast)
	}
	j := &job{
		id: standin.JobID(uint64(c.number+1)<<32 | uint64(c.jobs)), tasks: 1 + c.rand.IntN(maxTasks), fails: fails,
		work: time.Duration(millis) * time.Millisecond, begin: time.Now(),
	}
	body := standin.Job(j.tasks, standin.Work{Millis: millis, CPU: taskCPU, Fail: j.fails})
	alone := true
	for !j.served() && time.Since(j.begin) < deadline {
		c.try(j, body, alone)
		alone = alone && !j.answer.MayHaveRun()
		if !j.served() {
			time.Sleep(j.answer.Again())
		}
	}
	j.took = time.Since(j.begin)
	return j
}

// try sends the job once.
func (c *caller) try(j *job, body string, alone bool) {
	before := c.soak.judge.Starts(j.id)
	a := attempt{entry: c.entry, id: j.id, alone: alone}
	address := c.soak.entries[c.entry].callers
	j.answer = standin.Submit(context.Background(), c.client, address, host, prefix, j.id, body, deadline-time.Since(j.begin))
	j.tries++
	a.end, a.answer, a.starts = time.Now(), j.answer, c.soak.judge.Starts(j.id)-before
	c.soak.attempted(a)
	if !j.served() {
		c.client.CloseIdleConnections()
		c.connect() // it comes back over another connection
	}
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
