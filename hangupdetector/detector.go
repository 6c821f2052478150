// Package hangupdetector detects that the client of an HTTP request has closed its
// connection. The context of the request shows that too, but late: a server notices the
// end of a connection only while it reads, in a goroutine beside the handler.
package hangupdetector

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the context key of the connection of a request.
type connKey struct{}

// WithConn returns a context that carries the connection. It is meant for
// http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// HungUp reports whether the peer has closed or reset the connection that ctx carries,
// also if sent data have not been read yet. It reports false if that cannot be found out.
func HungUp(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	hungUp := false
	raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		hungUp = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return hungUp
}
