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

	mu      sync.Mutex
	at      watch.Position
	rows    map[string]watch.Row
	history []watch.Row
	floor   int64
	changed chan struct{}
	backup  map[string]watch.Row // rows at an earlier version
	version int64                // of the backup
}

func newCopyStore() *copyStore {
	return &copyStore{at: watch.Position{Era: 1}, rows: make(map[string]watch.Row), changed: make(chan struct{})}
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
	if r.Deleted {
		delete(s.rows, r.Key)
	} else {
		s.rows[r.Key] = r
	}
	s.history = append(s.history, r)
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
	lost, s.rows = s.rows, maps.Clone(s.backup)
	s.at = watch.Position{Era: s.at.Era + 1, Version: s.version}
	s.floor, s.history = s.version, nil
	close(s.changed)
	s.changed = make(chan struct{})
	return lost
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
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
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
