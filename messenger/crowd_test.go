package messenger

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
)

// Guards against a batch of permitted size whose many messages take a hundred times its
// size, and against a large batch that is decoded differently from a small one.
func TestMessagesOfBatchAreBounded(t *testing.T) {
	_, err := decodeBatch([]byte(`{"messages":[{}` + strings.Repeat(",{}", 100_000) + `]}`))
	require.ErrorContains(t, err, "more than 1024 messages")
	_, err = decodeBatch([]byte(`{"messages":[{}` + strings.Repeat(",{}", maxMessages) + `]}`))
	require.ErrorContains(t, err, "more than 1024 messages", "also in a batch that is not large")
	b := batch{First: 3, Ack: 4, Clock: 5, Sent: 6, Echo: 7, Messages: make([]protocol.Message, 3)}
	b.Messages[1].Close = &protocol.Close{Owner: strings.Repeat("x", largeBatch), Below: 5}
	text, err := json.Marshal(b)
	require.NoError(t, err)
	decoded, err := decodeBatch(text)
	require.NoError(t, err)
	require.Equal(t, b, decoded)
	for name, text := range map[string]string{
		"cancels": `"cancels":[{}` + strings.Repeat(",{}", maxElements) + `]`,
		"entries": `"entries":{"addresses":["\"\\"` + strings.Repeat(`,""`, maxElements) + `]}`,
		"marks":   `"marks":{"marks":[null` + strings.Repeat(",null", maxStartElements) + `]}`,
	} {
		_, err := decodeBatch([]byte(`{"messages":[{},{` + text + `}]}`))
		require.ErrorContains(t, err, name+`" has more than`)
	}
	for _, text := range []string{
		`{}`, `{"ack":1,"messages":null}`, `{"messages":[]}`, `{"first":2,"messages":[{},{"close":{"below":1}}]}`, `{"messages":{}}`, `{"messages":5}`,
		`{"messages":[1]}`, `{"first":"x"}`, `[]`,
	} {
		small, smallErr := decodeBatch([]byte(text))
		large, largeErr := decodeBatch([]byte(text + strings.Repeat(" ", largeBatch)))
		require.Equal(t, smallErr == nil, largeErr == nil, text)
		if smallErr == nil && len(small.Messages)+len(large.Messages) > 0 {
			require.Equal(t, small, large, text)
		}
	}
}

// Guards against a message of a process of the system that is taken for malformed: its body
// may have any number of elements, and an agent any number of start records.
func TestLargestMessagesAreDecoded(t *testing.T) {
	body := json.RawMessage(`[0` + strings.Repeat(",0", 2*maxElements) + `]`)
	records := make([]protocol.StartRecord, maxStartRecords)
	for i := range records {
		records[i] = protocol.StartRecord{Sequence: uint64(i) + 1, Task: 1, Attempt: 1}
	}
	messages := []protocol.Message{
		{Start: &protocol.Start{Request: protocol.Request{Body: body}}},
		{Outcome: &protocol.Outcome{Result: &protocol.Result{Body: body}}},
		{Forward: &protocol.Forward{Job: body}},
		{Reply: &protocol.Reply{Answer: body}},
		{StartRecords: &protocol.StartRecords{Owner: "a.1", Records: records}},
	}
	for _, m := range messages {
		text, err := json.Marshal(batch{Messages: []protocol.Message{m}})
		require.NoError(t, err)
		require.Less(t, len(text), maxFrameBytes)
		decoded, err := decodeBatch(text)
		require.NoError(t, err)
		require.Equal(t, []protocol.Message{m}, decoded.Messages)
	}
}

// Guards against peers that make a process keep sessions, or long names, by hellos alone.
func TestHellosKeepNothing(t *testing.T) {
	h := &Hub{Self: protocol.Identity{Name: "a", Role: protocol.RoleEntry}.WithNewIncarnation()}
	h.Start(nil)
	defer h.Stop()
	long := protocol.Identity{Name: "b", Incarnation: strings.Repeat("x", maxIdentityBytes+1)}
	require.Nil(t, h.ensureSession(long))
	for i := range 100 {
		s := h.ensureSession(protocol.Identity{Name: "b", Incarnation: fmt.Sprint("b.", i)})
		require.NotNil(t, s)
		h.closeSession(s)
	}
	require.Empty(t, h.allSessions())
	require.Empty(t, h.nextEpochs, "none of the sessions was open")
}

// Guards against a connection that creates sessions by several hellos.
func TestSecondHelloEndsConnection(t *testing.T) {
	p := newPair(t, Settings{})
	netConn, err := p.b.Dial(t.Context(), p.a.Self.Address)
	require.NoError(t, err)
	c := p.b.newConn(netConn)
	defer c.close()
	identity := protocol.Identity{Name: "c", Role: protocol.RoleAgent}
	var answer hello
	_, err = c.rpc.Call(t.Context(), methodHello, hello{Identity: identity.WithNewIncarnation()}, &answer)
	require.NoError(t, err)
	_, err = c.rpc.Call(t.Context(), methodHello, hello{Identity: identity.WithNewIncarnation()}, &answer)
	require.Error(t, err)
	select {
	case <-c.rpc.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is still open")
	}
}

// Guards against memory for a frame that is reserved for longer than the frame is handled.
func TestMemoryOfFramesIsReleased(t *testing.T) {
	client, served := net.Pipe()
	defer client.Close()
	used, most := int64(0), int64(0)
	s := newStream(served, new(Traffic))
	s.reserve = func(n int64) int64 { used += n; most = max(most, used); return n }
	s.release = func(n int64) { used -= n }
	frame := fmt.Appendf(nil, `{"jsonrpc":"2.0","method":"batch","params":{"x":"%s"}}`, strings.Repeat("x", largeFrame))
	size := binary.BigEndian.AppendUint32(nil, uint32(len(frame)))
	go func() {
		for range 2 {
			client.Write(append(size, frame...))
		}
		client.Write(append(size, frame[1:]...))
		client.Close()
	}()
	for range 2 {
		_, _, err := s.Read(t.Context())
		require.NoError(t, err)
		require.Equal(t, int64(len(frame)*frameCost), used)
	}
	_, _, err := s.Read(t.Context())
	require.Error(t, err, "the last frame is malformed and too short")
	require.Zero(t, used)
	require.Equal(t, int64(len(frame)*frameCost), most)
}

// Guards against a text that the check of batches does not survive: it has not been parsed.
func FuzzCheckBatch(f *testing.F) {
	for _, text := range []string{`{"messages":[{"start":{}}]}`, `"`, `"\`, `{"a":"`, `]]]]`, `{[{"`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(_ *testing.T, text []byte) { checkBatch(text) })
}
