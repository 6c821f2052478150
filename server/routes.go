package server

import (
	"time"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/router"
)

// AdoptRoutes makes t the current configuration if it is newer, and announces its
// version to the other entries. Source is "store", or the incarnation of the entry
// that sent it.
func (e *Entry) AdoptRoutes(t *router.Table, source string) {
	previous := e.Routes.Version()
	if !e.Routes.Adopt(t) {
		return
	}
	e.mu.Lock()
	e.routesSource = source
	e.mu.Unlock()
	e.Log.WithFields(logrus.Fields{"configuration": t.Version, "before": previous, "source": source}).
		Info("Entry takes a new configuration.")
	m := protocol.Message{Configuration: &protocol.Configuration{Version: t.Version}}
	for _, p := range e.hub.Peers() {
		if p.Role == protocol.RoleEntry {
			e.hub.Send(p.Incarnation, m)
		}
	}
}

// announceRoutes sends the version of the current configuration to a newly
// connected entry.
func (e *Entry) announceRoutes(peer string) {
	if v := e.Routes.Version(); v > 0 {
		e.hub.Send(peer, protocol.Message{Configuration: &protocol.Configuration{Version: v}})
	}
}

// sendRoutes sends the current configuration to an entry that requested it.
func (e *Entry) sendRoutes(peer string) {
	if t := e.Routes.Table(); t != nil {
		e.hub.Send(peer, protocol.Message{Configuration: &protocol.Configuration{Version: t.Version, Document: t.Document}})
	}
}

// receiveRoutes handles a configuration message from another entry. A message with
// a document may replace the current configuration; one without only announces the
// version that the peer has.
func (e *Entry) receiveRoutes(from string, m *protocol.Configuration) {
	if e.DecodeRoutes == nil || m.Version <= e.Routes.Version() {
		return
	}
	if len(m.Document) == 0 {
		e.mu.Lock()
		e.peerVersions.Update(from, m.Version)
		e.mu.Unlock()
		return
	}
	t, err := e.DecodeRoutes(m.Document)
	if err != nil {
		e.Log.WithError(err).WithField("peer", from).Warn("Entry cannot parse the configuration sent by a peer.")
		return
	}
	e.AdoptRoutes(t, from)
}

// fetchRoutes requests a newer configuration from a peer if a request is due.
func (e *Entry) fetchRoutes(now time.Time) {
	version := e.Routes.Version()
	e.mu.Lock()
	peer := e.peerVersions.NextFetch(now, version)
	e.mu.Unlock()
	if peer == "" {
		return
	}
	e.Log.WithFields(logrus.Fields{"configuration": version, "peer": peer}).Info("Entry asks a peer for its newer configuration.")
	e.hub.Send(peer, protocol.Message{ConfigurationRequest: &protocol.ConfigurationRequest{}})
}
