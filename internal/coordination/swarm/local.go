package swarm

import (
	"math"
	"math/bits"
	"time"
)

// pickLocal picks a chunk from a member of the region. Members that are watched
// only as gateways are asked when no neighbour has anything: one of them may be
// the only holder, and nobody's neighbour.
func (p *Picker) pickLocal(now time.Time) (Fetch, bool) {
	if f, found := p.pickRarest(now, p.near); found {
		return f, true
	}
	return p.pickRarest(now, p.watchedLocal)
}

// pickRarest picks the rarest chunk that a usable one of the peers holds.
func (p *Picker) pickRarest(now time.Time, among []*peer) (Fetch, bool) {
	available := NewBitmap(len(p.chunks))
	for _, q := range among {
		if p.askable(now, q) {
			available.union(q.held)
		}
	}
	available.intersect(p.open)
	best, rarest := -1, math.MaxInt
	offset := p.set.rand(len(available.bits))
	for k := range available.bits {
		at := (k + offset) % len(available.bits)
		for octet := available.bits[at]; octet != 0; octet &= octet - 1 {
			i := 8*at + bits.TrailingZeros8(octet)
			if p.chunks[i].holders < rarest {
				best, rarest = i, p.chunks[i].holders
			}
		}
	}
	if best < 0 {
		return Fetch{}, false
	}
	return Fetch{Chunk: best, Source: p.bestPeer(now, best, among, "")}, true
}

// pickDuplicate starts the endgame: with every missing chunk on its way, a chunk
// that one sender has been at for long is asked of a second one as well.
func (p *Picker) pickDuplicate(now time.Time) (Fetch, bool) {
	duplicates := 0
	var oldest *flight
	for _, f := range p.flights {
		if p.chunks[f.Chunk].flights > 1 {
			duplicates++
			continue
		}
		if now.Sub(f.started) >= p.endgameAge() && (oldest == nil || f.started.Before(oldest.started)) &&
			!p.bestPeer(now, f.Chunk, p.near, f.Source.Peer).Origin() {
			oldest = f
		}
	}
	if oldest == nil || duplicates >= 2*p.set.maxDuplicates || p.open.Count() > 0 {
		return Fetch{}, false
	}
	return Fetch{Chunk: oldest.Chunk, Source: p.bestPeer(now, oldest.Chunk, p.near, oldest.Source.Peer)}, true
}

func (p *Picker) endgameAge() time.Duration { return 2 * max(p.meanFetch, p.pollInterval()) }

// askable reports whether a further fetch may go to the peer.
func (p *Picker) askable(now time.Time, q *peer) bool {
	return q.known && q.flights < p.set.perPeer && q.mark.usable(now)
}

// bestPeer returns the holder of the chunk to ask: one with a free slot, in the
// own failure domain, with the fewest uploads. The one named by except is left
// out. The result is the origin if there is none.
func (p *Picker) bestPeer(now time.Time, chunk int, among []*peer, except string) Source {
	var best *peer
	var lowest int
	ties := 0
	for _, q := range among {
		if !q.held.Has(chunk) || q.member.Name() == except || !p.askable(now, q) {
			continue
		}
		c := p.cost(q)
		switch {
		case best == nil || c < lowest:
			best, lowest, ties = q, c, 1
		case c == lowest:
			ties++
			if p.set.rand(ties) == 0 {
				best = q
			}
		}
	}
	if best == nil {
		return Source{}
	}
	return Source{Peer: best.member.Name()}
}

// Weights of the cost of a peer: a busy one costs more than any idle one, and
// one of another failure domain more than any of the own.
const (
	busyCost    = 1 << 20
	gatewayCost = 1 << 15
	distantCost = 1 << 10
)

func (p *Picker) cost(q *peer) int {
	load := q.uploads + q.flights
	c := load
	if load >= p.set.uploadSlots {
		c += busyCost
	}
	if q.gateway {
		c += gatewayCost
	}
	if q.member.FailureDomain() != p.self.FailureDomain() {
		c += distantCost
	}
	return c
}
