package watch

// Position is a point in the history of the store. The store may come back from an older
// copy of itself: it then begins a new era, in which versions of before are given out
// again. Versions of two eras can't be compared. The zero value is before all others.
type Position struct {
	// Era counts the returns from an older copy; 0 for a store that does not count them.
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
