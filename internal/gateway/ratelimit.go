package gateway

import (
	"context"
	"maps"
	"sync"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/coordination/quota"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// rateLimits holds the rate limits that endpoints have stated, and what is logged with
// them.
type rateLimits struct {
	limits *quota.Limits

	mu        sync.Mutex
	sent      map[uint32]int    // requests sent to limited endpoints since the last log line, by hash
	malformed map[uint32]string // last malformed limit by hash, which is logged once
}

func newRateLimits() *rateLimits {
	return &rateLimits{limits: quota.NewLimits(), sent: make(map[uint32]int), malformed: make(map[uint32]string)}
}

// quotaEndpoint returns the incarnation of a candidate as rate limits name it.
func quotaEndpoint(c placement.Candidate) quota.Endpoint {
	return quota.Endpoint{Hash: endpointHash(c.ID), Started: c.Started}
}

// countLimited counts a request that is being sent to an endpoint with a known rate
// limit.
func (g *Gateway) countLimited(q *request, c placement.Candidate) {
	e := quotaEndpoint(c)
	if !g.limitOf(q.sentAt, e).Limited() {
		return
	}
	g.metrics.LimitedRequests.WithLabelValues(q.service.Name()).Inc()
	g.rateLimits.mu.Lock()
	defer g.rateLimits.mu.Unlock()
	g.rateLimits.sent[e.Hash]++
}

// recordRateLimit records the rate limit that the head of an endpoint's response states.
// A response that may come from another endpoint, or a malformed limit, changes nothing.
func (g *Gateway) recordRateLimit(ctx context.Context, q *request, c placement.Candidate, a ResponseHead) {
	if a.Misdirected || !a.Authenticated && !a.NotExecuted && !a.RateLimit.Limited() {
		return
	}
	e := quotaEndpoint(c)
	if a.RateLimitErr != nil {
		g.logMalformedLimit(ctx, q, c, e, a.RateLimitErr)
		return
	}
	now := g.now()
	before := g.rateLimits.limits.Limit(e)
	if !g.rateLimits.limits.Record(now, q.sentAt, e, a.RateLimit) {
		return
	}
	telemetry.EndpointLimited.Log(ctx, g.logger, "request", q.head.ID, "endpoint", c.ID, "started", c.Started,
		"limited", a.RateLimit.Limited(), "perSecond", a.RateLimit.PerSecond(), "before", before.PerSecond(),
		"sent", g.rateLimits.takeSent(e.Hash))
	g.rateLimitsChanged()
}

// rateLimitsChanged applies changed rate limits to placement.
func (g *Gateway) rateLimitsChanged() {
	g.metrics.LimitedEndpoints.Set(float64(g.rateLimits.limits.Count()))
	g.Refresh()
	g.wakeQuotas()
}

// logMalformedLimit logs a malformed limit once for each endpoint and text.
func (g *Gateway) logMalformedLimit(ctx context.Context, q *request, c placement.Candidate, e quota.Endpoint, err error) {
	g.rateLimits.mu.Lock()
	logged := g.rateLimits.malformed[e.Hash] == err.Error()
	g.rateLimits.malformed[e.Hash] = err.Error()
	g.rateLimits.mu.Unlock()
	if !logged {
		telemetry.EndpointLimitMalformed.Log(ctx, g.logger, "request", q.head.ID, "endpoint", c.ID, "error", err)
	}
}

// takeSent returns the requests sent to an endpoint since the previous call.
func (l *rateLimits) takeSent(hash uint32) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.sent[hash]
	delete(l.sent, hash)
	return n
}

// expireRateLimits removes the limits of endpoints that are gone.
func (g *Gateway) expireRateLimits() {
	limits := g.rateLimits.limits
	if limits.Empty() {
		return
	}
	v := g.snapshot.Load()
	limits.Expire(g.now(), func(e quota.Endpoint) bool { return v.endpointByHash(e.Hash) != nil })
	g.metrics.LimitedEndpoints.Set(float64(limits.Count()))
	g.rateLimits.mu.Lock()
	defer g.rateLimits.mu.Unlock()
	gone := func(hash uint32) bool { return v.endpointByHash(hash) == nil }
	maps.DeleteFunc(g.rateLimits.malformed, func(hash uint32, _ string) bool { return gone(hash) })
	maps.DeleteFunc(g.rateLimits.sent, func(hash uint32, _ int) bool { return gone(hash) })
}
