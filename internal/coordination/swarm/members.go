package swarm

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/member"
)

// SetMembers replaces the members that want or hold the manifest, all regions
// included. The own member may be among them and does not count as a peer.
// Members that leave are not asked for chunks any more.
func (p *Picker) SetMembers(now time.Time, members []member.Member) {
	if !p.listed {
		p.gained = now
	}
	p.listed = p.listed || members != nil
	live := make(map[string]bool)
	for _, m := range members {
		if m.Name() == p.self.Name() || m.State() != member.StateLive {
			continue
		}
		live[m.Name()] = true
		q := p.peers[m.Name()]
		if q == nil || q.member.Incarnation() != m.Incarnation() {
			p.remove(q)
			p.add(now, m)
		}
	}
	for name, q := range p.peers {
		if !live[name] {
			p.remove(q)
		}
	}
	p.arrange()
}

func (p *Picker) add(now time.Time, m member.Member) {
	p.peers[m.Name()] = &peer{
		member: m,
		local:  m.Region() == p.self.Region(),
		held:   NewBitmap(len(p.chunks)),
		gained: now,
	}
}

// remove forgets a peer. A member that comes back with a new incarnation has
// kept nothing.
func (p *Picker) remove(q *peer) {
	if q == nil {
		return
	}
	p.replaceHeld(q, NewBitmap(len(p.chunks)))
	delete(p.peers, q.member.Name())
	delete(p.neighbour, q.member.Name())
}

// arrange derives the orders that decisions use from the set of peers.
func (p *Picker) arrange() {
	p.local = nil
	p.foreign = nil
	byRegion := map[string][]string{p.self.Region(): {p.self.Name()}}
	for _, q := range p.peers {
		region := q.member.Region()
		byRegion[region] = append(byRegion[region], q.member.Name())
		if q.local {
			p.local = append(p.local, q)
		} else {
			p.foreign = append(p.foreign, q)
		}
	}
	byName := func(a, b *peer) int { return cmp.Compare(a.member.Name(), b.member.Name()) }
	slices.SortFunc(p.local, byName)
	slices.SortFunc(p.foreign, byName)
	p.regions = nil
	p.ranked = make(map[string][]string)
	for region, names := range byRegion {
		p.regions = append(p.regions, region)
		p.ranked[region] = rank(p.manifest.ID().String()+"/"+region, names)
	}
	slices.Sort(p.regions)
	p.arrangeOrigin()
	p.fillNeighbours()
}

// arrangeOrigin decides which regions draw from the origin by plan and which
// region each chunk enters first.
func (p *Picker) arrangeOrigin() {
	order := rank(p.manifest.ID().String()+"/origin", p.regions)
	if i := slices.Index(order, p.set.originRegion); i > 0 {
		order = slices.Insert(slices.Delete(order, i, i+1), 0, p.set.originRegion)
	}
	copies := p.set.originCopies
	if copies == 0 || copies > len(order) {
		copies = len(order)
	}
	p.direct = slices.Contains(order[:copies], p.self.Region())
	remote := order
	if len(remote) > 1 && remote[0] == p.set.originRegion {
		remote = remote[1:]
	}
	hashes := make([]uint64, len(remote))
	for i, region := range remote {
		hashes[i] = rendezvous("region", region)
	}
	for i := range p.chunks {
		p.chunks[i].entry = remote[owner(p.chunks[i].hash, hashes)]
	}
}

// fillNeighbours draws members of the region to poll: half of them from the own
// failure domain, as far as there are any.
func (p *Picker) fillNeighbours() {
	near, far := p.candidates()
	half := p.set.neighbours / 2
	p.drawNeighbours(near, half)
	p.drawNeighbours(far, p.set.neighbours)
	near, _ = p.candidates()
	p.drawNeighbours(near, p.set.neighbours)
	p.watch()
}

func (p *Picker) candidates() (near, far []string) {
	for _, q := range p.local {
		name := q.member.Name()
		switch {
		case p.neighbour[name] || q.unreachable() || q.distrusted():
		case q.member.FailureDomain() == p.self.FailureDomain():
			near = append(near, name)
		default:
			far = append(far, name)
		}
	}
	return near, far
}

