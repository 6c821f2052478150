package router

import "sync/atomic"

// Holder holds the newest Table that a process has seen. It never goes back.
// The zero value holds none. It is safe for concurrent use.
type Holder struct {
	table atomic.Pointer[Table]
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
			return true
		}
	}
}
