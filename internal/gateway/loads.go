package gateway

import (
	"hash/fnv"
	"maps"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
)

// endpointHash returns the hash that identifies an endpoint in a summary.
func endpointHash(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

// peerLoadsChanged marks the peers' load as changed. Placement is updated at once if
// there are requests in progress, otherwise before the next request is placed.
func (g *Gateway) peerLoadsChanged(now time.Duration) {
	g.loadsStale.Store(true)
	if g.active.Load() > 0 {
		g.refreshLoads(now)
	}
}

// refreshLoads updates placement with the peers' load if it has changed.
func (g *Gateway) refreshLoads(now time.Duration) {
	if g.loadsStale.Swap(false) {
		g.applyPeerLoads(now)
	}
}

func (g *Gateway) applyPeerLoads(now time.Duration) {
	loads := g.peers.load()
	g.traffic.each(func(_ string, s *serviceTraffic) {
		s.placement.SetPeerLoad(now, func(id string) placement.Load { return loads[endpointHash(id)] })
	})
}

// load returns the total load of the peers by endpoint hash.
func (p *peers) load() map[uint32]placement.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.totalLoad)
}

// setLoad replaces the load of a peer. The caller holds the mutex.
func (p *peers) setLoad(q *peer, load map[uint32]placement.Load) {
	for h, w := range q.load {
		s := p.totalLoad[h]
		s = placement.Load{InFlight: s.InFlight - w.InFlight, PrefillTokens: s.PrefillTokens - w.PrefillTokens}
		if s == (placement.Load{}) {
			delete(p.totalLoad, h)
		} else {
			p.totalLoad[h] = s
		}
	}
	q.load = load
	for h, w := range q.load {
		s := p.totalLoad[h]
		p.totalLoad[h] = placement.Load{InFlight: s.InFlight + w.InFlight, PrefillTokens: s.PrefillTokens + w.PrefillTokens}
	}
}

// loadOf returns the load in a summary by endpoint hash.
func loadOf(m *nodev1.EntrySummary) map[uint32]placement.Load {
	if len(m.GetEndpoints()) == 0 {
		return nil
	}
	load := make(map[uint32]placement.Load, len(m.GetEndpoints()))
	for i, h := range m.GetEndpoints() {
		if i < len(m.GetInFlight()) && i < len(m.GetUnread()) {
			load[h] = placement.Load{
				InFlight:      int(min(m.GetInFlight()[i], maxPeerRequests)),
				PrefillTokens: int(min(m.GetUnread()[i], maxPeerTokens)),
			}
		}
	}
	return load
}
