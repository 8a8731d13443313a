package gateway

import (
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/coordination/watch"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
)

// sendSummaries sends the state of this entry to the peers of its region and, when it
// is due, to those of other regions. With urgent set, the reporting entries of other
// regions are sent to at once. The stamps to echo are read before the ages. An echo
// newer than the age beside it would make the receiver compute times that are too
// recent, and the entries pass these times on.
func (g *Gateway) sendSummaries(urgent bool) {
	active := g.activeByDomain(g.now())
	reports := g.isReporting(active)
	inFlight := uint32(max(g.active.Load(), 0))
	r := g.peers.nextRound(g.now(), reports, inFlight, urgent)
	now := g.now()
	g.recordOutage(now)
	g.rate.advance(now)
	g.traffic.refill(now, g.retryReserve, g.peers.entries(now))
	g.refreshFor(active)
	regionSummary := g.summary(now)
	regionSummary.Peers = r.peers
	regionSummary.Speaks, regionSummary.FarIntervalMs = reports, uint32(r.interval.Milliseconds())
	if r.region {
		regionSummary.Refused, regionSummary.RefusedAgeMs = g.traffic.refusals.takePending(now)
	}
	crossSummary := crossRegionSummary(regionSummary, r.broadcast)
	for _, to := range r.targets {
		m := regionSummary
		if !to.sameRegion {
			m = crossSummary
		}
		m.Echo = to.echo
		m.EchoIncarnation = to.incarnation
		datagram := &nodev1.Datagram{Content: &nodev1.Datagram_Summary{Summary: m}}
		if err := g.send(to.address, datagram); err != nil {
			g.metrics.SummariesNotSent.Inc()
		}
	}
	g.peerLoadsChanged(now)
	counts := g.activeCounts(active)
	g.traffic.each(func(name string, s *serviceTraffic) {
		counts.Needs, counts.OwnNeed = g.needs(now, name, s)
		s.placement.GrantQuota(now, counts, r.broadcast || r.crossRegion && reports)
	})
}

// isReporting reports whether this entry sends summaries to other regions: it places
// requests, or it is among the first of its region.
func (g *Gateway) isReporting(active map[string][]string) bool {
	return slices.Contains(active[g.self.FailureDomain], g.self.PeerAddress) || g.rank().region < minReporters
}

// crossRegionSummary returns the part of a summary for other regions. Refusals are left
// out, since callers do not retry in another region. Addresses of peers are included
// only in broadcasts.
func crossRegionSummary(regionSummary *nodev1.EntrySummary, broadcast bool) *nodev1.EntrySummary {
	m := proto.CloneOf(regionSummary)
	m.Refused, m.RefusedAgeMs = nil, nil
	if !broadcast {
		m.Peers = nil
	}
	return m
}

// activeCounts returns the number of entries that place requests, in the region of
// this entry and in other regions.
func (g *Gateway) activeCounts(active map[string][]string) placement.EntryCounts {
	var n placement.EntryCounts
	for domain, list := range active {
		if g.region(domain) == g.self.Region {
			n.SameRegion += len(list)
		} else {
			n.OtherRegions += len(list)
		}
	}
	return n
}

// summary returns a summary of this entry's state. The confirmation is read before
// the version that it is sent with. In the other order, a newer version could take
// effect between the two reads, and its confirmation would be attributed to the older
// one.
func (g *Gateway) summary(now time.Duration) *nodev1.EntrySummary {
	confirmedAt := g.confirmedAt()
	if g.unreadable.Load() {
		confirmedAt = 0
	}
	v := g.snapshot.Load()
	operator, endpoints := g.tableState(nodev1.Table_TABLE_OPERATOR), g.tableState(nodev1.Table_TABLE_ENDPOINTS)
	m := &nodev1.EntrySummary{
		Address:              g.self.PeerAddress,
		Region:               g.self.Region,
		FailureDomain:        g.self.FailureDomain,
		CallerAddress:        g.self.CallerAddress,
		Incarnation:          g.self.Incarnation,
		Ready:                g.Ready(),
		Stamp:                uint64(now),
		ConfigurationVersion: v.version(),
		OperatorContent:      operator.Content,
		EndpointsContent:     endpoints.Content,
		OperatorCopy:         copyMessage(operator),
		EndpointsCopy:        copyMessage(endpoints),
		MilliCores:           milliCores(g.self),
		RequestRate:          uint32(math.Round(g.rate.value())),
		Active:               uint32(max(g.active.Load(), 0)),
		Entries:              uint32(g.peers.entries(now)),
	}
	if confirmedAt > 0 {
		// A confirmation that is newer than now is dated at now, which is a lower
		// bound.
		age := uint64(max(now-confirmedAt, 0)/time.Microsecond) + 1
		m.ConfirmedAgeUs = &age
	}
	g.traffic.each(func(_ string, s *serviceTraffic) {
		for _, l := range s.placement.Loads() {
			m.Endpoints = append(m.Endpoints, endpointHash(l.ID))
			m.InFlight = append(m.InFlight, uint32(l.InFlight))
			m.Unread = append(m.Unread, uint32(max(l.PrefillTokens, 0)))
		}
	})
	m.Needs = g.needMessages(now)
	m.Weights = g.targets.newest(now)
	m.QuarantineDigest = g.traffic.suspects.Digest()
	return m
}

