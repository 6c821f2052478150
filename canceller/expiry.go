package canceller

import "slices"

// expiryHeap is a heap of tombstones, the one that expires first at its top.
type expiryHeap []*tombstone

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *expiryHeap) Push(x any) {
	t := x.(*tombstone)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}

// sorted returns the tombstones in the order in which they expire.
func (h expiryHeap) sorted() []*tombstone {
	list := slices.Clone(h)
	slices.SortFunc(list, func(a, b *tombstone) int { return a.expiresAt.Compare(b.expiresAt) })
	return list
}
