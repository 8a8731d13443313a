package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/admission"
	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// snapshot is the configuration and the endpoints as last received. It is immutable.
type snapshot struct {
	configuration *fleet.Configuration
	endpoints     []*fleet.Endpoint
	byHash        map[uint32]*fleet.Endpoint // endpoints by the hash in messages between entries
	listed        bool                       // the platform's list has been read at least once
	listedAt      time.Duration              // first time that it was
	evacuated     []string                   // failure domains whose endpoints get no requests, sorted
}

// endpointByHash returns the endpoint that a message between entries refers to, nil if it
// is not listed.
func (v *snapshot) endpointByHash(hash uint32) *fleet.Endpoint { return v.byHash[hash] }

func (v *snapshot) version() int64 {
	if v.configuration == nil {
		return 0
	}
	return v.configuration.Version()
}

// ApplyConfiguration applies the operators' configuration and the newest target versions
// of weights. A configuration that is not newer is ignored, so the version never
// decreases during the lifetime of a process.
func (g *Gateway) ApplyConfiguration(c *fleet.Configuration, versions map[string]int64) {
	g.snapshotMu.Lock()
	defer g.snapshotMu.Unlock()
	old := g.snapshot.Load()
	next := *old
	if c != nil && c.Version() > old.version() {
		next.configuration = c.Retaining(g.droppedServices(old.configuration, c)...)
		telemetry.FleetConfigurationInForce.Log(context.Background(), g.logger, "version", c.Version(), "before", old.version())
	}
	g.observeTargets(versions, old.configuration == nil)
	g.snapshot.Store(&next)
	g.updatePlacement(&next, g.activeByDomain(g.now()))
}

// SetUnreadable sets whether the operators' newest configuration can't be read. It may take
// keys away, so none is accepted then where revocation has a bound, and no other entry gets a
// confirmation of the configuration in force. It must be called before the copy of the
// operators' table that it follows from counts as confirmed.
func (g *Gateway) SetUnreadable(unreadable bool) { g.unreadable.Store(unreadable) }

// droppedServices returns the services that a configuration drops, and those dropped before
// that have requests in progress.
func (g *Gateway) droppedServices(old, c *fleet.Configuration) []*fleet.Service {
	if old == nil {
		return nil
	}
	var dropped []*fleet.Service
	for name, s := range old.Services() {
		if c.Services()[name] == nil {
			dropped = append(dropped, s)
		}
	}
	for name, s := range old.Retained() {
		if g.trafficOf(name).requests.Load() > 0 {
			dropped = append(dropped, s)
		}
	}
	return dropped
}

// Configuration returns the configuration in force, nil if there is none yet.
func (g *Gateway) Configuration() *fleet.Configuration {
	return g.snapshot.Load().configuration
}

// ApplyEndpoints applies the platform's list of endpoints.
func (g *Gateway) ApplyEndpoints(list []*fleet.Endpoint) {
	g.snapshotMu.Lock()
	defer g.snapshotMu.Unlock()
	old := g.snapshot.Load()
	next := *old
	next.endpoints = list
	next.byHash = make(map[uint32]*fleet.Endpoint, len(list))
	for _, e := range list {
		next.byHash[endpointHash(e.ID())] = e
	}
	if !next.listed {
		next.listed, next.listedAt = true, g.now()
	}
	g.recordDraining(list)
	g.observeCold(g.now(), &next, list)
	g.logEndpoints(old.endpoints, list)
	g.snapshot.Store(&next)
	g.confirmMissing(&next)
	g.updatePlacement(&next, g.activeByDomain(g.now()))
}

// recordDraining records which incarnations of endpoints are draining. A list that shows one
// of them as ready later is an older one: an endpoint that drains exits.
func (g *Gateway) recordDraining(list []*fleet.Endpoint) {
	now := g.now()
	for _, e := range list {
		if e.Draining() && e.Started() != 0 {
			g.backpressure.Record(now, admission.Incarnation{ID: e.ID(), Started: e.Started()}, admission.Backpressure{Draining: true})
		}
	}
}

// Refresh updates placement for changes that depend on the time, such as a target
// version of weights that becomes required.
func (g *Gateway) Refresh() { g.refreshFor(g.activeByDomain(g.now())) }

// refreshFor is like Refresh, for the given entries that have requests to place.
func (g *Gateway) refreshFor(active map[string][]string) {
	g.snapshotMu.Lock()
	defer g.snapshotMu.Unlock()
	g.updatePlacement(g.snapshot.Load(), active)
}

func (g *Gateway) logEndpoints(old, list []*fleet.Endpoint) {
	before := make(map[string]*fleet.Endpoint, len(old))
	for _, e := range old {
		before[e.ID()] = e
	}
	for _, e := range list {
		o := before[e.ID()]
		delete(before, e.ID())
		if o == nil || o.Draining() != e.Draining() || o.Address() != e.Address() {
			telemetry.EndpointListed.Log(context.Background(), g.logger, "endpoint", e.ID(), "service", e.Service(),
				"address", e.Address(), "draining", e.Draining())
		}
	}
	for id := range before {
		telemetry.EndpointGone.Log(context.Background(), g.logger, "endpoint", id)
	}
}

