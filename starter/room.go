package starter

import (
	"slices"

	"mustardlever.dev/mustardlever/sizer"
)

// waitShare is the part of the capacity whose worth of starts may wait for
// room, or one start of any size. Entries place tasks by reports that are some milliseconds old; a short
// queue takes what two of them send at once, and keeps the backend server busy
// for the round trip in which an entry hears of freed room. Beyond it a start
// is refused, so that the entry can place the task elsewhere.
const waitShare = 0.1

// room counts what runs and what waits on a backend server.
type room struct {
	used    sizer.Resources
	queued  sizer.Resources
	waiting []*run // oldest first
}

// taken is the room of all that runs or waits.
func (m *room) taken() sizer.Resources { return m.used.Add(m.queued) }

// fits tells whether a task can start at once.
func (m *room) fits(capacity, need sizer.Resources) bool {
	return len(m.waiting) == 0 && capacity.Sub(m.used).Covers(need)
}

// mayWait tells whether a task may wait for room.
func (m *room) mayWait(capacity, need sizer.Resources) bool {
	return capacity.Covers(need) && (len(m.waiting) == 0 || m.queued.Add(need).DominantShare(capacity) <= waitShare)
}

// wait puts a run at the end of the queue.
func (m *room) wait(r *run) {
	m.waiting = append(m.waiting, r)
	m.queued = m.queued.Add(r.need)
}

// leave takes a run out of the queue. It reports false when it is not there.
func (m *room) leave(r *run) bool {
	i := slices.Index(m.waiting, r)
	if i < 0 {
		return false
	}
	m.waiting = slices.Delete(m.waiting, i, i+1)
	m.queued = m.queued.Sub(r.need)
	return true
}

// next returns the oldest waiting run if it can start now, and counts it as
// running.
func (m *room) next(capacity sizer.Resources) *run {
	if len(m.waiting) == 0 || !capacity.Sub(m.used).Covers(m.waiting[0].need) {
		return nil
	}
	r := m.waiting[0]
	m.leave(r)
	m.use(r)
	return r
}

func (m *room) use(r *run)  { m.used = m.used.Add(r.need) }
func (m *room) free(r *run) { m.used = m.used.Sub(r.need) }

// clear empties the queue and returns what waited.
func (m *room) clear() []*run {
	rs := m.waiting
	m.waiting, m.queued = nil, sizer.Resources{}
	return rs
}
