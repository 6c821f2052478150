package server

import (
	"context"
	"sync"
	"time"

	"mustardlever.dev/mustardlever/cutdetector"
	"mustardlever.dev/mustardlever/pausedetector"
)

// heldUpWait is how long a request that a cut of the network may have held up waits for
// the end of its connection, which follows it by one round trip. It exceeds three of the
// longest round trips between zones.
const heldUpWait = 25 * time.Millisecond

// cuts follows the entry's contact with its peers. The zero value is ready to use.
type cuts struct {
	mu       sync.Mutex
	detector cutdetector.Detector
	held     int64
}

// observeContact records the latest contact with any peer.
func (e *Entry) observeContact(now time.Time) {
	latest := time.Time{}
	for _, p := range e.hub.Peers() {
		if ms := e.hub.MillisSinceContact(p.Incarnation); ms >= 0 {
			if at := now.Add(-time.Duration(ms) * time.Millisecond); at.After(latest) {
				latest = at
			}
		}
	}
	e.cuts.mu.Lock()
	defer e.cuts.mu.Unlock()
	e.cuts.detector.Observe(latest)
}

// awaitEndOfConnection waits for heldUpWait if a cut of the network may have held the
// request up. Afterwards its caller shows as gone if it has given up meanwhile.
func (e *Entry) awaitEndOfConnection(ctx context.Context, since time.Time) {
	e.cuts.mu.Lock()
	suspect := !since.IsZero() && e.cuts.detector.Suspect(time.Now(), since)
	if suspect {
		e.cuts.held++
	}
	e.cuts.mu.Unlock()
	if suspect {
		pausedetector.Sleep(ctx, heldUpWait)
	}
}

// HeldUpRequests returns the number of requests that have waited since a cut of the network
// may have held them up.
func (e *Entry) HeldUpRequests() int64 {
	e.cuts.mu.Lock()
	defer e.cuts.mu.Unlock()
	return e.cuts.held
}
