package watch

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/rendezvous"
)

// Update is one response of the store, or of a peer that keeps a copy.
type Update struct {
	Rows []Row
	// Position is the newest one that the response covers.
	Position
	// StoreTime is the store's monotonic clock at the moment that the response
	// describes.
	StoreTime time.Duration
	// Age is the time from the moment that the response describes until it was
	// sent; 0 for the store.
	Age time.Duration
	// Full reports whether Rows has every row of the table, not just changes. A peer adds
	// the removals that it has recorded, so that the copy can pass them on.
	Full bool
	// Floor is the version after which all removals are recorded in a full update; the
	// store's own has none, and its floor is Version.
	Floor int64
	// Digest is that of all rows at Version, 0 if unknown.
	Digest uint64
	// From is the address of the peer that sent the response, empty for the store. Sync
	// sets it.
	From string

	since Position // the changes are those after it
}

// PositionOf returns the position at which a row of the update was written, as far as its era
// shows: a row that the store had when it came back may be of an earlier one.
func (u Update) PositionOf(r Row) Position { return Position{Era: u.Era, Version: r.Version} }

// State identifies what a copy holds.
type State struct {
	// Position is the newest one of the store that the copy covers.
	Position
	// Content is the newest version of a row or of a removal.
	Content int64
	// Digest is equal for copies with the same rows. It does not depend on the order in
	// which the rows arrived.
	Digest uint64
	// Rows is the number of rows.
	Rows int
}

// Behind reports whether a copy in this state lacks changes that a peer's copy has.
func (s State) Behind(peer State) bool {
	own, other := sameEraIfUnknown(s.Position, peer.Position)
	return own.Before(other) && (own.Era != other.Era || peer.Digest != s.Digest)
}

// Table is a copy of one table. It merges updates, returns the changes that a peer
// lacks, and reports its own age. It is safe for concurrent use.
//
// The rows are those of the store at position, so that an update up to position or an
// earlier one has nothing new. A removal leaves no row behind: who has only the rows
// can't tell a peer what was removed before. Removals are therefore recorded, and a
// peer whose copy is older than the record gets every row.
//
// When the store has come back from an older copy of itself, the table is replaced as a
// whole. What was known and is missing there is written again by its writers. Until then,
// and for restoreGrace at most, the row that was known is reported instead; one that was
// known as removed stays so for removedGrace.
type Table struct {
	onChange     func(rows map[string]Row)
	onReplaced   func(s State, from string)
	onRestored   func(before, after Position, from string)
	now          func() time.Duration
	removalGrace time.Duration
	recoveredAt  func() time.Duration // when the store last recovered, 0 for never

	mu             sync.Mutex
	rows           map[string]Row         // as in the store at position
	digest         uint64                 // of rows
	retained       map[string]retainedRow // reported instead of what rows has
	record         removals
	position       Position      // newest one covered
	contentVersion int64         // newest version of a row or a removal
	synced         bool          // an update was merged
	diverged       bool          // a peer has other rows at the same position
	listedAt       time.Duration // when the store's list was last merged
	retainUntil    time.Duration
	restoredAt     time.Duration // when the copy entered another era, 0 for never

	confirmed   atomic.Int64 // boot time as of which the copy is current, 0 for never
	offset      atomic.Int64 // lower bound of the local time at which the store's clock was zero
	offsetKnown atomic.Bool
}

// retainedRow is a row that the store does not have, or has in an older version, and that
// is still reported; a deleted one is reported as absent.
type retainedRow struct {
	row   Row
	until time.Duration
}

func newTable(onChange func(rows map[string]Row), now func() time.Duration, removalGrace time.Duration) *Table {
	return &Table{
		onChange:     onChange,
		onReplaced:   func(State, string) {},
		onRestored:   func(Position, Position, string) {},
		now:          now,
		removalGrace: removalGrace,
		recoveredAt:  func() time.Duration { return 0 },
		rows:         make(map[string]Row),
		retained:     make(map[string]retainedRow),
		record:       newRemovals(0),
	}
}

// Confirmed returns the boot time as of which the copy is current, 0 before the
// first update.
func (t *Table) Confirmed() time.Duration { return time.Duration(t.confirmed.Load()) }

// StoreTime returns an upper bound of the store's clock at a local time. It is valid
// once Confirmed is not 0.
func (t *Table) StoreTime(local time.Duration) time.Duration {
	return local - time.Duration(t.offset.Load())
}

// LocalTime returns a lower bound of the local time at a value of the store's clock.
// It is valid once Confirmed is not 0.
func (t *Table) LocalTime(store time.Duration) time.Duration {
	return store + time.Duration(t.offset.Load())
}

