package gateway

import (
	"context"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// view is what the gateway believes. It is immutable.
type view struct {
	configuration *fleet.Configuration
	endpoints     []*fleet.Endpoint
	listed        bool // the platform's list was read at least once
}

func (v *view) version() int64 {
	if v.configuration == nil {
		return 0
	}
	return v.configuration.Version()
}

// ApplyConfiguration takes in the operators' configuration and the newest versions of
// weights. A configuration that is not newer changes nothing: none goes back in
// the life of a process.
func (g *Gateway) ApplyConfiguration(c *fleet.Configuration, versions map[string]int64) {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	old := g.view.Load()
	next := *old
	if c != nil && c.Version() > old.version() {
		next.configuration = c
		telemetry.FleetConfigurationInForce.Log(context.Background(), g.logger, "version", c.Version(), "before", old.version())
	}
	g.nameWeights(versions, old.configuration == nil)
	g.view.Store(&next)
	g.place(&next, g.takersByDomain(g.now()))
}

// Configuration returns the configuration in force, nil if none is known.
func (g *Gateway) Configuration() *fleet.Configuration {
	return g.view.Load().configuration
}

// ApplyEndpoints takes in the endpoints that the platform lists.
func (g *Gateway) ApplyEndpoints(list []*fleet.Endpoint) {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	old := g.view.Load()
	next := *old
	next.endpoints = list
	next.listed = true
	g.logEndpoints(old.endpoints, list)
	g.view.Store(&next)
	g.place(&next, g.takersByDomain(g.now()))
}

// Refresh brings the placement up to date with the time: versions of weights
// become required.
func (g *Gateway) Refresh() { g.refreshFor(g.takersByDomain(g.now())) }

// refreshFor is Refresh with the entries that have requests to place.
func (g *Gateway) refreshFor(takers map[string][]string) {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	g.place(g.view.Load(), takers)
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

// place hands each service the endpoints that may take its requests. The takers are the
// entries that have requests to place, by failure domain.
func (g *Gateway) place(v *view, takers map[string][]string) {
	if v.configuration == nil {
		return
	}
	now := g.now()
	candidates := make(map[string][]placement.Candidate)
	for _, e := range v.endpoints {
		s := v.configuration.Services()[e.Service()]
		if s == nil || e.Draining() {
			continue
		}
		c, usable := g.candidate(s, e, now)
		if usable {
			candidates[e.Service()] = append(candidates[e.Service()], c)
		}
	}
	for name, s := range v.configuration.Services() {
		list := candidates[name]
		placement.MarkPreferred(list, takers, g.self.FailureDomain, g.self.PeerAddress)
		pool := g.trafficOf(name).placement
		pool.SetLatencyModel(modelOf(s.Engine()))
		pool.SetEndpoints(now, list)
	}
}

// candidate describes an endpoint for placement; usable is false where it leaves, or
// has no weights that may start work.
func (g *Gateway) candidate(s *fleet.Service, e *fleet.Endpoint, now time.Duration) (c placement.Candidate, usable bool) {
	c = placement.Candidate{
		ID:         e.ID(),
		Address:    e.Address(),
		Domain:     e.FailureDomain(),
		Slots:      max(e.Slots(), 1),
		Started:    e.Started(),
		SameRegion: g.region(e.FailureDomain()) == g.self.Region,
	}
	standing := g.asked.State(now, lifeOf(c))
	if standing.Draining() {
		return c, false
	}
	c.HeldUntil = standing.BlockedUntil()
	if s.MaxConnections() > 0 {
		c.MaxInFlight = min(max(s.MaxConnections()*9/10/max(g.peers.count()+1, 1), 2), maxConnections)
	}
	if s.Engine() == nil {
		return c, true
	}
	for _, model := range s.Engine().Models {
		version, holding := g.notices.version(e, model, now)
		c.Version = version
		if !holding && version > 0 && version >= g.weights.required(model, now) {
			return c, true
		}
	}
	return c, false
}

// outdated reports whether the weights that a candidate was chosen with may start no
// work any more.
func (g *Gateway) outdated(s *fleet.Service, c placement.Candidate, now time.Duration) bool {
	if s.Engine() == nil {
		return false
	}
	for _, model := range s.Engine().Models {
		if c.Version >= g.weights.required(model, now) {
			return false
		}
	}
	return true
}
