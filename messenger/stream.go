package messenger

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.lsp.dev/jsonrpc2"
)

const (
	maxFrameBytes    = 16 << 20 // 16 MiB
	frameHeaderBytes = 4
	writeTimeout     = 5 * time.Second
	readBufferBytes  = 32 << 10 // 32 KiB
	// handshakeBytes is the size of the largest frame that is read before a session is
	// open. A hello lists the addresses of all entries that a process has known, of 24 bytes
	// each: there is room for 10,000.
	handshakeBytes = 256 << 10
	// handshakeFrames is the number of frames, hello and begin, that open a session. The
	// next one is a batch and may arrive before the begin was handled.
	handshakeFrames = 2
	// largeFrame is the size from which a frame's memory is reserved before it is read.
	largeFrame = 8 << 10
	// frameCost is the memory of a frame per byte: the buffer, which grows by doubling, and
	// the decoded messages.
	frameCost = 4
)

// Traffic counts the frames, bytes, messages and failed requests on the connections of a Hub.
type Traffic struct {
	FramesIn, FramesOut     atomic.Int64
	BytesIn, BytesOut       atomic.Int64
	MessagesIn, MessagesOut atomic.Int64
	Panics                  atomic.Int64 // requests of peers whose handling panicked
}

// stream is a jsonrpc2.Stream of frames, each preceded by its length as a 4-byte
// big-endian integer. A frame of more than maxFrameBytes is an error, so that a
// peer cannot exhaust the memory of this process.
type stream struct {
	netConn net.Conn
	reader  *bufio.Reader
	writeMu sync.Mutex
	traffic *Traffic
	// awaitSession waits until the session is open and returns false if it will not be;
	// nil if frames of any size are read at once.
	awaitSession func() bool
	// reserve waits for memory for a frame and returns the bytes reserved, 0 if the
	// connection is closed before; nil: there is no limit. release returns them.
	reserve func(n int64) int64
	release func(n int64)

	framesRead int   // used by Read only
	reserved   int64 // for the frame that Read returned last; used by Read only
}

func newStream(netConn net.Conn, t *Traffic) *stream {
	return &stream{netConn: netConn, reader: bufio.NewReaderSize(netConn, readBufferBytes), traffic: t}
}

// Write writes one frame within writeTimeout.
func (s *stream) Write(_ context.Context, m jsonrpc2.Message) (int64, error) {
	b, err := jsonrpc2.EncodeMessage(m)
	if err != nil {
		return 0, &Error{Op: "write", Kind: KindFrame, Err: err}
	}
	if len(b) > maxFrameBytes {
		return 0, &Error{Op: "write", Kind: KindFrame, Detail: fmt.Sprintf("frame too large: %d bytes, limit %d", len(b), maxFrameBytes)}
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(b))
	binary.BigEndian.PutUint32(frame, uint32(len(b)))
	frame = append(frame, b...)
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if err := s.netConn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	s.traffic.FramesOut.Add(1)
	s.traffic.BytesOut.Add(int64(len(frame)))
	n, err := s.netConn.Write(frame)
	return int64(n), err
}

// Read reads one frame. It returns io.EOF if the connection ends between frames. The
// frame read before has been handled by then.
func (s *stream) Read(context.Context) (jsonrpc2.Message, int64, error) {
	s.releaseFrame()
	m, n, err := s.readFrame()
	if err != nil {
		s.releaseFrame()
	}
	return m, n, err
}

func (s *stream) readFrame() (jsonrpc2.Message, int64, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(s.reader, header[:]); err != nil {
		return nil, 0, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > maxFrameBytes {
		return nil, 0, &Error{Op: "read", Kind: KindFrame, Detail: fmt.Sprintf("frame too large: %d bytes, limit %d", n, maxFrameBytes)}
	}
	if s.awaitSession != nil && n > handshakeBytes && (s.framesRead < handshakeFrames || !s.awaitSession()) {
		return nil, 0, &Error{Op: "read", Kind: KindFrame, Detail: fmt.Sprintf("frame of %d bytes before the session is open", n)}
	}
	s.framesRead++
	if n >= largeFrame && !s.reserveFrame(int64(n)*frameCost) {
		return nil, 0, &Error{Op: "read", Kind: KindFrame, Detail: fmt.Sprintf("closed before there was memory for a frame of %d bytes", n)}
	}
	b, err := s.readBody(int(n))
	if err != nil {
		return nil, 0, err
	}
	s.traffic.FramesIn.Add(1)
	s.traffic.BytesIn.Add(int64(frameHeaderBytes + len(b)))
	m, err := jsonrpc2.DecodeMessage(b)
	return m, int64(len(b)), err
}

// readBody reads n bytes. Unless memory is reserved for them, it allocates as data arrives
// rather than n bytes in advance, since a peer may announce more than it sends.
func (s *stream) readBody(n int) ([]byte, error) {
	var b bytes.Buffer
	if s.reserved > 0 {
		b.Grow(n + bytes.MinRead) // ReadFrom grows a buffer with less room than that
	} else {
		b.Grow(min(n, readBufferBytes))
	}
	copied, err := io.CopyN(&b, s.reader, int64(n))
	if err == io.EOF && copied < int64(n) {
		err = io.ErrUnexpectedEOF
	}
	return b.Bytes(), err
}

// reserveFrame waits for memory for the frame to be read.
func (s *stream) reserveFrame(n int64) bool {
	if s.reserve == nil {
		return true
	}
	s.reserved = s.reserve(n)
	return s.reserved > 0
}

// releaseFrame ends the reservation for the frame read last.
func (s *stream) releaseFrame() {
	if s.reserved > 0 {
		s.release(s.reserved)
		s.reserved = 0
	}
}

// Close closes the connection.
func (s *stream) Close() error { return s.netConn.Close() }
