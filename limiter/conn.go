package limiter

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// progressTimeout is the longest time between two parts of a body. TCP resends lost
	// data several times within it.
	progressTimeout = 5 * time.Second
	// httpBuffer is the size of net/http's read buffer. It may hold the beginning of the
	// next request.
	httpBuffer = 4 << 10
	// firstPart and lastPart are the sizes in which bodies are buffered: each part is
	// twice as large as the one before, up to lastPart.
	firstPart = 4 << 10
	lastPart  = 32 << 10
)

// refusal is the response to a request that was not read. Nothing of it has run.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// stage is what net/http does with a connection.
type stage int

const (
	stageHeaders  stage = iota // reads headers
	stageHandling              // the handler runs, and may read the body
	stageEnded                 // the handler has returned; the rest of the body is discarded
	stageIdle
)

// ending is how far the end of a connection has come.
type ending int

const (
	endingNone    ending = iota
	endingRefused        // a refusal was written; Close leaves the client time to read it
	endingClosed         // by net/http or the messenger
)

// Conn is an accepted connection whose memory is accounted for. All methods but those
// of net.Conn may be called on nil, which stands for a connection without limits.
type Conn struct {
	net.Conn
	pool   *Pool
	holder Holder
	turn   chan bool // receives the end of a wait for a reservation

	identified atomic.Bool // the peer of a link has identified itself
	admitted   bool        // it counts in pool.peers; guarded by pool.mu

	mu         sync.Mutex
	stage      stage
	scanner    headerScanner
	behind     int       // line feeds that net/http may have buffered behind the headers
	deadline   time.Time // set by net/http for reading
	deadlines  int       // calls of SetReadDeadline since the connection was last idle
	bodyOpen   bool      // the body is not known to have ended
	readingAll bool      // ReadAll runs: nothing of the request has run
	written    bool      // a response was begun
	ending     ending    // nothing is read or written once it has begun
	held       int64     // reserved for handling the request
	heldBase   int64     // part of held for the headers
}

func (c *Conn) signal(granted bool) {
	select {
	case c.turn <- granted:
	default:
	}
}

// await waits for a reservation and reports whether it was granted.
func (c *Conn) await() bool {
	timer := time.NewTimer(grantTimeout)
	defer timer.Stop()
	select {
	case granted := <-c.turn:
		return granted
	case <-timer.C:
	}
	canceled := false
	c.pool.do(func(l *Ledger) { canceled = l.CancelWait(&c.holder) })
	return !canceled && <-c.turn
}

// reserve adds n bytes to an account and reports whether they were granted.
func (c *Conn) reserve(a Account, n int64) bool {
	if c == nil {
		return true
	}
	var v Verdict
	c.pool.do(func(l *Ledger) { v = l.Reserve(time.Now(), &c.holder, a, n) })
	return v == Granted || v == Waits && c.await()
}

func (c *Conn) release(a Account, n int64) {
	if c != nil {
		c.pool.do(func(l *Ledger) { l.Release(&c.holder, a, n) })
	}
}

// evict closes the connection. A client whose request has not run is told so, if the
// socket has room for the response.
func (c *Conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.signal(false)
	if c.ending != endingNone {
		return
	}
	if c.pool.plain || c.written || c.stage != stageHeaders && !c.readingAll {
		c.Conn.Close()
		return
	}
	c.writeRefusal()
	c.Conn.SetReadDeadline(longAgo) // ends a read; an error means that the connection has ended
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// writeRefusal tells the client that nothing of its request has run. The connection ends
// once the client could read that. The caller holds mu.
func (c *Conn) writeRefusal() {
	writeRefusal(c.Conn)
	c.written, c.ending = true, endingRefused
}

// hasBegunToEnd reports whether nothing more is read or written.
func (c *Conn) hasBegunToEnd() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending != endingNone
}

// writeRefusal writes the refusal without blocking.
func writeRefusal(conn net.Conn) {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := s.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Write(int(fd), []byte(refusal)) }) // the connection is closed next; nothing can be done about an error
	}
}

// limitError returns the error of a read that the budget has no room for. net/http
// closes the connection without a response then.
func limitError() error {
	return &net.OpError{Op: "read", Net: "tcp", Err: &Error{Op: "read", Kind: KindLimit}}
}

// Read reads what net/http asks for and accounts for headers.
func (c *Conn) Read(b []byte) (int, error) {
	if c.pool.plain {
		return c.readPlain(b)
	}
	if !c.prepareRead() {
		return 0, c.refuse()
	}
	n, err := c.Conn.Read(b)
	if n > 0 && !c.account(b[:n]) || c.hasBegunToEnd() {
		return 0, c.refuse()
	}
	return n, err
}

// readPlain reads and accounts for the frames of a link until its peer has identified
// itself.
func (c *Conn) readPlain(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || c.identified.Load() {
		return n, err
	}
	c.pool.do(func(l *Ledger) { l.Receive(&c.holder, n) })
	if !c.reserve(Headers, int64(n)*byteCost) && !c.identified.Load() {
		return 0, limitError()
	}
	return n, err
}

// refuse tells the client that its request is refused.
func (c *Conn) refuse() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.written && c.ending == endingNone {
		c.writeRefusal()
	}
	return limitError()
}

