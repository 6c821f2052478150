package limiter

import (
	"context"
	"net"
	"net/http"
	"time"
)

type connKey struct{}

// FromContext returns the connection of a request, or nil if it has no limits.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Guard makes an HTTP server account for the requests of connections from a Pool. It
// must be called before the server serves.
func Guard(s *http.Server) {
	connContext, next := s.ConnContext, s.Handler
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if limited, ok := c.(*Conn); ok && state == http.StateIdle {
			limited.idle()
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		defer c.end()
		if !c.begin(requestCost(r), r.Body != nil && r.Body != http.NoBody) {
			Refuse(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// RetryAfter is the delay after which a refused client should send its request again.
// Evicted connections are closed within it.
const RetryAfter = time.Second

// Refuse responds that nothing of a request has run and when to send it again.
func Refuse(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}
