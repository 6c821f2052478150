// Package relayer provides a TCP relay that forwards connections to a target address
// and injects network faults into them: refused and reset connections, delays, and
// bytes that are dropped or stall in one direction or both.
package relayer

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	chunkBytes      = 64 << 10
	maxQueuedChunks = 256 // per direction of a connection; a full queue blocks the sender, as a full TCP window does
	dialTimeout     = time.Second
)

var addressCount atomic.Int64 // addresses returned by NewAddress

// NewAddress returns a new loopback address, host:port. Each has an IP address of its
// own, which depends on the process ID, so that other processes and outgoing
// connections do not use it.
func NewAddress() string {
	n := addressCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:7000", 1+os.Getpid()%250, 1+n/250, 1+n%250)
}

// Faults are the network faults of the connections of a peer. In is the direction to
// the target, Out the direction from it. The zero value is a network without faults.
type Faults struct {
	Refuse   bool // new connections are closed at once; SetFaults resets those that are open
	DropIn   bool // bytes are dropped; so are all later bytes of the same connection
	DropOut  bool
	StallIn  bool // bytes are held back until the fault ends
	StallOut bool
	Delay    time.Duration // of bytes, in each direction
	Rate     int           // bytes per second of each connection and direction; 0: unlimited
}

// PeerName returns the name of the process that opened a connection to an entry. It
// takes the name from the hello message, which is in the first bytes that the process
// sends.
func PeerName(firstBytes []byte) string {
	_, rest, _ := strings.Cut(string(firstBytes), `"name":"`)
	name, _, _ := strings.Cut(rest, `"`)
	return name
}

// Relay forwards connections to Target. Set Target and, to inject faults for single
// peers, IdentifyPeer; then call Start.
type Relay struct {
	Target       string
	IdentifyPeer func(firstBytes []byte) string // returns the peer of a connection from the first bytes it sends; if nil, every peer is ""

	listener     net.Listener
	mu           sync.Mutex
	stateChanged *sync.Cond        // signals changed faults and closed connections
	faults       map[string]Faults // by peer
	conns        map[*conn]bool
}

// conn is a forwarded connection: source is the accepted connection, target the one
// to the target. The relay's mu guards the flags.
type conn struct {
	peer                  string
	source, target        net.Conn
	droppedIn, droppedOut bool // bytes were dropped in this direction; all later ones are dropped too
	closed                bool
}

// Start listens on a loopback address.
func (r *Relay) Start() error {
	l, err := net.Listen("tcp", NewAddress())
	if err != nil {
		return err
	}
	r.listener, r.stateChanged = l, sync.NewCond(&r.mu)
	r.faults, r.conns = make(map[string]Faults), make(map[*conn]bool)
	go r.accept()
	return nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetFaults replaces the faults of the given peers. Without peers it replaces those
// of the peer "", which is every peer of a relay without IdentifyPeer.
func (r *Relay) SetFaults(f Faults, peers ...string) {
	if len(peers) == 0 {
		peers = []string{""}
	}
	r.mu.Lock()
	for _, p := range peers {
		r.faults[p] = f
	}
	r.stateChanged.Broadcast()
	r.mu.Unlock()
	if f.Refuse {
		r.Reset(peers...)
	}
}

// ClearFaults ends the faults of all peers.
func (r *Relay) ClearFaults() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.faults)
	r.stateChanged.Broadcast()
}

// Reset resets the open connections of the given peers, or all if no peer is given.
func (r *Relay) Reset(peers ...string) {
	selected := make(map[string]bool)
	for _, p := range peers {
		selected[p] = true
	}
	r.mu.Lock()
	var conns []*conn
	for c := range r.conns {
		if len(peers) == 0 || selected[c.peer] {
			conns = append(conns, c)
		}
	}
	r.mu.Unlock()
	for _, c := range conns {
		r.closeConn(c)
	}
}

// Stop closes the listener and resets the open connections.
func (r *Relay) Stop() {
	r.listener.Close()
	r.Reset()
}

// accept accepts connections until the listener is closed.
func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

// serve identifies the peer of an accepted connection, connects to the target and
// forwards both directions.
func (r *Relay) serve(source net.Conn) {
	var firstBytes []byte
	c := &conn{source: source}
	if r.IdentifyPeer != nil {
		firstBytes = make([]byte, chunkBytes)
		n, err := source.Read(firstBytes)
		if err != nil {
			source.Close()
			return
		}
		firstBytes = firstBytes[:n]
		c.peer = r.IdentifyPeer(firstBytes)
	}
	r.mu.Lock()
	refused := r.faults[c.peer].Refuse
	r.mu.Unlock()
	target, err := net.DialTimeout("tcp", r.Target, dialTimeout)
	if err != nil || refused {
		source.Close()
		if target != nil {
			target.Close()
		}
		return
	}
	c.target = target
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	go r.forward(c, target, source, nil, false)
	r.forward(c, source, target, firstBytes, true)
}

// closeConn closes both sides of a connection with a TCP reset.
func (r *Relay) closeConn(c *conn) {
	r.mu.Lock()
	c.closed = true
	delete(r.conns, c)
	r.stateChanged.Broadcast()
	r.mu.Unlock()
	for _, x := range []net.Conn{c.source, c.target} {
		if t, ok := x.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		x.Close()
	}
}

// chunk holds bytes that are not delivered before deliverAt.
type chunk struct {
	bytes     []byte
	deliverAt time.Time
}

// forward forwards one direction of a connection until either side is closed, then
// closes both. firstBytes have been read already. toTarget is true for the direction
// to the target.
func (r *Relay) forward(c *conn, src, dst net.Conn, firstBytes []byte, toTarget bool) {
	chunks := make(chan chunk, maxQueuedChunks)
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		defer r.closeConn(c)
		for x := range chunks {
			time.Sleep(max(time.Until(x.deliverAt), 0) + r.transferTime(c, len(x.bytes)))
			if !r.awaitDelivery(c, toTarget) {
				continue
			}
			if _, err := dst.Write(x.bytes); err != nil {
				return
			}
		}
	}()
	defer close(chunks)
	enqueue := func(b []byte) {
		r.mu.Lock()
		delay := r.faults[c.peer].Delay
		r.mu.Unlock()
		select {
		case chunks <- chunk{append([]byte(nil), b...), time.Now().Add(delay)}:
		case <-writerDone:
		}
	}
	if len(firstBytes) > 0 {
		enqueue(firstBytes)
	}
	b := make([]byte, chunkBytes)
	for {
		n, err := src.Read(b)
		if n > 0 {
			enqueue(b[:n])
		}
		if err != nil {
			return
		}
	}
}

// transferTime returns how long n bytes take on a connection.
func (r *Relay) transferTime(c *conn, n int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.faults[c.peer].Rate
	if rate <= 0 {
		return 0
	}
	return time.Duration(n) * time.Second / time.Duration(rate)
}

// awaitDelivery waits while a direction stalls and reports whether the bytes are to
// be delivered. They are not if they are dropped or the connection is closed.
func (r *Relay) awaitDelivery(c *conn, toTarget bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !c.closed {
		f := r.faults[c.peer]
		stall, drop, dropped := f.StallOut, f.DropOut, &c.droppedOut
		if toTarget {
			stall, drop, dropped = f.StallIn, f.DropIn, &c.droppedIn
		}
		*dropped = *dropped || drop
		if *dropped {
			return false
		}
		if !stall {
			return true
		}
		r.stateChanged.Wait()
	}
	return false
}
