package messenger

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
)

// Guards against an unknown peer that makes the process buffer a frame of up to 16 MiB.
func TestLargeFrameBeforeSessionEndsConnection(t *testing.T) {
	p := newPair(t, Settings{})
	c, err := net.Dial("tcp", p.a.Self.Address)
	require.NoError(t, err)
	defer c.Close()
	frame := binary.BigEndian.AppendUint32(nil, handshakeBytes+1)
	_, err = c.Write(frame)
	require.NoError(t, err)
	c.SetReadDeadline(time.Now().Add(helloTimeout / 2))
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a session that is broken off since its first batch is large and arrives
// before its begin was handled.
func TestLargeFirstBatchIsDelivered(t *testing.T) {
	for range 20 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		delivered, closed := make(chan int, 1), make(chan struct{}, 16)
		a := &Hub{Self: protocol.Identity{Name: "a", Role: protocol.RoleEntry, Address: listener.Addr().String()}.WithNewIncarnation()}
		a.Deliver = func(_ protocol.Identity, m protocol.Message) { delivered <- len(m.Close.Owner) }
		a.SessionClosed = func(protocol.Identity) { closed <- struct{}{} }
		b := &Hub{Self: protocol.Identity{Name: "b", Role: protocol.RoleEntry}.WithNewIncarnation(), Deliver: func(protocol.Identity, protocol.Message) {}}
		b.SessionOpened = func(peer protocol.Identity) {
			go b.Send(peer.Incarnation, protocol.Message{Close: &protocol.Close{Owner: strings.Repeat("x", 4*handshakeBytes)}})
		}
		a.Start(listener)
		b.Start(nil)
		b.KeepConnected(listener.Addr().String())
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		select {
		case n := <-delivered:
			require.Equal(t, 4*handshakeBytes, n)
		case <-ctx.Done():
			t.Error("the batch was not delivered")
		}
		cancel()
		require.Empty(t, closed)
		b.Stop()
		a.Stop()
	}
}
