package swarm

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/member"
)

// SetMembers replaces the list of members, in all regions, that download or hold the
// manifest. The list may include the instance itself, which is not counted as a peer.
// No chunks are requested from members that are no longer listed or not live.
func (p *Picker) SetMembers(now time.Time, members []member.Member) {
	if !p.membersListed {
		p.lastStaged = now
	}
	p.membersListed = p.membersListed || members != nil
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
	p.rebuildIndexes()
}

func (p *Picker) add(now time.Time, m member.Member) {
	p.peers[m.Name()] = &peer{
		member:       m,
		inRegion:     m.Region() == p.self.Region(),
		held:         NewBitmap(len(p.chunks)),
		lastProgress: now,
	}
}

// remove deletes the state of a peer. A member that returns with a new incarnation
// starts without chunks.
func (p *Picker) remove(q *peer) {
	if q == nil {
		return
	}
	p.setHeld(q, NewBitmap(len(p.chunks)))
	delete(p.peers, q.member.Name())
	delete(p.neighbours, q.member.Name())
}

// rebuildIndexes derives the sorted peer lists, the gateway orders, the origin
// regions and the neighbours from the set of peers.
func (p *Picker) rebuildIndexes() {
	p.regionPeers = nil
	p.remotePeers = nil
	byRegion := map[string][]string{p.self.Region(): {p.self.Name()}}
	for _, q := range p.peers {
		region := q.member.Region()
		byRegion[region] = append(byRegion[region], q.member.Name())
		if q.inRegion {
			p.regionPeers = append(p.regionPeers, q)
		} else {
			p.remotePeers = append(p.remotePeers, q)
		}
	}
	byName := func(a, b *peer) int { return cmp.Compare(a.member.Name(), b.member.Name()) }
	slices.SortFunc(p.regionPeers, byName)
	slices.SortFunc(p.remotePeers, byName)
	p.regions = nil
	p.gatewayOrder = make(map[string][]string)
	for region, names := range byRegion {
		p.regions = append(p.regions, region)
		p.gatewayOrder[region] = rankByHash(p.manifest.ID().String()+"/"+region, names)
	}
	slices.Sort(p.regions)
	p.assignOriginRegions()
	p.fillNeighbours()
}

// assignOriginRegions selects the regions that download from the origin and, for each
// chunk, the region that fetches it from the origin's region first.
func (p *Picker) assignOriginRegions() {
	order := rankByHash(p.manifest.ID().String()+"/origin", p.regions)
	if i := slices.Index(order, p.settings.originRegion); i > 0 {
		order = slices.Insert(slices.Delete(order, i, i+1), 0, p.settings.originRegion)
	}
	copies := p.settings.originCopies
	if copies == 0 || copies > len(order) {
		copies = len(order)
	}
	p.usesOrigin = slices.Contains(order[:copies], p.self.Region())
	entryRegions := order
	if len(entryRegions) > 1 && entryRegions[0] == p.settings.originRegion {
		entryRegions = entryRegions[1:]
	}
	hashes := make([]uint64, len(entryRegions))
	for i, region := range entryRegions {
		hashes[i] = rendezvousHash("region", region)
	}
	for i := range p.chunks {
		p.chunks[i].entryRegion = entryRegions[owner(p.chunks[i].hash, hashes)]
	}
}

// fillNeighbours adds random members of the region as neighbours. Up to half of the
// neighbours are from the same failure domain; free places are filled from the other
// group if one group is too small.
func (p *Picker) fillNeighbours() {
	sameDomain, otherDomains := p.neighbourCandidates()
	half := p.settings.neighbours / 2
	p.addRandomNeighbours(sameDomain, half)
	p.addRandomNeighbours(otherDomains, p.settings.neighbours)
	sameDomain, _ = p.neighbourCandidates()
	p.addRandomNeighbours(sameDomain, p.settings.neighbours)
	p.selectPolledPeers()
}

func (p *Picker) neighbourCandidates() (sameDomain, otherDomains []string) {
	for _, q := range p.regionPeers {
		name := q.member.Name()
		switch {
		case p.neighbours[name] || q.unreachable() || q.banned():
		case q.member.FailureDomain() == p.self.FailureDomain():
			sameDomain = append(sameDomain, name)
		default:
			otherDomains = append(otherDomains, name)
		}
	}
	return sameDomain, otherDomains
}

func (p *Picker) addRandomNeighbours(names []string, limit int) {
	for len(names) > 0 && len(p.neighbours) < limit {
		k := p.settings.rand(len(names))
		p.neighbours[names[k]] = true
		names = slices.Delete(names, k, k+1)
	}
}

