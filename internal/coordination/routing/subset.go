package routing

import (
	"cmp"
	"slices"
)

// localShareOfSubset is the part of the subset that is filled from the own
// failure domain first; the rest stays for the failure of that domain.
const localShareOfSubset = 2.0 / 3

// subset returns the endpoints that this entry uses: all of a small service,
// else the ones that rank first for the entry, mostly from its own failure
// domain. An endpoint that comes or goes changes one place.
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

// Subset returns the endpoints of a service that this entry uses and whose
// reports it needs.
func (r *Router) Subset(endpoints []Endpoint) []Endpoint {
	return r.subset(endpoints)
}

func (r *Router) rank(endpoints []Endpoint) []Endpoint {
	own := hashText(r.entry)
	ranked := slices.Clone(endpoints)
	slices.SortFunc(ranked, func(a, b Endpoint) int {
		return cmp.Or(
			cmp.Compare(mix(own^hashText(b.name)), mix(own^hashText(a.name))),
			cmp.Compare(a.name, b.name),
		)
	})
	return ranked
}

// hashText is FNV-1a, finished by mix.
func hashText(text string) uint64 {
	const (
		offset = 14695981039346656037
		prime  = 1099511628211
	)
	h := uint64(offset)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * prime
	}
	return mix(h)
}

// mix spreads every bit of x over the whole word.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
