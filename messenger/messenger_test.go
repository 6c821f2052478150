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

// pair is two connected hubs; got is what b received, in order.
type pair struct {
	a, b *Hub
	mu   sync.Mutex
	got  []uint64
	lost int
}

func newPair(t *testing.T, s Settings) *pair {
	p := &pair{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ignore := func(protocol.Identity, protocol.Message) {}
	p.a = &Hub{Settings: s, Deliver: ignore, Self: protocol.Identity{Name: "a", Role: protocol.RoleEntry, Address: l.Addr().String()}.WithNewIncarnation()}
	p.b = &Hub{Settings: s, Self: protocol.Identity{Name: "b", Role: protocol.RoleEntry}.WithNewIncarnation()}
	p.b.Deliver = func(_ protocol.Identity, m protocol.Message) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.got = append(p.got, m.Close.Below)
	}
	p.a.Lost = func(protocol.Identity) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.lost++
	}
	p.a.Start(l)
	p.b.Start(nil)
	p.b.KeepConnected(l.Addr().String())
	t.Cleanup(func() { p.b.Stop(); p.a.Stop() })
	require.Eventually(t, func() bool { return p.a.Reachable(p.b.Self.Incarnation, time.Second) }, 5*time.Second, time.Millisecond)
	return p
}

func (p *pair) send(n uint64) bool {
	return p.a.Send(p.b.Self.Incarnation, protocol.Message{Close: &protocol.Close{Below: n}})
}

func (p *pair) received() []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]uint64(nil), p.got...)
}

// drop ends the present connection.
func (p *pair) drop() {
	s := p.a.find(p.b.Self.Incarnation)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detach()
}

func TestMessagesArriveOnceAndInOrderOverManyConnections(t *testing.T) {
	p := newPair(t, Settings{MaxBatch: 7})
	const n = 3000
	for i := range uint64(n) {
		require.True(t, p.send(i))
		if i%300 == 299 {
			time.Sleep(2 * time.Millisecond)
			p.drop()
		}
	}
	require.Eventually(t, func() bool { return len(p.received()) >= n }, 10*time.Second, 5*time.Millisecond)
	for i, x := range p.received() {
		require.Equal(t, uint64(i), x)
	}
}

// TestGivenUpSessionDeliversNothingLater gives a session up and lets the two
// meet again in a new one.
func TestGivenUpSessionDeliversNothingLater(t *testing.T) {
	p := newPair(t, Settings{Entries: Timing{50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond}})
	s := p.a.find(p.b.Self.Incarnation)
	p.drop()
	require.True(t, p.send(1), "the session is open, the connection is not")
	p.a.giveUp(s)
	require.Eventually(t, func() bool { return p.send(2) }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return len(p.received()) > 0 }, 5*time.Second, time.Millisecond)
	require.Equal(t, []uint64{2}, p.received())
	require.Equal(t, 1, p.lost)
}

func FuzzReadFrame(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x28{\"jsonrpc\":\"2.0\",\"method\":\"batch\",\"id\":1}"))
	f.Add([]byte("\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, text []byte) {
		client, server := net.Pipe()
		go func() {
			client.Write(text)
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

func TestFrameBeyondTheLimitIsRefusedBeforeItIsRead(t *testing.T) {
	client, server := net.Pipe()
	go client.Write(bytes.Repeat([]byte{0xff}, frameHeadBytes))
	_, _, err := newStream(server, new(Traffic)).Read(t.Context())
	require.ErrorContains(t, err, "too large")
}

// TestWriterOfAReplacedConnectionEnds runs the writer of a connection that is
// not the session's and has been silent for longer than a heartbeat.
func TestWriterOfAReplacedConnectionEnds(t *testing.T) {
	p := newPair(t, Settings{})
	s := p.a.find(p.b.Self.Incarnation)
	old := &wire{closed: make(chan struct{}), wrote: time.Now().Add(-time.Hour)}
	close(old.closed)
	ended := make(chan struct{})
	go func() {
		p.a.write(s, old)
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the writer spins")
	}
}
