package gateway

import (
	"sync/atomic"
	"time"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
)

// olderStartTime is the time after its start during which an entry with an older
// configuration than others waits for a newer one.
const olderStartTime = 10 * time.Second

// olderStart recognizes that this entry starts after the store has come back from an older
// copy: the store has an older configuration than entries that knew the one before. A
// configuration of before the return must not be in force again, with its routes and keys,
// so the entry waits until the operators have written the newer one again.
type olderStart struct {
	newest atomic.Int64 // newest version that another entry has and this one could not read
}

// observe records the configuration version of another entry. Unreadable is set if this
// entry has read all that the other one has, or nothing yet.
func (o *olderStart) observe(version int64, unreadable bool) {
	if unreadable && version > o.newest.Load() {
		o.newest.Store(version)
	}
}

// observeConfiguration records the configuration version in a summary of another entry,
// which reads it before the state of its copy. This entry reads the two in the other order.
func (g *Gateway) observeConfiguration(m *nodev1.EntrySummary, now time.Duration) {
	if now-g.started >= olderStartTime {
		return
	}
	own := g.tableState(nodev1.Table_TABLE_OPERATOR)
	version := g.snapshot.Load().version()
	behind := own.Behind(peerState(m.GetOperatorContent(), m.GetOperatorCopy()))
	if m.GetConfigurationVersion() > version {
		g.olderStart.observe(m.GetConfigurationVersion(), version == 0 || !behind)
	}
}

// startsOlder reports whether this entry has started with an older configuration than
// others have, and is to wait for a newer one.
func (g *Gateway) startsOlder() bool {
	newest := g.olderStart.newest.Load()
	return newest > g.snapshot.Load().version() && g.now()-g.started < olderStartTime
}