func (p *Picker) drawNeighbours(names []string, limit int) {
	for len(names) > 0 && len(p.neighbour) < limit {
		k := p.set.rand(len(names))
		p.neighbour[names[k]] = true
		names = slices.Delete(names, k, k+1)
	}
}

// PollTargets returns the peers whose chunk maps to ask for now. They count as
// asked; Observe or ObserveFailed follows.
func (p *Picker) PollTargets(now time.Time) []string {
	var due []string
	interval := p.pollInterval()
	for _, q := range p.watching {
		resting := now.Sub(q.polled) < interval || q.failedPolls > 0 && !q.mark.usable(now)
		if resting || q.held.Full() {
			continue
		}
		q.polled = now
		due = append(due, q.member.Name())
	}
	return due
}

// pollInterval follows the mean time of a fetch, between minPollInterval and the
// interval set: chunk maps older than that are of little use, and newer ones of
// little news.
func (p *Picker) pollInterval() time.Duration {
	if p.meanFetch == 0 {
		return p.set.pollInterval
	}
	return min(max(p.meanFetch, minPollInterval), p.set.pollInterval)
}

// watch derives whose chunk maps matter: neighbours to everyone, gateways to
// gateways and to those next in rank.
func (p *Picker) watch() {
	p.watching = nil
	p.near = nil
	p.watchedLocal = nil
	standby := p.gatewayRank(p.self) < standbyFactor*p.set.gateways
	for _, group := range [][]*peer{p.local, p.foreign} {
		for _, q := range group {
			q.gateway = p.gatewayRank(q.member) < p.set.gateways
			near := q.local && p.neighbour[q.member.Name()]
			if near {
				p.near = append(p.near, q)
			}
			q.watched = near || standby && p.gatewayRank(q.member) < standbyFactor*p.set.gateways
			if q.watched {
				p.watching = append(p.watching, q)
			}
			if q.watched && q.local {
				p.watchedLocal = append(p.watchedLocal, q)
			}
		}
	}
}

// standbyFactor is how many members of a region, in gateways, watch the gateways
// of all regions so as to draw with them or take over from them.
const standbyFactor = 2

// gatewayRank returns the position of the member in the order in which the members
// of its region become gateways.
func (p *Picker) gatewayRank(m member.Member) int {
	return slices.Index(p.ranked[m.Region()], m.Name())
}

// RecordChunkMap records the chunk map of a peer and its uploads in progress.
func (p *Picker) RecordChunkMap(now time.Time, name string, held Bitmap, uploads int) {
	q := p.peers[name]
	if q == nil || held.Size() != len(p.chunks) {
		return
	}
	q.known = true
	q.failedPolls = 0
	q.uploads = uploads
	if held.Count() > q.claimed {
		q.claimed = held.Count()
		q.gained = now
	}
	if !now.Before(q.ignoredUntil) {
		p.replaceHeld(q, held)
	}
}

// RecordFailedPoll records that the peer did not answer a poll. What only an
// unreachable peer holds counts as missing.
func (p *Picker) RecordFailedPoll(now time.Time, name string) {
	q := p.peers[name]
	if q == nil {
		return
	}
	q.failedPolls++
	q.mark.strike(now, p.set.backoff)
	if q.unreachable() {
		p.replaceHeld(q, NewBitmap(len(p.chunks)))
		p.replaceNeighbour(name)
	}
}

// ignore takes the chunk maps of the peer for empty until the given time, so that
// a chunk which only it holds, or says so, is drawn from elsewhere.
func (p *Picker) ignore(q *peer, until time.Time) {
	q.ignoredUntil = until
	p.replaceHeld(q, NewBitmap(len(p.chunks)))
	p.replaceNeighbour(q.member.Name())
}

func (p *Picker) replaceNeighbour(name string) {
	if p.neighbour[name] {
		delete(p.neighbour, name)
		p.fillNeighbours()
	}
}

func (p *Picker) replaceHeld(q *peer, held Bitmap) {
	for k, octet := range q.held.bits {
		changed := octet ^ held.bits[k]
		for ; q.local && changed != 0; changed &= changed - 1 {
			i := 8*k + bits.TrailingZeros8(changed)
			if held.Has(i) {
				p.chunks[i].holders++
			} else {
				p.chunks[i].holders--
			}
		}
	}
	q.held = held
}
