package watch

import (
	"maps"
	"slices"
)

// maxRemovals bounds the removed rows that a copy records for its peers; a peer that is
// further behind is sent every row.
const maxRemovals = 2048

// removals records which rows were removed, and for which versions that is known.
type removals struct {
	versions map[string]int64 // of the removal, by key
	floor    int64            // removals up to this version may be missing
	// gapFrom and gapTo are versions between which a row may have been written and removed
	// without a record. A copy that covers gapFrom has never had such a row, one that
	// covers gapTo has it no longer.
	gapFrom, gapTo int64
}

// newRemovals returns a record of the removals after a version.
func newRemovals(floor int64) removals {
	return removals{versions: make(map[string]int64), floor: floor}
}

// skip returns the record after the rows were read as a whole at version to, while the
// changes since version from are unknown.
func (r removals) skip(from, to int64) removals {
	if from == 0 {
		return newRemovals(to)
	}
	if r.gapTo > 0 {
		from = min(from, r.gapFrom)
	}
	r.gapFrom, r.gapTo = from, to
	return r
}

// complete reports whether all removals are recorded that a copy lacks which covers the
// given version.
func (r removals) complete(after int64) bool {
	return after >= r.floor && (after <= r.gapFrom || after >= r.gapTo)
}

// knownAfter returns the version after which no removal is missing.
func (r removals) knownAfter() int64 { return max(r.floor, r.gapTo) }

// add records a removal. The older half is dropped where there are too many.
func (r *removals) add(key string, version int64) {
	r.versions[key] = version
	if len(r.versions) <= maxRemovals {
		return
	}
	sorted := slices.Sorted(maps.Values(r.versions))
	r.floor = max(r.floor, sorted[len(sorted)/2])
	maps.DeleteFunc(r.versions, func(_ string, v int64) bool { return v <= r.floor })
}

func (r *removals) drop(key string) { delete(r.versions, key) }
