package swarm

import (
	"slices"
	"time"
)

// gatewaysNow returns the members that draw into the own region now: the first
// in rank, with those that fail or make no progress put last. When nobody makes
// progress, as in an outage of the origin, it is the first in rank that go on.
func (p *Picker) gatewaysNow(now time.Time) []string {
	ranked := p.ranked[p.self.Region()]
	ranked = ranked[:min(standbyFactor*p.set.gateways, len(ranked))]
	var active, passive []string
	for _, name := range ranked {
		if p.passive(now, name) {
			passive = append(passive, name)
		} else {
			active = append(active, name)
		}
	}
	chosen := append(active, passive...)
	return chosen[:min(p.set.gateways, len(chosen))]
}

// passive reports whether a member of the region, the own one included, fails or
// has gained no chunk for the takeover timeout although it lacks some.
func (p *Picker) passive(now time.Time, name string) bool {
	q := p.peers[name]
	if q == nil {
		return !p.staged.Full() && now.Sub(p.gained) >= p.set.takeover
	}
	if q.unreachable() {
		return true
	}
	return !q.held.Full() && now.Sub(q.gained) >= p.set.takeover
}

// nextCrossing starts fetches over the links into the region if the own member
// is one of its gateways.
func (p *Picker) nextCrossing(now time.Time) []Fetch {
	gateways := p.gatewaysNow(now)
	if !p.surveyed() || !slices.Contains(gateways, p.self.Name()) {
		return nil
	}
	var fetches []Fetch
	for _, link := range p.links() {
		for p.inFlight(link.name) < link.slots {
			f, found := p.pickCrossing(now, link, gateways)
			if !found {
				break
			}
			f.Link = link.name
			f.Rate = link.rate / float64(len(gateways))
			fetches = append(fetches, p.start(now, f))
		}
	}
	return fetches
}

// surveyed reports whether the members are known and each watched member of the
// region has answered or failed a poll. Before that, a member that just started
// would draw what the region holds already.
func (p *Picker) surveyed() bool {
	if !p.listed {
		return false
	}
	for _, q := range p.watching {
		if q.local && !q.known && q.failedPolls == 0 {
			return false
		}
	}
	return true
}

// link is one way into the region.
type link struct {
	name   string
	origin bool
	region string
	slots  int
	rate   float64
}

// originLink names the way from the origin when its region is the own one or is
// not known.
const originLink = "origin"

// links returns the ways into the region: one for each other region, and one
// for the origin unless it stands in another region.
func (p *Picker) links() []link {
	var links []link
	paced := p.set.linkRate * p.set.linkShare
	near := p.set.originRegion == "" || p.set.originRegion == p.self.Region()
	if near {
		l := link{name: originLink, origin: true, slots: p.set.originSlots}
		if p.set.originRegion == "" {
			l.rate = paced
		}
		links = append(links, l)
	}
	reached := near
	for _, region := range p.regions {
		if region == p.self.Region() {
			continue
		}
		l := link{name: region, region: region, slots: 1, rate: paced}
		if region == p.set.originRegion {
			l.origin = true
			reached = true
		}
		links = append(links, l)
	}
	if !reached {
		links = append(links, link{name: p.set.originRegion, origin: true, slots: 1, rate: paced})
	}
	return links
}

// pickCrossing picks a chunk that nobody known in the region holds and that the
// own member owns among the gateways. With none left it helps the gateway that
// has the most to go.
func (p *Picker) pickCrossing(now time.Time, l link, gateways []string) (Fetch, bool) {
	hashes := make([]uint64, len(gateways))
	for i, name := range gateways {
		hashes[i] = rendezvous("member", name)
	}
	own := slices.Index(gateways, p.self.Name())
	remaining := make([]int, len(gateways))
	best := make([]candidate, len(gateways))
	offer := p.offer(now, l)
	for i := range p.chunks {
		if !p.open.Has(i) || p.chunks[i].holders > 0 {
			continue
		}
		owned := owner(p.chunks[i].hash, hashes)
		remaining[owned]++
		c := p.candidate(i, l, offer)
		if owned != own {
			c.order = mix(c.order ^ hashes[own])
		}
		if c.found && (!best[owned].found || c.before(best[owned])) {
			best[owned] = c
		}
	}
	chosen := best[own]
	switch idle := p.idleFor(now, l); {
	case chosen.found:
	case idle >= p.set.takeover:
		chosen = mostBehind(best, remaining, 0)
	case idle >= p.helpAfter() && remaining[own] == 0:
		chosen = mostBehind(best, remaining, 2*l.slots)
	}
	p.noteIdle(now, l, best[own])
	if !chosen.found {
		return Fetch{}, false
	}
	f := Fetch{Chunk: chosen.chunk}
	if !chosen.origin {
		f.Source = p.bestPeer(now, f.Chunk, offer.peers, "")
	}
	return f, true
}

