package server

import (
	"time"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/evacuator"
	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/starter"
)

// sourceStore is the source of what the store says.
const sourceStore = "store"

// sendEvacuations sends a peer what is known of evacuated zones. It is called when a
// session opens, before anything else is sent that depends on evacuations.
func sendEvacuations(hub *messenger.Hub, evacuations *evacuator.Holder, peer string) {
	if s := evacuations.State(); s.Known() {
		r := s.Report()
		hub.Send(peer, protocol.Message{Evacuations: &r})
	}
}

// mergeEvacuations merges r, and passes changes on to all peers but the source. It
// reports whether something has changed. A session that opens meanwhile is not missed:
// either it is among the peers, or sendEvacuations reads the new state. A source that
// lacks something is told: it may have sent r before this process had learned anything.
func mergeEvacuations(hub *messenger.Hub, evacuations *evacuator.Holder, log *logrus.Entry, events *recorder.Recorder, r evacuator.Report, source string) bool {
	before, after, changed := evacuations.Merge(r)
	report := after.Report()
	if after.Corrects(r) && source != sourceStore {
		hub.Send(source, protocol.Message{Evacuations: &report})
	}
	if !changed {
		return false
	}
	for _, p := range hub.Peers() {
		if p.Incarnation != source {
			hub.Send(p.Incarnation, protocol.Message{Evacuations: &report})
		}
	}
	log.WithFields(logrus.Fields{"evacuated": after.EvacuatedZones(), "before": before.EvacuatedZones(), "source": source}).
		Info("Process learns of a change of evacuated zones.")
	events.Add(recorder.Event{Kind: "evacuations-changed", Peer: source, Task: -1})
	return true
}

// AdoptEvacuations merges what source says about evacuated zones: "store", or the
// incarnation of a peer, which is told what it lacks. Waiting tasks are placed elsewhere, or refused, before it
// returns. It does nothing unless evacuations are followed.
func (e *Entry) AdoptEvacuations(r evacuator.Report, source string) {
	if !e.Settings.FollowEvacuations || !mergeEvacuations(&e.hub, &e.evacuations, e.Log, e.Recorder, r, source) {
		return
	}
	for _, s := range e.shards.list() {
		e.applyAndWake(s, func(*coordinator.Coordinator, time.Time) {}) // apply uses the new state
	}
}

// Evacuations returns what the entry knows of evacuated zones.
func (e *Entry) Evacuations() *evacuator.State { return e.evacuations.State() }

// adoptEvacuations merges what an entry says about evacuated zones. The other entries
// are told before the refusals of queued starts, so that they do not send them again.
func (a *Agent) adoptEvacuations(r evacuator.Report, source string) {
	if !a.Settings.FollowEvacuations || !mergeEvacuations(&a.hub, &a.evacuations, a.Log, a.Recorder, r, source) {
		return
	}
	for _, s := range a.shardList() {
		peers := a.applyDecisions(s, func(*starter.Starter) {}) // applyDecisions uses the new state
		peers.wake(&a.hub)
	}
}

// EvacuatedStarts returns the number of starts refused because of an evacuation.
func (a *Agent) EvacuatedStarts() int {
	n := 0
	for _, s := range a.shardList() {
		s.mu.Lock()
		n += s.starter.EvacuatedStarts()
		s.mu.Unlock()
	}
	return n
}

// WarmUp returns the state of the warm-up of the backend server of the service.
func (a *Agent) WarmUp(service string) starter.WarmUp {
	s := a.shard(service)
	if s == nil {
		return starter.WarmUp{Share: 1}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starter.WarmUp()
}

// logWarmUp logs that a warm-up of the backend server has begun or ended. The caller
// holds s.mu.
func (a *Agent) logWarmUp(s *agentShard) {
	w := s.starter.WarmUp()
	if warming := !w.End.IsZero(); warming != s.warming {
		s.warming = warming
		log := a.Log.WithField("service", s.starter.Service)
		if warming {
			log.WithField("warm-up-ms", time.Until(w.End).Milliseconds()).Info("Agent limits the load of its cold backend server.")
			return
		}
		log.Info("Agent no longer limits the load of its backend server.")
	}
}

// Evacuations returns what the agent knows of evacuated zones.
func (a *Agent) Evacuations() *evacuator.State { return a.evacuations.State() }
