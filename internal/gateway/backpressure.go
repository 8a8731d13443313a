package gateway

import (
	"context"

	"github.com/primrosetally/primrosetally/internal/coordination/admission"
	"github.com/primrosetally/primrosetally/internal/coordination/eligibility"
	"github.com/primrosetally/primrosetally/internal/coordination/placement"
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

// Reasons why a placed request is not sent, beside those of package eligibility.
const (
	reasonUnconfirmed = "configuration is not confirmed"
	reasonRevoked     = "key was revoked"
	reasonQuarantined = string(eligibility.Quarantined)
)
