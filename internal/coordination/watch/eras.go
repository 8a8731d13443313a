package watch

import (
	"maps"
	"time"
)

// Times after the return of the store from an older copy.
const (
	// restoreGrace is the time in which the operators and the endpoints write again what
	// was lost.
	restoreGrace = 2 * time.Second
	// removedGrace is how long a removal holds that was lost. The platform removes the row
	// of an endpoint that is gone within this time.
	removedGrace = 10 * time.Second
)

// ofOtherEra reports whether an update, or the position that its changes are after, is of
// another era than the copy.
func (t *Table) ofOtherEra(u Update) bool {
	since, _ := sameEraIfUnknown(u.since, t.position)
	return u.Era != t.position.Era || since.Era != t.position.Era
}

// enterEra replaces the rows by those of the first full update, or of the first one of
// another era.
func (t *Table) enterEra(u Update, now time.Duration) (changed bool) {
	known, removed := maps.Clone(t.effective()), t.removed()
	restored, before := t.synced, t.position
	t.rows, t.digest, t.record = make(map[string]Row, len(u.Rows)), 0, newRemovals(u.Version)
	t.position, t.contentVersion, t.synced = Position{Era: u.Era}, 0, true
	t.replace(u, now)
	if restored {
		t.restoredAt = now
		t.offsetKnown.Store(false)
		t.retainLost(known, removed, now)
		t.onRestored(before, t.position, u.From)
	}
	return true
}

// removed returns the versions of the removals that are recorded or still hold.
func (t *Table) removed() map[string]int64 {
	versions := maps.Clone(t.record.versions)
	for key, k := range t.retained {
		if k.row.Deleted {
			versions[key] = k.row.Version
		}
	}
	return versions
}

// retainLost reports what was known in the era before and is missing in this one.
func (t *Table) retainLost(known map[string]Row, removed map[string]int64, now time.Duration) {
	for key, r := range known {
		if t.rows[key].Version < r.Version {
			t.retained[key] = retainedRow{row: r, until: now + restoreGrace}
		}
	}
	for key, version := range removed {
		_, reported := known[key]
		if r, exists := t.rows[key]; exists && !reported && r.Version < version {
			t.retained[key] = retainedRow{row: Row{Key: key, Version: version, Deleted: true}, until: now + removedGrace}
		}
	}
}

// nextExpiry returns the time at which the next retained row expires, or at which the copy
// counts as current again after the store's return, and whether there is one.
func (t *Table) nextExpiry() (next time.Duration, pending bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current := t.restoredAt + restoreGrace; t.restoredAt > 0 && t.now() < current {
		next, pending = current, true
	}
	for _, k := range t.retained {
		if !pending || k.until < next {
			next, pending = k.until, true
		}
	}
	return next, pending
}
