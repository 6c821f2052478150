package server

import "mustardlever.dev/mustardlever/starter"

// releaseSurplusEntries ends the sessions with entries that replaced unreachable ones
// and are no longer needed. At the first call after an entry has become surplus, it
// is told to send no more starts. At a later call, when the agent runs no task for it,
// the session is closed.
func (a *Agent) releaseSurplusEntries() {
	connected := make(map[string]bool)
	for _, p := range a.hub.Peers() {
		connected[p.Incarnation] = true
	}
	for entry := range a.releasing {
		switch {
		case !connected[entry]:
			delete(a.releasing, entry)
		case !a.hasRunsFrom(entry):
			a.Log.WithField("peer", entry).Info("Agent closes the session with a surplus entry.")
			delete(a.releasing, entry)
			a.hub.ReleaseEntry(entry)
		}
	}
	for _, entry := range a.hub.SurplusEntries() {
		if a.releasing[entry] {
			continue
		}
		if a.releasing == nil {
			a.releasing = make(map[string]bool)
		}
		a.releasing[entry] = true
		for _, s := range a.shardList() {
			peers := a.applyDecisions(s, func(st *starter.Starter) { st.ReleaseEntry(entry) })
			peers.wake(&a.hub)
		}
	}
}

// hasRunsFrom reports whether a task that the entry requested is queued or running.
func (a *Agent) hasRunsFrom(entry string) bool {
	for _, s := range a.shardList() {
		s.mu.Lock()
		found := s.starter.HasRunsFrom(entry)
		s.mu.Unlock()
		if found {
			return true
		}
	}
	return false
}