// mostBehind returns the candidate of the gateway with the most chunks to go, if
// they are more than those that it has on its way or has just drawn unseen.
func mostBehind(best []candidate, remaining []int, unseen int) candidate {
	var chosen candidate
	most := unseen
	for g, c := range best {
		if c.found && remaining[g] > most {
			chosen, most = c, remaining[g]
		}
	}
	return chosen
}

// helpAfter is how long a link must have nothing of its own before the gateway
// helps another one: by then it has seen what the other one drew.
func (p *Picker) helpAfter() time.Duration { return 2 * p.set.pollInterval }

// idleFor returns for how long no peer had anything of its own for the link.
func (p *Picker) idleFor(now time.Time, l link) time.Duration {
	since, idle := p.idleSince[l.name]
	if !idle {
		return 0
	}
	return now.Sub(since)
}

// noteIdle remembers since when no peer had anything for the link.
func (p *Picker) noteIdle(now time.Time, l link, chosen candidate) {
	if chosen.found && (!chosen.origin || p.direct) {
		delete(p.idleSince, l.name)
		return
	}
	if _, idle := p.idleSince[l.name]; !idle {
		p.idleSince[l.name] = now
	}
}

// offer is what can be had over a link.
type offer struct {
	peers  []*peer
	held   Bitmap
	origin bool
}

// offer collects what the peers behind the link hold. The origin is part of it
// for a region that draws from it by plan, and for any other one when the peers
// had nothing for the takeover timeout.
func (p *Picker) offer(now time.Time, l link) offer {
	o := offer{held: NewBitmap(len(p.chunks))}
	for _, q := range p.foreign {
		if q.member.Region() == l.region && p.askable(now, q) {
			o.peers = append(o.peers, q)
			o.held.union(q.held)
		}
	}
	late := p.idleFor(now, l) >= p.set.takeover && !p.gainedAbroad(now)
	o.origin = l.origin && p.origin.mark.usable(now) && (p.direct || late)
	return o
}

// gainedAbroad reports whether a watched member of another region got a chunk in
// the last takeover timeout: what is missing here is then on its way.
func (p *Picker) gainedAbroad(now time.Time) bool {
	return slices.ContainsFunc(p.watching, func(q *peer) bool {
		return !q.local && q.known && now.Sub(q.gained) < p.set.takeover
	})
}

// candidate is a chunk that can be fetched over a link.
type candidate struct {
	found  bool
	chunk  int
	origin bool
	// late chunks enter another region first.
	late bool
	// order is the same in all members for the owner of a chunk, and another one
	// in each member that helps it, so that helpers rarely draw the same chunk.
	order uint64
}

// before orders the chunks of one gateway: those that enter by this region come
// first, then by order.
func (c candidate) before(o candidate) bool {
	if c.late != o.late {
		return !c.late
	}
	return c.order < o.order
}

func (p *Picker) candidate(i int, l link, o offer) candidate {
	c := candidate{chunk: i, order: p.chunks[i].hash}
	switch {
	case o.origin && (p.direct || !o.held.Has(i)):
		c.found, c.origin = true, true
	case o.held.Has(i):
		c.found = true
	}
	behindOrigin := l.origin && l.name != originLink
	c.late = behindOrigin && p.chunks[i].entry != p.self.Region()
	return c
}
