package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	checkInterval = time.Second // between two status checks of the platform
	maxMisses     = 2           // of them, after which a node gets no new channels
	contactTime   = 3 * time.Second
	cancelTime    = 3 * time.Second       // cancel_ms
	stopLimit     = 50 * time.Millisecond // stopTimeoutMs
	configApply   = 2 * time.Second       // configApplyMs
)

// rotation stands in for the platform's choice of the edge machine for a new channel. The
// client's hash selects the first one while it is in rotation, otherwise the next.
type rotation struct {
	entries []*entry
	record  *record

	mu     sync.Mutex
	misses []int
}

// follow checks the edge machines once a second.
func (t *rotation) follow(quit <-chan struct{}) {
	for {
		for i, e := range t.entries {
			ready := isReady(e.ready)
			t.mu.Lock()
			was := t.misses[i] < maxMisses
			if t.misses[i]++; ready {
				t.misses[i] = 0
			}
			is := t.misses[i] < maxMisses
			t.mu.Unlock()
			if is != was {
				t.record.line("%s in rotation: %t", e.name, is)
			}
		}
		select {
		case <-quit:
			return
		case <-time.After(checkInterval):
		}
	}
}

func (t *rotation) pick() *entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, e := range t.entries {
		if t.misses[i] < maxMisses {
			return e
		}
	}
	return t.entries[0]
}

// await waits until the first machine is or is not in rotation.
func (t *rotation) await(isIn bool, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if (t.pick() == t.entries[0]) == isIn {
			return nil
		}
	}
	return fmt.Errorf("%s has not entered or left the rotation", t.entries[0].name)
}

// cancelElsewhere submits a job while one edge machine is stopped and started as planned,
// and cancels it when that machine has long been back.
func cancelElsewhere(r *record, trouble bool) ([]string, error) {
	const (
		id     = "0000000000abc000"
		millis = 12_000
		budget = 30 * time.Second
	)
	d, err := newDeployment(r, 2, [][]string{{"a"}, {"a"}}, serverCPU)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return nil, err
	}
	first := d.entries[0]
	nodes := &rotation{entries: d.entries, record: r, misses: make([]int, len(d.entries))}
	quit := make(chan struct{})
	defer close(quit)
	go nodes.follow(quit)
	if trouble {
		r.line("%s gets SIGTERM", first.name)
		first.signal(syscall.SIGTERM)
		if err := nodes.await(false, graceS*time.Second); err != nil {
			return nil, err
		}
	}
	c, to := &client{name: "client", record: r}, nodes.pick()
	if err := c.open(to.front.address()); err != nil {
		return nil, err
	}
	answered := make(chan int, 1)
	go func() { answered <- c.post(to.name, id, jobBody(2, taskCPU, millis, ""), budget) }()
	if trouble {
		select {
		case <-first.done:
		case <-time.After(graceS * time.Second):
			first.kill()
		}
		r.line("%s has ended and is started again", first.name)
		if err := first.restart(); err != nil {
			return nil, err
		}
		if err := nodes.await(true, readyWait); err != nil {
			return nil, err
		}
	}
	time.Sleep(contactTime + time.Second)
	broken, err := cancel(r, nodes.pick(), id)
	if err != nil {
		return nil, err
	}
	select {
	case <-answered:
	case <-time.After(budget):
	}
	return broken, nil
}

// cancelAfterDrop submits a job, removes its queue from the config, and cancels the job
// once the new config has long been in force.
func cancelAfterDrop(r *record, trouble bool) ([]string, error) {
	const (
		id     = "0000000000abc000"
		millis = 12_000
		budget = 30 * time.Second
	)
	d, err := newDeployment(r, 1, [][]string{{"a"}, {"a"}}, serverCPU)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return nil, err
	}
	to := d.entries[0]
	c := &client{name: "client", record: r}
	if err := c.open(to.front.address()); err != nil {
		return nil, err
	}
	answered := make(chan int, 1)
	go func() { answered <- c.post(to.name, id, jobBody(2, taskCPU, millis, ""), budget) }()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		d.store.Put("op", "config", []byte(laterConfiguration))
		r.line("the store acknowledges a config without the queue")
	}
	time.Sleep(configApply + contactTime)
	broken, err := cancel(r, to, id)
	if err != nil {
		return nil, err
	}
	select {
	case <-answered:
	case <-time.After(budget):
	}
	return broken, nil
}

// cancel sends the DELETE of a job that is at work to an edge machine. It returns the
// tasks that run longer after its acknowledgement than the rule UNASKED allows.
func cancel(r *record, to *entry, id string) ([]string, error) {
	if len(r.active(id)) == 0 {
		return nil, fmt.Errorf("the job is not at work before it is cancelled")
	}
	request, err := http.NewRequest(http.MethodDelete, "http://"+to.front.address()+prefix+id, nil)
	if err != nil {
		return nil, err
	}
	request.Host = host
	r.line("client sends DELETE of job %s to %s", id, to.name)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	r.line("%s answers the DELETE: %d", to.name, response.StatusCode)
	if response.StatusCode/100 != 2 && response.StatusCode != http.StatusGone {
		return nil, fmt.Errorf("the cancelling is not acknowledged")
	}
	time.Sleep(cancelTime + stopLimit)
	var broken []string
	for _, task := range r.active(id) {
		broken = append(broken, fmt.Sprintf("task %s runs %s after the cancelling of its job was acknowledged with %d", task, cancelTime+stopLimit, response.StatusCode))
	}
	return broken, nil
}

// active returns the tasks of a job that run now.
func (r *record) active(job string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var tasks []string
	for _, x := range r.runs {
		if len(x.task) > len(job) && x.task[:len(job)] == job && x.end.IsZero() {
			tasks = append(tasks, x.task)
		}
	}
	return tasks
}
