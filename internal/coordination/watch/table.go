package watch

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Update is one answer of the store, or of a peer that keeps a copy.
type Update struct {
	Rows []Row
	// Version is the newest version that the answer covers.
	Version int64
	// StoreTime is the store's steady clock when the answer was true.
	StoreTime time.Duration
	// Age is how long before it was given the answer was true; 0 for the store.
	Age time.Duration
	// Full tells that the answer has every row.
	Full bool
}

// tombstonesKept bounds the removed rows that a copy remembers for its peers; one
// that is further behind is given every row.
const tombstonesKept = 512

// Table is a copy of one table. It takes answers in, tells what is new to a peer
// that is behind, and how old it is. It is safe for concurrent use.
type Table struct {
	apply    func(rows map[string]Row)
	now      func() time.Duration
	hold     time.Duration
	returned func() time.Duration // when the store last came back, 0 for never

	mu       sync.Mutex
	rows     map[string]Row     // as in the store
	kept     map[string]keptRow // removed from the store and still held
	removed  map[string]int64   // versions of removals after floor
	floor    int64              // removals up to it are forgotten
	version  int64              // newest version covered
	content  int64              // newest version of a row or a removal
	listed   bool               // a full answer was taken in
	holdTill time.Duration

	confirmed atomic.Int64 // boottime at which the copy was true, 0 for never
	offset    atomic.Int64 // local time at which the store's clock was zero, at the earliest
	dated     atomic.Bool
}

// keptRow is a row that is held although it was removed.
type keptRow struct {
	row   Row
	until time.Duration
}

func newTable(apply func(rows map[string]Row), now func() time.Duration, hold time.Duration) *Table {
	return &Table{
		apply:    apply,
		now:      now,
		hold:     hold,
		returned: func() time.Duration { return 0 },
		rows:     make(map[string]Row),
		kept:     make(map[string]keptRow),
		removed:  make(map[string]int64),
	}
}

// Confirmed returns the boottime at which the copy was true, 0 before the first
// answer.
func (t *Table) Confirmed() time.Duration { return time.Duration(t.confirmed.Load()) }

// StoreTime returns the store's clock at a local time, at the latest. It holds
// once Confirmed is not 0.
func (t *Table) StoreTime(local time.Duration) time.Duration {
	return local - time.Duration(t.offset.Load())
}

// LocalTime returns the local time of a value of the store's clock, at the
// earliest. It holds once Confirmed is not 0.
func (t *Table) LocalTime(store time.Duration) time.Duration {
	return store + time.Duration(t.offset.Load())
}

// Version returns the newest version that the copy covers, and whether it has ever
// had a full answer.
func (t *Table) Version() (version int64, listed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.listed
}

// ContentVersion returns the newest version of a row or of a removal. Two copies with the
// same value are the same.
func (t *Table) ContentVersion() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.content
}

// Since returns what a copy with the given content lacks.
func (t *Table) Since(content int64) Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := Update{Version: t.version, Full: content < t.floor || content == 0}
	confirmed := t.Confirmed()
	p.StoreTime = t.StoreTime(confirmed)
	p.Age = t.now() - confirmed
	for _, r := range t.rows {
		if p.Full || r.Version > content {
			p.Rows = append(p.Rows, r)
		}
	}
	if p.Full {
		return p
	}
	for key, version := range t.removed {
		if version > content {
			p.Rows = append(p.Rows, Row{Key: key, Version: version, Deleted: true})
		}
	}
	return p
}

// Merge brings the copy up to date with an answer to a call that began at the given
// time. It returns errBehind for an answer that is older than the copy.
func (t *Table) Merge(p Update, begun time.Duration) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Version < t.content {
		return errBehind
	}
	now := t.now()
	if back := t.returned(); back > 0 {
		t.holdTill = back + t.hold
	}
	changed := t.takeRows(p, now)
	changed = t.expire(now) || changed
	t.version = max(t.version, p.Version)
	t.listed = true
	if changed {
		t.apply(t.effective())
	}
	t.date(p, begun)
	return nil
}

// Expire drops rows that were held long enough.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.expire(t.now()) {
		t.apply(t.effective())
	}
}

// Notify hands the copy on again.
func (t *Table) Notify() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listed {
		t.apply(t.effective())
	}
}

func (t *Table) takeRows(p Update, now time.Duration) bool {
	changed := p.Full && !t.listed
	if p.Full {
		present := make(map[string]bool, len(p.Rows))
		for _, r := range p.Rows {
			present[r.Key] = true
		}
		for key := range t.rows {
			if !present[key] {
				t.remove(key, p.Version, now)
				changed = true
			}
		}
	}
	for _, r := range p.Rows {
		t.content = max(t.content, r.Version)
		if old, known := t.rows[r.Key]; known && old.Version >= r.Version {
			continue
		}
		if r.Deleted {
			t.remove(r.Key, r.Version, now)
		} else {
			delete(t.kept, r.Key)
			delete(t.removed, r.Key)
			t.rows[r.Key] = r
		}
		changed = true
	}
	return changed
}

// remove drops a row. Just after the store came back it is held for a while, since
// its writer could not renew it.
func (t *Table) remove(key string, version int64, now time.Duration) {
	row, known := t.rows[key]
	if known && now < t.holdTill {
		t.kept[key] = keptRow{row: row, until: t.holdTill}
	}
	delete(t.rows, key)
	t.content = max(t.content, version)
	t.removed[key] = version
	if len(t.removed) > tombstonesKept {
		clear(t.removed)
		t.floor = t.content
	}
}

func (t *Table) expire(now time.Duration) bool {
	changed := false
	for key, k := range t.kept {
		if now >= k.until {
			delete(t.kept, key)
			changed = true
		}
	}
	return changed
}

// effective returns the rows together with those that are held.
func (t *Table) effective() map[string]Row {
	if len(t.kept) == 0 {
		return t.rows
	}
	rows := maps.Clone(t.rows)
	for key, k := range t.kept {
		rows[key] = k.row
	}
	return rows
}

// date records when the answer was true. It was given after the call began, so it
// was true at the begin less its age at the earliest. The largest such bound of the
// store's clock dates every answer that carries a time, even one that was held for
// seconds.
func (t *Table) date(p Update, begun time.Duration) {
	if offset := int64(begun - p.Age - p.StoreTime); !t.dated.Load() || offset > t.offset.Load() {
		t.offset.Store(offset)
		t.dated.Store(true)
	}
	at := int64(p.StoreTime) + t.offset.Load()
	if at > t.confirmed.Load() {
		t.confirmed.Store(at)
	}
}
