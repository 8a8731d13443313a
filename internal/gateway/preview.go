package gateway

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/coordination/eligibility"
	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/preview"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// Preview returns where a request would go now. It decides as for a request and sends nothing.
// The error wraps preview.ErrQuery or preview.ErrUnavailable.
func (g *Gateway) Preview(query preview.Query) (preview.Preview, error) {
	v := g.snapshot.Load()
	if v.configuration == nil {
		return preview.Preview{}, eris.Wrap(preview.ErrUnavailable, "no configuration is known yet")
	}
	q, err := g.previewed(v.configuration, query)
	if err != nil {
		return preview.Preview{}, err
	}
	now := g.now()
	confirmed := -1.0
	if age, known := g.age(); known {
		confirmed = preview.Milliseconds(age)
	}
	p := preview.Preview{
		Entry: g.self.Name, FailureDomain: g.self.FailureDomain, Route: q.route.Name(), Account: q.account,
		AccountPriority: q.rank.Account, RoutePriority: q.rank.Route,
		ConfigurationVersion: v.version(), ConfirmedMS: confirmed, LoadMS: preview.Milliseconds(g.peers.oldestLoad(now)),
		Refusal: g.previewRefusal(q),
	}
	g.refreshLoads(now)
	for _, s := range q.route.Splits() {
		if v.configuration.Services()[s.Service()] != nil {
			p.Services = append(p.Services, g.previewService(now, q, v, s))
		}
	}
	return p, nil
}

// previewed returns the request that a query describes.
func (g *Gateway) previewed(c *fleet.Configuration, query preview.Query) (*request, error) {
	q := &request{
		head:  RequestHead{PromptTokens: query.PromptTokens},
		route: c.Route(hostOf(query.Host), query.Path), host: query.Host, path: query.Path, arrived: g.now(),
	}
	if q.route == nil {
		return nil, eris.Wrapf(preview.ErrQuery, "no route for %.100q and %.100q", query.Host, query.Path)
	}
	q.rank = fleet.RankOf(q.route)
	q.setDeadline()
	var account fleet.Account
	if c.Keyed() && !q.route.Anonymous() {
		known := false
		if account, known = c.AccountNamed(query.Account); !known {
			return nil, eris.Wrapf(preview.ErrQuery, "the route needs an account, and %.100q has no key", query.Account)
		}
		q.account, q.keyed, q.rank = account.Name(), true, account.Rank(q.route)
	}
	q.regions = eligibility.Restrict(q.route.Regions(), account.Regions())
	return q, nil
}

// previewRefusal returns why a request would be refused whatever the endpoints are.
func (g *Gateway) previewRefusal(q *request) string {
	if g.startsOlder() {
		return "configuration is older than that of other entries"
	}
	if _, fresh := g.fresh(); q.keyed && !fresh {
		return reasonUnconfirmed
	}
	if !g.joined() {
		return reasonStopping
	}
	return ""
}

func (g *Gateway) previewService(now time.Duration, q *request, v *snapshot, split fleet.Split) preview.Service {
	s := v.configuration.Services()[split.Service()]
	q.service, q.traffic = s, g.trafficOf(s.Name())
	q.minTime = g.newSequence(q).minTime(q)
	x := q.traffic.placement.Explain(now, q.placementRequest())
	shown := preview.Service{Name: s.Name(), Weight: split.Weight(), Endpoint: x.Chosen, Reason: string(x.Reason), ExpectedWaitMS: preview.Milliseconds(x.ExpectedWait)}
	switch {
	case x.Chosen != "":
		shown.Outcome = preview.OutcomePlaced
	case x.Waits && x.Late:
		shown.Outcome = preview.OutcomeWaitsLate
	case x.Waits:
		shown.Outcome = preview.OutcomeWaits
	default:
		shown.Outcome = preview.OutcomeRefused
	}
	listed := make(map[string]bool, len(x.Endpoints))
	for _, e := range x.Endpoints {
		listed[e.ID] = true
		shown.Endpoints = append(shown.Endpoints, previewEndpoint(e))
	}
	for _, e := range v.endpoints {
		if e.Service() == s.Name() && !listed[e.ID()] {
			shown.Endpoints = append(shown.Endpoints, preview.Endpoint{
				ID: e.ID(), FailureDomain: e.FailureDomain(), Region: g.region(e.FailureDomain()), Slots: e.Slots(), Obstacle: g.unlistedBecause(now, v, s, e),
			})
		}
	}
	return shown
}

func previewEndpoint(e placement.View) preview.Endpoint {
	return preview.Endpoint{
		ID: e.ID, FailureDomain: e.Domain, Region: e.Region, Obstacle: e.Obstacle.String(), Preferred: e.Preferred,
		FirstEventMS: preview.Milliseconds(e.FirstEventDelay), InTime: e.InTime,
		InFlight: e.InFlight, OwnInFlight: e.Own, PrefillTokens: e.PrefillTokens, Slots: e.Slots,
	}
}

// unlistedBecause returns why an endpoint is no candidate for any request.
func (g *Gateway) unlistedBecause(now time.Duration, v *snapshot, s *fleet.Service, e *fleet.Endpoint) string {
	switch c, usable := g.candidate(s, e, now); {
	case e.Draining() || g.backpressure.State(now, incarnationOf(c)).Draining():
		return "it is draining"
	case v.isEvacuated(e.FailureDomain()):
		return string(eligibility.Evacuated)
	case !usable:
		return "it has no weights with which work may start"
	}
	return "this entry has no share of its connections"
}

// oldestLoad returns the age of the oldest load report of a live peer.
func (p *peers) oldestLoad(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := time.Duration(0)
	for _, q := range p.known {
		if len(q.load) > 0 && p.alive(q, now) {
			oldest = max(oldest, now-q.receivedAt)
		}
	}
	return oldest
}
