package messenger

import (
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

// timing returns the heartbeat interval and the timeouts of the session.
func (h *Hub) timing(s *session) Timing {
	if h.Self.Role == protocol.RoleAgent || s.peer.Role == protocol.RoleAgent {
		return h.Settings.Agents
	}
	return h.Settings.Entries
}

// monitorSessions closes connections and sessions that have timed out, until the
// Hub stops.
func (h *Hub) monitorSessions() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, s := range h.allSessions() {
			h.checkTimeouts(s)
		}
		h.chooseEntries()
	}
}

func (h *Hub) checkTimeouts(s *session) {
	s.mu.Lock()
	sinceContact := time.Since(s.lastContact)
	if s.conn != nil && sinceContact > h.timing(s).ConnectionTimeout {
		s.detach()
	}
	lost := s.conn == nil && sinceContact > h.timing(s).SessionTimeout
	s.mu.Unlock()
	if lost {
		h.closeSession(s)
	}
}

// CloseSessions closes every session. Reachable peers reconnect in new sessions.
// It must not be called from Deliver, SessionOpened or SessionClosed.
func (h *Hub) CloseSessions() {
	for _, s := range h.allSessions() {
		h.closeSession(s)
	}
}

// closeSession closes a session. Its undelivered messages are discarded.
func (h *Hub) closeSession(s *session) {
	h.lifecycleMu.Lock()
	defer h.lifecycleMu.Unlock()
	h.closeSessionLocked(s)
}

// closeSessionLocked is closeSession for a caller that holds h.lifecycleMu.
func (h *Hub) closeSessionLocked(s *session) {
	s.deliveryMu.Lock()
	defer s.deliveryMu.Unlock()
	h.mu.Lock()
	if h.sessions[s.peer.Incarnation] != s {
		h.mu.Unlock()
		return
	}
	delete(h.sessions, s.peer.Incarnation)
	s.mu.Lock()
	wasOpen := s.open
	s.localEpoch++
	s.closed = true
	if !s.openedAt.IsZero() { // otherwise the peer has no state of the session either
		h.rememberEpoch(s.peer.Incarnation, s.localEpoch)
	}
	s.reset()
	peer := s.peer
	s.mu.Unlock()
	h.mu.Unlock()
	if wasOpen && h.SessionClosed != nil {
		h.SessionClosed(peer)
	}
}

// rememberEpoch stores the local epoch of the next session with an incarnation.
// If maxNextEpochs are stored, it first removes an arbitrary one. The next session
// with that peer then starts with a random epoch, by which the peer also
// recognizes a new session.
func (h *Hub) rememberEpoch(incarnation string, epoch uint64) {
	if len(h.nextEpochs) >= maxNextEpochs {
		for evicted := range h.nextEpochs {
			delete(h.nextEpochs, evicted)
			break
		}
	}
	h.nextEpochs[incarnation] = epoch
}
