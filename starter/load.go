package starter

import (
	"slices"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

// load returns the room to tell an entry, and notes that it was told.
func (s *Starter) load(entry string) dispatcher.Load {
	free := s.free()
	s.told[entry] = free
	return dispatcher.Load{Free: free, Received: s.received[entry]}
}

// SetUnresponsive says whether the backend server is silent. Meanwhile
// nothing new is started there: if it has crashed, whatever came would be lost.
func (s *Starter) SetUnresponsive(held bool) {
	if s.held == held {
		return
	}
	s.held = held
	s.admit()
	for range s.turns {
		s.SendLoad()
	}
}

// free is the room to tell.
func (s *Starter) free() sizer.Resources {
	f := s.Capacity.Sub(s.room.taken())
	if s.held {
		f.CPU = min(f.CPU, 0)
	}
	return f
}

// SendLoad tells the room to one entry that heard of another last, the next in
// turn. It is to be called at intervals, which bounds the messages. Entries that
// heard of the same room at the same moment would all send a task for it, and
// all but one would be refused.
func (s *Starter) SendLoad() {
	if s.leaving {
		return
	}
	free := s.free()
	for i, e := range s.turns {
		if s.told[e] != free && !s.awaiting[e] {
			s.turns = append(slices.Delete(s.turns, i, i+1), e)
			l := s.load(e)
			s.send(e, protocol.Message{Load: &l})
			return
		}
	}
}
