package coordinator

import (
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

// reportDemand reports the backlog to the agents while entries share their demand, so
// that the agents can divide their free capacity among them.
func (c *Coordinator) reportDemand(now time.Time) {
	shared := c.SharesDemand != nil && c.SharesDemand()
	send := func(agent string, b protocol.Backlog) { c.send(agent, protocol.Message{Backlog: &b}) }
	switch {
	case shared:
		c.queue.ReportBacklog(now, send)
	case c.sharing:
		c.queue.StopReportingBacklog(send)
	}
	c.sharing = shared
}

// backlogForStart returns the backlog to send with a start, nil if entries do not share
// their demand.
func (c *Coordinator) backlogForStart(now time.Time, agent string) *protocol.Backlog {
	if !c.sharing {
		return nil
	}
	return c.queue.BacklogForStart(now, agent)
}
