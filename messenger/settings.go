package messenger

import (
	"time"
)

// Settings configures the timeouts and limits of a Hub. Zero fields take the
// defaults; those of a Timing are given in the order of its fields.
type Settings struct {
	Entries    Timing        // for sessions between entries; default 500 ms, 1.5 s, 3 s
	Agents     Timing        // for sessions with agents; default 1 s, 2.5 s, 3.5 s
	AckDelay   time.Duration // maximum delay of an acknowledgement without messages; default 100 ms
	MaxEntries int           // number of entries to keep connections to, see package selector; 0: all known ones
	MaxBatch   int           // maximum number of messages per frame; default 512

	DialTimeout    time.Duration // for one connection attempt; default 1 s
	MaxRedialDelay time.Duration // maximum backoff between connection attempts, before jitter; default 1 s
}

// Timing holds the heartbeat interval and the timeouts of a session.
type Timing struct {
	Heartbeat         time.Duration // maximum time between two batches sent on a connection
	ConnectionTimeout time.Duration // time without a batch from the peer after which its connection is closed
	SessionTimeout    time.Duration // time without a batch from the peer after which the session is closed as lost
}

func (t *Timing) withDefaults(heartbeat, connectionTimeout, sessionTimeout time.Duration) {
	setDefault(&t.Heartbeat, heartbeat)
	setDefault(&t.ConnectionTimeout, connectionTimeout)
	setDefault(&t.SessionTimeout, sessionTimeout)
}

func (s Settings) withDefaults() Settings {
	s.Entries.withDefaults(500*time.Millisecond, 1500*time.Millisecond, 3*time.Second)
	s.Agents.withDefaults(time.Second, 2500*time.Millisecond, 3500*time.Millisecond)
	setDefault(&s.AckDelay, 100*time.Millisecond)
	setDefault(&s.MaxBatch, 512)
	setDefault(&s.DialTimeout, time.Second)
	setDefault(&s.MaxRedialDelay, time.Second)
	return s
}

func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}
