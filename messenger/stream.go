package messenger

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.lsp.dev/jsonrpc2"
)

const (
	maxFrameBytes  = 16 << 20 // 16 MiB
	frameHeadBytes = 4
	writeTimeout   = 5 * time.Second
	bufferBytes    = 32 << 10
)

// Traffic counts what crossed the connections of a Hub.
type Traffic struct {
	FramesIn, FramesOut     atomic.Int64
	BytesIn, BytesOut       atomic.Int64
	MessagesIn, MessagesOut atomic.Int64
}

// stream is a jsonrpc2.Stream of frames with a 4 byte big endian length. A
// frame over maxFrameBytes is an error, so that a peer cannot exhaust memory.
type stream struct {
	conn    net.Conn
	reader  *bufio.Reader
	writing sync.Mutex
	traffic *Traffic
}

func newStream(c net.Conn, t *Traffic) *stream {
	return &stream{conn: c, reader: bufio.NewReaderSize(c, bufferBytes), traffic: t}
}

// Write writes one frame within writeTimeout.
func (s *stream) Write(_ context.Context, m jsonrpc2.Message) (int64, error) {
	b, err := jsonrpc2.EncodeMessage(m)
	if err != nil {
		return 0, &Error{Op: "write", Kind: KindFrame, Err: err}
	}
	if len(b) > maxFrameBytes {
		return 0, &Error{Op: "write", Kind: KindFrame, Detail: "frame too large"}
	}
	frame := make([]byte, frameHeadBytes, frameHeadBytes+len(b))
	binary.BigEndian.PutUint32(frame, uint32(len(b)))
	frame = append(frame, b...)
	s.writing.Lock()
	defer s.writing.Unlock()
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	s.traffic.FramesOut.Add(1)
	s.traffic.BytesOut.Add(int64(len(frame)))
	n, err := s.conn.Write(frame)
	return int64(n), err
}

// Read reads one frame. A clean end of the connection is io.EOF.
func (s *stream) Read(context.Context) (jsonrpc2.Message, int64, error) {
	var head [frameHeadBytes]byte
	if _, err := io.ReadFull(s.reader, head[:]); err != nil {
		return nil, 0, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrameBytes {
		return nil, 0, &Error{Op: "read", Kind: KindFrame, Detail: "frame too large"}
	}
	b, err := s.body(int(n))
	if err != nil {
		return nil, 0, err
	}
	s.traffic.FramesIn.Add(1)
	s.traffic.BytesIn.Add(int64(frameHeadBytes + len(b)))
	m, err := jsonrpc2.DecodeMessage(b)
	return m, int64(len(b)), err
}

// body reads n bytes. Memory grows with what has arrived, not with what the
// head of the frame claims.
func (s *stream) body(n int) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(min(n, bufferBytes))
	k, err := io.CopyN(&b, s.reader, int64(n))
	if err == io.EOF && k < int64(n) {
		err = io.ErrUnexpectedEOF
	}
	return b.Bytes(), err
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }
