package gateway

import (
	"time"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
)

const (
	// minReportedNeed is the need that is reported, in requests a second: less changes no
	// share.
	minReportedNeed = 0.5
	// maxPeerNeed bounds the need that a summary may contain.
	maxPeerNeed = 1e6
)

// needMessages returns how many requests find no room in the own failure domain, by service.
func (g *Gateway) needMessages(now time.Duration) []*nodev1.ServiceNeed {
	var messages []*nodev1.ServiceNeed
	g.traffic.each(func(name string, s *serviceTraffic) {
		if need := s.placement.Need(now); need >= minReportedNeed {
			messages = append(messages, &nodev1.ServiceNeed{Service: endpointHash(name), PerSecond: float32(need)})
		}
	})
	return messages
}

// needs returns the needs of all entries for a service by failure domain, and that of this one.
func (g *Gateway) needs(now time.Duration, service string, s *serviceTraffic) (byDomain map[string]float64, own float64) {
	own = s.placement.Need(now)
	byDomain = g.peers.needs(now, endpointHash(service))
	if own > 0 {
		if byDomain == nil {
			byDomain = make(map[string]float64)
		}
		byDomain[g.self.FailureDomain] += own
	}
	return byDomain, own
}

// needs returns the sums of the needs of live peers for a service by failure domain, nil if
// there are none.
func (p *peers) needs(now time.Duration, service uint32) map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var byDomain map[string]float64
	for _, q := range p.known {
		for _, n := range q.summary.GetNeeds() {
			perSecond := float64(n.GetPerSecond())
			if n.GetService() != service || !(perSecond > 0) || !p.alive(q, now) {
				continue
			}
			if byDomain == nil {
				byDomain = make(map[string]float64)
			}
			byDomain[q.summary.GetFailureDomain()] += min(perSecond, maxPeerNeed)
		}
	}
	return byDomain
}
