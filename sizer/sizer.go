// Package sizer describes what a task needs of a backend server and what a
// backend server has: processor, memory and accelerators.
package sizer

// slotCPU is the processor share of one slot, in thousandths of a core: a
// backend server that counts slots has that much for each.
const slotCPU = 1000

// Resources is an amount of each resource. The zero value is nothing.
type Resources struct {
	CPU    int `json:"cpu,omitempty"`       // thousandths of a core
	Memory int `json:"memory-mb,omitempty"` // MiB
	GPU    int `json:"gpu,omitempty"`       // accelerators
}

// Slots returns the size of n slots.
func Slots(n int) Resources { return Resources{CPU: n * slotCPU} }

// Add returns s and t together.
func (s Resources) Add(t Resources) Resources {
	return Resources{s.CPU + t.CPU, s.Memory + t.Memory, s.GPU + t.GPU}
}

// Sub returns what is left of s without t. Amounts may be negative.
func (s Resources) Sub(t Resources) Resources {
	return Resources{s.CPU - t.CPU, s.Memory - t.Memory, s.GPU - t.GPU}
}

// Max returns the larger amount of each resource.
func (s Resources) Max(t Resources) Resources {
	return Resources{max(s.CPU, t.CPU), max(s.Memory, t.Memory), max(s.GPU, t.GPU)}
}

// Covers reports whether t fits into s. A resource that t does not need may be
// overdrawn in s.
func (s Resources) Covers(t Resources) bool {
	return (t.CPU <= s.CPU || t.CPU == 0) && (t.Memory <= s.Memory || t.Memory == 0) && (t.GPU <= s.GPU || t.GPU == 0)
}

// DominantShare returns the part of capacity c that s takes, by the resource that is
// used most: 0 for nothing, 1 for all.
func (s Resources) DominantShare(c Resources) float64 {
	return max(part(s.CPU, c.CPU), part(s.Memory, c.Memory), part(s.GPU, c.GPU))
}

func part(n, of int) float64 {
	if of <= 0 {
		return 0
	}
	return float64(n) / float64(of)
}
