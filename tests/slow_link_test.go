package tests

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/internal/relayer"
	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/platform"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/router"
	"mustardlever.dev/mustardlever/server"
)

// startEntryBehindLink starts an entry with the timeouts of the users' platform and no
// store. Other entries reach it at the returned address, through a link of the given
// rate in bytes per second.
func startEntryBehindLink(t *testing.T, name string, rate int, entries ...string) (e *server.Entry, address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	link := &relayer.Relay{Target: l.Addr().String()}
	require.NoError(t, link.Start())
	t.Cleanup(link.Stop)
	link.SetFaults(relayer.Faults{Rate: rate})
	log := logrus.New()
	log.SetOutput(io.Discard)
	e = &server.Entry{
		Settings: server.EntrySettings{
			Identity: protocol.Identity{Name: name, Role: protocol.RoleEntry, Zone: "zone-1", Address: link.Address()}, Entries: entries,
			Messenger: messenger.Settings{
				Entries: messenger.Timing{Heartbeat: 300 * time.Millisecond, ConnectionTimeout: 900 * time.Millisecond, SessionTimeout: 1500 * time.Millisecond},
			},
		},
		Log: log.WithField("process", name), Recorder: new(recorder.Recorder),
		DecodeRoutes: func(document []byte) (*router.Table, error) { return platform.DecodeTable(document, time.Now()) },
	}
	e.Start(l)
	t.Cleanup(e.Stop)
	return e, link.Address()
}

// adoptConfiguration makes a configuration of about n bytes the current one.
func adoptConfiguration(t *testing.T, e *server.Entry, version, n int) {
	document := `{"version":` + strconv.Itoa(version) + `,"routes":[],"padding":"` + strings.Repeat("x", n) + `"}`
	table, err := platform.DecodeTable([]byte(document), time.Now())
	require.NoError(t, err)
	e.AdoptRoutes(table, "store")
}

// Guards against issue 27: a large configuration in one message blocked the heartbeats
// on a slow link for longer than the connection's timeout, was sent again from its
// first byte, and never arrived.
func TestLargeConfigurationReachesPeerOverSlowLink(t *testing.T) {
	const rate = 1_000_000
	first, address := startEntryBehindLink(t, "entry-1", rate)
	second, _ := startEntryBehindLink(t, "entry-2", rate, address)
	adoptConfiguration(t, first, 1, 100)
	require.Eventually(t, func() bool { return second.Routes.Version() == 1 }, 3*time.Second, 10*time.Millisecond)

	adoptConfiguration(t, first, 2, 1_100_000) // 1.5 MB encoded
	require.Eventually(t, func() bool { return second.Routes.Version() == 2 }, 3*time.Second, 10*time.Millisecond)
}
