package evacuator

import "sync/atomic"

// Holder holds the State of a process. The zero value holds a State that knows nothing.
// It is safe for concurrent use.
type Holder struct{ state atomic.Pointer[State] }

// State returns the current state, nil if nothing is known. Each change gives a new
// pointer, so callers can compare pointers to notice one.
func (h *Holder) State() *State { return h.state.Load() }

// Merge merges r into the current state. It returns the states before and after. changed
// reports whether other processes have to be told.
func (h *Holder) Merge(r Report) (before, after *State, changed bool) {
	for {
		before = h.state.Load()
		after = before.WithReport(r)
		if h.state.CompareAndSwap(before, after) {
			return before, after, after.tells(before)
		}
	}
}
