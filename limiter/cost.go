package limiter

import (
	"bytes"
	"net/http"
)

const (
	// connectionCost is the cost of a connection without a request, by estimate: two
	// goroutines and the buffers of net/http, 24 KiB, and receiveBuffer twice.
	connectionCost = 40 << 10
	// linkCost is the cost of a link whose peer has not identified itself, beside the bytes
	// that it sent: a connection and the buffer of its stream.
	linkCost = connectionCost + 32<<10
	// receiveBuffer is SO_RCVBUF of accepted connections; Linux doubles it. Received bytes
	// that were not read yet occupy at most that much.
	receiveBuffer = 8 << 10
	// lineCost is the cost of a header line beside its bytes: its slots in the map and the
	// slice of values, two strings, and the smaller maps that were replaced. After parsing,
	// 87 bytes of it stay in use for distinct names (TestHeaderCost).
	lineCost = 256
	// byteCost is the cost of a byte of a header or of a link's first frames: the value, and
	// the buffer that it came from.
	byteCost = 2
)

// headerBytesCost returns the cost of header bytes with the given number of lines.
func headerBytesCost(size, lines int) int64 { return int64(size)*byteCost + int64(lines)*lineCost }

// requestCost returns the cost of a request's parsed headers.
func requestCost(r *http.Request) int64 {
	size, lines := len(r.RequestURI)+len(r.Host), 1
	for name, values := range r.Header {
		lines += len(values)
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return headerBytesCost(size, lines)
}

// headerScanner finds the end of a request's headers in the bytes that a connection
// delivers. The zero value is at the beginning of a request.
type headerScanner struct {
	length  int  // of the line so far, without its line feed
	last    byte // of the line so far
	started bool // the request line is complete
	ended   bool
}

// scan returns the number of lines in b that belong to the headers, and the number of
// line feeds behind their end.
func (s *headerScanner) scan(b []byte) (lines, behind int) {
	for len(b) > 0 {
		if s.ended {
			return lines, bytes.Count(b, []byte{'\n'})
		}
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			s.length += len(b)
			s.last = b[len(b)-1]
			return lines, 0
		}
		if i > 0 {
			s.length += i
			s.last = b[i-1]
		}
		blank := s.length == 0 || s.length == 1 && s.last == '\r'
		s.ended = blank && s.started
		s.started = true
		s.length = 0
		lines++
		b = b[i+1:]
	}
	return lines, 0
}
