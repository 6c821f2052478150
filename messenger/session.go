package messenger

import (
	"sync"
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

// batch is the notification that carries messages. First is the number of
// Messages[0], Ack the number of the last message received, and Clock the
// sender's hybrid logical clock.
type batch struct {
	First    uint64             `json:"first,omitempty"`
	Ack      uint64             `json:"ack"`
	Clock    int64              `json:"clock,omitempty"`
	Sent     int64              `json:"sent,omitempty"` // stamp of this batch, see Hub.stamp
	Echo     int64              `json:"echo,omitempty"` // a stamp that the sender has received from its peer, see session.nextEcho
	Messages []protocol.Message `json:"messages,omitempty"`
}

// session is the state of the session with one incarnation of a peer. Each side
// increments its epoch when it closes the session, so the pair of epochs
// identifies a session.
type session struct {
	deliveryMu sync.Mutex        // held while messages are passed to Hub.Deliver
	mu         sync.Mutex        // guards the fields below; acquired after deliveryMu
	peer       protocol.Identity // immutable
	localEpoch uint64            // epoch of this process
	peerEpoch  uint64            // epoch of the peer, as last seen
	open       bool              // hellos were exchanged for this pair of epochs

	openedAt    time.Time // when open became true
	closed      bool      // removed from the Hub; a new session may replace it
	conn        *conn     // nil while disconnected
	preferred   bool      // conn was dialed by the process whose name sorts first
	confirmedAt time.Time // latest time at which the peer is known to have been running, see recordContact
	peerStamp   int64     // newest stamp in a batch or hello of the peer
	echo        int64     // stamp echoed last on conn
	stampToEcho int64     // stamp to echo once message echoAfter was sent
	echoAfter   uint64
	lastContact time.Time // when the peer last attached a connection or sent a batch; initially the creation time

	unacked      []protocol.Message // messages that the peer has not acknowledged
	firstUnacked uint64             // number of unacked[0]
	lastSent     uint64             // number of the last message written on conn
	lastReceived uint64             // number of the last message delivered
	lastAcked    uint64             // number of the last message acknowledged to the peer
	wakeup       chan struct{}      // wakes the writer
}

func newSession(peer protocol.Identity, localEpoch uint64, now time.Time) *session {
	return &session{peer: peer, localEpoch: localEpoch, lastContact: now, firstUnacked: 1, wakeup: make(chan struct{}, 1)}
}

// reset starts a new session: it discards all undelivered messages and closes the
// connection. The caller holds s.mu.
func (s *session) reset() {
	s.unacked = nil
	s.firstUnacked, s.lastSent, s.lastReceived, s.lastAcked = 1, 0, 0, 0
	s.open = false
	s.detach()
}

// hasNewerPeerEpoch reports whether the peer has since closed the session in
// which its epoch was peerEpoch.
func (s *session) hasNewerPeerEpoch(peerEpoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return peerEpoch < s.peerEpoch
}

// hasLocalEpoch reports whether localEpoch is this process's epoch of the session.
func (s *session) hasLocalEpoch(localEpoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return localEpoch == s.localEpoch
}

// exceedsQueued reports whether received is greater than the number of the last
// message that was queued for the peer. The caller holds s.mu.
func (s *session) exceedsQueued(received uint64) bool {
	return received >= s.firstUnacked+uint64(len(s.unacked))
}

// detach closes the current connection, if there is one. The caller holds s.mu.
func (s *session) detach() {
	if s.conn == nil {
		return
	}
	s.conn.close()
	s.conn = nil
}

// enqueue queues a message for the peer. It returns false if the session is not
// open.
func (s *session) enqueue(m protocol.Message) bool {
	s.mu.Lock()
	open := s.open
	if open {
		s.unacked = append(s.unacked, m)
	}
	s.mu.Unlock()
	return open
}

// wakeWriter wakes the writer without blocking.
func (s *session) wakeWriter() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// acknowledge removes the messages up to number n, which the peer has received.
// The caller holds s.mu.
func (s *session) acknowledge(n uint64) {
	if n < s.firstUnacked {
		return
	}
	count := min(int(n-s.firstUnacked+1), len(s.unacked))
	clear(s.unacked[:count])
	s.unacked = s.unacked[count:]
	s.firstUnacked += uint64(count)
	if len(s.unacked) == 0 {
		s.unacked = nil
	}
}

// maxBatchBytes limits the payload of a batch of several messages. A batch counts as
// contact once all of it has arrived, so it must pass the slowest links within a
// fraction of the connection timeout.
const maxBatchBytes = 64 << 10

// limitBatch returns the messages at the beginning of the list that fit into a batch
// of maxBatch messages and maxBatchBytes of payload, at least one.
func limitBatch(messages []protocol.Message, maxBatch int) []protocol.Message {
	payload := 0
	for i := range messages {
		payload += messages[i].PayloadBytes()
		if i >= maxBatch || i > 0 && payload > maxBatchBytes {
			return messages[:i]
		}
	}
	return messages
}

// nextBatch returns the next batch for the current connection, with the
// acknowledgement and as many unsent messages as limitBatch permits, and counts these
// as sent. The caller holds s.mu.
func (s *session) nextBatch(maxBatch int) batch {
	start := s.lastSent + 1
	if start < s.firstUnacked {
		start = s.firstUnacked
	}
	skip := int(start - s.firstUnacked)
	messages := limitBatch(s.unacked[skip:], maxBatch)
	b := batch{Ack: s.lastReceived, Messages: append([]protocol.Message(nil), messages...)}
	if len(messages) > 0 {
		b.First = start
		s.lastSent = start + uint64(len(messages)) - 1
	}
	s.lastAcked = s.lastReceived
	b.Echo = s.nextEcho()
	return b
}

// nextEcho returns the stamp to echo in a batch: the newest one, or while messages are
// unsent, one that was read before the oldest of these was queued. An unsent message may
// be a stop, so the batch must not confirm that this process vouches for a task later
// than that. The caller holds s.mu.
func (s *session) nextEcho() int64 {
	if max(s.lastSent, s.firstUnacked-1) >= s.echoAfter {
		s.echo = s.stampToEcho
		s.markEcho()
	}
	if !s.hasUnsent() {
		s.echo = s.peerStamp
	}
	return s.echo
}

// markEcho determines that the newest stamp is echoed once all messages that are queued
// now have been sent. The caller holds s.mu.
func (s *session) markEcho() {
	s.stampToEcho, s.echoAfter = s.peerStamp, s.firstUnacked+uint64(len(s.unacked))-1
}

// hasUnsent reports whether there are messages that have not been written on the
// current connection. The caller holds s.mu.
func (s *session) hasUnsent() bool {
	return s.firstUnacked+uint64(len(s.unacked)) > max(s.lastSent+1, s.firstUnacked)
}

// acceptNew returns the messages of b that have not been delivered, and counts
// them as delivered. It returns none if earlier messages are missing, since frames
// were lost then. The caller holds s.mu.
func (s *session) acceptNew(b batch) []protocol.Message {
	if len(b.Messages) == 0 || b.First > s.lastReceived+1 {
		return nil
	}
	skip := s.lastReceived + 1 - b.First
	if skip >= uint64(len(b.Messages)) {
		return nil
	}
	messages := b.Messages[skip:]
	s.lastReceived += uint64(len(messages))
	return messages
}
