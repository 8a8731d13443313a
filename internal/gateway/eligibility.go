package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/eligibility"
	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
	"github.com/primrosetally/primrosetally/internal/coordination/warmup"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// ApplyEvacuations applies the failure domains whose endpoints are to get no requests, sorted.
// Those at work on requests go on. The endpoints of a domain whose evacuation has ended may
// have become cold meanwhile.
func (g *Gateway) ApplyEvacuations(domains []string) {
	g.snapshotMu.Lock()
	defer g.snapshotMu.Unlock()
	old := g.snapshot.Load()
	if slices.Equal(old.evacuated, domains) {
		return
	}
	next := *old
	next.evacuated = domains
	now := g.now()
	for _, d := range domains {
		if !old.isEvacuated(d) {
			telemetry.EvacuationBegun.Log(context.Background(), g.logger, "domain", d, "known", g.region(d) != "", "endpoints", len(next.in(d)))
		}
	}
	for _, d := range old.evacuated {
		if next.isEvacuated(d) {
			continue
		}
		telemetry.EvacuationEnded.Log(context.Background(), g.logger, "domain", d, "endpoints", len(next.in(d)))
		for _, e := range next.in(d) {
			g.warmup.Suspect(now, warmup.KeyOf(e), next.warmupOf(e))
		}
	}
	g.wakeQuotas() // others are told of what may be cold
	g.metrics.EvacuatedDomains.Set(float64(len(domains)))
	g.snapshot.Store(&next)
	g.updatePlacement(&next, g.activeByDomain(now))
	g.traffic.each(func(_ string, s *serviceTraffic) { s.placement.RefuseUnplaceable(now) })
}

// isEvacuated reports whether the endpoints of a failure domain are to get no requests.
func (v *snapshot) isEvacuated(domain string) bool {
	_, found := slices.BinarySearch(v.evacuated, domain)
	return found
}

// in returns the endpoints in a failure domain.
func (v *snapshot) in(domain string) []*fleet.Endpoint {
	var list []*fleet.Endpoint
	for _, e := range v.endpoints {
		if e.FailureDomain() == domain {
			list = append(list, e)
		}
	}
	return list
}

// warmupOf returns what an endpoint takes while it is cold.
func (v *snapshot) warmupOf(e *fleet.Endpoint) fleet.Warmup {
	if v.configuration == nil {
		return fleet.Warmup{}
	}
	if s := v.configuration.Service(e.Service()); s != nil {
		return s.Warmup()
	}
	return fleet.Warmup{}
}

// restrict sets where a request may be served: by the configuration that it was accepted with
// and by the one in force, which may have changed while it waited.
func (g *Gateway) restrict(q *request) {
	c := g.snapshot.Load().configuration
	if c == nil || c.Version() == q.restrictedBy {
		return
	}
	q.restrictedBy = c.Version()
	if !c.Regional() {
		return
	}
	var account fleet.Account
	if q.keyed {
		account, _ = c.Account(q.head.Key)
	}
	if route := c.Route(hostOf(q.host), q.path); route != nil {
		q.regions = q.regions.And(eligibility.Restrict(route.Regions(), account.Regions()))
	}
}

// staleReason returns why a request must no longer be sent to the endpoint chosen for
// it, or an empty string if it may. The process may have been suspended since the
// placement, or may have received new information while a connection was being
// established.
func (g *Gateway) staleReason(q *request, c placement.Choice) string {
	now := g.now()
	g.restrict(q)
	r := eligibility.Request{
		Regions:     q.regions,
		Quarantined: g.suspicion(q).Kind() == suspects.Quarantined,
		PermitUntil: c.PermitUntil(),
	}
	if q.minTime > 0 {
		r.LastStart = q.deadline - q.minTime
	}
	reason := eligibility.Check(now, r, eligibility.Endpoint{
		Region:       c.Region,
		Evacuated:    g.snapshot.Load().isEvacuated(c.Domain),
		Backpressure: !g.backpressure.State(now, incarnationOf(c.Candidate)).Admits(now),
		Limited:      g.limitOf(now, quotaEndpoint(c.Candidate)).Limited(),
		Outdated:     g.outdated(q.service, c.Candidate, now),
	})
	if reason != eligibility.Eligible {
		return string(reason)
	}
	return g.keyReason(q)
}

// recordUnreached records that an endpoint could not be reached: it may have started again,
// and be cold.
func (g *Gateway) recordUnreached(now time.Duration, q *request, c placement.Candidate) {
	if g.warmup.Suspect(now, quotaEndpoint(c), q.service.Warmup()) {
		g.coldChanged()
	}
}
