package messenger

import (
	"sync"
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

// batch is the notification that carries messages. First is the number of
// Messages[0]; Ack is the number of the last message received.
type batch struct {
	First    uint64             `json:"first,omitempty"`
	Ack      uint64             `json:"ack"`
	Clock    int64              `json:"clock,omitempty"`
	Messages []protocol.Message `json:"messages,omitempty"`
}

// session is the state of a session with one incarnation of a peer. Epochs
// count the sessions each side has given up: a session is the pair of them.
type session struct {
	delivery  sync.Mutex        // held while messages are handed to Hub.Deliver
	mu        sync.Mutex        // guards the fields below; taken after delivery
	peer      protocol.Identity // never changes
	epoch     uint64            // ours
	peerEpoch uint64            // the peer's, as last seen
	open      bool              // a hello was exchanged in this pair of epochs

	ended     bool      // given up; another session may follow
	wire      *wire     // nil while disconnected
	preferred bool      // wire was dialed by the process of the smaller name
	heard     time.Time // when the peer was last heard

	out      []protocol.Message // not acknowledged yet
	first    uint64             // number of out[0]
	sent     uint64             // number of the last message written on conn
	received uint64             // number of the last message delivered
	acked    uint64             // number of the last message acknowledged to the peer
	wake     chan struct{}
}

func newSession(peer protocol.Identity, epoch uint64, now time.Time) *session {
	return &session{peer: peer, epoch: epoch, heard: now, first: 1, wake: make(chan struct{}, 1)}
}

// reset begins a new session: everything undelivered is discarded.
func (s *session) reset() {
	s.out = nil
	s.first, s.sent, s.received, s.acked = 1, 0, 0, 0
	s.open = false
	s.detach()
}

// outdates tells whether the peer has given up the session of its epoch since.
func (s *session) outdates(peerEpoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return peerEpoch < s.peerEpoch
}

// meant tells whether a connection that begins names this session of ours.
func (s *session) meant(epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return epoch == s.epoch
}

// outrun tells whether a count of messages that the peer received is above what
// this session ever had for it.
func (s *session) outrun(received uint64) bool {
	return received >= s.first+uint64(len(s.out))
}

// detach closes the present connection.
func (s *session) detach() {
	if s.wire == nil {
		return
	}
	s.wire.close()
	s.wire = nil
}

// push appends a message for the peer. It reports false when no session is
// open.
func (s *session) push(m protocol.Message) bool {
	s.mu.Lock()
	open := s.open
	if open {
		s.out = append(s.out, m)
	}
	s.mu.Unlock()
	return open
}

func (s *session) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// acknowledge drops messages up to number n.
func (s *session) acknowledge(n uint64) {
	if n < s.first {
		return
	}
	k := min(int(n-s.first+1), len(s.out))
	clear(s.out[:k])
	s.out = s.out[k:]
	s.first += uint64(k)
	if len(s.out) == 0 {
		s.out = nil
	}
}

// next returns what is to be written on the present connection: up to
// maxBatch messages, with the acknowledgement due.
func (s *session) next(maxBatch int) batch {
	from := s.sent + 1
	if from < s.first {
		from = s.first
	}
	k := int(from - s.first)
	rest := s.out[k:]
	if len(rest) > maxBatch {
		rest = rest[:maxBatch]
	}
	b := batch{Ack: s.received, Messages: append([]protocol.Message(nil), rest...)}
	if len(rest) > 0 {
		b.First = from
		s.sent = from + uint64(len(rest)) - 1
	}
	s.acked = s.received
	return b
}

// pending tells whether messages wait to be written.
func (s *session) pending() bool {
	return s.first+uint64(len(s.out)) > max(s.sent+1, s.first)
}

// fresh returns the messages of b that were not delivered before, and counts
// them as delivered. A gap means frames were lost; nothing is taken then.
func (s *session) fresh(b batch) []protocol.Message {
	if len(b.Messages) == 0 || b.First > s.received+1 {
		return nil
	}
	skip := s.received + 1 - b.First
	if skip >= uint64(len(b.Messages)) {
		return nil
	}
	ms := b.Messages[skip:]
	s.received += uint64(len(ms))
	return ms
}