// updatePlacement passes to each service the endpoints that may run its requests.
// Active holds the entries that have requests to place, by failure domain.
func (g *Gateway) updatePlacement(v *snapshot, active map[string][]string) {
	if v.configuration == nil {
		return
	}
	now := g.now()
	shares := sync.OnceValue(func() *placement.ConnectionShares { return g.connectionShares(now) })
	g.pool.SetLimits(connectionLimits(v, shares))
	candidates := make(map[string][]placement.Candidate)
	for _, e := range v.endpoints {
		s := v.configuration.Service(e.Service())
		if s == nil || e.Draining() || v.isEvacuated(e.FailureDomain()) {
			continue
		}
		c, usable := g.candidate(s, e, now)
		if usable && limitConnections(&c, s, shares) {
			candidates[e.Service()] = append(candidates[e.Service()], c)
		}
	}
	for name := range v.configuration.Services() {
		g.trafficOf(name) // the state of a new service is created
	}
	g.traffic.each(func(name string, t *serviceTraffic) {
		placement.MarkPreferred(candidates[name], active, g.self.FailureDomain, g.self.PeerAddress)
		t.update(v.configuration.Service(name), candidates[name], now)
		if v.configuration.Services()[name] == nil {
			t.placement.RefuseUnplaceable(now) // no more endpoints are expected
		}
	})
	if v.listed {
		g.updateReadiness(v, candidates, now)
	}
}

// update passes the endpoints that may run requests of a service to placement. The service is
// nil if it was dropped and is not retained.
func (t *serviceTraffic) update(s *fleet.Service, list []placement.Candidate, now time.Duration) {
	t.renewed.Store(slices.ContainsFunc(list, func(c placement.Candidate) bool { return c.Version > 0 && c.BeginBefore == 0 }))
	if s != nil {
		t.placement.SetLatencyModel(latencyModelOf(s.Engine()))
	}
	t.placement.SetEndpoints(now, list)
}

// updateReadiness makes the entry ready once placement has the endpoints, and later if the
// times of target versions are to be waited for.
func (g *Gateway) updateReadiness(v *snapshot, candidates map[string][]placement.Candidate, now time.Duration) {
	at := time.Duration(0)
	if g.lacksTargetTime(v, candidates, now) {
		at = v.listedAt + targetTimeWait
	}
	g.readyAt.Store(int64(at))
	g.placed.Store(true)
}

// lacksTargetTime reports whether a service has no usable endpoint although some have
// weights, which may be usable according to the time of the target version.
func (g *Gateway) lacksTargetTime(v *snapshot, candidates map[string][]placement.Candidate, now time.Duration) bool {
	for _, e := range v.endpoints {
		s := v.configuration.Services()[e.Service()]
		if s == nil || s.Engine() == nil || e.Draining() || len(candidates[e.Service()]) > 0 {
			continue
		}
		for _, model := range s.Engine().Models {
			version, loading := g.notices.version(e, model, now)
			if version > 0 && !loading && g.targets.unknownTime(model) {
				return true
			}
		}
	}
	return false
}

// candidate returns the placement candidate for an endpoint. Usable is false if the
// endpoint is draining or has no weights with which work may start.
func (g *Gateway) candidate(s *fleet.Service, e *fleet.Endpoint, now time.Duration) (c placement.Candidate, usable bool) {
	c = placement.Candidate{
		ID:      e.ID(),
		Address: e.Address(),
		Domain:  e.FailureDomain(),
		Slots:   max(e.Slots(), 1),
		Started: e.Started(),
		Region:  g.region(e.FailureDomain()),
	}
	c.SameRegion = c.Region == g.self.Region
	state := g.backpressure.State(now, incarnationOf(c))
	if state.Draining() {
		return c, false
	}
	c.HeldUntil = state.BlockedUntil()
	if limit := g.limitOf(now, quotaEndpoint(c)); limit.Limited() {
		c.Limited, c.RateLimit = true, limit.PerSecond()
	}
	if s.Engine() == nil {
		return c, true
	}
	if c.Domain != g.self.FailureDomain {
		c.Distance = s.Engine().RoundTrip(g.self.FailureDomain, c.Domain)
	}
	for _, model := range s.Engine().Models {
		version, loading := g.notices.version(e, model, now)
		c.Version = version
		if !loading && version > 0 && version >= g.targets.required(model, now) {
			c.BeginBefore = g.beginBefore(s, c)
			return c, true
		}
	}
	return c, false
}

// outdated reports whether work may no longer start with the weights that a candidate
// was chosen with.
func (g *Gateway) outdated(s *fleet.Service, c placement.Candidate, now time.Duration) bool {
	if s.Engine() == nil {
		return false
	}
	for _, model := range s.Engine().Models {
		if c.Version >= g.targets.required(model, now) {
			return false
		}
	}
	return true
}

// beginBefore returns the time before which requests have to begin at a candidate, 0 for any
// time.
func (g *Gateway) beginBefore(s *fleet.Service, c placement.Candidate) time.Duration {
	until := g.usableUntil(s, c)
	if until == 0 {
		return 0
	}
	return until - withdrawMargin
}

// usableUntil returns the time from which no request may begin with the weights that a
// candidate was chosen with, 0 if there is none.
func (g *Gateway) usableUntil(s *fleet.Service, c placement.Candidate) time.Duration {
	if s.Engine() == nil {
		return 0
	}
	until := time.Duration(0)
	for _, model := range s.Engine().Models {
		end := g.targets.usableUntil(model, c.Version)
		if end == 0 {
			return 0
		}
		until = max(until, end)
	}
	return until
}
