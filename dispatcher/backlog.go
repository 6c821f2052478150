package dispatcher

import (
	"math"
	"time"

	"mustardlever.dev/mustardlever/sizer"
)

const (
	backlogInterval   = 100 * time.Millisecond // between two reports of a backlog to an agent
	unchangedInterval = 300 * time.Millisecond // same while it is within a third; agents let a backlog expire after 500 ms
	sharedStartDelay  = 0.015                  // seconds: two links, the agent's queue, and the call to the backend server
	roundingError     = 1e-3                   // more than sums of work lose, in thousandths of a core times seconds
)

// Backlog is the work that waits at an entry: that of the tasks that may start as soon as
// capacity is free, in thousandths of a core times seconds. Negative work means that the
// entry does not share its demand any more.
type Backlog struct {
	Work int             `json:"work"`
	Need sizer.Resources `json:"need,omitzero"` // of the task that comes next; less capacity is of no use
}

// Backlog returns the current backlog. Late jobs do not count while there is no headroom
// for them.
func (d *Dispatcher[J]) Backlog() Backlog {
	first, ok := d.jobs.Min()
	if !ok {
		return Backlog{}
	}
	work := d.waitingWork
	if !d.headroom {
		work -= d.heldBackWork
	}
	return Backlog{Work: int(math.Ceil(max(work-roundingError, 0))), Need: first.Need}
}

// BacklogForStart returns the backlog to send to an agent with a start.
func (d *Dispatcher[J]) BacklogForStart(now time.Time, name string) *Backlog {
	b := d.Backlog()
	if a := d.agents[name]; a != nil {
		a.reportedBacklog, a.backlogReportedAt = b.Work, now
	}
	return &b
}

// ReportBacklog calls send for the agents that should learn of the backlog now. Call it
// at short intervals. While tasks wait, as many agents as tasks learn of it, enough to find free
// capacity with few messages:
// first those that have offered enough capacity to other entries, each at most once in
// backlogInterval. When no task waits any more, those that learned of it are told. An
// agent also learns of the first backlog, whatever it is.
func (d *Dispatcher[J]) ReportBacklog(now time.Time, send func(agent string, b Backlog)) {
	d.reportsBacklog = true
	b := d.Backlog()
	report := func(a *agent) {
		a.reportedBacklog, a.backlogReportedAt = b.Work, now
		send(a.name, b)
	}
	limit := d.waiting
	for pass := range 2 {
		for i := range d.agentList {
			a := d.agentList[(i+d.firstToReport)%len(d.agentList)]
			switch {
			case a.backlogReportedAt.IsZero(), b.Work == 0 && a.reportedBacklog > 0:
				report(a)
			case b.Work == 0 || limit <= 0 || now.Sub(a.backlogReportedAt) < reportInterval(a.reportedBacklog, b.Work):
			case pass == 1 || a.offeredElsewhere > 0 && a.offeredElsewhere >= b.Need.CPU:
				report(a)
				limit--
			}
		}
	}
	d.firstToReport++
}

// reportInterval returns the time until an agent that knows of a backlog learns of the
// present one. A backlog that has hardly changed is renewed before it expires there.
func reportInterval(known, present int) time.Duration {
	if 4*known >= 3*present && 3*known <= 4*present {
		return unchangedInterval
	}
	return backlogInterval
}

// StopReportingBacklog calls send for the agents that have learned of a backlog, which
// do not take it into account any longer.
func (d *Dispatcher[J]) StopReportingBacklog(send func(agent string, b Backlog)) {
	d.reportsBacklog = false
	for _, a := range d.agentList {
		if !a.backlogReportedAt.IsZero() {
			a.reportedBacklog, a.backlogReportedAt = 0, time.Time{}
			send(a.name, Backlog{Work: -1})
		}
	}
}

// startDelay returns how many seconds before its start at the backend server a task is
// placed. While backlogs are reported, an entry sees only a part of the free capacity.
// It then often has to choose servers that are just fast enough by their duration
// alone, and the task would end a few milliseconds late.
func (d *Dispatcher[J]) startDelay() float64 {
	if !d.reportsBacklog {
		return 0
	}
	return sharedStartDelay
}
