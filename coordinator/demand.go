package coordinator

import (
	"math"
	"slices"
	"time"

	"mustardlever.dev/mustardlever/estimator"
	"mustardlever.dev/mustardlever/protocol"
)

// sharedDemand is what a Coordinator knows of the demand of all entries.
type sharedDemand struct {
	table       estimator.Table
	summary     estimator.Summary // as of the last Tick
	shedder     shedder
	used        float64                       // share of the agents' capacity in use, averaged
	growsSince  time.Time                     // since when as much work arrives as is started, here and over all entries; zero: it does not
	arrivals    [estimator.Levels]averageRate // of work that arrives, by level
	refusals    averageRate                   // of refused jobs
	arrivedWork [estimator.Levels]float64     // since the last Tick
	refusedJobs float64                       // since the last Tick
}

// averageRate is a rate, averaged exponentially over rateWindow.
type averageRate struct {
	perSecond float64
	updatedAt time.Time
}

// rateWindow is the time over which arrivals are averaged. A burst that the next seconds
// can serve must not look like overload.
const rateWindow = 2000 * time.Millisecond

// update adds what happened since the last update.
func (r *averageRate) update(now time.Time, amount float64) {
	elapsed := now.Sub(r.updatedAt).Seconds()
	if r.updatedAt.IsZero() {
		r.updatedAt = now
		return
	}
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed/rateWindow.Seconds())
	r.perSecond += weight * (amount/elapsed - r.perSecond)
	r.updatedAt = now
}

// shareDemand exchanges demand with other entries, and reports the backlog to the agents
// while it decides. It is called by Tick.
func (c *Coordinator) shareDemand(now time.Time) {
	d := &c.demand
	exchanges := c.SharesDemand != nil && c.SharesDemand()
	if exchanges || c.sharing {
		for level := range d.arrivals {
			d.arrivals[level].update(now, d.arrivedWork[level])
		}
		d.refusals.update(now, d.refusedJobs)
		d.arrivedWork, d.refusedJobs = [estimator.Levels]float64{}, 0
	}
	if exchanges && d.table.Due(now) {
		d.table.SetOwn(now, c.ownDemand())
		c.sendDemand(now)
	}
	wasSharing := c.sharing
	c.sharing, d.summary = false, estimator.Summary{}
	if exchanges {
		d.summary = d.table.Summarize(now)
		c.sharing = d.summary.Entries > c.Settings.ShareAbove
		d.updateGrowth(now)
		d.used += usedWeight * (1 - c.queue.FreeShare() - d.used)
	}
	send := func(agent string, b protocol.Backlog) { c.send(agent, protocol.Message{Backlog: &b}) }
	switch {
	case c.sharing && c.Settings.DivideCapacity:
		c.queue.ReportBacklog(now, send)
	case wasSharing:
		c.queue.StopReportingBacklog(send)
	}
}

// overloadTime is how long as much work must arrive as is started before it is assumed to
// go on. The measured rates follow a burst only after some hundred milliseconds.
const overloadTime = 500 * time.Millisecond

// updateGrowth updates growsSince.
func (d *sharedDemand) updateGrowth(now time.Time) {
	wait, known := d.summary.Drain(d.table.Own())
	switch {
	case !known || wait < math.MaxInt64:
		d.growsSince = time.Time{}
	case d.growsSince.IsZero():
		d.growsSince = now
	}
}

// drain estimates when work that needs otherwise unused capacity can start.
func (d *sharedDemand) drain(now time.Time) (wait time.Duration, known bool) {
	wait, known = d.summary.Drain(d.table.Own())
	if known && wait == math.MaxInt64 && now.Sub(d.growsSince) < overloadTime {
		return d.summary.DrainAlone(), true
	}
	return wait, known
}

// ownDemand returns the demand of this entry.
func (c *Coordinator) ownDemand() protocol.Demand {
	w := c.queue.Waits()
	m := protocol.Demand{
		Work: make([]int, estimator.Levels), Jobs: slices.Clone(w.Jobs[:]), Rate: roundUp(w.Rate),
		Used: int(1000 * min(max(c.demand.used, 0), 1)), Arrivals: make([]int, estimator.Levels), Refused: roundUp(c.demand.refusals.perSecond),
	}
	for level, work := range w.Work {
		m.Work[level], m.Arrivals[level] = roundUp(work), roundUp(c.demand.arrivals[level].perSecond)
	}
	return m
}

func roundUp(x float64) int { return int(math.Ceil(max(x, 0))) }

// sendDemand sends the known demand to the entries that are next in turn.
func (c *Coordinator) sendDemand(now time.Time) {
	if c.ConnectedEntries == nil {
		return
	}
	peers := c.ConnectedEntries()
	slices.Sort(peers)
	for _, peer := range c.demand.table.Recipients(peers) {
		c.send(peer, protocol.Message{Demand: c.demand.table.Share(now)})
	}
}

// backlogForStart returns the backlog to send with a start, nil if the demand of all
// entries does not decide.
func (c *Coordinator) backlogForStart(now time.Time, agent string) *protocol.Backlog {
	if !c.sharing || !c.Settings.DivideCapacity {
		return nil
	}
	return c.queue.BacklogForStart(now, agent)
}

// DemandView is the demand of all entries as shown to operators.
type DemandView struct {
	Entries          int       `json:"entries"`          // known ones, this one included
	Decides          bool      `json:"decides"`          // more entries are known than a process connects to
	OldestAgeMillis  int64     `json:"oldest-age-ms"`    // of the known demands
	Ignored          uint64    `json:"ignored"`          // implausible demands since the start
	StartMillis      []int64   `json:"start-ms"`         // until work of each priority would start; -1: not known
	ShedShare        []float64 `json:"shed-share"`       // of the arriving work, by priority
	RefusedPerSecond float64   `json:"refused-a-second"` // jobs that this entry refuses a second
}

// demandView returns the demand of all entries, nil if entries do not exchange it.
func (c *Coordinator) demandView() *DemandView {
	s := &c.demand.summary
	if s.Entries == 0 {
		return nil
	}
	v := &DemandView{
		Entries: s.Entries, Decides: c.sharing, OldestAgeMillis: s.OldestAge.Milliseconds(),
		Ignored: c.demand.table.Ignored(), RefusedPerSecond: c.demand.refusals.perSecond,
	}
	for level := range estimator.Levels {
		start := int64(-1)
		if s.Rate > 0 {
			start = int64(1000 * s.Total(level) / s.Rate)
		}
		share := 0.0
		if c.sharing && c.Settings.ShedLoad {
			share = scarcity(s.Used) * c.demand.shedder.share(s, level)
		}
		v.StartMillis, v.ShedShare = append(v.StartMillis, start), append(v.ShedShare, share)
	}
	return v
}
