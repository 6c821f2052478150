package server

import (
	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/router"
)

// AdoptRoutes takes a configuration that is newer than the one in force, and
// passes it on to the other entries. Source says where it came from.
func (e *Entry) AdoptRoutes(t *router.Table, source string) {
	before := e.Routes.Version()
	if !e.Routes.Adopt(t) {
		return
	}
	e.Log.WithFields(logrus.Fields{"configuration": t.Version, "before": before, "source": source}).
		Info("Entry takes a new configuration.")
	m := messenger.Message{Configuration: &messenger.Configuration{Version: t.Version, Document: t.Document}}
	for _, p := range e.hub.Peers() {
		if p.Role == messenger.RoleEntry {
			e.hub.Send(p.Incarnation, m)
		}
	}
}

// offerRoutes sends the configuration in force to an entry just met.
func (e *Entry) offerRoutes(peer string) {
	if t := e.Routes.Table(); t != nil {
		e.hub.Send(peer, messenger.Message{Configuration: &messenger.Configuration{Version: t.Version, Document: t.Document}})
	}
}

// takeRoutes takes a configuration from another entry.
func (e *Entry) takeRoutes(from string, m *messenger.Configuration) {
	if e.ReadRoutes == nil || m.Version <= e.Routes.Version() {
		return
	}
	t, err := e.ReadRoutes(m.Document)
	if err != nil {
		e.Log.WithError(err).WithField("peer", from).Warn("Entry cannot read a configuration from a peer.")
		return
	}
	e.AdoptRoutes(t, from)
}
