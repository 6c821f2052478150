package limiter

import (
	"bytes"
	"errors"
	"io"
	"net"
	"time"
)

// ReadAll reads a body in parts, each of which is accounted for before it is read. The
// size is that announced, or -1. It fails with KindLimit or KindProgress, or with the
// error of the body.
func (c *Conn) ReadAll(body io.Reader, size int64) ([]byte, error) {
	c.setReadingAll(true)
	defer c.setReadingAll(false)
	var parts [][]byte
	total, part := 0, firstPart
	if size >= 0 {
		part = int(min(size+1, firstPart)) // the byte more lets the read find the end
	}
	for ended := false; !ended; part = min(2*part, lastPart) {
		if !c.reserve(Bodies, int64(part)) {
			return nil, &Error{Op: "read body", Kind: KindLimit}
		}
		b := make([]byte, part)
		n, err := readPart(body, b)
		total += n
		parts = append(parts, b[:n])
		if c != nil {
			c.pool.do(func(l *Ledger) { l.Receive(&c.holder, n) })
		}
		var timeout net.Error
		switch {
		case err == io.EOF:
			ended = true
		case errors.As(err, &timeout) && timeout.Timeout():
			return nil, &Error{Op: "read body", Kind: KindProgress, Err: err}
		case err != nil:
			return nil, err
		}
	}
	if len(parts) == 1 {
		return parts[0], nil
	}
	if !c.reserve(Bodies, int64(total)) {
		return nil, &Error{Op: "read body", Kind: KindLimit}
	}
	whole := bytes.Join(parts, nil)
	buffered := int64(0)
	for _, b := range parts {
		buffered += int64(cap(b))
	}
	c.release(Bodies, buffered)
	return whole, nil
}

func (c *Conn) setReadingAll(reading bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	c.readingAll = reading
	c.mu.Unlock()
}

// readPart fills b, or reads up to the end of the body, which io.EOF reports. Unlike
// io.ReadFull it keeps the error of a body that stops short of its announced size.
func readPart(body io.Reader, b []byte) (int, error) {
	n := 0
	for n < len(b) {
		m, err := body.Read(b[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// Commit records that a request was read completely and may be started, with a body of
// n bytes. Until its handler returns, the connection is not evicted. If Commit returns
// false, the request must be refused.
func (c *Conn) Commit(n int64) bool {
	if c == nil {
		return true
	}
	ok := false
	c.pool.do(func(l *Ledger) { ok = l.SetPhase(time.Now(), &c.holder, PhaseBusy) })
	if !ok || !c.Hold(n) {
		return false
	}
	c.pool.do(func(l *Ledger) { l.Settle(&c.holder) })
	return true
}

// HoldAnswer is Hold for a request with a body of the given size whose answer of n bytes
// is about to be encoded. An answer that alone fills the account counts as half of it, so
// that answers of any size are sent.
func (c *Conn) HoldAnswer(body, n int64) bool {
	if c == nil {
		return true
	}
	return c.Hold(body + min(n, c.pool.limit(Jobs)/2))
}

// Hold sets the cost of the request, beside its headers, while it is handled. If it
// returns false, the request must be refused.
func (c *Conn) Hold(n int64) bool {
	if c == nil {
		return true
	}
	n += c.heldBase
	change := n - c.held
	if change > 0 && !c.reserve(Jobs, change) {
		return false
	}
	if change < 0 {
		c.release(Jobs, -change)
	}
	c.held = n
	return true
}
