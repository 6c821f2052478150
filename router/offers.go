package router

import "time"

const (
	// offerPatience is how long a process that holds a version waits for its own
	// source to bring a newer one that peers have: a few round trips of the
	// platform's store.
	offerPatience = 300 * time.Millisecond
	// askAgain is after how long another peer is asked: a large configuration
	// takes a few hundred ms over the slowest links.
	askAgain = 700 * time.Millisecond
)

// PeerVersions decides when and from which peer a process fetches a configuration.
// Peers tell each other only which version they hold, since every process reads
// the configuration by itself as a rule: if each passed a whole one on to all
// others, a large configuration would fill their links and silence them. The
// zero value knows no peer. It is not safe for concurrent use.
type PeerVersions struct {
	peers  map[string]*offer
	behind time.Time // since when a peer is known to hold a newer version; zero: none does
	asked  time.Time // when a peer was asked last
}

// offer is what a peer holds.
type offer struct {
	version int64
	asked   time.Time
}

// Update notes that a peer holds a version.
func (o *PeerVersions) Update(peer string, version int64) {
	if o.peers == nil {
		o.peers = make(map[string]*offer)
	}
	known := o.peers[peer]
	if known == nil {
		known = &offer{}
		o.peers[peer] = known
	}
	known.version = max(known.version, version)
}

// Remove forgets a peer.
func (o *PeerVersions) Remove(peer string) { delete(o.peers, peer) }

// Newer returns the versions above held that peers told of, by peer; nil when
// there are none.
func (o *PeerVersions) Newer(held int64) map[string]int64 {
	var newer map[string]int64
	for name, x := range o.peers {
		if x.version > held {
			if newer == nil {
				newer = make(map[string]int64)
			}
			newer[name] = x.version
		}
	}
	return newer
}

// NextFetch returns the peer to ask now by a process that holds a version, 0 for
// none; empty when there is nothing to ask.
func (o *PeerVersions) NextFetch(now time.Time, held int64) string {
	peer, found := "", (*offer)(nil)
	for name, x := range o.peers {
		if x.version > held && (found == nil || x.asked.Before(found.asked)) {
			peer, found = name, x
		}
	}
	if found == nil {
		o.behind = time.Time{}
		return ""
	}
	if o.behind.IsZero() {
		o.behind = now
	}
	if held > 0 && now.Sub(o.behind) < offerPatience || now.Sub(o.asked) < askAgain {
		return ""
	}
	o.asked, found.asked = now, now
	return peer
}
