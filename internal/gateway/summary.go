package gateway

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
)

// sendSummaries tells the peers of the own region what this entry knows, and all
// peers when it is time or when it is said to be. The stamps to echo are read before
// the ages are: an echo that is newer than the age beside it would make what the
// receiver dates by it look younger, and the entries hand dates on to each other.
func (g *Gateway) sendSummaries(all bool) {
	carried := uint32(max(g.active.Load(), 0))
	r := g.peers.nextRound(g.now(), g.self.Region, carried, all)
	now := g.now()
	g.noteOutage(now)
	g.rate.advance(now)
	g.traffic.refill(now, g.reserve, g.peers.count()+1)
	g.Refresh()
	near := g.summary(now)
	near.Peers = r.peers
	near.Refused, near.RefusedAgeMs = g.traffic.refusals.takeUntold(now)
	far := farSummary(near)
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
	g.shareLoads(now)
	sharers := g.sharers(now)
	g.traffic.each(func(_ string, s *serviceTraffic) { s.placement.Allot(now, sharers, r.all) })
}

// farSummary returns what of a summary goes to other regions, to which callers do not
// come back.
func farSummary(near *nodev1.EntrySummary) *nodev1.EntrySummary {
	far := proto.CloneOf(near)
	far.Refused, far.RefusedAgeMs = nil, nil
	return far
}

// sharers returns how many entries place requests on the endpoints of a region.
func (g *Gateway) sharers(now time.Duration) placement.Sharers {
	var n placement.Sharers
	for domain, takers := range g.takersByDomain(now) {
		if g.region(domain) == g.self.Region {
			n.Near += len(takers)
		} else {
			n.Far += len(takers)
		}
	}
	return n
}

func (g *Gateway) summary(now time.Duration) *nodev1.EntrySummary {
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
	if at := g.confirmed(); at > 0 {
		age := uint64((now-at)/time.Microsecond) + 1
		m.ConfirmedAgeUs = &age
	}
	g.traffic.each(func(_ string, s *serviceTraffic) {
		for _, l := range s.placement.Loads() {
			m.Endpoints = append(m.Endpoints, endpointHash(l.ID))
			m.InFlight = append(m.InFlight, uint32(l.InFlight))
			m.Unread = append(m.Unread, uint32(max(l.Unread, 0)))
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
	targets []target
	all     bool     // peers of other regions are among them
	peers   []string // addresses of peers to tell them, now and then
}

// nextRound chooses the peers to send to. Those of other regions are told when their
// interval is over, or when all is set.
func (p *peers) nextRound(now time.Duration, region string, carried uint32, all bool) round {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := round{all: all || now-p.toldAll >= p.farInterval(carried)}
	tell := false
	if r.all {
		p.toldAll = now
		p.sent++
		tell = p.sent%tellPeersEvery == 1
	}
	for address, q := range p.known {
		if q.learned == 0 {
			q.learned = now
		}
		if now-max(q.heard, q.learned) > forgottenAfter {
			delete(p.known, address)
			continue
		}
		if tell && p.alive(q, now) {
			r.peers = append(r.peers, address)
		}
		near := q.summary.GetRegion() == region
		if !r.all && !near {
			continue
		}
		r.targets = append(r.targets, target{
			address:     address,
			near:        near,
			echo:        q.summary.GetStamp(),
			incarnation: q.summary.GetIncarnation(),
		})
	}
	return r
}