// Version returns the newest version that the copy covers, and whether any
// update has been merged; the first one is a full one.
func (t *Table) Version() (version int64, listed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.position.Version, t.synced
}

// State returns what the copy holds.
func (t *Table) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state()
}

func (t *Table) state() State {
	return State{Position: t.position, Content: t.contentVersion, Digest: t.digest, Rows: len(t.rows)}
}

// Since returns the changes that a copy which covers the given position lacks, or every row
// if it covers none, is of another era, or not all removals since then are recorded.
func (t *Table) Since(p Position) Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	after := p.Version
	full := after == 0 || p.Era != t.position.Era || !t.record.complete(after)
	u := Update{Position: t.position, Floor: t.record.knownAfter(), Digest: t.digest, Full: full}
	confirmed := t.Confirmed()
	u.StoreTime = max(t.StoreTime(confirmed), 0) // the store's clock may have started since
	u.Age = t.now() - confirmed
	for _, r := range t.rows {
		if u.Full || r.Version > after {
			u.Rows = append(u.Rows, r)
		}
	}
	for key, version := range t.record.versions {
		if u.Full || version > after {
			u.Rows = append(u.Rows, Row{Key: key, Version: version, Deleted: true})
		}
	}
	return u
}

// Sync updates the copy from that of the peer at an address. Fetch returns the changes that
// the peer has after a position, now is read before it is called.
func (t *Table) Sync(from string, now func() time.Duration, fetch func(after Position) (Update, error)) error {
	started, since := now(), t.State().Position
	u, err := fetch(since)
	if err != nil {
		return err
	}
	u.From, u.since = from, since
	return t.Merge(u, started)
}

// Merge applies the response to a call that was made at the given time. It returns
// errStale if the response is older than the newest change in the copy, an error that wraps
// ErrInvalidUpdate if the response is out of bounds, errNewEra if the store has come back
// from an older copy and the response has not every row, errIncomplete if the copy may have
// rows whose removal the response lacks, and ErrDiverged if a peer has other rows at the
// same position. After errNewEra and ErrDiverged the table is to be listed.
func (t *Table) Merge(u Update, started time.Duration) error {
	if err := u.check(); err != nil {
		return err
	}
	// The age of a copy is below 0 where the store's clock is faster than the peer's.
	u.Age = max(u.Age, 0)
	t.mu.Lock()
	defer t.mu.Unlock()
	u.Position, t.position = sameEraIfUnknown(u.Position, t.position)
	if u.Position.Before(Position{Era: t.position.Era, Version: t.contentVersion}) {
		return errStale
	}
	if t.synced && !u.Full && t.ofOtherEra(u) {
		return errNewEra
	}
	if t.mayLackRemovals(u) {
		return errIncomplete
	}
	if recovered := t.recoveredAt(); recovered > 0 {
		t.retainUntil = recovered + t.removalGrace
	}
	now := t.now()
	changed := t.mergeRows(u, now)
	changed = t.expireRetained(now) || changed
	if changed {
		t.onChange(t.effective())
	}
	t.updateClock(u, started)
	if u.Full && u.From == "" {
		t.listedAt = now
	}
	if u.Digest != 0 && u.Position == t.position && u.Digest != t.digest {
		t.diverged = true
		return ErrDiverged
	}
	return nil
}

// mayLackRemovals reports whether a row that the copy has got since the call to a peer may
// have been removed without a record of the peer. Between the position that the call named
// and the floor, the peer knows the removals of those rows only that were there before.
func (t *Table) mayLackRemovals(u Update) bool {
	if u.Full || u.From == "" || !t.position.Before(u.Position) {
		return false
	}
	return u.since.Version < t.position.Version && t.position.Version < u.Floor
}

// Expire drops the rows whose removal grace period is over.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.expireRetained(t.now()) {
		t.onChange(t.effective())
	}
}

// mustList reports whether the copy is to be read from the store as a whole, since it
// differs from a peer's and nothing tells which of them is right.
func (t *Table) mustList() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.diverged && t.now()-t.listedAt >= minListInterval
}

// Notify calls the change callback again with the current copy.
func (t *Table) Notify() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.synced {
		t.onChange(t.effective())
	}
}

// mergeRows brings the rows to the position of the update and reports whether they have
// changed. An update up to an earlier position has nothing that the copy lacks; its rows
// may have been removed since.
func (t *Table) mergeRows(u Update, now time.Duration) (changed bool) {
	switch {
	case !t.synced || u.Era != t.position.Era:
		changed = t.enterEra(u, now)
	case u.Full && !u.Position.Before(t.position):
		changed = t.replace(u, now)
	case !u.Full && t.position.Before(u.Position):
		changed = t.advance(u, now)
	}
	return changed
}

