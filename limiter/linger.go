package limiter

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// lingerTime is how long a refused client may go on sending. A connection that is closed
// with unread data is reset, and many clients that are reset read no answer.
const lingerTime = time.Second

// lingerer closes the connections of refused clients once they have read the refusal, or
// after lingerTime. It discards what they send. The zero value closes them at once.
type lingerer struct {
	limit int64 // connections at a time; more are closed at once
	count atomic.Int64
}

// close closes a connection to which a refusal was written. It does not block.
func (l *lingerer) close(c net.Conn) {
	w, ok := c.(interface{ CloseWrite() error })
	if !ok {
		c.Close()
		return
	}
	if l.count.Add(1) > l.limit {
		l.count.Add(-1)
		c.Close()
		return
	}
	go func() {
		defer l.count.Add(-1)
		defer c.Close()
		if w.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
			return // the connection has ended
		}
		io.Copy(io.Discard, c) // ends with the connection or at the deadline
	}()
}
