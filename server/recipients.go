package server

import (
	"slices"

	"mustardlever.dev/mustardlever/messenger"
)

// recipients lists the incarnations to which a decision queued messages.
type recipients []string

func (r *recipients) add(incarnation string) {
	if !slices.Contains(*r, incarnation) {
		*r = append(*r, incarnation)
	}
}

// wake has the sessions' writers write.
func (r recipients) wake(h *messenger.Hub) {
	for _, x := range r {
		h.Wake(x)
	}
}

// flush writes on the calling goroutine, which may block.
func (r recipients) flush(h *messenger.Hub) {
	for _, x := range r {
		h.Flush(x)
	}
}
