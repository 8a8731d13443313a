package watch

// Position is a point in the history of the store. The store may come back from an older
// copy of itself: it then begins a new era, in which versions of before are given out
// again. Versions of two eras can't be compared. The zero value is before all others.
type Position struct {
	// Era is 1 before the first return from an older copy and grows with each. It is 0 if it
	// is unknown: from a store that does not count them, or from a process of an earlier
	// build.
	Era int64
	// Version is taken from the store's counter, which grows with each transaction.
	Version int64
}

// Before reports whether p is earlier than other.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Version < other.Version
}

// sameEraIfUnknown returns the positions, the era of one of them being that of the other if
// it is unknown.
func sameEraIfUnknown(a, b Position) (Position, Position) {
	switch {
	case a.Era == 0:
		a.Era = b.Era
	case b.Era == 0:
		b.Era = a.Era
	}
	return a, b
}
