package routing

import (
	"cmp"
	"slices"

	"github.com/primrosetally/primrosetally/internal/state/rendezvous"
)

// localShareOfSubset is the fraction of the subset that is filled from the own failure
// domain first. The rest remains available if that domain fails.
const localShareOfSubset = 2.0 / 3

// subset returns the endpoints that this entry uses: all endpoints of a small service,
// otherwise those that rank highest for the entry, preferring its own failure domain.
// Adding or removing one endpoint changes at most one member of the subset.
func (r *Router) subset(endpoints []Endpoint) []Endpoint {
	size := min(r.subsetSize, maxCandidates)
	ranked := r.rank(endpoints)
	if len(ranked) <= size {
		return ranked
	}
	local := int(float64(size) * localShareOfSubset)
	chosen := make([]Endpoint, 0, size)
	rest := make([]Endpoint, 0, len(ranked))
	for _, e := range ranked {
		if e.failureDomain == r.failureDomain && len(chosen) < local {
			chosen = append(chosen, e)
			continue
		}
		rest = append(rest, e)
	}
	return append(chosen, rest[:size-len(chosen)]...)
}

// Subset returns the endpoints of a service that this entry uses and whose load
// reports it requires.
func (r *Router) Subset(endpoints []Endpoint) []Endpoint {
	return r.subset(endpoints)
}

// rank returns the endpoints in descending order of their rendezvous hash for the
// entry.
func (r *Router) rank(endpoints []Endpoint) []Endpoint {
	own := rendezvous.Hash(r.entry)
	ranked := slices.Clone(endpoints)
	slices.SortFunc(ranked, func(a, b Endpoint) int {
		return cmp.Or(
			cmp.Compare(rendezvous.Mix(own^rendezvous.Hash(b.name)), rendezvous.Mix(own^rendezvous.Hash(a.name))),
			cmp.Compare(a.name, b.name),
		)
	})
	return ranked
}
