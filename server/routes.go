package server

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/router"
)

// AdoptRoutes makes t the current configuration if it is newer, and announces its
// version to the other entries. Source is "store", or the incarnation of the entry
// that sent it.
func (e *Entry) AdoptRoutes(t *router.Table, source string) {
	previous, earlier := e.Routes.Version(), e.Routes.Table()
	if !e.Routes.Adopt(t) {
		return
	}
	e.cancels.replaceRoutes(time.Now(), earlier, t)
	e.mu.Lock()
	e.routesSource = source
	e.mu.Unlock()
	e.Log.WithFields(logrus.Fields{"configuration": t.Version, "before": previous, "source": source, "bytes": len(t.Document)}).
		Info("Entry takes a new configuration.")
	m := protocol.Message{Configuration: &protocol.Configuration{Version: t.Version}}
	for _, name := range e.connectedEntries() {
		e.hub.Send(name, m)
	}
}

// announceRoutes sends the version of the current configuration to a newly
// connected entry.
func (e *Entry) announceRoutes(peer string) {
	if v := e.Routes.Version(); v > 0 {
		e.hub.Send(peer, protocol.Message{Configuration: &protocol.Configuration{Version: v}})
	}
}

const (
	// configurationPartBytes is the size of the parts in which entries send each other
	// a configuration: a few tens of ms on the slowest links, a fraction of a heartbeat
	// interval.
	configurationPartBytes = 64 << 10
	uploadTimeout          = 5 * time.Second // since the last request of an upload, after which it is given up
)

// upload is a configuration that a peer downloads in parts.
type upload struct {
	table       *router.Table
	requestedAt time.Time // of the last part
}

// sendRoutes sends the requested part of the configuration to an entry, or the whole
// one if the request has no limit.
func (e *Entry) sendRoutes(peer string, r *protocol.ConfigurationRequest) {
	t := e.Routes.Table()
	if t == nil {
		return
	}
	c := &protocol.Configuration{Version: t.Version, Document: t.Document}
	if r.Limit > 0 {
		p := e.nextPart(time.Now(), peer, r, t)
		c = &protocol.Configuration{Version: p.Version, Document: p.Bytes, Offset: p.Offset, Size: p.Size}
	}
	e.hub.Send(peer, protocol.Message{Configuration: c})
}

// nextPart returns the requested part. A peer that has begun to download a version gets
// the rest of it even after a newer one was adopted: with frequent changes it might
// otherwise never complete one.
func (e *Entry) nextPart(now time.Time, peer string, r *protocol.ConfigurationRequest, current *router.Table) router.Part {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := current
	if u, ok := e.uploads[peer]; ok && u.table.Version == r.Version {
		t = u.table
	}
	offset := r.Offset
	if t.Version != r.Version {
		offset = 0
	}
	p := t.PartOf(offset, min(r.Limit, configurationPartBytes))
	e.uploads[peer] = upload{t, now}
	if p.Offset+len(p.Bytes) == p.Size {
		delete(e.uploads, peer)
	}
	return p
}

// receiveRoutes handles a configuration message from another entry. A message with
// a document, or with the last part of one, may replace the current configuration;
// one without only announces the version that the peer has.
func (e *Entry) receiveRoutes(from string, m *protocol.Configuration) {
	if e.DecodeRoutes == nil || m.Version <= e.Routes.Version() {
		return
	}
	document := m.Document
	switch {
	case len(document) == 0:
		e.mu.Lock()
		e.peerVersions.Update(from, m.Version)
		e.mu.Unlock()
		return
	case m.Size > 0:
		if document = e.receivePart(from, m); document == nil {
			return
		}
	}
	t, err := e.DecodeRoutes(document)
	if err != nil {
		e.Log.WithError(err).WithField("peer", from).Warn("Entry cannot parse the configuration sent by a peer.")
		return
	}
	e.AdoptRoutes(t, from)
}

// receivePart adds a part to the download and requests the next one. It returns the
// document if the part completes it, otherwise nil.
func (e *Entry) receivePart(from string, m *protocol.Configuration) []byte {
	e.mu.Lock()
	document, accepted := e.download.Add(from, router.Part{Version: m.Version, Offset: m.Offset, Size: m.Size, Bytes: m.Document})
	if accepted {
		e.peerVersions.RecordFetchProgress(time.Now())
	}
	version, offset := e.download.Next()
	e.mu.Unlock()
	if accepted && document == nil {
		e.requestPart(from, version, offset)
	}
	return document
}

func (e *Entry) requestPart(peer string, version int64, offset int) {
	e.hub.Send(peer, protocol.Message{ConfigurationRequest: &protocol.ConfigurationRequest{
		Version: version, Offset: offset, Limit: configurationPartBytes,
	}})
}

// fetchRoutes requests a newer configuration from a peer if a request is due, and gives
// up uploads whose peers have stopped asking.
func (e *Entry) fetchRoutes(now time.Time) {
	current := e.Routes.Version()
	e.mu.Lock()
	e.download.Stop(current)
	maps.DeleteFunc(e.uploads, func(_ string, u upload) bool { return now.Sub(u.requestedAt) > uploadTimeout })
	peer := e.peerVersions.NextFetch(now, current)
	if peer == "" {
		e.mu.Unlock()
		return
	}
	e.download.Start(peer, e.peerVersions.Version(peer))
	version, offset := e.download.Next()
	e.mu.Unlock()
	e.Log.WithFields(logrus.Fields{"configuration": current, "peer": peer, "newer": version, "offset": offset}).
		Info("Entry asks a peer for its newer configuration.")
	e.requestPart(peer, version, offset)
}

// RecordSourceProgress records that the entry's own source is delivering a
// configuration, so that it is not requested from a peer as well.
func (e *Entry) RecordSourceProgress() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peerVersions.RecordSourceProgress(time.Now())
}
