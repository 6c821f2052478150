package messenger

import (
	"encoding/json"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
)

// The hello of an agent process that has been replaced since is read late. The session
// with the present process goes on.
func TestLateHelloOfEarlierIncarnationDoesNotCloseSession(t *testing.T) {
	h, earlier := startHub(t, protocol.RoleAgent)
	require.True(t, attachTo(t, h, hello{Identity: earlier, Epoch: 7, PeerEpoch: h.ensureSession(earlier).localEpoch}))
	present := earlier.WithNewIncarnation()
	require.True(t, attachTo(t, h, hello{Identity: present, Epoch: 8, PeerEpoch: h.ensureSession(present).localEpoch}))
	require.Nil(t, h.findSession(earlier.Incarnation), "replaced")
	params, err := json.Marshal(hello{Identity: earlier, Epoch: 7})
	require.NoError(t, err)
	_, _ = h.handleHello(params)
	require.NotNil(t, h.findSession(present.Incarnation))
}

// The same for the begin that follows a hello.
func TestLateBeginOfEarlierIncarnationDoesNotCloseSession(t *testing.T) {
	h, earlier := startHub(t, protocol.RoleAgent)
	late := hello{Identity: earlier, Epoch: 7, PeerEpoch: h.ensureSession(earlier).localEpoch}
	present := earlier.WithNewIncarnation()
	require.True(t, attachTo(t, h, hello{Identity: present, Epoch: 8, PeerEpoch: h.ensureSession(present).localEpoch}))
	near, far := net.Pipe()
	t.Cleanup(func() { far.Close() })
	params, err := json.Marshal(late)
	require.NoError(t, err)
	require.Error(t, h.handleBegin(h.newConn(near), params))
	require.NotNil(t, h.findSession(present.Incarnation))
}
