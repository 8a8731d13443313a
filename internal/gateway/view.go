package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// view is what the gateway believes. It is immutable.
type view struct {
	configuration *fleet.Configuration
	text          []byte
	endpoints     []*fleet.Endpoint
	weights       map[string]named
}

// named is the newest version of a model's weights and when it was first seen.
type named struct {
	version int64
	since   time.Duration
	// required is the oldest version that may start work.
	required int64
	// next are versions that become required later, oldest first.
	next []requirement
}

type requirement struct {
	version int64
	from    time.Duration
}

func (v *view) version() int64 {
	if v.configuration == nil {
		return 0
	}
	return v.configuration.Version()
}

// ApplyOperator takes in the operators' configuration and the newest versions of
// weights. A configuration that is not newer changes nothing: none goes back in
// the life of a process.
func (g *Gateway) ApplyOperator(c *fleet.Configuration, text []byte, versions map[string]int64) {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	old := g.view.Load()
	next := *old
	if c != nil && c.Version() > old.version() {
		next.configuration = c
		next.text = text
		telemetry.FleetConfigurationInForce.Log(context.Background(), g.logger, "version", c.Version(), "before", old.version())
	}
	next.weights = g.nameWeights(old.weights, versions)
	g.view.Store(&next)
	g.place(&next)
}

// ApplyConfiguration takes in a configuration that another entry has.
func (g *Gateway) ApplyConfiguration(c *fleet.Configuration, text []byte) {
	g.viewMu.Lock()
	versions := make(map[string]int64)
	for model, n := range g.view.Load().weights {
		versions[model] = n.version
	}
	g.viewMu.Unlock()
	g.ApplyOperator(c, text, versions)
}

// Configuration returns the configuration in force and its text.
func (g *Gateway) Configuration() (*fleet.Configuration, []byte) {
	v := g.view.Load()
	return v.configuration, v.text
}

func (g *Gateway) nameWeights(old map[string]named, versions map[string]int64) map[string]named {
	now := g.now()
	weights := make(map[string]named, len(versions))
	for model, n := range old {
		weights[model] = n
	}
	for model, version := range versions {
		n := weights[model]
		if version <= n.version {
			continue
		}
		n.next = append(slices.Clone(n.next), requirement{version: version, from: now + g.version - versionMargin})
		n.version = version
		n.since = now
		weights[model] = n
		telemetry.WeightsNamed.Log(context.Background(), g.logger, "model", model, "version", version)
	}
	return weights
}

// versionMargin covers the time from the operator's write to its arrival here and
// the time that a request may wait at an endpoint.
const versionMargin = 900 * time.Millisecond

// required returns the oldest version of a model that may start work.
func (v *view) required(model string, now, bound time.Duration) int64 {
	required := int64(0)
	if bound == 0 {
		return 0
	}
	for _, r := range v.weights[model].next {
		if now >= r.from {
			required = r.version
		}
	}
	return required
}

// ApplyEndpoints takes in the endpoints that the platform lists.
func (g *Gateway) ApplyEndpoints(list []*fleet.Endpoint) {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	old := g.view.Load()
	next := *old
	next.endpoints = list
	g.logEndpoints(old.endpoints, list)
	g.view.Store(&next)
	g.place(&next)
}

// Refresh brings the placement up to date with the time: versions of weights
// become required.
func (g *Gateway) Refresh() {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	g.place(g.view.Load())
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

// place hands each service the endpoints that may take its requests.
func (g *Gateway) place(v *view) {
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
		c, usable := g.candidate(v, s, e, now)
		if usable {
			candidates[e.Service()] = append(candidates[e.Service()], c)
		}
	}
	entries := g.entriesByDomain(now)
	for name, s := range v.configuration.Services() {
		list := candidates[name]
		placement.AssignHomes(list, entries, g.self.FailureDomain, g.self.PeerAddress)
		pool := g.trafficOf(name).placement
		pool.SetModel(modelOf(s.Engine()))
		pool.SetEndpoints(now, list)
	}
}

// modelOf returns how the endpoints of a service work.
func modelOf(e *fleet.Engine) placement.Model {
	if e == nil {
		return placement.Model{}
	}
	stride := time.Duration(e.Stride)
	context := time.Duration((e.UsualPrompt + e.UsualOutput/2) / 1000 * float64(e.StepPerContext))
	return placement.Model{
		Pass:           stride * e.Step,
		PassPerRequest: stride * (e.StepPerRequest + context),
		Read:           time.Duration(float64(time.Second) / max(e.PrefillPerSecond, 1)),
	}
}

// candidate describes an endpoint for placement; usable is false where it has no
// weights that may start work.
func (g *Gateway) candidate(v *view, s *fleet.Service, e *fleet.Endpoint, now time.Duration) (c placement.Candidate, usable bool) {
	c = placement.Candidate{
		ID:      e.ID(),
		Address: e.Address(),
		Domain:  e.FailureDomain(),
		Slots:   max(e.Slots(), 1),
	}
	if s.MaxConnections() > 0 {
		c.MaxInFlight = min(max(s.MaxConnections()*9/10/max(g.peers.count()+1, 1), 2), maxConnections)
	}
	if s.Engine() == nil {
		return c, true
	}
	for _, model := range s.Engine().Models {
		c.Version = e.Version(model)
		if c.Version > 0 && c.Version >= v.required(model, now, g.version) {
			return c, true
		}
	}
	return c, false
}
