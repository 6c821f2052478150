package limiter

// peers counts the identified links of a listener by the address of the other end. Whoever
// speaks the protocol of links is identified, so one address gets half of them at most. The
// zero value has no limit.
type peers struct {
	limit     int // 0: none
	count     int
	byAddress map[string]int
}

// add admits a link and reports whether there was room for it.
func (p *peers) add(address string) bool {
	if p.limit > 0 && (p.count >= p.limit || p.byAddress[address] >= (p.limit+1)/2) {
		return false
	}
	if p.byAddress == nil {
		p.byAddress = make(map[string]int)
	}
	p.byAddress[address]++
	p.count++
	return true
}

// remove ends a link that was admitted.
func (p *peers) remove(address string) {
	p.count--
	if p.byAddress[address]--; p.byAddress[address] == 0 {
		delete(p.byAddress, address)
	}
}
