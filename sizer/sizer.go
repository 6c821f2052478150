// Package sizer describes the resources that a task needs and a backend server has:
// CPU, memory and GPUs.
package sizer

// slotMillicores is the CPU of one slot, in thousandths of a core. A backend server
// whose capacity is given in slots has this much CPU for each.
const slotMillicores = 1000

// Resources is an amount of each resource. The zero value has none of any.
type Resources struct {
	CPU    int `json:"cpu,omitempty"`       // thousandths of a core
	Memory int `json:"memory-mb,omitempty"` // MiB
	GPU    int `json:"gpu,omitempty"`       // number of GPUs
}

// Slots returns the resources of n slots.
func Slots(n int) Resources { return Resources{CPU: n * slotMillicores} }

// Add returns the sum of s and t.
func (s Resources) Add(t Resources) Resources {
	return Resources{s.CPU + t.CPU, s.Memory + t.Memory, s.GPU + t.GPU}
}

// Sub returns s minus t. Amounts of the difference may be negative.
func (s Resources) Sub(t Resources) Resources {
	return Resources{s.CPU - t.CPU, s.Memory - t.Memory, s.GPU - t.GPU}
}

// Max returns the larger amount of each resource.
func (s Resources) Max(t Resources) Resources {
	return Resources{max(s.CPU, t.CPU), max(s.Memory, t.Memory), max(s.GPU, t.GPU)}
}

// Covers reports whether s has enough of each resource that t needs. Amounts of s
// that t does not need may be negative.
func (s Resources) Covers(t Resources) bool {
	return (t.CPU <= s.CPU || t.CPU == 0) && (t.Memory <= s.Memory || t.Memory == 0) && (t.GPU <= s.GPU || t.GPU == 0)
}

// DominantShare returns the largest of the shares that s takes of each resource of
// capacity: 0 for none, 1 for all. A resource without capacity counts as 0.
func (s Resources) DominantShare(capacity Resources) float64 {
	return max(share(s.CPU, capacity.CPU), share(s.Memory, capacity.Memory), share(s.GPU, capacity.GPU))
}

func share(used, capacity int) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}
