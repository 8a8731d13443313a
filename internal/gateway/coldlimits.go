package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/quota"
	"github.com/primrosetally/primrosetally/internal/coordination/warmup"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// maxColdEndpoints bounds the cold endpoints in one datagram.
const maxColdEndpoints = 160

// limitOf returns the rate limit of an endpoint: the one that it has stated, or that of a cold
// one if it is lower.
func (g *Gateway) limitOf(now time.Duration, e quota.Endpoint) quota.Limit {
	return g.rateLimits.limits.Limit(e).Lower(g.warmup.Limit(now, e))
}

// observeCold records what the rows of endpoints say of how long they stay cold.
func (g *Gateway) observeCold(now time.Duration, v *snapshot, list []*fleet.Endpoint) {
	longer := false
	for _, e := range list {
		longer = g.warmup.Observe(now, e, v.warmupOf(e)) || longer
	}
	if longer {
		g.wakeQuotas()
	}
}

// logCold logs that another number of endpoints than before is cold.
func (g *Gateway) logCold(ctx context.Context, now time.Duration) {
	cold := g.warmup.List(now, false)
	if len(cold) == g.quotas.lastCold {
		return
	}
	longest := time.Duration(0)
	for _, c := range cold {
		longest = max(longest, c.Remaining)
	}
	telemetry.EndpointsCold.Log(ctx, g.logger, "endpoints", len(cold), "before", g.quotas.lastCold, "remaining", longest)
	g.quotas.lastCold = len(cold)
	g.metrics.ColdEndpoints.Set(float64(len(cold)))
}

// coldChanged applies to placement that endpoints are cold for longer.
func (g *Gateway) coldChanged() {
	g.Refresh()
	g.wakeQuotas()
}

// withCold returns the limits that a grantor divides: those that endpoints have stated and those
// of cold ones.
func (g *Gateway) withCold(now time.Duration, stated []quota.Observation) []quota.Observation {
	cold := g.warmup.List(now, false)
	if len(cold) == 0 {
		return stated
	}
	list := slices.Clone(stated)
	byHash := make(map[uint32]int, len(list))
	for i, o := range list {
		byHash[o.Endpoint.Hash] = i
	}
	for _, c := range cold {
		o := quota.Observation{Endpoint: c.Endpoint, Limit: g.limitOf(now, c.Endpoint), At: now}
		if i, known := byHash[c.Endpoint.Hash]; known {
			list[i] = o
			continue
		}
		list = append(list, o)
	}
	return list
}

// mergeCold takes over which endpoints are cold by another entry, where they are listed and
// their services have a warm-up. Shared is set if it has told all entries.
func (g *Gateway) mergeCold(now time.Duration, list []*nodev1.ColdEndpoint, shared bool) {
	v, longer := g.snapshot.Load(), false
	for _, m := range list {
		e := v.endpointByHash(m.GetEndpoint())
		if e == nil || !validStart(m.GetStarted()) {
			continue
		}
		c := warmup.Cold{
			Endpoint:  quota.Endpoint{Hash: m.GetEndpoint(), Started: m.GetStarted()},
			Remaining: time.Duration(m.GetRemainingMs()) * time.Millisecond,
		}
		longer = g.warmup.Merge(now, c, v.warmupOf(e), shared) || longer
	}
	if longer {
		g.coldChanged()
	}
}

// coldMessages returns the messages of cold endpoints, as many as fit into a datagram.
func coldMessages(list []warmup.Cold) []*nodev1.ColdEndpoint {
	var messages []*nodev1.ColdEndpoint
	for _, c := range list[:min(len(list), maxColdEndpoints)] {
		messages = append(messages, &nodev1.ColdEndpoint{
			Endpoint: c.Endpoint.Hash, Started: c.Endpoint.Started, RemainingMs: uint32(c.Remaining.Milliseconds()),
		})
	}
	return messages
}
