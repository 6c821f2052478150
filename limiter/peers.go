package limiter

// peers counts the identified links of a listener by their sources. Whoever
// speaks the protocol of links is identified, so one source gets half of them at most. The
// zero value has no limit.
type peers struct {
	limit    int // 0: none
	count    int
	bySource map[string]int
}

// add admits a link and reports whether there was room for it.
func (p *peers) add(source string) bool {
	if p.limit > 0 && (p.count >= p.limit || p.bySource[source] >= (p.limit+1)/2) {
		return false
	}
	if p.bySource == nil {
		p.bySource = make(map[string]int)
	}
	p.bySource[source]++
	p.count++
	return true
}

// remove ends a link that was admitted.
func (p *peers) remove(source string) {
	p.count--
	if p.bySource[source]--; p.bySource[source] == 0 {
		delete(p.bySource, source)
	}
}
