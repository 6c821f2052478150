// Package cutdetector tells which requests may have been held up by a cut of the network. A
// process that hears from none of its peers for a while was cut off, or paused. TCP delivers
// what callers sent to it meanwhile with the next retransmission after the cut, when they may
// have given up and submitted the job elsewhere; that they have left arrives one round trip
// later.
//
// The package does no I/O, starts no goroutine and reads no clock.
package cutdetector

import "time"

const (
	// silence is how long all peers have to be silent. Peers send something every 100 ms.
	silence = 500 * time.Millisecond
	// retransmission is the shortest time until a segment is sent again, with a margin. Each
	// further one follows after twice the time, so that the first one after a cut that lasted
	// for d comes within d and this time.
	retransmission = 500 * time.Millisecond
	// maxSuspicion bounds the time after a cut in which requests are suspect.
	maxSuspicion = 30 * time.Second
)

// Detector follows the contact of a process with its peers. The zero value has had none. It
// is not safe for concurrent use.
type Detector struct {
	contact    time.Time // latest with any peer
	begin, end time.Time // of the last cut: the contact before and the one after it
}

// Observe records the latest contact with any peer, zero if there has been none.
func (d *Detector) Observe(contact time.Time) {
	if !contact.After(d.contact) {
		return
	}
	if !d.contact.IsZero() && contact.Sub(d.contact) >= silence {
		d.begin, d.end = d.contact, contact
	}
	d.contact = contact
}

// Suspect reports whether a request that arrives now may have been held up by a cut. since is
// the time of the last request before it on its connection, or that of the connection's
// begin: a caller that got an answer after the cut has sent its next request after it.
func (d *Detector) Suspect(now, since time.Time) bool {
	if d.contact.IsZero() {
		return false
	}
	if now.Sub(d.contact) >= silence {
		return since.Before(d.contact.Add(silence)) // the cut goes on, or its end was not observed yet
	}
	lasts := min(d.end.Sub(d.begin)+retransmission, maxSuspicion)
	return !d.end.IsZero() && since.Before(d.end) && now.Before(d.end.Add(lasts))
}
