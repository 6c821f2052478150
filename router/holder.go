package router

import (
	"context"
	"sync"
	"sync/atomic"
)

// Holder holds the newest Table that a process has seen. It never returns to an
// older version. The zero value holds none. It is safe for concurrent use.
type Holder struct {
	table atomic.Pointer[Table]
	once  sync.Once
	first chan struct{} // closed when the first table is adopted
}

// firstAdopted returns the channel that is closed when the first table is adopted.
func (h *Holder) firstAdopted() chan struct{} {
	h.once.Do(func() { h.first = make(chan struct{}) })
	return h.first
}

// Await returns the newest table. If there is none it waits for the first one
// until ctx is done, and returns nil if none was adopted by then.
func (h *Holder) Await(ctx context.Context) *Table {
	if t := h.Table(); t != nil {
		return t
	}
	select {
	case <-h.firstAdopted():
	case <-ctx.Done():
	}
	return h.Table()
}

// Table returns the newest table, nil if none was adopted yet.
func (h *Holder) Table() *Table { return h.table.Load() }

// Version returns the version of the newest table, 0 if there is none.
func (h *Holder) Version() int64 {
	if t := h.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Adopt replaces the current table by t if t has a higher version, and reports
// whether it did.
func (h *Holder) Adopt(t *Table) bool {
	for {
		current := h.table.Load()
		if current != nil && current.Version >= t.Version {
			return false
		}
		if h.table.CompareAndSwap(current, t) {
			if current == nil {
				close(h.firstAdopted())
			}
			return true
		}
	}
}
