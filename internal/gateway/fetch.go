package gateway

import (
	"context"
	"time"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// reportDifference logs that a peer's copy has the same newest change as this entry's and
// other rows.
func (g *Gateway) reportDifference(ctx context.Context, m *nodev1.EntrySummary, table nodev1.Table, content int64, c *nodev1.TableCopy) {
	own := g.tableState(table)
	if c == nil || content != own.Content || c.GetDigest() == own.Digest || !g.peers.differenceIsNew(table, c.GetDigest()^own.Digest) {
		return
	}
	telemetry.CopiesDiffer.Log(ctx, g.logger, "peer", m.GetAddress(), "table", table.String(), "content", content,
		"version", own.Version, "peerVersion", c.GetVersion(), "digest", own.Digest, "peerDigest", c.GetDigest())
}

// differenceIsNew reports whether a difference of copies, identified by the exclusive or of
// their digests, is another one than that reported last.
func (p *peers) differenceIsNew(table nodev1.Table, difference uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.fetch(table)
	isNew := s.difference != difference
	s.difference = difference
	return isNew
}

// fetch returns the state of fetching a table. The caller holds the mutex.
func (p *peers) fetch(table nodev1.Table) *fetchState {
	s := p.fetches[table]
	if s == nil {
		s = &fetchState{}
		p.fetches[table] = s
	}
	return s
}

// catchUp updates a copy from a peer that has newer rows. A peer of another region is
// used only if the region of this entry has not had the rows for a while, by one
// entry after the other.
func (g *Gateway) catchUp(ctx context.Context, m *nodev1.EntrySummary, table nodev1.Table, revision int64, now time.Duration) {
	if revision <= g.tableState(table).Content {
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
	difference  uint64        // the last one reported, as the exclusive or of two digests
}

// beginFetch reports whether to fetch the newer rows of a peer now. The rows must
// have been missing for at least the delay.
func (p *peers) beginFetch(table nodev1.Table, delay, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.fetch(table)
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
