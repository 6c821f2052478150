package server

import (
	"sync"

	"mustardlever.dev/mustardlever/protocol"
)

// pendingCall is a forwarded operation that has no reply yet.
type pendingCall struct {
	peer  string
	reply chan *protocol.Reply // receives nil if the peer is lost
}

// pendingCalls holds the forwarded operations that have no reply yet. The zero
// value is ready to use.
type pendingCalls struct {
	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]pendingCall
}

// add registers a call to peer. It returns the ID of the call and the channel that
// receives its reply.
func (c *pendingCalls) add(peer string) (uint64, chan *protocol.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.pending = make(map[uint64]pendingCall)
	}
	c.lastID++
	call := pendingCall{peer, make(chan *protocol.Reply, 1)}
	c.pending[c.lastID] = call
	return c.lastID, call.reply
}

// remove deletes a call whose reply is no longer needed.
func (c *pendingCalls) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// finish delivers a reply to its call.
func (c *pendingCalls) finish(reply *protocol.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call, ok := c.pending[reply.ID]; ok {
		call.reply <- reply
		delete(c.pending, reply.ID)
	}
}

// cancelPeer ends all calls to a lost peer with a nil reply.
func (c *pendingCalls) cancelPeer(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, call := range c.pending {
		if call.peer == peer {
			call.reply <- nil
			delete(c.pending, id)
		}
	}
}
