package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// cases holds the cases by name. Each returns how the rule was broken.
var cases = map[string]func(r *record, trouble bool) ([]string, error){
	"twice-held":   twiceHeld,
	"kind-earlier": kindOfEarlierBoot,
}

const (
	timeBudget  = 1500 * time.Millisecond
	resendDelay = 1300 * time.Millisecond
	taskCPU     = 3100
	serverCPU   = 32000

	// The machines of the site.
	edgeMachines = 4
	sideMachines = 11
)

// twiceHeld cuts an edge machine off for 1.7 s while clients send their jobs to it. They
// get no answer within their time budget, close their channels and send the jobs again,
// to the other edge machine. TCP delivers the first requests meanwhile.
func twiceHeld(r *record, trouble bool) ([]string, error) {
	const (
		clients = 5
		cut     = 1700 * time.Millisecond // ends before the fourth retransmission, 3.09 s after the first send
		tasks   = 3                       // not the number of executors, so that the two machines place them differently
		millis  = 900
	)
	labels := slices.Repeat([][]string{{"a"}}, sideMachines)
	d, err := newDeployment(r, edgeMachines, labels, serverCPU)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return nil, err
	}
	first, second := d.entries[0], d.entries[1]
	var channels []*client
	for i := range clients {
		c := &client{name: fmt.Sprintf("client-%d", i+1), record: r}
		if err := c.open(first.front.address()); err != nil {
			return nil, err
		}
		if s := c.post(first.name, fmt.Sprintf("%016x", 100+i), jobBody(1, 100, 20, ""), timeBudget); s != 200 {
			return nil, fmt.Errorf("the first job is answered with %d", s)
		}
		channels = append(channels, c)
	}
	if trouble {
		r.line("%s is cut off from all other machines and from the clients", first.name)
		d.setCut(first, true)
		time.AfterFunc(cut, func() {
			r.line("%s is no longer cut off", first.name)
			d.setCut(first, false)
		})
		time.Sleep(50 * time.Millisecond)
	}
	var wait sync.WaitGroup
	for i, c := range channels {
		wait.Go(func() {
			id, body := fmt.Sprintf("%016x", 0xabc000+i), jobBody(tasks, taskCPU, millis, "")
			if s := c.post(first.name, id, body, timeBudget); s != 0 && s != 502 && s != 504 {
				return
			}
			time.Sleep(resendDelay)
			again := &client{name: c.name, record: r}
			if err := again.open(second.front.address()); err != nil {
				r.line("%s cannot open a channel: %v", c.name, err)
				return
			}
			again.post(second.name, id, body, timeBudget)
		})
	}
	wait.Wait()
	time.Sleep(2 * time.Second)
	return r.overlaps(time.Millisecond), nil
}
