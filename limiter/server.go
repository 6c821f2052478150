package limiter

import (
	"net"
	"net/http"
	"time"
)

// answerTimeout is the longest time in which a client must receive an answer that is
// ready at once, as those of operators. They may be large, and a client that does not
// read would keep them in memory. Callers' answers are small and may take long.
const answerTimeout = 30 * time.Second

// Serve listens on a TCP address and serves s in the background, within the limits of
// the pool. It returns the address that it listens on.
func (p *Pool) Serve(s *http.Server, address string) (net.Addr, error) {
	l, err := Listen(address)
	if err != nil {
		return nil, err
	}
	Guard(s)
	if s.WriteTimeout == 0 {
		s.WriteTimeout = p.answerTimeout
	}
	go s.Serve(p.Listener(l))
	return l.Addr(), nil
}

// ListenPlain listens on a TCP address for connections that do not carry HTTP. Their
// receive buffers keep the default size of the system, since they carry much once their
// peers have identified themselves.
func (p *Pool) ListenPlain(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return p.Listener(l), nil
}
