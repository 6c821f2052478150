package server

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/router"
)

// tableOfParts returns a table whose document has n full parts.
func tableOfParts(version int64, n int) *router.Table {
	t := router.NewTable(version, nil)
	t.Document = bytes.Repeat([]byte{byte(version)}, n*configurationPartBytes)
	return t
}

// A peer that downloads a version while newer ones are adopted completes it.
func TestUploadContinuesAfterNewerVersion(t *testing.T) {
	e := &Entry{uploads: make(map[string]upload)}
	first, newer := tableOfParts(1, 3), tableOfParts(2, 3)
	now := time.Unix(1000, 0)
	request := &protocol.ConfigurationRequest{Version: 1, Limit: configurationPartBytes}
	require.EqualValues(t, 1, e.nextPart(now, "entry-2", request, first).Version)
	for i := 1; i < 3; i++ {
		request.Offset = i * configurationPartBytes
		p := e.nextPart(now, "entry-2", request, newer)
		require.EqualValues(t, 1, p.Version)
		require.Equal(t, request.Offset, p.Offset)
	}
	require.Empty(t, e.uploads)
	p := e.nextPart(now, "entry-2", request, newer)
	require.EqualValues(t, 2, p.Version, "without an upload the current version is sent, from its beginning")
	require.Zero(t, p.Offset)
}

// An upload does not keep a configuration in memory after its peer has stopped asking.
func TestUploadIsGivenUp(t *testing.T) {
	e := &Entry{uploads: make(map[string]upload)}
	now := time.Unix(1000, 0)
	e.nextPart(now, "entry-2", &protocol.ConfigurationRequest{Version: 1, Limit: 100}, tableOfParts(1, 1))
	e.fetchRoutes(now.Add(uploadTimeout))
	require.Len(t, e.uploads, 1)
	e.fetchRoutes(now.Add(uploadTimeout + time.Millisecond))
	require.Empty(t, e.uploads)
}
