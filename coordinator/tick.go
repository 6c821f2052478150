package coordinator

import (
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

const (
	closeInterval = time.Second // between two advances of the closed watermark
	maxClosed     = 1 << 16     // owners remembered as closed
	lostLives     = 10          // ticket lives after which a lost owner is closed
)

// Tick carries out what falls due: deadlines, waits, expiry and forgetting. It
// is to be called several times a second.
func (k *Coordinator) Tick(now time.Time) {
	for j := range k.active {
		k.checkJob(now, j)
		if j.answer == nil {
			k.stopStragglers(now, j)
		}
	}
	for owner, w := range k.owners {
		k.checkOwner(now, owner, w)
	}
	if len(k.lapsing) > 0 {
		k.endLapses(now, func(t *task) bool { return !now.Before(t.lapses) })
	}
	k.queue.Tick(now)
	k.expire(now)
	k.forgetEnded(now)
	if now.Sub(k.lastClose) >= closeInterval {
		k.lastClose = now
		k.advanceClosed()
	}
	k.dispatch(now)
}

func (k *Coordinator) checkJob(now time.Time, j *job) {
	switch {
	case !j.settling.IsZero() && now.Sub(j.settling) >= k.Settings.FinalizeTimeout:
		k.endUnsettled(now, j)
	case j.settling.IsZero() && !j.waitsSeal && !now.Before(j.deadline):
		k.stop(now, j, protocol.ReasonDeadline)
	case k.hopeless(now, j):
		k.stop(now, j, protocol.ReasonDueTimeUnreachable)
	}
}

// checkOwner ends the wait for agents that do not answer a seal, and closes a
// sealed owner when its tickets' time is over.
func (k *Coordinator) checkOwner(now time.Time, owner string, w *ownerState) {
	life := k.Settings.TicketLife + k.Settings.Deadline + k.Settings.Retention
	if !w.sealed {
		if !w.lost.IsZero() && now.Sub(w.lost) >= lostLives*life {
			k.closeOwner(owner)
			delete(k.owners, owner)
		}
		return
	}
	if !w.ready && now.Sub(w.sealedAt) >= k.Settings.SealTimeout {
		for name := range w.waiting {
			w.missing[name] = true
			delete(w.waiting, name)
		}
		k.sealReady(now, owner, w)
	}
	if now.Sub(w.sealedAt) < life {
		return
	}
	k.closeOwner(owner)
	for name := range w.members {
		k.send(name, protocol.Message{Close: &protocol.Close{Owner: owner, Backup: k.Self, Below: never}})
	}
	delete(k.owners, owner)
}

// closeOwner remembers that nothing of the owner's is taken over any more.
func (k *Coordinator) closeOwner(owner string) {
	if len(k.closed) >= maxClosed {
		for o := range k.closed {
			delete(k.closed, o)
			k.forgotten = true
			break
		}
	}
	k.closed[owner] = true
}

// expire advances the expiry watermark.
func (k *Coordinator) expire(now time.Time) {
	for len(k.issued) > 0 && !now.Before(k.issued[0].expires) {
		k.expired = k.issued[0].end
		k.issued = k.issued[1:]
	}
}

// forgetEnded drops ended jobs after their retention. A job of our own stays
// until its ticket has expired too, so that it cannot be submitted afresh.
func (k *Coordinator) forgetEnded(now time.Time) {
	kept := k.ended[:0]
	for i, j := range k.ended {
		if now.Sub(j.ended) < k.Settings.Retention {
			kept = append(kept, k.ended[i:]...)
			break
		}
		if k.needed(j) {
			kept = append(kept, j)
			continue
		}
		k.drop(j)
		delete(k.jobs, j.key)
	}
	clear(k.ended[len(kept):])
	k.ended = kept
	for len(k.kept) > 0 && k.kept[0].resultBytes() == 0 {
		k.kept[0] = nil
		k.kept = k.kept[1:]
	}
}

// needed tells whether forgetting the job would let it be started afresh: one
// of our own while its ticket has not expired, one taken over while its owner
// is not closed.
func (k *Coordinator) needed(j *job) bool {
	if j.adopted {
		return k.owners[j.key.owner] != nil
	}
	return j.key.sequence >= k.expired
}

// advanceClosed raises the watermark below which every ticket has expired and
// every job was forgotten, and tells those who keep something for them.
func (k *Coordinator) advanceClosed() {
	below := k.expired
	for id := range k.jobs {
		if id.owner == k.Self {
			below = min(below, id.sequence)
		}
	}
	if below <= k.below {
		return
	}
	k.below = below
	m := protocol.Message{Close: &protocol.Close{Owner: k.Self, Below: below}}
	for name := range k.agents {
		k.send(name, m)
	}
	for name := range k.witnesses {
		k.send(name, m)
	}
	for name, until := range k.gone {
		if until <= below {
			delete(k.gone, name)
		}
	}
}
