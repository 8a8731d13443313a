package routing

import (
	"cmp"
	"slices"

	"github.com/primrosetally/primrosetally/internal/state/rendezvous"
)

// localSubsetFraction is the fraction of the subset that is filled from the entry's own
// failure domain first. The rest remains available if that domain fails.
const localSubsetFraction = 2.0 / 3

// subset returns the endpoints that this entry uses: all endpoints of a small service,
// otherwise those that rank highest for the entry, preferring its own failure domain.
// Adding or removing one endpoint changes at most one member of the subset.
func (r *Router) subset(endpoints []Endpoint) []Endpoint {
	size := min(r.subsetSize, maxCandidates)
	ranked := r.rankEndpoints(endpoints)
	if len(ranked) <= size {
		return ranked
	}
	local := int(float64(size) * localSubsetFraction)
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

// rankEndpoints returns the endpoints in descending order of their rendezvous hash for
// the entry.
func (r *Router) rankEndpoints(endpoints []Endpoint) []Endpoint {
	entryHash := rendezvous.Hash(r.entry)
	ranked := slices.Clone(endpoints)
	slices.SortFunc(ranked, func(a, b Endpoint) int {
		return cmp.Or(
			cmp.Compare(rendezvous.Mix(entryHash^rendezvous.Hash(b.name)), rendezvous.Mix(entryHash^rendezvous.Hash(a.name))),
			cmp.Compare(a.name, b.name),
		)
	})
	return ranked
}
