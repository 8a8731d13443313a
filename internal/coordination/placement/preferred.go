package placement

import (
	"cmp"
	"slices"
)

// MarkPreferred marks the preferred endpoints of the entry self: those that it uses first.
// Endpoints with a rate limit are distributed apart from the others: what they take is
// small, so that an entry which prefers only such ones would refuse what others have
// room for.
func MarkPreferred(candidates []Candidate, entries map[string][]string, domain, self string) {
	slices.SortStableFunc(candidates, compareLimited)
	firstLimited := slices.IndexFunc(candidates, func(c Candidate) bool { return c.Limited })
	if firstLimited >= 0 {
		markPreferred(candidates[firstLimited:], entries, domain, self)
		candidates = candidates[:firstLimited]
	}
	markPreferred(candidates, entries, domain, self)
}

// compareLimited orders endpoints with a rate limit after others.
func compareLimited(a, b Candidate) int {
	switch {
	case a.Limited == b.Limited:
		return 0
	case b.Limited:
		return -1
	}
	return 1
}

// markPreferred marks the preferred endpoints among the given ones. The endpoints of each
// failure domain are distributed over the live entries of that domain, or over all
// entries if it has none. The result is the same on every entry that has the same list of
// members. In a domain with fewer endpoints than entries, several entries share an
// endpoint.
func markPreferred(candidates []Candidate, entries map[string][]string, domain, self string) {
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
