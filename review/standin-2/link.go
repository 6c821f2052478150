package main

import (
	"net"
	"sync"
	"time"

	"mustardlever.dev/mustardlever/internal/relayer"
)

const (
	chunkBytes = 64 << 10
	// firstRetransmission is the shortest retransmission timeout of TCP on Linux, 200 ms
	// and a round trip. It doubles with each retransmission.
	firstRetransmission = 206 * time.Millisecond
	// clientRoundTrip is twice the 3 ms between clients and zones.
	clientRoundTrip = 6 * time.Millisecond
	dialTimeout     = time.Second
)

// link is a path to target that can be cut. While it is cut, nothing passes in either
// direction; what was sent meanwhile is delivered afterwards, since TCP sends it again. With
// backoff it is delivered at the first retransmission after the cut, and what follows,
// an end of the connection too, one round trip later.
type link struct {
	target   string
	backoff  bool
	identify bool // the first bytes of a connection name the machine that opened it

	listener net.Listener
	mu       sync.Mutex
	changed  *sync.Cond
	isCut    bool
	cutFrom  string // this machine only is cut off
	conns    map[net.Conn]bool
}

// newLink starts a link to target that listens at ip.
func newLink(ip, target string, backoff, identify bool) (*link, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	l := &link{target: target, backoff: backoff, identify: identify, listener: listener, conns: make(map[net.Conn]bool)}
	l.changed = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) setCut(isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = isCut
	l.changed.Broadcast()
}

// setCutFrom cuts the path for the connections of one machine; the empty name ends that.
func (l *link) setCutFrom(machine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutFrom = machine
	l.changed.Broadcast()
}

// await waits until the path is not cut for the connections of a machine. It reports
// whether it was.
func (l *link) await(machine string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	cut := func() bool { return l.isCut || machine != "" && machine == l.cutFrom }
	waited := cut()
	for cut() {
		l.changed.Wait()
	}
	return waited
}

func (l *link) stop() {
	l.listener.Close()
	l.setCut(false)
	l.setCutFrom("")
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
}

func (l *link) accept() {
	for {
		source, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(source)
	}
}

func (l *link) serve(source net.Conn) {
	var first []byte
	machine := ""
	if l.identify {
		first = make([]byte, chunkBytes)
		n, err := source.Read(first)
		if err != nil {
			source.Close()
			return
		}
		first = first[:n]
		machine = relayer.PeerName(first)
	}
	l.await(machine)
	target, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		source.Close()
		return
	}
	if _, err := target.Write(first); err != nil {
		source.Close()
		target.Close()
		return
	}
	l.mu.Lock()
	l.conns[source], l.conns[target] = true, true
	l.mu.Unlock()
	go l.forward(target, source, machine)
	l.forward(source, target, machine)
}

// chunk holds bytes that were sent at a time; no bytes stand for the end of the
// connection.
type chunk struct {
	bytes  []byte
	sentAt time.Time
}

// forward forwards one direction until the source ends it, and then ends it too.
func (l *link) forward(source, target net.Conn, machine string) {
	chunks := make(chan chunk, 4096)
	go func() {
		defer close(chunks)
		for {
			b := make([]byte, chunkBytes)
			n, err := source.Read(b)
			if n > 0 {
				chunks <- chunk{b[:n], time.Now()}
			}
			if err != nil {
				chunks <- chunk{nil, time.Now()}
				return
			}
		}
	}()
	heldBefore := false
	for c := range chunks {
		held := l.await(machine)
		switch {
		case held && l.backoff:
			time.Sleep(time.Until(nextRetransmission(c.sentAt)))
		case heldBefore && l.backoff:
			time.Sleep(clientRoundTrip)
		}
		heldBefore = held
		if c.bytes == nil {
			if t, ok := target.(*net.TCPConn); ok {
				t.CloseWrite()
			}
			return
		}
		if _, err := target.Write(c.bytes); err != nil {
			source.Close()
			return
		}
	}
}

// nextRetransmission returns when TCP next sends what was first sent at the given time.
func nextRetransmission(sentAt time.Time) time.Time {
	at, timeout := sentAt.Add(firstRetransmission), firstRetransmission
	for now := time.Now(); at.Before(now); {
		timeout *= 2
		at = at.Add(timeout)
	}
	return at
}
