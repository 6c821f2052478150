package server

import (
	"sync"

	"mustardlever.dev/mustardlever/protocol"
)

// call is a forwarded operation that waits for its reply.
type call struct {
	peer  string
	reply chan *protocol.Reply // nil when the peer was lost
}

// calls holds the forwarded operations that wait. The zero value is ready.
type calls struct {
	mu   sync.Mutex
	next uint64
	open map[uint64]call
}

// add registers a call to peer.
func (c *calls) add(peer string) (uint64, chan *protocol.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[uint64]call)
	}
	c.next++
	x := call{peer, make(chan *protocol.Reply, 1)}
	c.open[c.next] = x
	return c.next, x.reply
}

// remove forgets a call that nobody waits for any more.
func (c *calls) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, id)
}

// finish hands a reply to its call.
func (c *calls) finish(m *protocol.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x, ok := c.open[m.ID]; ok {
		x.reply <- m
		delete(c.open, m.ID)
	}
}

// lose ends all calls to a peer.
func (c *calls) lose(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, x := range c.open {
		if x.peer == peer {
			x.reply <- nil
			delete(c.open, id)
		}
	}
}
