package gateway

import (
	"context"

	"github.com/primrosetally/primrosetally/internal/coordination/admission"
	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// lifeOf returns the life of an endpoint that a request may be placed on.
func lifeOf(c placement.Candidate) admission.Incarnation {
	return admission.Incarnation{ID: c.ID, Started: c.Started}
}

// hearEndpoint takes in what an endpoint asks for in the head of an answer. It binds
// all requests that are sent after this, also those that have been placed.
func (g *Gateway) hearEndpoint(ctx context.Context, q *request, c placement.Candidate, r admission.Backpressure) {
	now := g.now()
	standing, changed := g.asked.Record(now, lifeOf(c), r)
	if !changed {
		return
	}
	telemetry.EndpointAsks.Log(ctx, g.logger, "request", q.call.ID, "endpoint", c.ID, "started", c.Started,
		"leaving", r.Draining, "wait", r.RetryAfter)
	if standing.Draining() {
		g.Refresh()
		return
	}
	q.traffic.placement.Hold(now, c.ID, standing.BlockedUntil())
}

// Reasons why a request that has been placed is not sent.
const (
	reasonAskedNot  = "endpoint has asked for no requests since"
	reasonReplaced  = "weights of the endpoint are too old by now"
	reasonKeyUnsure = "configuration is not confirmed any more"
)

// withheld tells why a request must not be sent to the endpoint that was chosen for it,
// empty if it may. The process may have been suspended since the choice, or heard
// something in the time that a connection took.
func (g *Gateway) withheld(q *request, c placement.Candidate) string {
	now := g.now()
	if !g.asked.State(now, lifeOf(c)).Admits(now) {
		return reasonAskedNot
	}
	if g.outdated(q.service, c, now) {
		return reasonReplaced
	}
	if q.account == "" {
		return ""
	}
	// The age is read before the configuration: a newer one that comes between must not
	// make a key of the older one look confirmed.
	if _, fresh := g.fresh(); !fresh {
		return reasonKeyUnsure
	}
	if _, known := g.view.Load().configuration.Account(q.call.Key); !known {
		return reasonKeyUnsure
	}
	return ""
}
