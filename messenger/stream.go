package messenger

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"time"
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

// stream is a jsonrpc2.ObjectStream of frames with a 4 byte big endian length.
// A frame over maxFrameBytes is an error, so that a peer cannot exhaust memory.
type stream struct {
	conn    net.Conn
	reader  *bufio.Reader
	traffic *Traffic
}

func newStream(c net.Conn, t *Traffic) *stream {
	return &stream{conn: c, reader: bufio.NewReaderSize(c, bufferBytes), traffic: t}
}

// WriteObject writes one frame within writeTimeout.
func (s *stream) WriteObject(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return &Error{Op: "write", Kind: KindFrame, Err: err}
	}
	if len(b) > maxFrameBytes {
		return &Error{Op: "write", Kind: KindFrame, Detail: "frame too large"}
	}
	frame := make([]byte, frameHeadBytes, frameHeadBytes+len(b))
	binary.BigEndian.PutUint32(frame, uint32(len(b)))
	frame = append(frame, b...)
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	s.traffic.FramesOut.Add(1)
	s.traffic.BytesOut.Add(int64(len(frame)))
	_, err = s.conn.Write(frame)
	return err
}

// ReadObject reads one frame into v.
func (s *stream) ReadObject(v any) error {
	var head [frameHeadBytes]byte
	if _, err := io.ReadFull(s.reader, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrameBytes {
		return &Error{Op: "read", Kind: KindFrame, Detail: "frame too large"}
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(s.reader, b); err != nil {
		return err
	}
	s.traffic.FramesIn.Add(1)
	s.traffic.BytesIn.Add(int64(frameHeadBytes + len(b)))
	return json.Unmarshal(b, v)
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }
