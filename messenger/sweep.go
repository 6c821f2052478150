package messenger

import (
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

// timing returns how the session's silence is judged.
func (h *Hub) timing(s *session) Timing {
	if h.Self.Role == protocol.RoleAgent || s.peer.Role == protocol.RoleAgent {
		return h.Settings.Agents
	}
	return h.Settings.Entries
}

// sweep closes silent connections and gives up lost sessions.
func (h *Hub) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, s := range h.list() {
			h.check(s)
		}
	}
}

func (h *Hub) check(s *session) {
	s.mu.Lock()
	silent := time.Since(s.heard)
	if s.wire != nil && silent > h.timing(s).ConnectionTimeout {
		s.detach()
	}
	lost := s.wire == nil && silent > h.timing(s).SessionTimeout
	s.mu.Unlock()
	if lost {
		h.giveUp(s)
	}
}

// CloseSessions gives up every session. Peers that are there are met again in new
// ones. It must not be called from Deliver, Up or Lost.
func (h *Hub) CloseSessions() {
	for _, s := range h.list() {
		h.giveUp(s)
	}
}

// giveUp ends a session: nothing undelivered will ever be delivered.
func (h *Hub) giveUp(s *session) {
	h.changes.Lock()
	defer h.changes.Unlock()
	s.delivery.Lock()
	defer s.delivery.Unlock()
	h.mu.Lock()
	if h.sessions[s.peer.Incarnation] != s {
		h.mu.Unlock()
		return
	}
	delete(h.sessions, s.peer.Incarnation)
	s.mu.Lock()
	open := s.open
	s.epoch++
	s.ended = true
	h.bury(s.peer.Incarnation, s.epoch)
	s.reset()
	peer := s.peer
	s.mu.Unlock()
	h.mu.Unlock()
	if open && h.Lost != nil {
		h.Lost(peer)
	}
}

// bury remembers our epoch for an incarnation. When too many are remembered
// any one is forgotten: a new session then draws a random epoch, which the
// peer takes for a new session all the same.
func (h *Hub) bury(incarnation string, epoch uint64) {
	if len(h.buried) >= maxBuried {
		for k := range h.buried {
			delete(h.buried, k)
			break
		}
	}
	h.buried[incarnation] = epoch
}
