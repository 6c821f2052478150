package dispatcher

// forecast compares starting a task at its place with starting it elsewhere now. Times
// are in seconds.
type forecast struct {
	wait     float64 // until the job's last waiting task can start at the place
	local    float64 // duration at the place
	remote   float64 // duration elsewhere
	slack    float64 // time until the job is due; infinite without a due time
	scarce   bool    // less than scarceFraction of the capacity is free
	headroom bool    // at least remoteHeadroom of the capacity is free
}

func (f forecast) localInTime() bool { return f.wait+f.local*(1+dueTimeMargin) <= f.slack }

func (f forecast) remoteInTime() bool { return f.remote <= f.slack }

// placeStalls reports whether the place releases so little capacity that it must not hold
// jobs back, as when its servers hang.
func (f forecast) placeStalls() bool { return f.wait > maxWaitFactor*f.remote }

// waitPays reports whether waiting pays. While capacity is scarce it does: the longer run
// elsewhere would make other jobs late. Otherwise meeting the due time comes first, then
// the capacity that other jobs need, then the earlier end.
func (f forecast) waitPays() bool {
	if f.scarce || f.localInTime() == f.remoteInTime() && !f.headroom {
		return !f.placeStalls()
	}
	if f.localInTime() != f.remoteInTime() {
		return f.localInTime()
	}
	return f.wait+f.local < f.remote
}

// mayRunElsewhere reports whether a job that does not wait may start elsewhere: if it would
// be late there, only with headroom, as other late jobs, and while capacity is scarce only
// if its place stalls.
func (f forecast) mayRunElsewhere() bool {
	return f.headroom || f.remoteInTime() && !f.scarce || f.placeStalls()
}
