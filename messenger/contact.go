package messenger

import "time"

// stamp returns the time to send in a batch: ms since the hub started, from 1.
func (h *Hub) stamp() int64 { return time.Since(h.startedAt).Milliseconds() + 1 }

// stampTime returns the earliest time that has the stamp.
func (h *Hub) stampTime(stamp int64) time.Time {
	return h.startedAt.Add(time.Duration(stamp-1) * time.Millisecond)
}

// recordContact records what a batch shows: the peer was running after this process had
// sent the batch that it echoes. The time of reading shows less, since the batch may have
// waited in a buffer, for example while this process was paused. A peer that stamps no
// batches is taken to have sent this one now. The caller holds mu.
func (s *session) recordContact(h *Hub, b batch) {
	s.peerStamp = max(s.peerStamp, b.Sent)
	switch {
	case b.Sent == 0:
		s.confirmContact(time.Now())
	case b.Echo > 0:
		s.confirmContact(h.stampTime(b.Echo))
	}
}

// confirmContact records that the peer was running at t or later. The caller holds mu.
func (s *session) confirmContact(t time.Time) {
	if t.After(s.confirmedAt) {
		s.confirmedAt = t
	}
}

// ConfirmedContact returns the latest time at which the peer is known to have been
// running, from its answers to what this process has sent. It is zero without a session.
func (h *Hub) ConfirmedContact(incarnation string) time.Time {
	s := h.findSession(incarnation)
	if s == nil {
		return time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmedAt
}
