package router

import (
	"context"
	"sync"
	"sync/atomic"
)

// Holder holds the newest Table that a process has seen. It never goes back.
// The zero value holds none. It is safe for concurrent use.
type Holder struct {
	table atomic.Pointer[Table]
	once  sync.Once
	first chan struct{} // closed when the first table was adopted
}

// adopted returns the channel that is closed when the first table was adopted.
func (h *Holder) adopted() chan struct{} {
	h.once.Do(func() { h.first = make(chan struct{}) })
	return h.first
}

// Await returns the newest table, waiting for the first one until ctx ends; nil
// when none has come.
func (h *Holder) Await(ctx context.Context) *Table {
	if t := h.Table(); t != nil {
		return t
	}
	select {
	case <-h.adopted():
	case <-ctx.Done():
	}
	return h.Table()
}

// Table returns the newest table, nil when none was adopted yet.
func (h *Holder) Table() *Table { return h.table.Load() }

// Version returns the newest table's version, 0 when there is none.
func (h *Holder) Version() int64 {
	if t := h.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Adopt takes t if it is newer than the one held, and reports whether it did.
func (h *Holder) Adopt(t *Table) bool {
	for {
		held := h.table.Load()
		if held != nil && held.Version >= t.Version {
			return false
		}
		if h.table.CompareAndSwap(held, t) {
			if held == nil {
				close(h.adopted())
			}
			return true
		}
	}
}