// prepareRead limits the time of a read of a body, and accounts for headers that
// net/http has buffered beyond the end of the request before.
func (c *Conn) prepareRead() bool {
	c.mu.Lock()
	if c.ending != endingNone {
		c.mu.Unlock()
		return false
	}
	if c.bodyOpen {
		deadline := time.Now().Add(progressTimeout)
		if !c.deadline.IsZero() && c.deadline.Before(deadline) {
			deadline = c.deadline
		}
		c.Conn.SetReadDeadline(deadline)
	}
	lines := 0
	if c.stage == stageIdle {
		// net/http sets a first deadline for the connection to become readable, and others
		// for the headers. It reads under the first one only if nothing is buffered.
		if c.deadlines > 1 {
			lines = c.behind
			c.stage, c.scanner = stageHeaders, headerScanner{started: true}
		}
		c.behind = 0
	}
	c.mu.Unlock()
	if lines == 0 {
		return true
	}
	c.pool.do(func(l *Ledger) { l.SetPhase(time.Now(), &c.holder, PhaseReading) })
	return c.reserve(Headers, headerBytesCost(httpBuffer, lines))
}

// account reserves the cost of headers among the bytes that were read.
func (c *Conn) account(b []byte) bool {
	c.mu.Lock()
	began := c.stage == stageIdle
	if began {
		c.stage, c.scanner = stageHeaders, headerScanner{}
	}
	if c.stage != stageHeaders || c.scanner.ended {
		c.behind = min(c.behind+bytes.Count(b, []byte{'\n'}), httpBuffer)
		c.mu.Unlock()
		return true
	}
	lines, behind := c.scanner.scan(b)
	c.behind = behind
	c.mu.Unlock()
	c.pool.do(func(l *Ledger) {
		if began {
			l.SetPhase(time.Now(), &c.holder, PhaseReading)
		}
		l.Receive(&c.holder, len(b))
	})
	return c.reserve(Headers, headerBytesCost(len(b), lines))
}

// Write writes a part of a response.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	ended := c.ending != endingNone
	c.written = true
	c.mu.Unlock()
	if ended {
		return 0, limitError()
	}
	return c.Conn.Write(b)
}

// SetReadDeadline sets the deadline for reading. net/http removes it once a body has
// ended, and reads on to learn whether the client leaves.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending != endingNone {
		return nil // reading has ended
	}
	c.deadlines++
	c.deadline = t
	if t.IsZero() {
		c.bodyOpen = false
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite shuts down the writing side. net/http does so before it closes a
// connection with unread data, so that the client receives the response.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Close closes the connection and ends its reservations. A client that was refused may
// read the refusal first.
func (c *Conn) Close() error {
	c.mu.Lock()
	before := c.ending
	c.ending = endingClosed
	c.mu.Unlock()
	var err error
	switch before {
	case endingNone:
		err = c.Conn.Close()
	case endingRefused:
		c.pool.lingerer.close(c.Conn)
	}
	c.pool.do(func(l *Ledger) {
		l.Close(&c.holder)
		if c.admitted {
			c.pool.peers.remove(c.holder.Source)
			c.admitted = false
		}
	})
	c.signal(false) // ends a wait
	return err
}

// Identify ends the reservations of a link whose peer has identified itself. The
// connection is never closed by the limiter from then on. It returns false if the
// connection was evicted before, or if there are too many such links: the caller has to
// close it.
func (c *Conn) Identify() bool {
	ok := false
	c.identified.Store(true)
	c.pool.do(func(l *Ledger) {
		ok = l.SetPhase(time.Now(), &c.holder, PhaseBusy)
		l.Close(&c.holder)
		if ok {
			c.admitted = c.pool.peers.add(c.holder.Source)
			ok = c.admitted
		}
		if !ok {
			l.Refusals++
		}
	})
	c.signal(false)
	return ok
}

// begin records that the handler of a request starts, whose headers cost n bytes.
func (c *Conn) begin(n int64, hasBody bool) bool {
	c.mu.Lock()
	c.stage, c.held = stageHandling, 0
	c.heldBase = n
	c.bodyOpen = hasBody && !c.deadline.IsZero()
	open := c.bodyOpen
	c.mu.Unlock()
	ok, missing := true, int64(0)
	c.pool.do(func(l *Ledger) {
		used := c.holder.used[Headers] + c.holder.used[Reserve]
		missing = n - used
		if missing < 0 {
			l.Release(&c.holder, Headers, -missing)
		}
		if !open {
			ok = l.SetPhase(time.Now(), &c.holder, PhaseBusy)
		}
	})
	return ok && (missing <= 0 || c.reserve(Headers, missing))
}

// end records that the handler has returned. While net/http discards the rest of a
// body, the connection may be evicted; otherwise not before the response is written.
func (c *Conn) end() {
	c.mu.Lock()
	c.stage = stageEnded
	open := c.bodyOpen
	c.mu.Unlock()
	c.pool.do(func(l *Ledger) {
		l.ReleaseRequest(&c.holder)
		if open {
			l.SetPhase(time.Now(), &c.holder, PhaseReading)
		}
	})
}

// idle records that the connection waits for its next request.
func (c *Conn) idle() {
	c.mu.Lock()
	c.stage, c.deadlines, c.bodyOpen, c.written = stageIdle, 0, false, false
	c.mu.Unlock()
	c.pool.do(func(l *Ledger) { l.SetPhase(time.Now(), &c.holder, PhaseIdle) })
}
