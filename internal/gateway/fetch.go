package gateway

import (
	"context"
	"time"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// catchUp updates a copy from a peer that has newer rows. A peer of another region is
// used only if the region of this entry has not had the rows for a while, by one
// entry after the other.
func (g *Gateway) catchUp(ctx context.Context, m *nodev1.EntrySummary, table nodev1.Table, revision int64, now time.Duration) {
	if revision <= g.tableRevision(table) {
		return
	}
	delay := time.Duration(0)
	if m.GetRegion() != g.self.Region {
		delay = crossRegionFetchDelay + time.Duration(g.rank().region)*readStagger
	}
	if !g.peers.beginFetch(table, delay, now) {
		return
	}
	go func() {
		if err := g.syncTable(ctx, m.GetAddress(), table); err != nil {
			telemetry.PeerCopyNotFetched.Log(ctx, g.logger, "peer", m.GetAddress(), "table", table.String(), "error", err)
		}
		g.peers.endFetch(table)
	}()
}

// fetchState is the state of fetching one table's copy from peers.
type fetchState struct {
	fetching    bool
	behindSince time.Duration // time since which a peer has newer rows, 0 if none has
}

// beginFetch reports whether to fetch the newer rows of a peer now. The rows must
// have been missing for at least the delay.
func (p *peers) beginFetch(table nodev1.Table, delay, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.fetches[table]
	if s == nil {
		s = &fetchState{}
		p.fetches[table] = s
	}
	if s.behindSince == 0 || now-s.behindSince > 4*max(delay, crossRegionFetchDelay) {
		s.behindSince = now
	}
	if s.fetching || now-s.behindSince < delay {
		return false
	}
	s.fetching = true
	return true
}

func (p *peers) endFetch(table nodev1.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetches[table].fetching = false
	p.fetches[table].behindSince = 0
}
