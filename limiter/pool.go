package limiter

import (
	"net"
	"sync"
	"time"
)

const (
	// grantTimeout limits the wait for evicted connections to end. Their goroutines are
	// woken by the eviction and only have to run.
	grantTimeout = time.Second
	// openRetry and openTimeout apply to a new link while no other may be evicted: it waits
	// instead of being refused, since it may be that of an agent.
	openRetry   = 10 * time.Millisecond
	openTimeout = 2 * time.Second
)

// Pool applies a Ledger to the connections of one listener.
type Pool struct {
	Name string

	mu      sync.Mutex
	ledger  *Ledger
	cost    int64 // of a connection
	patient bool  // new connections wait rather than be refused, unless their source hoards
	plain   bool  // connections do not carry HTTP requests

	lingerer      lingerer
	peers         peers         // links whose peers have identified themselves
	answerTimeout time.Duration // of HTTP responses; 0: none
}

// do calls f with the ledger and carries out its decisions.
func (p *Pool) do(f func(l *Ledger)) {
	p.mu.Lock()
	f(p.ledger)
	evicted, granted := p.ledger.TakeEvicted(), p.ledger.TakeGranted()
	p.mu.Unlock()
	for _, h := range evicted {
		h.Evict()
	}
	for _, h := range granted {
		h.Grant()
	}
}

// maxConnections returns the number of connections without requests that the pool
// admits.
func (p *Pool) maxConnections() int {
	return min(p.ledger.MaxConnections, int(p.limit(Connections)/p.cost))
}

// limit returns the limit of an account in bytes.
func (p *Pool) limit(a Account) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.limit(a)
}

// Usage is the state of a Pool.
type Usage struct {
	Connections int
	Accounts    map[Account]int64 // reserved bytes
	Bytes       int64             // sum of all accounts
	Evicted     int64             // connections closed so far
	Refused     int64             // reservations refused so far
	Peers       int               // links whose peers have identified themselves
}

// Usage returns the state of the pool.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := Usage{Connections: p.ledger.Count(), Accounts: make(map[Account]int64), Evicted: p.ledger.Evicted, Refused: p.ledger.Refusals, Peers: p.peers.count}
	for a := range accounts {
		u.Accounts[a] = p.ledger.Used(a)
		u.Bytes += p.ledger.Used(a)
	}
	return u
}

// open admits a connection, or returns nil.
func (p *Pool) open(raw net.Conn) *Conn {
	for began := time.Now(); ; time.Sleep(openRetry) {
		c := &Conn{Conn: raw, pool: p, turn: make(chan bool, 1)}
		c.holder.Source = sourceOf(raw)
		c.holder.Evict, c.holder.Grant = c.evict, func() { c.signal(true) }
		var v Verdict
		p.do(func(l *Ledger) { v = l.Open(time.Now(), &c.holder, p.cost) })
		if v == Granted || v == Waits && c.await() {
			return c
		}
		p.do(func(l *Ledger) { l.Close(&c.holder) })
		if !p.patient || v == Hoarded || time.Since(began) > openTimeout {
			return nil
		}
	}
}

// Listener returns a listener whose connections are bounded by the pool.
func (p *Pool) Listener(l net.Listener) net.Listener { return &listener{Listener: l, pool: p} }

type listener struct {
	net.Listener
	pool *Pool
}

// Accept returns the next connection that the pool admits.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.pool.open(raw); c != nil {
			return c, nil
		}
		if !l.pool.plain {
			writeRefusal(raw)
		}
		l.pool.lingerer.close(raw)
	}
}
