package tests

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// writeFrame writes a frame of the links' protocol.
func writeFrame(c net.Conn, body string) error {
	_, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...))
	return err
}

func readFrame(c net.Conn) ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(c, header[:]); err != nil {
		return nil, err
	}
	body := make([]byte, binary.BigEndian.Uint32(header[:]))
	_, err := io.ReadFull(c, body)
	return body, err
}

func peerIdentity(n int) string {
	return fmt.Sprintf(`"identity":{"name":"crowd-%d","incarnation":"crowd-%d.0","role":"agent","zone":"z"}`, n, n)
}

// identifyAsPeer opens a session as an agent would.
func identifyAsPeer(c net.Conn, n int, entries string) error {
	err := writeFrame(c, fmt.Sprintf(`{"jsonrpc":"2.0","id":1,"method":"hello","params":{%s}}`, peerIdentity(n)))
	if err != nil {
		return err
	}
	answer, err := readFrame(c)
	if err != nil {
		return err
	}
	var reply struct{ Result struct{ Epoch uint64 } }
	if err := json.Unmarshal(answer, &reply); err != nil {
		return err
	}
	return writeFrame(c, fmt.Sprintf(`{"jsonrpc":"2.0","method":"begin","params":{%s,"epoch":1,"peer-epoch":%d%s}}`, peerIdentity(n), reply.Result.Epoch, entries))
}

// sendBatches identifies itself and sends frames with many messages.
func sendBatches(c net.Conn, n int, _ []byte, _ bool) {
	if identifyAsPeer(c, n, "") != nil {
		return
	}
	for range 2 {
		writeFrame(c, `{"jsonrpc":"2.0","method":"batch","params":{"first":1,"messages":[{}`+strings.Repeat(",{}", 4<<20)+`]}}`)
	}
}

// sendSmallBatches identifies itself and sends many frames below the size from which they are
// checked, each of as many messages as fit.
func sendSmallBatches(c net.Conn, n int, _ []byte, _ bool) {
	if identifyAsPeer(c, n, "") != nil {
		return
	}
	batch := `{"jsonrpc":"2.0","method":"batch","params":{"first":1,"messages":[{}` + strings.Repeat(",{}", 20_000) + `]}}`
	for range 100 {
		if writeFrame(c, batch) != nil {
			return
		}
	}
}

// sendLists identifies itself and sends messages with long lists.
func sendLists(c net.Conn, n int, _ []byte, _ bool) {
	if identifyAsPeer(c, n, "") != nil {
		return
	}
	list := `{"cancels":[{}` + strings.Repeat(",{}", 5<<20) + `]}`
	if n%2 == 0 {
		list = `{"marks":{"marks":[{}` + strings.Repeat(",{}", 5<<20) + `]}}`
	}
	for range 2 {
		writeFrame(c, `{"jsonrpc":"2.0","method":"batch","params":{"first":1,"messages":[`+list+`]}}`)
	}
}

// sendEntries identifies itself and names entries that do not exist.
func sendEntries(c net.Conn, n int, _ []byte, _ bool) {
	var list strings.Builder
	for i := range 5000 {
		fmt.Fprintf(&list, `,"127.%d.%d.%d:9"`, 1+n%250, i>>8, i&255)
	}
	identifyAsPeer(c, n, `,"entries":["127.0.0.1:9"`+list.String()+`]`)
	time.Sleep(500 * time.Millisecond)
}

// sendHellos sends many hellos of different processes on one connection.
func sendHellos(c net.Conn, n int, _ []byte, _ bool) {
	padding := strings.Repeat("x", 100<<10)
	for i := range 50 {
		body := fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"hello","params":{"identity":{"name":"crowd-%d-%d","incarnation":"%s-%d-%d","role":"agent"}}}`, i, n, i, padding, n, i)
		if writeFrame(c, body) != nil {
			return
		}
		if _, err := readFrame(c); err != nil {
			return
		}
	}
}

// sendRequestBatches sends requests of JSON-RPC that are to be handled together.
func sendRequestBatches(c net.Conn, _ int, _ []byte, _ bool) {
	ping := `{"jsonrpc":"2.0","id":1,"method":"ping"}`
	for range 20 {
		if writeFrame(c, "["+ping+strings.Repeat(","+ping, 6000)+"]") != nil {
			return
		}
	}
	time.Sleep(500 * time.Millisecond)
}

// Guards against an entry that exceeds its memory or its descriptors because of callers
// that speak the protocol between processes.
func TestCrowdOfPeers(t *testing.T) {
	buildCrowdDaemon(t)
	for _, k := range []crowdKind{{"batches", sendBatches}, {"small-batches", sendSmallBatches}, {"lists", sendLists}, {"entries", sendEntries}, {"hellos", sendHellos}, {"request-batches", sendRequestBatches}} {
		t.Run(k.name, func(t *testing.T) {
			requireCrowdWithstoodOffPlatform(t, func(f *fleet, w *crowd) {
				w.open(f.entries[0].relay.Target, crowdOthers, []crowdKind{k}, nil)
			})
		})
	}
}

// Guards against an entry without room for its own agent beside peers from one address.
func TestAgentConnectsBesideCrowdOfPeers(t *testing.T) {
	buildCrowdDaemon(t)
	f := newCrowdProductFleet(t)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}}
	for n := range crowdOthers {
		c, err := dialer.Dial("tcp", f.entries[0].relay.Target)
		require.NoError(t, err)
		defer c.Close()
		c.SetDeadline(time.Now().Add(crowdWriteTimeout))
		identifyAsPeer(c, n, "") // an error means that the entry has closed the connection
	}
	requireSubmissionAnswered(t, f, "ordinary")
	require.False(t, hasExited(f.entries[0]))
}

// Guards against callers that are taken for processes of the system although these have a
// key for their links.
func TestPeersWithoutTheKeyAreNone(t *testing.T) {
	buildCrowdDaemon(t)
	f := newCrowdProductFleetWith(t, map[string]any{"link-key": strings.Repeat("k", 32)})
	for n := range crowdOthers {
		c, err := net.Dial("tcp", f.entries[0].relay.Target)
		require.NoError(t, err)
		defer c.Close()
		c.SetDeadline(time.Now().Add(crowdWriteTimeout))
		identifyAsPeer(c, n, "") // an error means that the entry has closed the connection
	}
	c, err := net.Dial("tcp", f.entries[0].relay.Target)
	require.NoError(t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(crowdWriteTimeout))
	require.NoError(t, identifyAsPeer(c, crowdOthers, ""))
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the entry closes the connection instead of sending a batch")
	require.Equal(t, 1, f.connectedAgents(f.entries[0]))
	requireSubmissionAnswered(t, f, "ordinary")
}
