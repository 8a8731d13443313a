package gateway

import (
	"context"

	"github.com/primrosetally/primrosetally/internal/coordination/admission"
	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// incarnationOf returns the incarnation of an endpoint that a request may be placed
// on.
func incarnationOf(c placement.Candidate) admission.Incarnation {
	return admission.Incarnation{ID: c.ID, Started: c.Started}
}

// recordBackpressure records the backpressure in the head of an endpoint's response.
// It applies to all requests that are sent afterwards, including those that were
// already placed.
func (g *Gateway) recordBackpressure(ctx context.Context, q *request, c placement.Candidate, r admission.Backpressure) {
	now := g.now()
	state, changed := g.backpressure.Record(now, incarnationOf(c), r)
	if !changed {
		return
	}
	telemetry.EndpointAsks.Log(ctx, g.logger, "request", q.head.ID, "endpoint", c.ID, "started", c.Started,
		"leaving", r.Draining, "wait", r.RetryAfter)
	if state.Draining() {
		g.Refresh()
		return
	}
	q.traffic.placement.Hold(now, c.ID, state.BlockedUntil())
}

// Reasons why a placed request is not sent.
const (
	reasonBackpressure    = "endpoint has signaled backpressure since the placement"
	reasonOutdatedWeights = "weights of the endpoint are too old by now"
	reasonRateLimited     = "endpoint has a rate limit and the request has no valid permit"
	reasonUnconfirmed     = "configuration is not confirmed"
	reasonRevoked         = "key was revoked"
	reasonTooLate         = "too little time is left for a response"
	reasonQuarantined     = "endpoints have crashed under such requests"
)

// staleReason returns why a request must no longer be sent to the endpoint chosen for
// it, or an empty string if it may. The process may have been suspended since the
// placement, or may have received new information while a connection was being
// established.
func (g *Gateway) staleReason(q *request, c placement.Choice) string {
	now := g.now()
	if q.minTime > 0 && q.remaining(now) < q.minTime {
		return reasonTooLate
	}
	if !g.backpressure.State(now, incarnationOf(c.Candidate)).Admits(now) {
		return reasonBackpressure
	}
	if now >= c.PermitUntil() && g.rateLimits.limits.Limit(quotaEndpoint(c.Candidate)).Limited() {
		return reasonRateLimited
	}
	if g.outdated(q.service, c.Candidate, now) {
		return reasonOutdatedWeights
	}
	if g.suspicion(q).Kind() == suspects.Quarantined {
		return reasonQuarantined
	}
	return g.keyReason(q)
}
