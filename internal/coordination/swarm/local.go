package swarm

import (
	"math"
	"math/bits"
	"time"
)

// pickLocal picks a chunk to fetch from a member of the region. Members that are
// polled only because they are gateways are used when no neighbour offers a pending
// chunk: a gateway may be the only holder of a chunk without being the neighbour of
// any member.
func (p *Picker) pickLocal(now time.Time) (Fetch, bool) {
	if f, found := p.pickRarest(now, p.neighbourPeers); found {
		return f, true
	}
	return p.pickRarest(now, p.polledRegionPeers)
}

// pickRarest picks the pending chunk with the fewest known holders in the region
// among those that an available one of the peers holds.
func (p *Picker) pickRarest(now time.Time, peers []*peer) (Fetch, bool) {
	available := NewBitmap(len(p.chunks))
	for _, q := range peers {
		if p.canRequest(now, q) {
			available.union(q.held)
		}
	}
	available.intersect(p.pending)
	best, rarest := -1, math.MaxInt
	offset := p.settings.rand(len(available.bits))
	for k := range available.bits {
		index := (k + offset) % len(available.bits)
		for octet := available.bits[index]; octet != 0; octet &= octet - 1 {
			i := 8*index + bits.TrailingZeros8(octet)
			if p.chunks[i].holders < rarest {
				best, rarest = i, p.chunks[i].holders
			}
		}
	}
	if best < 0 {
		return Fetch{}, false
	}
	return Fetch{Chunk: best, Source: p.bestPeer(now, best, peers, "")}, true
}

// pickDuplicate implements the endgame: when every missing chunk is being fetched,
// the oldest fetch that exceeds endgameAge is duplicated from a second sender.
func (p *Picker) pickDuplicate(now time.Time) (Fetch, bool) {
	duplicates := 0
	var oldest *activeFetch
	for _, f := range p.activeFetches {
		if p.chunks[f.Chunk].activeFetches > 1 {
			duplicates++
			continue
		}
		if now.Sub(f.started) >= p.endgameAge() && (oldest == nil || f.started.Before(oldest.started)) &&
			!p.bestPeer(now, f.Chunk, p.neighbourPeers, f.Source.Peer).Origin() {
			oldest = f
		}
	}
	if oldest == nil || duplicates >= 2*p.settings.maxDuplicates || p.pending.Count() > 0 {
		return Fetch{}, false
	}
	return Fetch{Chunk: oldest.Chunk, Source: p.bestPeer(now, oldest.Chunk, p.neighbourPeers, oldest.Source.Peer)}, true
}

func (p *Picker) endgameAge() time.Duration { return 2 * max(p.meanFetchTime, p.pollInterval()) }

// canRequest reports whether another chunk may be requested from the peer.
func (p *Picker) canRequest(now time.Time, q *peer) bool {
	return q.mapReceived && q.activeFetches < p.settings.maxPerPeer && q.backoff.ready(now)
}

// bestPeer returns the holder of the chunk with the lowest cost, and a random one
// among equals. The cost prefers peers with a free upload slot, then those that are
// not gateways, then those in the same failure domain, then those with the fewest
// uploads. The peer named exclude is skipped. If there is no such peer, the result
// is the zero Source, which stands for the origin.
func (p *Picker) bestPeer(now time.Time, chunk int, peers []*peer, exclude string) Source {
	var best *peer
	var lowest int
	ties := 0
	for _, q := range peers {
		if !q.held.Has(chunk) || q.member.Name() == exclude || !p.canRequest(now, q) {
			continue
		}
		c := p.cost(q)
		switch {
		case best == nil || c < lowest:
			best, lowest, ties = q, c, 1
		case c == lowest:
			ties++
			if p.settings.rand(ties) == 0 {
				best = q
			}
		}
	}
	if best == nil {
		return Source{}
	}
	return Source{Peer: best.member.Name()}
}

// Components of the cost of a peer, in order of precedence: no free upload slot, being
// a gateway, being in another failure domain. Each is larger than the sum of the lower
// ones and any realistic number of uploads.
const (
	busyCost        = 1 << 20
	gatewayCost     = 1 << 15
	otherDomainCost = 1 << 10
)

func (p *Picker) cost(q *peer) int {
	load := q.uploads + q.activeFetches
	c := load
	if load >= p.settings.uploadSlots {
		c += busyCost
	}
	if q.gateway {
		c += gatewayCost
	}
	if q.member.FailureDomain() != p.self.FailureDomain() {
		c += otherDomainCost
	}
	return c
}
