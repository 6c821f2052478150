package router_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/router"
)

// tableOf returns a table whose document has n bytes, each different from its neighbors.
func tableOf(version int64, n int) *router.Table {
	document := make([]byte, n)
	for i := range document {
		document[i] = byte(i*7 + int(version))
	}
	t := router.NewTable(version, nil)
	t.Document = document
	return t
}

// transfer passes parts of t to d until the document is complete or steps parts were
// accepted.
func transfer(t *testing.T, d *router.Download, peer string, from *router.Table, limit, steps int) []byte {
	for range steps {
		_, offset := d.Next()
		document, accepted := d.Add(peer, from.PartOf(offset, limit))
		require.True(t, accepted || document != nil)
		if document != nil {
			return document
		}
	}
	return nil
}

func TestDownloadInParts(t *testing.T) {
	for _, limit := range []int{1, 10, 99, 100, 101} {
		var d router.Download
		from := tableOf(7, 100)
		d.Start("a", 7)
		require.Equal(t, from.Document, transfer(t, &d, "a", from, limit, 101))
		version, offset := d.Next()
		require.Zero(t, version)
		require.Zero(t, offset)
	}
}

// A download that was interrupted continues with another peer where it ended.
func TestDownloadContinuesWithAnotherPeer(t *testing.T) {
	var d router.Download
	from := tableOf(7, 100)
	d.Start("a", 7)
	require.Nil(t, transfer(t, &d, "a", from, 10, 4))
	d.Start("b", 7)
	_, offset := d.Next()
	require.Equal(t, 40, offset)
	_, accepted := d.Add("a", from.PartOf(40, 10))
	require.False(t, accepted, "a late part of the first peer")
	require.Equal(t, from.Document, transfer(t, &d, "b", from, 10, 6))
}

// A peer that has a newer version by now sends that one from its beginning.
func TestDownloadStartsAgainWithNewerVersion(t *testing.T) {
	var d router.Download
	d.Start("a", 7)
	require.Nil(t, transfer(t, &d, "a", tableOf(7, 100), 10, 4))
	newer := tableOf(9, 50)
	_, accepted := d.Add("a", newer.PartOf(40, 10))
	require.False(t, accepted)
	_, accepted = d.Add("a", newer.PartOf(0, 10))
	require.True(t, accepted)
	require.Equal(t, newer.Document, transfer(t, &d, "a", newer, 10, 4))
}

func TestMalformedPartsAreIgnored(t *testing.T) {
	var d router.Download
	d.Start("a", 7)
	for _, p := range []router.Part{
		{Version: 7, Size: 10},
		{Version: 7, Size: 3, Bytes: make([]byte, 4)},
		{Version: 7, Size: 10, Offset: -1, Bytes: make([]byte, 4)},
		{Version: 7, Size: 10, Offset: 2, Bytes: make([]byte, 4)},
		{Version: 7, Size: 1 << 30, Bytes: make([]byte, 4)},
	} {
		_, accepted := d.Add("a", p)
		require.False(t, accepted, "%+v", p)
	}
	d.Stop(7)
	version, _ := d.Next()
	require.Zero(t, version)
}
