// Package relayer passes TCP connections on to another address and injects
// faults of a network into them: refused and reset connections, delays, and
// bytes that stall or are lost in one direction or both.
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
	chunkBytes  = 64 << 10
	chunkQueue  = 256 // chunks on their way in one direction; more hold the sender up, as a full window does
	dialTimeout = time.Second
)

var addresses atomic.Int64 // given out so far

// Address returns a loopback address that no other process and no outgoing
// connection uses: each has an IP number of its own.
func Address() string {
	n := addresses.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:7000", 1+os.Getpid()%250, 1+n/250, 1+n%250)
}

// Faults are what happens to the connections of a peer. In is towards the
// target, Out back from it. The zero value is a sound network.
type Faults struct {
	Refuse   bool // connections end at once, also those that are open
	LoseIn   bool // bytes are lost, and later ones of the same connection too
	LoseOut  bool
	StallIn  bool // bytes wait until the fault is over
	StallOut bool
	Delay    time.Duration // of bytes in both directions
}

// PeerName finds the name of the process that dialed in the first bytes of a
// connection between processes, which hold its hello.
func PeerName(first []byte) string {
	_, rest, _ := strings.Cut(string(first), `"name":"`)
	name, _, _ := strings.Cut(rest, `"`)
	return name
}

// Relay passes connections on. Set Target and, to tell peers apart, Name; then
// call Start.
type Relay struct {
	Target string
	Name   func(first []byte) string // peer of a connection by the first bytes it sends; nil: all are ""

	listener net.Listener
	mu       sync.Mutex
	changed  *sync.Cond // of faults, and when connections end
	faults   map[string]Faults
	conns    map[*conn]bool
}

// conn is a connection that is passed on. The relay's mu guards the flags.
type conn struct {
	peer            string
	near, far       net.Conn
	lostIn, lostOut bool // a byte was lost: what follows is lost too
	ended           bool
}

// Start listens on a loopback address.
func (r *Relay) Start() error {
	l, err := net.Listen("tcp", Address())
	if err != nil {
		return err
	}
	r.listener, r.changed = l, sync.NewCond(&r.mu)
	r.faults, r.conns = make(map[string]Faults), make(map[*conn]bool)
	go r.accept()
	return nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set has faults happen to the peers named, to all of a relay without Name when
// none is.
func (r *Relay) Set(f Faults, peers ...string) {
	if len(peers) == 0 {
		peers = []string{""}
	}
	r.mu.Lock()
	for _, p := range peers {
		r.faults[p] = f
	}
	r.changed.Broadcast()
	r.mu.Unlock()
	if f.Refuse {
		r.Reset(peers...)
	}
}

// Mend ends all faults.
func (r *Relay) Mend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.faults)
	r.changed.Broadcast()
}

// Reset ends the open connections of the peers named, of all when none is.
func (r *Relay) Reset(peers ...string) {
	named := make(map[string]bool)
	for _, p := range peers {
		named[p] = true
	}
	r.mu.Lock()
	var ends []*conn
	for c := range r.conns {
		if len(peers) == 0 || named[c.peer] {
			ends = append(ends, c)
		}
	}
	r.mu.Unlock()
	for _, c := range ends {
		r.end(c)
	}
}

// Stop ends the relay and its connections.
func (r *Relay) Stop() {
	r.listener.Close()
	r.Reset()
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *Relay) serve(near net.Conn) {
	var first []byte
	c := &conn{near: near}
	if r.Name != nil {
		first = make([]byte, chunkBytes)
		n, err := near.Read(first)
		if err != nil {
			near.Close()
			return
		}
		first = first[:n]
		c.peer = r.Name(first)
	}
	r.mu.Lock()
	refused := r.faults[c.peer].Refuse
	r.mu.Unlock()
	far, err := net.DialTimeout("tcp", r.Target, dialTimeout)
	if err != nil || refused {
		near.Close()
		if far != nil {
			far.Close()
		}
		return
	}
	c.far = far
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	go r.pass(c, far, near, nil, false)
	r.pass(c, near, far, first, true)
}

// end closes a connection with a reset.
func (r *Relay) end(c *conn) {
	r.mu.Lock()
	c.ended = true
	delete(r.conns, c)
	r.changed.Broadcast()
	r.mu.Unlock()
	for _, x := range []net.Conn{c.near, c.far} {
		if t, ok := x.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		x.Close()
	}
}

// chunk is bytes that are due at a time.
type chunk struct {
	bytes []byte
	due   time.Time
}

// pass copies one direction until either side ends.
func (r *Relay) pass(c *conn, from, to net.Conn, first []byte, in bool) {
	chunks := make(chan chunk, chunkQueue)
	quit := make(chan struct{})
	go func() {
		defer close(quit)
		defer r.end(c)
		for x := range chunks {
			time.Sleep(time.Until(x.due))
			if !r.may(c, in) {
				continue
			}
			if _, err := to.Write(x.bytes); err != nil {
				return
			}
		}
	}()
	defer close(chunks)
	send := func(b []byte) {
		r.mu.Lock()
		delay := r.faults[c.peer].Delay
		r.mu.Unlock()
		select {
		case chunks <- chunk{append([]byte(nil), b...), time.Now().Add(delay)}:
		case <-quit:
		}
	}
	if len(first) > 0 {
		send(first)
	}
	b := make([]byte, chunkBytes)
	for {
		n, err := from.Read(b)
		if n > 0 {
			send(b[:n])
		}
		if err != nil {
			return
		}
	}
}

// may waits while a direction stalls, and tells whether its bytes arrive.
func (r *Relay) may(c *conn, in bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !c.ended {
		f := r.faults[c.peer]
		stall, lose, lost := f.StallOut, f.LoseOut, &c.lostOut
		if in {
			stall, lose, lost = f.StallIn, f.LoseIn, &c.lostIn
		}
		*lost = *lost || lose
		if *lost {
			return false
		}
		if !stall {
			return true
		}
		r.changed.Wait()
	}
	return false
}
