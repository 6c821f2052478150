package messenger

import (
	"bytes"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
)

// pair is two connected hubs. delivered holds the numbers of the messages that b
// received, in order; closedSessions counts the calls of a.SessionClosed.
type pair struct {
	a, b           *Hub
	mu             sync.Mutex
	delivered      []uint64
	closedSessions int
}

func newPair(t *testing.T, s Settings) *pair {
	p := &pair{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ignore := func(protocol.Identity, protocol.Message) {}
	p.a = &Hub{Settings: s, Deliver: ignore, Self: protocol.Identity{Name: "a", Role: protocol.RoleEntry, Address: listener.Addr().String()}.WithNewIncarnation()}
	p.b = &Hub{Settings: s, Self: protocol.Identity{Name: "b", Role: protocol.RoleEntry}.WithNewIncarnation()}
	p.b.Deliver = func(_ protocol.Identity, m protocol.Message) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.delivered = append(p.delivered, m.Close.Below)
	}
	p.a.SessionClosed = func(protocol.Identity) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closedSessions++
	}
	p.a.Start(listener)
	p.b.Start(nil)
	p.b.KeepConnected(listener.Addr().String())
	t.Cleanup(func() { p.b.Stop(); p.a.Stop() })
	require.Eventually(t, func() bool { return p.a.Reachable(p.b.Self.Incarnation, time.Second) }, 5*time.Second, time.Millisecond)
	return p
}

func (p *pair) send(n uint64) bool {
	return p.a.Send(p.b.Self.Incarnation, protocol.Message{Close: &protocol.Close{Below: n}})
}

func (p *pair) deliveredNumbers() []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]uint64(nil), p.delivered...)
}

// closeConn closes the current connection of the session.
func (p *pair) closeConn() {
	s := p.a.findSession(p.b.Self.Incarnation)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detach()
}

func TestMessagesAreDeliveredOnceInOrderAcrossReconnections(t *testing.T) {
	p := newPair(t, Settings{MaxBatch: 7})
	const n = 3000
	for i := range uint64(n) {
		require.True(t, p.send(i))
		if i%300 == 299 {
			time.Sleep(2 * time.Millisecond)
			p.closeConn()
		}
	}
	require.Eventually(t, func() bool { return len(p.deliveredNumbers()) >= n }, 10*time.Second, 5*time.Millisecond)
	for i, x := range p.deliveredNumbers() {
		require.Equal(t, uint64(i), x)
	}
}

// TestClosedSessionDeliversNothingLater closes a session that has a queued message
// and lets both hubs reconnect in a new session, which must not deliver it.
func TestClosedSessionDeliversNothingLater(t *testing.T) {
	p := newPair(t, Settings{Entries: Timing{50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond}})
	s := p.a.findSession(p.b.Self.Incarnation)
	p.closeConn()
	require.True(t, p.send(1), "the session is open, the connection is not")
	p.a.closeSession(s)
	require.Eventually(t, func() bool { return p.send(2) }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return len(p.deliveredNumbers()) > 0 }, 5*time.Second, time.Millisecond)
	require.Equal(t, []uint64{2}, p.deliveredNumbers())
	require.Equal(t, 1, p.closedSessions)
}

func FuzzReadFrame(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x28{\"jsonrpc\":\"2.0\",\"method\":\"batch\",\"id\":1}"))
	f.Add([]byte("\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, input []byte) {
		client, server := net.Pipe()
		go func() {
			client.Write(input)
			client.Close()
		}()
		s := newStream(server, new(Traffic))
		defer s.Close()
		for {
			if _, _, err := s.Read(t.Context()); err != nil {
				return
			}
		}
	})
}

func TestOversizedFrameIsRejectedBeforeReading(t *testing.T) {
	client, server := net.Pipe()
	go client.Write(bytes.Repeat([]byte{0xff}, frameHeaderBytes))
	_, _, err := newStream(server, new(Traffic)).Read(t.Context())
	require.ErrorContains(t, err, "too large")
}

// TestWriterOfReplacedConnectionStops guards against a writer that runs in a busy
// loop after another connection has replaced its own: its last write stays longer
// ago than a heartbeat, so the wait until the next check is zero.
func TestWriterOfReplacedConnectionStops(t *testing.T) {
	p := newPair(t, Settings{})
	s := p.a.findSession(p.b.Self.Incarnation)
	old := &conn{closed: make(chan struct{}), lastWrite: time.Now().Add(-time.Hour)}
	close(old.closed)
	stopped := make(chan struct{})
	go func() {
		p.a.writeLoop(s, old)
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(2 * time.Second):
		t.Fatal("the writer of a replaced connection did not stop within 2 s")
	}
}

// TestPanicOfOneMessageEndsOnlyItsSession delivers a message whose handling panics. The
// process lives on, reports the panic, and accepts messages of a new session.
func TestPanicOfOneMessageEndsOnlyItsSession(t *testing.T) {
	p := newPair(t, Settings{MaxRedialDelay: 50 * time.Millisecond})
	deliver := p.b.Deliver
	reported := make(chan string, 1)
	p.b.ReportPanic = func(peer string, value any, stack []byte) {
		require.NotEmpty(t, stack)
		reported <- peer
	}
	p.b.Deliver = func(from protocol.Identity, m protocol.Message) {
		if m.Close.Below == 13 {
			panic("malformed")
		}
		deliver(from, m)
	}
	require.True(t, p.send(13))
	select {
	case peer := <-reported:
		require.Equal(t, p.a.Self.Incarnation, peer)
	case <-time.After(5 * time.Second):
		t.Fatal("the panic was not reported within 5 s")
	}
	require.EqualValues(t, 1, p.b.Traffic.Panics.Load())
	require.Eventually(t, func() bool { p.send(14); return len(p.deliveredNumbers()) > 0 }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, uint64(14), p.deliveredNumbers()[0])
}

// A batch of many large messages would block heartbeats on a slow link until the
// connection is closed, and would then be sent again as a whole.
func TestBatchIsLimitedInBytes(t *testing.T) {
	start := func(n int) protocol.Message {
		return protocol.Message{Start: &protocol.Start{Request: protocol.Request{Body: make([]byte, n)}}}
	}
	s := newSession(protocol.Identity{Name: "b"}, 1, time.Now())
	s.open = true
	for range 200 {
		s.enqueue(start(2000))
	}
	s.enqueue(start(1 << 20))
	s.enqueue(start(10))
	var sizes []int
	for s.hasUnsent() {
		b := s.nextBatch(512)
		payload := 0
		for i := range b.Messages {
			payload += b.Messages[i].PayloadBytes()
		}
		if len(b.Messages) > 1 {
			require.LessOrEqual(t, payload, maxBatchBytes)
		}
		sizes = append(sizes, len(b.Messages))
	}
	require.Equal(t, []int{32, 32, 32, 32, 32, 32, 8, 1, 1}, sizes)
}