// PollTargets returns the peers to poll for their chunk maps now, and records them
// as polled. The caller reports each result with RecordChunkMap or RecordFailedPoll.
func (p *Picker) PollTargets(now time.Time) []string {
	var due []string
	interval := p.pollInterval()
	for _, q := range p.polledPeers {
		notDue := now.Sub(q.lastPoll) < interval || q.failedPolls > 0 && !q.backoff.ready(now)
		if notDue || q.held.Full() {
			continue
		}
		q.lastPoll = now
		due = append(due, q.member.Name())
	}
	return due
}

// pollInterval returns the mean time of a fetch, limited to the range from
// minPollInterval to the configured interval. Chunk maps older than a fetch are
// outdated, and polling more often returns few changes.
func (p *Picker) pollInterval() time.Duration {
	if p.meanFetchTime == 0 {
		return p.settings.pollInterval
	}
	return min(max(p.meanFetchTime, minPollInterval), p.settings.pollInterval)
}

// selectPolledPeers selects the peers to poll for their chunk maps. Every member
// polls its neighbours; gateways and standby gateways also poll the gateways and
// standby gateways of all regions.
func (p *Picker) selectPolledPeers() {
	p.polledPeers = nil
	p.neighbourPeers = nil
	p.polledRegionPeers = nil
	standby := p.gatewayRank(p.self) < standbyFactor*p.settings.gateways
	for _, group := range [][]*peer{p.regionPeers, p.remotePeers} {
		for _, q := range group {
			q.gateway = p.gatewayRank(q.member) < p.settings.gateways
			isNeighbour := q.inRegion && p.neighbours[q.member.Name()]
			if isNeighbour {
				p.neighbourPeers = append(p.neighbourPeers, q)
			}
			q.polled = isNeighbour || standby && p.gatewayRank(q.member) < standbyFactor*p.settings.gateways
			if q.polled {
				p.polledPeers = append(p.polledPeers, q)
			}
			if q.polled && q.inRegion {
				p.polledRegionPeers = append(p.polledRegionPeers, q)
			}
		}
	}
}

// standbyFactor is the number of gateways and standby gateways of a region, as a
// multiple of the number of gateways. All of them poll the gateways of all regions so
// that a standby gateway can replace a gateway that makes no progress.
const standbyFactor = 2

// gatewayRank returns the position, from 0, of the member in the order in which the
// members of its region become gateways.
func (p *Picker) gatewayRank(m member.Member) int {
	return slices.Index(p.gatewayOrder[m.Region()], m.Name())
}

// RecordChunkMap records the chunk map of a peer and the number of its uploads in
// progress. It ignores peers that are not listed and maps of the wrong size.
func (p *Picker) RecordChunkMap(now time.Time, name string, held Bitmap, uploads int) {
	q := p.peers[name]
	if q == nil || held.Size() != len(p.chunks) {
		return
	}
	q.mapReceived = true
	q.failedPolls = 0
	q.uploads = uploads
	if held.Count() > q.maxAnnounced {
		q.maxAnnounced = held.Count()
		q.lastProgress = now
	}
	if !now.Before(q.mapsIgnoredUntil) {
		p.setHeld(q, held)
	}
}

// RecordFailedPoll records that the peer did not answer a poll. After
// unreachableAfterPolls failures in a row the peer counts as unreachable, and chunks
// that only it holds count as missing from the region.
func (p *Picker) RecordFailedPoll(now time.Time, name string) {
	q := p.peers[name]
	if q == nil {
		return
	}
	q.failedPolls++
	q.backoff.recordFailure(now, p.settings.backoff)
	if q.unreachable() {
		p.setHeld(q, NewBitmap(len(p.chunks)))
		p.replaceNeighbour(name)
	}
}

// ignoreMaps treats the chunk maps of the peer as empty until the given time, so that
// a chunk for which it is the only announced holder is fetched from another source.
func (p *Picker) ignoreMaps(q *peer, until time.Time) {
	q.mapsIgnoredUntil = until
	p.setHeld(q, NewBitmap(len(p.chunks)))
	p.replaceNeighbour(q.member.Name())
}

func (p *Picker) replaceNeighbour(name string) {
	if p.neighbours[name] {
		delete(p.neighbours, name)
		p.fillNeighbours()
	}
}

func (p *Picker) setHeld(q *peer, held Bitmap) {
	for k, octet := range q.held.bits {
		changed := octet ^ held.bits[k]
		for ; q.inRegion && changed != 0; changed &= changed - 1 {
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
