package placement

import (
	"cmp"
	"slices"
)

// MarkPreferred marks the candidates that an entry uses first. The endpoints of each
// failure domain are dealt out to its live entries, or to all entries where it has
// none. Every entry that knows the same members deals them out alike. An entry to
// which no endpoint falls shares those of another of its domain.
func MarkPreferred(candidates []Candidate, entries map[string][]string, domain, self string) {
	var all []string
	for _, list := range entries {
		all = append(all, list...)
	}
	slices.Sort(all)
	byDomain := make(map[string][]int)
	for i, c := range candidates {
		byDomain[c.Domain] = append(byDomain[c.Domain], i)
	}
	for d, indices := range byDomain {
		slices.SortFunc(indices, func(a, b int) int { return cmp.Compare(candidates[a].ID, candidates[b].ID) })
		takers := entries[d]
		if len(takers) == 0 {
			takers = all
		}
		deal(candidates, indices, takers, self)
	}
	if len(byDomain[domain]) == 0 {
		// Nothing stands here: every endpoint is as far as the next.
		for i := range candidates {
			candidates[i].Preferred = true
		}
	}
}

// deal marks the endpoints that fall to self.
func deal(candidates []Candidate, indices []int, takers []string, self string) {
	rank := slices.Index(takers, self)
	if rank < 0 {
		return
	}
	for place, i := range indices {
		if len(indices) < len(takers) {
			candidates[i].Preferred = rank%len(indices) == place
			continue
		}
		candidates[i].Preferred = place%len(takers) == rank
	}
}
