package limiter

import "container/list"

// enqueue puts a holder into the queue of its phase and size, by its age.
func (l *Ledger) enqueue(h *Holder) {
	var queue *list.List
	switch {
	case h.phase == PhaseIdle:
		queue = l.idle
	case h.phase == PhaseReading && h.request() > smallRequest:
		queue = l.large
	case h.phase == PhaseReading:
		queue = l.small
	}
	if queue == h.queue && queue != nil && h.place != nil && l.inOrder(h) {
		return
	}
	l.dequeue(h)
	if queue == nil {
		return
	}
	h.queue = queue
	l.insert(h, queue)
	if queue == l.large && l.MaxLarge > 0 && queue.Len() > l.MaxLarge {
		most := l.mostLarge()
		l.evict(next(queue, nil, func(v *Holder) bool { return v.source != most }))
	}
}

// insert puts a holder into a queue, by its age.
func (l *Ledger) insert(h *Holder, queue *list.List) {
	for e := queue.Back(); e != nil; e = e.Prev() {
		if !e.Value.(*Holder).since.After(h.since) {
			h.place = queue.InsertAfter(h, e)
			return
		}
	}
	h.place = queue.PushFront(h)
}

// inOrder reports whether a holder is behind its predecessor and before its successor.
func (l *Ledger) inOrder(h *Holder) bool {
	if e := h.place.Prev(); e != nil && e.Value.(*Holder).since.After(h.since) {
		return false
	}
	e := h.place.Next()
	return e == nil || !e.Value.(*Holder).since.Before(h.since)
}

func (l *Ledger) dequeue(h *Holder) {
	if h.place != nil {
		h.queue.Remove(h.place)
	}
	h.place, h.queue = nil, nil
}
