package server

import (
	"path"
	"sync"
	"time"

	"mustardlever.dev/mustardlever/canceller"
	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/router"
)

// maxCancelsPerMessage keeps messages below 64 KiB.
const maxCancelsPerMessage = 500

// CancelState tells what became of a cancel.
type CancelState string

// States of a cancel.
const (
	CancelUnknown CancelState = "unknown"  // the path names no job of a present or removed route
	CancelInForce CancelState = "in-force" // the job has ended here, no later submission of it is started, and the connected entries were told
	CancelNotKept CancelState = "not-kept" // too many cancels are in force: the job has ended here, but a later submission of it might be started
)

// cancels holds the cancels that an entry knows, and the routes under which unfinished jobs
// may have been accepted. The mutex may be acquired while that of a shard is held.
type cancels struct {
	mu        sync.Mutex
	canceller canceller.Canceller
	former    router.Former
}

func (c *cancels) add(now time.Time, name string) (canceller.Cancel, canceller.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.canceller.Add(now, now.UnixMilli(), name)
}

// receive adds the cancels of another entry, and returns those that have to be passed on.
func (c *cancels) receive(now time.Time, list []protocol.Cancel) []protocol.Cancel {
	c.mu.Lock()
	defer c.mu.Unlock()
	var added []protocol.Cancel
	for _, k := range list {
		remaining := min(k.RemainingMillis, canceller.Lifetime.Milliseconds())
		received := canceller.Cancel{Name: k.Name, At: k.At, Remaining: time.Duration(remaining) * time.Millisecond}
		if c.canceller.Receive(now, received) == canceller.Added {
			added = append(added, k)
		}
	}
	return added
}

func (c *cancels) isCancelled(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.canceller.IsCancelled(time.Now(), name)
}

func (c *cancels) live(now time.Time) []protocol.Cancel {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []protocol.Cancel
	for _, k := range c.canceller.Live(now) {
		list = append(list, cancelMessage(k))
	}
	return list
}

func (c *cancels) replaceRoutes(now time.Time, earlier, later *router.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.former.Retention = canceller.Lifetime
	c.former.Replace(now, earlier, later)
}

func (c *cancels) hadRoute(now time.Time, host, path, name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.former.Matches(now, host, path, name)
}

func cancelMessage(k canceller.Cancel) protocol.Cancel {
	return protocol.Cancel{Name: k.Name, At: k.At, RemainingMillis: k.Remaining.Milliseconds()}
}

// CancelCounts returns the number of cancels in force at this entry, and of those that it
// did not keep since it started.
func (e *Entry) CancelCounts() (inForce, notKept int) {
	e.cancels.mu.Lock()
	defer e.cancels.mu.Unlock()
	return e.cancels.canceller.Count(time.Now()), e.cancels.canceller.Rejected()
}

// Cancel cancels the synchronous job named by the path, at whichever entry it is: it ends the
// job here, tells the other entries, and makes later submissions of the job end at once. The
// path is that of a present route, or of one that was removed within canceller.Lifetime.
func (e *Entry) Cancel(host, requestPath string) CancelState {
	name := path.Base(requestPath)
	now := time.Now()
	route, id, _ := e.findRoute(host, requestPath)
	if (route == nil || id != name) && !e.cancels.hadRoute(now, host, requestPath, name) {
		return CancelUnknown
	}
	// The tombstone comes first: a submission is checked under the lock of its shard, so
	// that it either meets the tombstone or is found by endJobs.
	k, result := e.cancels.add(now, name)
	log := e.Log.WithField("job", name)
	e.endJobs([]string{name})
	switch result {
	case canceller.Full:
		log.Warn("Entry cannot keep a cancel: too many are in force.")
		return CancelNotKept
	case canceller.Added:
		m := protocol.Message{Cancels: []protocol.Cancel{cancelMessage(k)}}
		var peers recipients
		for _, peer := range e.connectedEntries() {
			e.hub.Queue(peer, m)
			peers.add(peer)
		}
		peers.flush(&e.hub)
		log.WithField("entries", len(peers)).Info("Entry cancels a job.")
	}
	return CancelInForce
}

// endJobs ends the unfinished jobs with the given names, of all services: a route may have
// been moved to another service since a job was accepted.
func (e *Entry) endJobs(names []string) {
	for _, s := range e.shards.list() {
		e.applyAndWake(s, func(c *coordinator.Coordinator, now time.Time) {
			for _, name := range names {
				c.CancelByName(now, name)
			}
		})
	}
}

// receiveCancels applies the cancels of another entry, and passes on those that are new here:
// an entry is connected to some of the others only.
func (e *Entry) receiveCancels(from string, list []protocol.Cancel) {
	added := e.cancels.receive(time.Now(), list)
	if len(added) == 0 {
		return
	}
	names := make([]string, len(added))
	for i, k := range added {
		names[i] = k.Name
	}
	e.endJobs(names)
	for _, peer := range e.connectedEntries() {
		if peer != from {
			e.hub.Send(peer, protocol.Message{Cancels: added})
		}
	}
}

// sendCancels sends all cancels in force to an entry that has just been connected.
func (e *Entry) sendCancels(peer string) {
	list := e.cancels.live(time.Now())
	for len(list) > 0 {
		n := min(len(list), maxCancelsPerMessage)
		e.hub.Send(peer, protocol.Message{Cancels: list[:n]})
		list = list[n:]
	}
}
