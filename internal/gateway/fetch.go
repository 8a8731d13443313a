package gateway

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/watch"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// fetch returns the state of fetching a table. The caller holds the mutex.
func (p *peers) fetch(table nodev1.Table) *fetchState {
	s := p.fetches[table]
	if s == nil {
		s = &fetchState{}
		p.fetches[table] = s
	}
	return s
}

// peerState returns the state of a peer's copy. An entry of an earlier build sends only
// the version of the newest change in it.
func peerState(content int64, c *nodev1.TableCopy) watch.State {
	if c == nil {
		return watch.State{Position: watch.Position{Version: content}, Digest: unknownDigest}
	}
	return watch.State{Position: watch.Position{Era: c.GetEra(), Version: c.GetVersion()}, Digest: c.GetDigest()}
}

// unknownDigest differs from that of any copy but one in 2^64.
const unknownDigest = math.MaxUint64

// catchUp updates a copy from a peer that has newer rows. A peer of another region is
// used only if the region of this entry has not had the rows for a while, by one
// entry after the other.
func (g *Gateway) catchUp(ctx context.Context, m *nodev1.EntrySummary, table nodev1.Table, peer watch.State, now time.Duration) {
	if !g.tableState(table).Behind(peer) {
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
		err := g.syncTable(ctx, m.GetAddress(), table)
		switch {
		case errors.Is(err, watch.ErrDiverged):
			telemetry.CopiesDiffer.Log(ctx, g.logger, "peer", m.GetAddress(), "table", table.String(), "era", peer.Era, "version", peer.Version)
		case err != nil:
			telemetry.PeerCopyNotFetched.Log(ctx, g.logger, "peer", m.GetAddress(), "table", table.String(), "error", err)
		}
		g.peers.endFetch(table, g.now(), err)
	}()
}

// fetchState is the state of fetching one table's copy from peers.
type fetchState struct {
	fetching    bool
	behindSince time.Duration // time since which a peer has newer rows, 0 if none has
	retryAt     time.Duration // no earlier than this, after a failure
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
	if s.fetching || now < s.retryAt || now-s.behindSince < delay {
		return false
	}
	s.fetching = true
	return true
}

// fetchRetryDelay is the time after a failed fetch before the next one.
const fetchRetryDelay = 300 * time.Millisecond

func (p *peers) endFetch(table nodev1.Table, now time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.fetch(table)
	s.fetching = false
	s.behindSince = 0
	if err != nil {
		s.retryAt = now + fetchRetryDelay
	}
}
