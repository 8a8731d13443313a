package gateway

import (
	"hash/fnv"
	"maps"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
)

// endpointHash names an endpoint in a summary.
func endpointHash(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

// loadsChanged takes in that the work of other entries has changed: at once while there
// are requests to place, else before the next one is.
func (g *Gateway) loadsChanged(now time.Duration) {
	g.loadsStale.Store(true)
	if g.active.Load() > 0 {
		g.refreshLoads(now)
	}
}

// refreshLoads brings placement up to date with the work of other entries.
func (g *Gateway) refreshLoads(now time.Duration) {
	if g.loadsStale.Swap(false) {
		g.shareLoads(now)
	}
}

func (g *Gateway) shareLoads(now time.Duration) {
	sum := g.peers.work()
	g.traffic.each(func(_ string, s *serviceTraffic) {
		s.placement.SetPeerLoad(now, func(id string) placement.Load { return sum[endpointHash(id)] })
	})
}

// work returns the work of the peers by hash of the endpoint.
func (p *peers) work() map[uint32]placement.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.sum)
}

// setWork replaces the work of a peer. The caller holds the mutex.
func (p *peers) setWork(q *peer, work map[uint32]placement.Load) {
	for h, w := range q.work {
		s := p.sum[h]
		s = placement.Load{InFlight: s.InFlight - w.InFlight, PrefillTokens: s.PrefillTokens - w.PrefillTokens}
		if s == (placement.Load{}) {
			delete(p.sum, h)
		} else {
			p.sum[h] = s
		}
	}
	q.work = work
	for h, w := range q.work {
		s := p.sum[h]
		p.sum[h] = placement.Load{InFlight: s.InFlight + w.InFlight, PrefillTokens: s.PrefillTokens + w.PrefillTokens}
	}
}

// workOf reads the work from a summary.
func workOf(m *nodev1.EntrySummary) map[uint32]placement.Load {
	if len(m.GetEndpoints()) == 0 {
		return nil
	}
	work := make(map[uint32]placement.Load, len(m.GetEndpoints()))
	for i, h := range m.GetEndpoints() {
		if i < len(m.GetInFlight()) && i < len(m.GetUnread()) {
			work[h] = placement.Load{InFlight: int(m.GetInFlight()[i]), PrefillTokens: int(m.GetUnread()[i])}
		}
	}
	return work
}