// milliCores returns the cores of an entry in the precision in which others know them, so
// that all entries put themselves and each other in the same order.
func milliCores(i Identity) uint32 { return uint32(i.Cores * 1000) }

func copyMessage(s watch.State) *nodev1.TableCopy {
	return &nodev1.TableCopy{Era: s.Era, Version: s.Version, Digest: s.Digest}
}

// target is a peer to send a summary to, with the stamp to echo to it.
type target struct {
	address     string
	sameRegion  bool // in the region of this entry
	echo        uint64
	incarnation uint64
}

// round describes the recipients of summaries at one time.
type round struct {
	region      bool          // send to the region, for pairs of which one is reporting
	heartbeat   bool          // send to all peers of the region
	crossRegion bool          // send to the reporting entries of other regions
	broadcast   bool          // send to all peers
	interval    time.Duration // time until the next round to the reporting entries of other regions
	targets     []target
	peers       []string // addresses of peers to advertise, only in some rounds
}

// nextRound returns the peers to send to: those of the region, the reporting entries
// of other regions when their interval has passed or with urgent set, and all peers
// in a broadcast. A peer of which no summary was received may be reporting, so it is
// sent to like one.
func (p *peers) nextRound(now time.Duration, reports bool, inFlight uint32, urgent bool) round {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.beginRound(now, reports, inFlight, urgent)
	p.rounds++
	advertise := r.broadcast || p.rounds%advertisePeersEvery == 1
	sameRegion := 0
	for address, q := range p.known {
		if q.addedAt == 0 {
			q.addedAt = now
		}
		alive := p.alive(q, now)
		if !alive && len(q.load) > 0 {
			p.setLoad(q, nil)
		}
		if now-max(q.receivedAt, q.addedAt) > forgetAfter {
			delete(p.known, address)
			continue
		}
		if advertise && len(r.peers) < maxAdvertisedPeers && alive {
			r.peers = append(r.peers, address)
		}
		if q.sameRegion {
			sameRegion++
		}
		if p.isTarget(q, r) {
			r.targets = append(r.targets, target{
				address:     address,
				sameRegion:  q.sameRegion,
				echo:        q.summary.GetStamp(),
				incarnation: q.summary.GetIncarnation(),
			})
		}
	}
	p.regionPeers = sameRegion
	return r
}

// beginRound decides which groups of peers are sent to now. The caller holds the
// mutex.
func (p *peers) beginRound(now time.Duration, reports bool, inFlight uint32, urgent bool) round {
	changed := reports != p.reporting
	if changed {
		p.reporting, p.reportingSince = reports, now
	}
	interval := p.crossRegionInterval(inFlight)
	r := round{
		region:      urgent || now-p.regionSentAt >= p.regionInterval(),
		heartbeat:   now-p.heartbeatSentAt >= p.heartbeatInterval(),
		crossRegion: urgent || now-p.crossRegionSentAt >= interval,
		broadcast:   changed || now-p.broadcastSentAt >= p.broadcastInterval(),
		interval:    interval,
	}
	if !reports {
		r.interval = p.broadcastInterval()
	}
	r.heartbeat = r.heartbeat || r.broadcast
	r.region, r.crossRegion = r.region || r.heartbeat, r.crossRegion || r.broadcast
	if r.heartbeat {
		p.heartbeatSentAt = now
	}
	if r.region {
		p.regionSentAt = now
	}
	if r.crossRegion {
		p.crossRegionSentAt = now
	}
	if r.broadcast {
		p.broadcastSentAt = now
	}
	return r
}

// isTarget reports whether a peer is sent to in a round. Two reporting entries
// exchange their load in each round within a region, and in each cross-region round
// between regions.
func (p *peers) isTarget(q *peer, r round) bool {
	bothReport := p.reporting && q.summary.GetSpeaks()
	switch {
	case r.broadcast:
		return true
	case q.sameRegion && (p.reporting || q.summary.GetSpeaks()):
		return r.region || bothReport
	case q.sameRegion:
		return r.heartbeat
	}
	return r.crossRegion && (bothReport || q.summary == nil)
}

// roundInterval returns the time between two rounds. An entry that has no requests in
// progress and is not reporting has nothing to send in between.
func (g *Gateway) roundInterval() time.Duration {
	if g.active.Load() > 0 {
		return regionInterval
	}
	p := g.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reporting {
		return regionInterval
	}
	return p.regionInterval()
}
