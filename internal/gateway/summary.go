package gateway

import (
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
)

// sendSummaries tells the peers of the own region what this entry knows, and those of
// other regions when it is time. With urgent set, those that speak for other regions are
// told now. The stamps to echo are read before the ages are: an echo that is newer than
// the age beside it would make what the receiver dates by it look younger, and the
// entries hand dates on to each other.
func (g *Gateway) sendSummaries(urgent bool) {
	takers := g.takersByDomain(g.now())
	speaks := g.speaks(takers)
	carried := uint32(max(g.active.Load(), 0))
	r := g.peers.nextRound(g.now(), speaks, carried, urgent)
	now := g.now()
	g.noteOutage(now)
	g.rate.advance(now)
	g.traffic.refill(now, g.reserve, g.peers.count()+1)
	g.refreshFor(takers)
	near := g.summary(now)
	near.Peers = r.peers
	near.Speaks, near.FarIntervalMs = speaks, uint32(r.interval.Milliseconds())
	if r.near {
		near.Refused, near.RefusedAgeMs = g.traffic.refusals.takeUntold(now)
	}
	far := farSummary(near, r.all)
	for _, to := range r.targets {
		m := near
		if !to.near {
			m = far
		}
		m.Echo = to.echo
		m.EchoIncarnation = to.incarnation
		datagram := &nodev1.Datagram{Content: &nodev1.Datagram_Summary{Summary: m}}
		if err := g.send(to.address, datagram); err != nil {
			g.metrics.SummariesNotSent.Inc()
		}
	}
	g.loadsChanged(now)
	sharers := g.sharers(takers)
	g.traffic.each(func(_ string, s *serviceTraffic) { s.placement.GrantQuota(now, sharers, r.all || r.far && speaks) })
}

// speaks reports whether this entry tells other regions what it knows: it places
// requests, or it is among the first of its region.
func (g *Gateway) speaks(takers map[string][]string) bool {
	return slices.Contains(takers[g.self.FailureDomain], g.self.PeerAddress) || g.rank().region < speakers
}

// farSummary returns what of a summary goes to other regions, to which callers do not
// come back. Addresses of peers are told there with those seldom ones that go to all.
func farSummary(near *nodev1.EntrySummary, all bool) *nodev1.EntrySummary {
	far := proto.CloneOf(near)
	far.Refused, far.RefusedAgeMs = nil, nil
	if !all {
		far.Peers = nil
	}
	return far
}

// sharers returns how many entries place requests on the endpoints of a region.
func (g *Gateway) sharers(takers map[string][]string) placement.EntryCounts {
	var n placement.EntryCounts
	for domain, list := range takers {
		if g.region(domain) == g.self.Region {
			n.SameRegion += len(list)
		} else {
			n.OtherRegions += len(list)
		}
	}
	return n
}

// summary returns what this entry knows. What is confirmed is read before the version
// that it is told with: a newer version may come between, and must not make an older one
// look confirmed.
func (g *Gateway) summary(now time.Duration) *nodev1.EntrySummary {
	confirmed := g.confirmed()
	v := g.view.Load()
	m := &nodev1.EntrySummary{
		Address:              g.self.PeerAddress,
		Region:               g.self.Region,
		FailureDomain:        g.self.FailureDomain,
		CallerAddress:        g.self.CallerAddress,
		Incarnation:          g.self.Incarnation,
		Ready:                g.Ready(),
		Stamp:                uint64(now),
		ConfigurationVersion: v.version(),
		OperatorContent:      g.content(nodev1.Table_TABLE_OPERATOR),
		EndpointsContent:     g.content(nodev1.Table_TABLE_ENDPOINTS),
		MilliCores:           uint32(g.self.Cores * 1000),
		RequestRate:          uint32(math.Round(g.rate.value())),
		Active:               uint32(max(g.active.Load(), 0)),
	}
	if confirmed > 0 {
		// A confirmation that came after now is dated by it, which is earlier.
		age := uint64(max(now-confirmed, 0)/time.Microsecond) + 1
		m.ConfirmedAgeUs = &age
	}
	g.traffic.each(func(_ string, s *serviceTraffic) {
		for _, l := range s.placement.Loads() {
			m.Endpoints = append(m.Endpoints, endpointHash(l.ID))
			m.InFlight = append(m.InFlight, uint32(l.InFlight))
			m.Unread = append(m.Unread, uint32(max(l.PrefillTokens, 0)))
		}
	})
	m.Weights = g.weights.newest(now)
	m.Suspects, m.Crashes = g.traffic.suspects.ownCounts()
	return m
}

