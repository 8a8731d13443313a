package fleetprocess

import (
	"context"
	"time"

	"github.com/primrosetally/primrosetally/internal/boottime"
	"github.com/primrosetally/primrosetally/internal/coordination/watch"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/transport/entries"
)

// fetchTimeout is the timeout of a fetch from another process.
const fetchTimeout = 1500 * time.Millisecond

// cachedTables are the tables of the store that an entry or an agent caches.
type cachedTables struct {
	operator  *watch.Watcher
	endpoints *watch.Watcher
	client    *entries.Client
}

// watcher returns the watcher of a table, nil if the table is not cached.
func (t *cachedTables) watcher(name nodev1.Table) *watch.Watcher {
	switch name {
	case nodev1.Table_TABLE_OPERATOR:
		return t.operator
	case nodev1.Table_TABLE_ENDPOINTS:
		return t.endpoints
	}
	return nil
}

// table returns the copy of a table, nil if the table is not cached.
func (t *cachedTables) table(name nodev1.Table) *watch.Table {
	w := t.watcher(name)
	if w == nil {
		return nil
	}
	return w.Table()
}

func (t *cachedTables) state(name nodev1.Table) watch.State { return t.table(name).State() }

// fetch updates the copy of a table from the entry at an address.
func (t *cachedTables) fetch(ctx context.Context, address string, name nodev1.Table) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return t.client.Sync(ctx, address, name, t.table(name), boottime.Now)
}
