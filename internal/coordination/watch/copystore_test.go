package watch_test

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/watch"
)

// copyStore is a store with one operator row and a table of endpoints.
type copyStore struct {
	waits bool // polls since a version that the store does not have wait for it
	hang  bool // polls that cross a return get no answer

	mu      sync.Mutex
	at      watch.Position
	rows    map[string]watch.Row
	history []watch.Row
	floor   int64
	changed chan struct{}
	backup  map[string]watch.Row // rows at an earlier version
	version int64                // of the backup

	restoredAt time.Duration
	writtenAt  map[string]time.Duration
	removed    map[string]int64 // version of the removal
	lost       map[string]int64 // that of removals before the last return
}

func newCopyStore() *copyStore {
	return &copyStore{
		at: watch.Position{Era: 1}, rows: make(map[string]watch.Row), changed: make(chan struct{}),
		writtenAt: make(map[string]time.Duration), removed: make(map[string]int64),
	}
}

// write writes rows, one version each, before any reader runs.
func (s *copyStore) write(rows ...watch.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		s.writeRow(r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *copyStore) writeRow(r watch.Row) {
	s.at.Version++
	r.Version = s.at.Version
	s.history = append(s.history, r)
	if r.Deleted {
		delete(s.rows, r.Key)
		s.removed[r.Key] = r.Version
		return
	}
	s.rows[r.Key] = r
	s.writtenAt[r.Key] = copyTime()
	delete(s.removed, r.Key)
}

// compact drops the history.
func (s *copyStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor, s.history = s.at.Version, nil
}

// backUp keeps a copy of the rows.
func (s *copyStore) backUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup, s.version = maps.Clone(s.rows), s.at.Version
}

func (s *copyStore) hasBackup() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backup != nil
}

// has reports whether the store has a row as it is.
func (s *copyStore) has(r watch.Row) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[r.Key].Version == r.Version
}

// restore lets the store come back from its copy, and returns the rows that it had.
func (s *copyStore) restore() (lost map[string]watch.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range s.hiddenKeys() {
		s.removed[key] = s.lost[key]
	}
	lost, s.rows = s.rows, maps.Clone(s.backup)
	s.at = watch.Position{Era: s.at.Era + 1, Version: s.version}
	s.floor, s.history = s.version, nil
	s.restoredAt, s.lost, s.removed = copyTime(), s.removed, make(map[string]int64)
	close(s.changed)
	s.changed = make(chan struct{})
	return lost
}

// hidden returns the keys of rows that copies may hide: known as removed under a later
// version of the era before, and written again before the copies entered this one.
func (s *copyStore) hidden() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hiddenKeys()
}

func (s *copyStore) hiddenKeys() (keys []string) {
	if copyTime()-s.restoredAt >= copyContact+removedGrace {
		return nil
	}
	for key, r := range s.rows {
		if s.lost[key] > r.Version && s.writtenAt[key]-s.restoredAt < copyContact {
			keys = append(keys, key)
		}
	}
	return keys
}

// keys returns the keys of the rows in order.
func (s *copyStore) keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.rows))
}

// keysWith returns the keys of the rows and one more in order.
func (s *copyStore) keysWith(key string) []string {
	keys := append(s.keys(), key)
	slices.Sort(keys)
	return slices.Compact(keys)
}

// since returns all rows, or the changes after a version, and what is closed with the next
// change.
func (s *copyStore) since(after int64, full bool) (watch.Update, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := watch.Update{Position: s.at, Full: full, StoreTime: copyTime()}
	if full {
		u.Rows = slices.Collect(maps.Values(s.rows))
		return u, nil, nil
	}
	if after < s.floor || after > s.at.Version && !s.waits {
		return u, nil, watch.ErrCompacted
	}
	for _, r := range s.history {
		if r.Version > after {
			u.Rows = append(u.Rows, r)
		}
	}
	return u, s.changed, nil
}

// list returns all rows after the delays of a call and its response.
func (s *copyStore) list(delay func()) (watch.Update, error) {
	delay()
	u, _, err := s.since(0, true)
	delay()
	return u, err
}

// poll returns the changes after a version as soon as there is one, or none after wait.
func (s *copyStore) poll(ctx context.Context, delay func(), after int64, wait time.Duration) (watch.Update, error) {
	delay()
	era := s.era()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		if s.hangs(era) {
			return watch.Update{}, awaitTimeout(ctx, wait+copyCallTimeout)
		}
		u, changed, err := s.since(after, false)
		if err != nil || len(u.Rows) > 0 {
			delay()
			return u, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			delay()
			return u, nil
		case <-ctx.Done():
			return u, ctx.Err()
		}
	}
}

// copyCallTimeout is how long a caller waits for an answer at most, beyond a poll's wait.
const copyCallTimeout = 1500 * time.Millisecond

// awaitTimeout waits until the caller gives up, and returns the error of the call.
func awaitTimeout(ctx context.Context, timeout time.Duration) error {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	<-bounded.Done()
	return bounded.Err()
}

func (s *copyStore) era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at.Era
}

// hangs reports whether a poll that began in an era gets no answer.
func (s *copyStore) hangs(era int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hang && s.at.Era != era
}