// target is a peer to send to and what to echo to it.
type target struct {
	address     string
	near        bool // in the own region
	echo        uint64
	incarnation uint64
}

// round is whom summaries go to at one time.
type round struct {
	near     bool          // the own region is told, where one side speaks
	quiet    bool          // all of the own region are told
	far      bool          // those that speak for other regions are
	all      bool          // everybody is
	interval time.Duration // until those that speak for other regions are told again
	targets  []target
	peers    []string // addresses of peers to tell, now and then
}

// nextRound chooses the peers to send to: those of the own region, those that speak for
// other regions when their interval is over or it is urgent, and all seldom. Of a peer
// that has not been heard nobody knows yet whether it speaks.
func (p *peers) nextRound(now time.Duration, speaks bool, carried uint32, urgent bool) round {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.beginRound(now, speaks, carried, urgent)
	p.sent++
	tell := r.all || p.sent%tellPeersEvery == 1
	near := 0
	for address, q := range p.known {
		if q.learned == 0 {
			q.learned = now
		}
		alive := p.alive(q, now)
		if !alive && len(q.work) > 0 {
			p.setWork(q, nil)
		}
		if now-max(q.heard, q.learned) > forgottenAfter {
			delete(p.known, address)
			continue
		}
		if tell && len(r.peers) < toldPeers && alive {
			r.peers = append(r.peers, address)
		}
		if q.near {
			near++
		}
		if p.isTarget(q, r) {
			r.targets = append(r.targets, target{
				address:     address,
				near:        q.near,
				echo:        q.summary.GetStamp(),
				incarnation: q.summary.GetIncarnation(),
			})
		}
	}
	p.near = near
	return r
}

// beginRound decides which groups of peers are told now. The caller holds the mutex.
func (p *peers) beginRound(now time.Duration, speaks bool, carried uint32, urgent bool) round {
	changed := speaks != p.speaks
	if changed {
		p.speaks, p.speaksSince = speaks, now
	}
	interval := p.farInterval(carried)
	r := round{
		near:     urgent || now-p.toldNear >= p.nearInterval(),
		quiet:    now-p.toldQuiet >= p.quietInterval(),
		far:      urgent || now-p.toldFar >= interval,
		all:      changed || now-p.toldAll >= p.seldomInterval(),
		interval: interval,
	}
	if !speaks {
		r.interval = p.seldomInterval()
	}
	r.quiet = r.quiet || r.all
	r.near, r.far = r.near || r.quiet, r.far || r.all
	if r.quiet {
		p.toldQuiet = now
	}
	if r.near {
		p.toldNear = now
	}
	if r.far {
		p.toldFar = now
	}
	if r.all {
		p.toldAll = now
	}
	return r
}

// isTarget decides whether a peer is told in a round. Two that speak tell each other of
// their load with each round in a region, and with each far round between regions.
func (p *peers) isTarget(q *peer, r round) bool {
	both := p.speaks && q.summary.GetSpeaks()
	switch {
	case r.all:
		return true
	case q.near && (p.speaks || q.summary.GetSpeaks()):
		return r.near || both
	case q.near:
		return r.quiet
	}
	return r.far && (both || q.summary == nil)
}

// pace returns the time between two rounds. An entry that carries no requests and does
// not speak has nothing to tell in between.
func (g *Gateway) pace() time.Duration {
	if g.active.Load() > 0 {
		return nearInterval
	}
	p := g.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.speaks {
		return nearInterval
	}
	return p.nearInterval()
}
