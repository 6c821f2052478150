package router

// maxDocumentBytes limits the size of a document that a peer may send.
const maxDocumentBytes = 8 << 20

// Part is the part of a version's document of Size bytes that begins at Offset.
type Part struct {
	Version int64
	Offset  int
	Size    int
	Bytes   []byte
}

// PartOf returns up to limit bytes of the document of t from offset on. An offset
// outside the document gives the first part.
func (t *Table) PartOf(offset, limit int) Part {
	if offset < 0 || offset >= len(t.Document) {
		offset = 0
	}
	end := min(offset+limit, len(t.Document))
	return Part{Version: t.Version, Offset: offset, Size: len(t.Document), Bytes: t.Document[offset:end]}
}

// Download assembles a document that a peer sends in parts, each on request. Parts
// keep the messages small, so that heartbeats pass between them, and a transfer that
// was interrupted continues where it ended. The zero value is no download. It is not
// safe for concurrent use.
type Download struct {
	peer     string // that sends the parts; empty: none
	version  int64
	received []byte
}

// Start begins to download a version from a peer. It keeps what another peer has sent
// of the same version, since all peers have the document from the same source.
func (d *Download) Start(peer string, version int64) {
	if version != d.version {
		d.received = nil
	}
	d.peer, d.version = peer, version
}

// Next returns the version and the offset of the next part.
func (d *Download) Next() (version int64, offset int) { return d.version, len(d.received) }

// Add adds a part from a peer. It reports whether the part continues the download, and
// returns the document once it is complete. The first part of another version starts
// the download again with that version. Any other part is ignored.
func (d *Download) Add(peer string, p Part) (document []byte, accepted bool) {
	if peer != d.peer || len(p.Bytes) == 0 || p.Size > maxDocumentBytes || p.Offset+len(p.Bytes) > p.Size {
		return nil, false
	}
	if p.Version != d.version && p.Offset == 0 {
		d.version, d.received = p.Version, nil
	}
	if p.Version != d.version || p.Offset != len(d.received) {
		return nil, false
	}
	d.received = append(d.received, p.Bytes...)
	if len(d.received) < p.Size {
		return nil, true
	}
	document = d.received
	*d = Download{}
	return document, true
}

// Stop ends a download that is no longer needed, since the process has the given
// version.
func (d *Download) Stop(current int64) {
	if d.version <= current {
		*d = Download{}
	}
}
