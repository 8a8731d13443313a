package endpoints

// Limits holds, by address, the largest numbers of connections to endpoints where they are
// lower than the limit of the pool.
type Limits map[string]int

// SetLimits replaces the limits of single endpoints. Idle connections beyond a limit are
// closed; those in use count until their exchanges end. The pool keeps the argument.
func (p *Pool) SetLimits(limits Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = limits
	for address, h := range p.hosts {
		h.dropBeyond(p.limitOf(address))
	}
}

// limitOf returns the largest number of connections to an endpoint.
func (p *Pool) limitOf(address string) int {
	if n, limited := p.limits[address]; limited {
		return min(n, p.limit)
	}
	return p.limit
}

// dropBeyond closes idle connections, the oldest first, while there are more than n.
func (h *host) dropBeyond(n int) {
	for h.open > n && len(h.idle) > 0 {
		h.drop(0)
	}
}
