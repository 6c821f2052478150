package messenger

import "time"

// write sends what is queued on w: messages at once, acknowledgements alone
// after AckDelay, and an empty batch after Heartbeat.
func (h *Hub) write(s *session, w *wire) {
	timer := time.NewTimer(h.Settings.AckDelay)
	defer timer.Stop()
	for !w.isClosed() {
		w.writing.Lock()
		rest, err := h.writeDue(s, w)
		w.writing.Unlock()
		if err != nil {
			h.dropped(s, w)
			return
		}
		timer.Reset(max(rest, 0))
		select {
		case <-w.closed:
			return
		case <-h.ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// writeDue writes one batch on w if one is due, and returns how long the next
// one may wait if nothing happens. The caller holds w.writing.
func (h *Hub) writeDue(s *session, w *wire) (time.Duration, error) {
	s.mu.Lock()
	idle := time.Since(w.wrote)
	due := s.wire == w && (s.pending() || s.received-s.acked >= ackEvery ||
		s.received > s.acked && idle >= h.Settings.AckDelay || idle >= h.timing(s).Heartbeat)
	rest := h.timing(s).Heartbeat - idle
	if s.received > s.acked {
		rest = h.Settings.AckDelay - idle
	}
	var b batch
	if due {
		b = s.next(h.Settings.MaxBatch)
	}
	s.mu.Unlock()
	if !due {
		return rest, nil
	}
	if h.Clock != nil {
		b.Clock = h.Clock()
	}
	w.wrote = time.Now()
	return 0, w.rpc.Notify(h.ctx, methodBatch, b)
}

// Flush writes what is queued for the incarnation on the calling goroutine,
// which saves a switch to the session's writer. It may block on a slow peer,
// so that it must not be called from Deliver, Up or Lost. It does nothing when
// the writer is at work.
func (h *Hub) Flush(incarnation string) {
	s := h.find(incarnation)
	if s == nil {
		return
	}
	s.mu.Lock()
	w := s.wire
	s.mu.Unlock()
	if w == nil || !w.writing.TryLock() {
		s.signal()
		return
	}
	_, err := h.writeDue(s, w)
	w.writing.Unlock()
	if err != nil {
		h.dropped(s, w)
		return
	}
	s.signal() // what was queued meanwhile
}
