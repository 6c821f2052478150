// Package conninspector asks the kernel about the connection of an HTTP request: whether
// the client has closed it, and when it last received data. A server that was paused or
// slow learns of both late: it reads a request long after it arrived, and its context ends
// only when a goroutine beside the handler has read the end of the connection.
package conninspector

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connKey is the context key of the connection of a request.
type connKey struct{}

// inspected is the connection of a request.
type inspected struct {
	net.Conn
	lastRequest atomic.Int64 // Unix ns; before the first request: the begin of the connection
}

// WithConn returns a context that carries the connection, which begins now. It is meant for
// http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	i := &inspected{Conn: c}
	i.lastRequest.Store(time.Now().UnixNano())
	return context.WithValue(ctx, connKey{}, i)
}

// LastRequest records a request on the connection that ctx carries. It returns the time of
// the request before, or that of the begin of the connection, or zero if ctx carries none.
func LastRequest(ctx context.Context) time.Time {
	i, ok := ctx.Value(connKey{}).(*inspected)
	if !ok {
		return time.Time{}
	}
	return time.Unix(0, i.lastRequest.Swap(time.Now().UnixNano()))
}

// HungUp reports whether the peer has closed or reset the connection that ctx carries,
// also if sent data have not been read yet. It reports false if that cannot be found out.
func HungUp(ctx context.Context) bool {
	hungUp := false
	inspect(ctx, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		hungUp = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return hungUp
}

// SinceData returns the time since the connection that ctx carries last received data,
// to the millisecond, or 0 if that cannot be found out.
func SinceData(ctx context.Context) time.Duration {
	var since time.Duration
	inspect(ctx, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}

// inspect calls f with the descriptor of the connection that ctx carries, if it is an
// open socket.
func inspect(ctx context.Context, f func(fd int)) {
	i, ok := ctx.Value(connKey{}).(*inspected)
	if !ok {
		return
	}
	c, ok := i.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) { f(int(fd)) }) // fails if the connection is closed
}
