package server

import (
	"time"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/router"
)

// AdoptRoutes takes a configuration that is newer than the one in force, and
// tells the other entries its version. Source says where it came from.
func (e *Entry) AdoptRoutes(t *router.Table, source string) {
	before := e.Routes.Version()
	if !e.Routes.Adopt(t) {
		return
	}
	e.mu.Lock()
	e.routesFrom = source
	e.mu.Unlock()
	e.Log.WithFields(logrus.Fields{"configuration": t.Version, "before": before, "source": source}).
		Info("Entry takes a new configuration.")
	m := protocol.Message{Configuration: &protocol.Configuration{Version: t.Version}}
	for _, p := range e.hub.Peers() {
		if p.Role == protocol.RoleEntry {
			e.hub.Send(p.Incarnation, m)
		}
	}
}

// offerRoutes tells an entry just met which configuration is in force here.
func (e *Entry) offerRoutes(peer string) {
	if v := e.Routes.Version(); v > 0 {
		e.hub.Send(peer, protocol.Message{Configuration: &protocol.Configuration{Version: v}})
	}
}

// sendRoutes sends the configuration in force to an entry that asked for it.
func (e *Entry) sendRoutes(peer string) {
	if t := e.Routes.Table(); t != nil {
		e.hub.Send(peer, protocol.Message{Configuration: &protocol.Configuration{Version: t.Version, Document: t.Document}})
	}
}

// takeRoutes takes a configuration from another entry, or notes that it has one.
func (e *Entry) takeRoutes(from string, m *protocol.Configuration) {
	if e.ReadRoutes == nil || m.Version <= e.Routes.Version() {
		return
	}
	if len(m.Document) == 0 {
		e.mu.Lock()
		e.offers.Update(from, m.Version)
		e.mu.Unlock()
		return
	}
	t, err := e.ReadRoutes(m.Document)
	if err != nil {
		e.Log.WithError(err).WithField("peer", from).Warn("Entry cannot read a configuration from a peer.")
		return
	}
	e.AdoptRoutes(t, from)
}

// fetchRoutes asks a peer for its newer configuration if that is due.
func (e *Entry) fetchRoutes(now time.Time) {
	held := e.Routes.Version()
	e.mu.Lock()
	peer := e.offers.NextFetch(now, held)
	e.mu.Unlock()
	if peer == "" {
		return
	}
	e.Log.WithFields(logrus.Fields{"configuration": held, "peer": peer}).Info("Entry asks a peer for its newer configuration.")
	e.hub.Send(peer, protocol.Message{ConfigurationRequest: &protocol.ConfigurationRequest{}})
}
