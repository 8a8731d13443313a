package suspects

import "slices"

// constant returns the quarantines of what was in flight at every crash since its first,
// if they explain the crashes better than the given ones, which follow from the attempts
// that were further than the others. An endpoint that crashes before the head of an answer
// may send the heads of other answers just then; these are others at each crash.
func (v *verdict) constant(likely []*quarantine) []*quarantine {
	return slices.DeleteFunc(v.quarantines(nil), func(c *quarantine) bool {
		missed := len(v.crashes) - c.crashes[0] - len(c.crashes)
		return missed > 0 || slices.ContainsFunc(likely, func(q *quarantine) bool { return overlap(c, q) && !replaces(c, q) })
	})
}

// replaces reports whether a quarantine explains all crashes of another one and more
// incidents, and does not refuse more requests for lack of a key that the other one has.
func replaces(a, b *quarantine) bool {
	return a.incidents > b.incidents && len(without(b.crashes, a.crashes)) == 0 && !narrower(b, a)
}

// overlap reports whether two quarantines rest on the same crash.
func overlap(a, b *quarantine) bool {
	return slices.ContainsFunc(a.crashes, func(i int) bool { return slices.Contains(b.crashes, i) })
}

// withoutReplaced returns the quarantines that none of the others replaces.
func withoutReplaced(list, others []*quarantine) []*quarantine {
	return slices.DeleteFunc(slices.Clone(list), func(q *quarantine) bool {
		return slices.ContainsFunc(others, func(o *quarantine) bool { return replaces(o, q) })
	})
}
