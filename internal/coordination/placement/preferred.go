package placement

import (
	"cmp"
	"slices"
)

// MarkPreferred marks the preferred endpoints of the entry self: those that it uses first.
// The endpoints of each failure domain are distributed over the live entries of that
// domain, or over all entries if it has none. The result is the same on every entry
// that has the same list of members. In a domain with fewer endpoints than entries,
// several entries share an endpoint.
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
		assignees := entries[d]
		if len(assignees) == 0 {
			assignees = all
		}
		distribute(candidates, indices, assignees, self)
	}
	if len(byDomain[domain]) == 0 {
		// No endpoint is in the own domain, so that all of them are equally remote.
		for i := range candidates {
			candidates[i].Preferred = true
		}
	}
}

// distribute distributes the endpoints over the entries in turn and marks those of self.
func distribute(candidates []Candidate, indices []int, assignees []string, self string) {
	selfIndex := slices.Index(assignees, self)
	if selfIndex < 0 {
		return
	}
	for position, i := range indices {
		if len(indices) < len(assignees) {
			candidates[i].Preferred = selfIndex%len(indices) == position
			continue
		}
		candidates[i].Preferred = position%len(assignees) == selfIndex
	}
}
