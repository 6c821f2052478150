package messenger

import "time"

// writeLoop writes the batches of the session on c until c ends: the first one at once,
// since it confirms contact, messages when woken, an acknowledgement without messages
// after AckDelay, and an empty batch as a heartbeat after Heartbeat.
func (h *Hub) writeLoop(s *session, c *conn) {
	timer := time.NewTimer(h.Settings.AckDelay)
	defer timer.Stop()
	for !c.isClosed() {
		c.writeMu.Lock()
		wait, err := h.writeIfDue(s, c)
		c.writeMu.Unlock()
		if err != nil {
			h.connEnded(s, c)
			return
		}
		timer.Reset(max(wait, 0))
		select {
		case <-c.closed:
			return
		case <-h.ctx.Done():
			return
		case <-s.wakeup:
		case <-timer.C:
		}
	}
}

// writeIfDue writes one batch on c if one is due. It returns the time until the
// next check, unless the writer is woken earlier. The caller holds c.writeMu.
func (h *Hub) writeIfDue(s *session, c *conn) (time.Duration, error) {
	s.mu.Lock()
	idle := time.Since(c.lastWrite)
	due := s.conn == c && (s.hasUnsent() || s.lastReceived-s.lastAcked >= ackThreshold ||
		s.lastReceived > s.lastAcked && idle >= h.Settings.AckDelay || idle >= h.timing(s).Heartbeat)
	wait := h.timing(s).Heartbeat - idle
	if s.lastReceived > s.lastAcked {
		wait = h.Settings.AckDelay - idle
	}
	var b batch
	if due {
		b = s.nextBatch(h.Settings.MaxBatch)
		b.Sent = h.stamp()
	}
	s.mu.Unlock()
	if !due {
		return wait, nil
	}
	if h.Clock != nil {
		b.Clock = h.Clock()
	}
	c.lastWrite = time.Now()
	return 0, c.rpc.Notify(h.ctx, methodBatch, b)
}

// Flush writes queued messages for the incarnation on the calling goroutine,
// which saves a switch to the session's writer. It may block on a slow peer, so
// it must not be called from Deliver, SessionOpened or SessionClosed. If a batch
// is already being written or the peer is not connected, it only wakes the writer.
func (h *Hub) Flush(incarnation string) {
	s := h.findSession(incarnation)
	if s == nil {
		return
	}
	s.mu.Lock()
	c := s.conn
	s.mu.Unlock()
	if c == nil || !c.writeMu.TryLock() {
		s.wakeWriter()
		return
	}
	_, err := h.writeIfDue(s, c)
	c.writeMu.Unlock()
	if err != nil {
		h.connEnded(s, c)
		return
	}
	s.wakeWriter() // for messages queued in the meantime or beyond one batch
}
