package swarm

import (
	"slices"
	"time"
)

// currentGateways returns the current gateways of the instance's region: the first
// members in rank, with those that are unreachable or make no progress moved to the
// end. If no member makes progress, for example during an outage of the origin, the
// first in rank remain gateways.
func (p *Picker) currentGateways(now time.Time) []string {
	ranked := p.gatewayOrder[p.self.Region()]
	ranked = ranked[:min(standbyFactor*p.settings.gateways, len(ranked))]
	var active, inactive []string
	for _, name := range ranked {
		if p.inactive(now, name) {
			inactive = append(inactive, name)
		} else {
			active = append(active, name)
		}
	}
	gateways := append(active, inactive...)
	return gateways[:min(p.settings.gateways, len(gateways))]
}

// inactive reports whether a member of the region, which may be the instance itself, is
// unreachable, or lacks chunks and has obtained none for the takeover timeout.
func (p *Picker) inactive(now time.Time, name string) bool {
	q := p.peers[name]
	if q == nil {
		return !p.staged.Full() && now.Sub(p.lastStaged) >= p.settings.takeoverTimeout
	}
	if q.unreachable() {
		return true
	}
	return !q.held.Full() && now.Sub(q.lastProgress) >= p.settings.takeoverTimeout
}

// nextIngress starts fetches over the links into the region if the instance is one of
// its gateways.
func (p *Picker) nextIngress(now time.Time) []Fetch {
	gateways := p.currentGateways(now)
	if !p.initialPollsDone() || !slices.Contains(gateways, p.self.Name()) {
		return nil
	}
	var fetches []Fetch
	for _, link := range p.ingressLinks() {
		for p.countActive(link.name) < link.concurrency {
			f, found := p.pickIngress(now, link, gateways)
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

// initialPollsDone reports whether the member list has been received and each polled
// member of the region has answered or failed a poll. Before that, a member that has
// just started would fetch chunks that the region already holds.
func (p *Picker) initialPollsDone() bool {
	if !p.membersListed {
		return false
	}
	for _, q := range p.polledPeers {
		if q.inRegion && !q.mapReceived && q.failedPolls == 0 {
			return false
		}
	}
	return true
}

// link is a network path into the region.
type link struct {
	name        string
	origin      bool
	region      string
	concurrency int
	rate        float64
}

// originLink is the name of the link from the origin if the origin is in the same
// region or its region is not configured.
const originLink = "origin"

// ingressLinks returns the links into the region: one for each other region, and one
// for the origin unless it is behind the link of another region.
func (p *Picker) ingressLinks() []link {
	var links []link
	linkRate := p.settings.linkRate * p.settings.linkShare
	originLocal := p.settings.originRegion == "" || p.settings.originRegion == p.self.Region()
	if originLocal {
		l := link{name: originLink, origin: true, concurrency: p.settings.originConcurrency}
		if p.settings.originRegion == "" {
			l.rate = linkRate
		}
		links = append(links, l)
	}
	originReachable := originLocal
	for _, region := range p.regions {
		if region == p.self.Region() {
			continue
		}
		l := link{name: region, region: region, concurrency: 1, rate: linkRate}
		if region == p.settings.originRegion {
			l.origin = true
			originReachable = true
		}
		links = append(links, l)
	}
	if !originReachable {
		links = append(links, link{name: p.settings.originRegion, origin: true, concurrency: 1, rate: linkRate})
	}
	return links
}

// pickIngress picks a chunk that is assigned to this gateway and that no known member
// of the region holds. If there is none and the link has been idle for helpDelay, or for
// the takeover timeout, it picks a chunk of the gateway with the most remaining chunks.
func (p *Picker) pickIngress(now time.Time, l link, gateways []string) (Fetch, bool) {
	hashes := make([]uint64, len(gateways))
	for i, name := range gateways {
		hashes[i] = rendezvousHash("member", name)
	}
	selfIndex := slices.Index(gateways, p.self.Name())
	remaining := make([]int, len(gateways))
	best := make([]candidate, len(gateways))
	sources := p.sourcesOver(now, l)
	for i := range p.chunks {
		if !p.pending.Has(i) || p.chunks[i].holders > 0 {
			continue
		}
		ownerIndex := owner(p.chunks[i].hash, hashes)
		remaining[ownerIndex]++
		c := p.candidate(i, l, sources)
		if ownerIndex != selfIndex {
			c.sortKey = fmix64(c.sortKey ^ hashes[selfIndex])
		}
		if c.found && (!best[ownerIndex].found || c.less(best[ownerIndex])) {
			best[ownerIndex] = c
		}
	}
	chosen := best[selfIndex]
	switch idle := p.idleTime(now, l); {
	case chosen.found:
	case idle >= p.settings.takeoverTimeout:
		chosen = mostRemaining(best, remaining, 0)
	case idle >= p.helpDelay() && remaining[selfIndex] == 0:
		chosen = mostRemaining(best, remaining, 2*l.concurrency)
	}
	p.recordIdle(now, l, best[selfIndex])
	if !chosen.found {
		return Fetch{}, false
	}
	f := Fetch{Chunk: chosen.chunk}
	if !chosen.origin {
		f.Source = p.bestPeer(now, f.Chunk, sources.peers, "")
	}
	return f, true
}

// mostRemaining returns the candidate of the gateway with the most remaining chunks, if
// there are more than margin. The margin allows for the chunks that the gateway is
// fetching, or has fetched since its last chunk map.
func mostRemaining(best []candidate, remaining []int, margin int) candidate {
	var chosen candidate
	most := margin
	for g, c := range best {
		if c.found && remaining[g] > most {
			chosen, most = c, remaining[g]
		}
	}
	return chosen
}

// helpDelay returns how long a link must be without an assigned chunk before the
// gateway fetches chunks assigned to another one. By then the chunk map of the other
// gateway shows what it has fetched.
func (p *Picker) helpDelay() time.Duration { return 2 * p.settings.pollInterval }

// idleTime returns for how long the link has had no assigned chunk to fetch, as
// recorded by recordIdle.
func (p *Picker) idleTime(now time.Time, l link) time.Duration {
	since, idle := p.idleSince[l.name]
	if !idle {
		return 0
	}
	return now.Sub(since)
}

// recordIdle records the time since which the link has had no assigned chunk to fetch.
// A chunk that only the origin has counts only if the region downloads from the origin.
func (p *Picker) recordIdle(now time.Time, l link, chosen candidate) {
	if chosen.found && (!chosen.origin || p.usesOrigin) {
		delete(p.idleSince, l.name)
		return
	}
	if _, idle := p.idleSince[l.name]; !idle {
		p.idleSince[l.name] = now
	}
}

// linkSources are the sources behind a link and the chunks that the peers among them
// hold.
type linkSources struct {
	peers  []*peer
	held   Bitmap
	origin bool
}

// sourcesOver returns the sources behind the link. They include the origin if the
// region is assigned to download from it. For any other region they include it only if
// the link has been idle and the polled members of other regions have obtained no chunk
// for the takeover timeout.
func (p *Picker) sourcesOver(now time.Time, l link) linkSources {
	s := linkSources{held: NewBitmap(len(p.chunks))}
	for _, q := range p.remotePeers {
		if q.member.Region() == l.region && p.canRequest(now, q) {
			s.peers = append(s.peers, q)
			s.held.union(q.held)
		}
	}
	fallback := p.idleTime(now, l) >= p.settings.takeoverTimeout && !p.remoteProgress(now)
	s.origin = l.origin && p.origin.backoff.ready(now) && (p.usesOrigin || fallback)
	return s
}

// remoteProgress reports whether a polled member of another region has obtained a chunk
// within the takeover timeout. Chunks missing from this region can then be expected
// from there.
func (p *Picker) remoteProgress(now time.Time) bool {
	return slices.ContainsFunc(p.polledPeers, func(q *peer) bool {
		return !q.inRegion && q.mapReceived && now.Sub(q.lastProgress) < p.settings.takeoverTimeout
	})
}

// candidate is a chunk that can be fetched over a link.
type candidate struct {
	found  bool
	chunk  int
	origin bool
	// otherEntry reports whether another region fetches the chunk first.
	otherEntry bool
	// sortKey is the chunk hash for the gateway that owns the chunk. For other gateways
	// it also depends on the gateway, so that they rarely fetch the same chunk.
	sortKey uint64
}

// less reports whether c is to be fetched before o. Chunks that this region fetches
// first precede those that another region fetches first; then sortKey decides.
func (c candidate) less(o candidate) bool {
	if c.otherEntry != o.otherEntry {
		return !c.otherEntry
	}
	return c.sortKey < o.sortKey
}

func (p *Picker) candidate(i int, l link, sources linkSources) candidate {
	c := candidate{chunk: i, sortKey: p.chunks[i].hash}
	switch {
	case sources.origin && (p.usesOrigin || !sources.held.Has(i)):
		c.found, c.origin = true, true
	case sources.held.Has(i):
		c.found = true
	}
	viaOriginRegion := l.origin && l.name != originLink
	c.otherEntry = viaOriginRegion && p.chunks[i].entryRegion != p.self.Region()
	return c
}
