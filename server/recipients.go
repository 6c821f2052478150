package server

import (
	"slices"

	"mustardlever.dev/mustardlever/messenger"
)

// recipients lists the process incarnations for which messages were queued.
type recipients []string

func (r *recipients) add(incarnation string) {
	if !slices.Contains(*r, incarnation) {
		*r = append(*r, incarnation)
	}
}

// wake makes the writer goroutines of the sessions send the queued messages.
func (r recipients) wake(h *messenger.Hub) {
	for _, incarnation := range r {
		h.Wake(incarnation)
	}
}

// flush sends the queued messages on the calling goroutine. It may block.
func (r recipients) flush(h *messenger.Hub) {
	for _, incarnation := range r {
		h.Flush(incarnation)
	}
}
