package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// kindOfEarlierBoot sends jobs that require kind b to the only executor of that kind. It
// starts again, as one of kind a, while the edge machine is frozen.
func kindOfEarlierBoot(r *record, trouble bool) ([]string, error) {
	const (
		clients = 12
		freeze  = 250 * time.Millisecond
		millis  = 60
	)
	labels := slices.Repeat([][]string{{"a", "r1"}}, sideMachines)
	labels[0] = []string{"b", "r1"}
	d, err := newDeployment(r, edgeMachines, labels, serverCPU)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return nil, err
	}
	edge, changing := d.entries[0], d.executors[0]
	var channels []*client
	for i := range clients {
		c := &client{name: fmt.Sprintf("client-%d", i+1), record: r}
		if err := c.open(edge.front.address()); err != nil {
			return nil, err
		}
		if s := c.post(edge.name, fmt.Sprintf("%016x", 100+i), jobBody(1, 100, 20, "b"), timeBudget); s != 200 {
			return nil, fmt.Errorf("the first job is answered with %d", s)
		}
		channels = append(channels, c)
	}
	if trouble {
		r.line("%s freezes", edge.name)
		edge.signal(syscall.SIGSTOP)
		time.AfterFunc(freeze, func() {
			r.line("%s wakes", edge.name)
			edge.signal(syscall.SIGCONT)
		})
	}
	time.Sleep(20 * time.Millisecond)
	if trouble || os.Getenv("CRASH") == "1" {
		changing.crash()
		time.Sleep(30 * time.Millisecond)
		changing.boot([]string{"a", "r1"})
		time.Sleep(50 * time.Millisecond)
	}
	var wait sync.WaitGroup
	for i, c := range channels {
		wait.Go(func() { c.post(edge.name, fmt.Sprintf("%016x", 0xabc000+i), jobBody(2, 1000, millis, "b"), timeBudget) })
	}
	wait.Wait()
	return withoutLabel(r, "0000000000abc", "b"), nil
}

// withoutLabel returns a text for each run of the jobs whose ids begin with the prefix on
// an executor without the label.
func withoutLabel(r *record, jobs, label string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	for _, x := range r.runs {
		if strings.HasPrefix(x.task, jobs) && !slices.Contains(x.labels, label) {
			found = append(found, fmt.Sprintf("task %s, which requires %s, starts on %s, which is %v", x.task, label, x.executor, x.labels))
		}
	}
	return found
}
