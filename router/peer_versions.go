package router

import "time"

const (
	// localSourceTimeout is how long a process that has a configuration waits for
	// its own source to deliver a newer version that peers hold, or to continue
	// doing so: a few round trips to the platform's store.
	localSourceTimeout = 300 * time.Millisecond
	// fetchTimeout is how long a fetch may go without progress before another peer is
	// asked.
	fetchTimeout = 700 * time.Millisecond
)

// PeerVersions decides when and from which peer a process fetches a
// configuration. Peers report only the version that they hold, since every
// process normally reads the configuration from its own source. If each sent the
// whole configuration to all others, a large one would saturate the links between
// them, and the processes would appear unresponsive. The zero value knows no peer.
// It is not safe for concurrent use.
type PeerVersions struct {
	peers       map[string]*peerState
	behindSince time.Time // time since which a peer is known to hold a newer version; zero: none does
	lastFetch   time.Time // time of the last fetch from any peer, or of its last progress
	sourceAt    time.Time // time of the last progress of the process's own source
}

// peerState records the version that a peer reported and the time of the last
// fetch from it.
type peerState struct {
	version   int64
	lastFetch time.Time
}

// Update records that a peer holds a version. An older version than recorded is
// ignored.
func (v *PeerVersions) Update(peer string, version int64) {
	if v.peers == nil {
		v.peers = make(map[string]*peerState)
	}
	state := v.peers[peer]
	if state == nil {
		state = &peerState{}
		v.peers[peer] = state
	}
	state.version = max(state.version, version)
}

// Remove removes a peer.
func (v *PeerVersions) Remove(peer string) { delete(v.peers, peer) }

// Newer returns the versions higher than current that peers reported, by peer;
// nil if there are none.
func (v *PeerVersions) Newer(current int64) map[string]int64 {
	var newer map[string]int64
	for name, state := range v.peers {
		if state.version > current {
			if newer == nil {
				newer = make(map[string]int64)
			}
			newer[name] = state.version
		}
	}
	return newer
}

// RecordSourceProgress records that the process's own source is delivering a
// configuration. A second copy from a peer would only slow it down.
func (v *PeerVersions) RecordSourceProgress(now time.Time) { v.sourceAt = now }

// RecordFetchProgress records that a part of the configuration that is being fetched
// has arrived.
func (v *PeerVersions) RecordFetchProgress(now time.Time) { v.lastFetch = now }

// Version returns the version that a peer reported, 0 if the peer is unknown.
func (v *PeerVersions) Version(peer string) int64 {
	if state := v.peers[peer]; state != nil {
		return state.version
	}
	return 0
}

// NextFetch returns the peer from which a process that holds version current (0:
// none) should fetch a configuration now, and records the fetch. It returns the
// empty string if no fetch is due: while the process's own source or an earlier fetch
// makes progress, none is. Among the peers with a newer version it chooses the one
// with the least recent fetch. A process without a configuration does not wait for
// its own source to begin.
func (v *PeerVersions) NextFetch(now time.Time, current int64) string {
	peer, chosen := "", (*peerState)(nil)
	for name, state := range v.peers {
		if state.version > current && (chosen == nil || state.lastFetch.Before(chosen.lastFetch)) {
			peer, chosen = name, state
		}
	}
	if chosen == nil {
		v.behindSince = time.Time{}
		return ""
	}
	if v.behindSince.IsZero() {
		v.behindSince = now
	}
	switch {
	case current > 0 && now.Sub(v.behindSince) < localSourceTimeout,
		now.Sub(v.sourceAt) < localSourceTimeout,
		now.Sub(v.lastFetch) < fetchTimeout:
		return ""
	}
	v.lastFetch, chosen.lastFetch = now, now
	return peer
}