// replace replaces the rows by those of a full update of the same era.
func (t *Table) replace(u Update, now time.Duration) (changed bool) {
	present := make(map[string]bool, len(u.Rows))
	for _, r := range u.Rows {
		present[r.Key] = !r.Deleted
	}
	record := newRemovals(u.Floor)
	if u.From == "" {
		record = t.record.skip(t.position.Version, u.Version)
	}
	for key := range t.rows {
		if !present[key] {
			t.remove(key, now)
			record.add(key, u.Version)
			t.contentVersion = max(t.contentVersion, u.Version)
			changed = true
		}
	}
	for _, r := range u.Rows {
		t.contentVersion = max(t.contentVersion, r.Version)
		if r.Deleted {
			record.add(r.Key, r.Version)
			continue
		}
		record.drop(r.Key)
		if t.rows[r.Key].Version != r.Version {
			t.setRow(r)
			changed = true
		}
	}
	t.record = record
	t.position, t.diverged = u.Position, false
	t.onReplaced(t.state(), u.From)
	return changed
}

// advance applies the changes after the copy's version.
func (t *Table) advance(u Update, now time.Duration) (changed bool) {
	for _, r := range u.Rows {
		if r.Version <= t.position.Version {
			continue // changed before, and perhaps again since
		}
		changed = true
		t.contentVersion = max(t.contentVersion, r.Version)
		if r.Deleted {
			t.remove(r.Key, now)
			t.record.add(r.Key, r.Version)
			continue
		}
		t.setRow(r)
		t.record.drop(r.Key)
	}
	if u.From != "" && u.Floor > t.position.Version {
		// The peer may lack removals of rows that this copy never had.
		t.record = t.record.skip(t.position.Version, u.Floor)
	}
	t.position = u.Position
	return changed
}

// remove deletes a row. During the grace period after the store has recovered the row
// is still reported, since its writer could not renew it during the outage.
func (t *Table) remove(key string, now time.Duration) {
	row, exists := t.rows[key]
	delete(t.retained, key)
	if exists && now < t.retainUntil {
		t.retained[key] = retainedRow{row: row, until: t.retainUntil}
	}
	t.dropRow(key)
}

func (t *Table) setRow(r Row) {
	delete(t.retained, r.Key)
	t.dropRow(r.Key)
	t.rows[r.Key] = r
	t.digest ^= rowDigest(r)
}

func (t *Table) dropRow(key string) {
	if r, exists := t.rows[key]; exists {
		t.digest ^= rowDigest(r)
		delete(t.rows, key)
	}
}

// rowDigest returns the hash of a row's key and version, which determine its value. It is
// mixed, since the versions of two rows may change by the same amount.
func rowDigest(r Row) uint64 {
	h := fnv.New64a()
	h.Write([]byte(r.Key))
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(r.Version)))
	return rendezvous.Mix(h.Sum64())
}

func (t *Table) expireRetained(now time.Duration) bool {
	changed := false
	for key, k := range t.retained {
		if now >= k.until {
			delete(t.retained, key)
			changed = true
		}
	}
	return changed
}

// effective returns the rows together with the retained ones.
func (t *Table) effective() map[string]Row {
	if len(t.retained) == 0 {
		return t.rows
	}
	rows := maps.Clone(t.rows)
	for key, k := range t.retained {
		if k.row.Deleted {
			delete(rows, key)
			continue
		}
		rows[key] = k.row
	}
	return rows
}

// updateClock records as of when the copy is current. The response was sent after the
// call was made, so the moment that it describes is no earlier than the time of the call
// less the response's age. The difference of this bound and the store's time bounds the
// clock offset from below. The largest bound so far converts the store's time of each
// response to local time, also of a response that the store delayed for seconds. No copy is
// current as of a time to come, whatever the clocks say.
//
// After the store has come back from an older copy, what it lost may be newer than all
// that it has. The copy counts as current again when that had time to be written again.
func (t *Table) updateClock(u Update, started time.Duration) {
	if offset := int64(started - u.Age - u.StoreTime); !t.offsetKnown.Load() || offset > t.offset.Load() {
		t.offset.Store(offset)
		t.offsetKnown.Store(true)
	}
	if t.restoredAt > 0 && t.now()-t.restoredAt < restoreGrace {
		return
	}
	at := min(int64(u.StoreTime)+t.offset.Load(), int64(t.now()))
	if at > t.confirmed.Load() {
		t.confirmed.Store(at)
	}
}
