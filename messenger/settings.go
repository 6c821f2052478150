package messenger

import (
	"time"
)

// Settings bounds a Hub's timing. Zero fields take the defaults.
type Settings struct {
	Entries  Timing        // of sessions between entries; default 500 ms, 1.5 s, 3 s
	Agents   Timing        // of sessions with agents; default 1 s, 2.5 s, 3.5 s
	AckDelay time.Duration // longest wait before an acknowledgement alone; default 100 ms
	MaxBatch int           // messages a frame; default 512

	DialTimeout time.Duration // of one try to connect; default 1 s
	MaxRedial   time.Duration // longest wait between two tries; default 1 s
}

// Timing is how the silence of a peer is judged.
type Timing struct {
	Heartbeat         time.Duration // longest silence we let pass on a connection
	ConnectionTimeout time.Duration // silence after which a connection is closed
	SessionTimeout    time.Duration // silence after which a session is given up
}

func (t *Timing) withDefaults(heartbeat, dead, lost time.Duration) {
	setDefault(&t.Heartbeat, heartbeat)
	setDefault(&t.ConnectionTimeout, dead)
	setDefault(&t.SessionTimeout, lost)
}

func (s Settings) withDefaults() Settings {
	s.Entries.withDefaults(500*time.Millisecond, 1500*time.Millisecond, 3*time.Second)
	s.Agents.withDefaults(time.Second, 2500*time.Millisecond, 3500*time.Millisecond)
	setDefault(&s.AckDelay, 100*time.Millisecond)
	setDefault(&s.MaxBatch, 512)
	setDefault(&s.DialTimeout, time.Second)
	setDefault(&s.MaxRedial, time.Second)
	return s
}

func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}
