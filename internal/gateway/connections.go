package gateway

import (
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
	"github.com/primrosetally/primrosetally/internal/transport/endpoints"
)

const (
	// entriesToldTime is the time after its start in which an entry uses the numbers of
	// entries that others have heard of. Later it has heard of all by itself.
	entriesToldTime = 60 * time.Second
	// maxEntries bounds the number of entries that a peer reports.
	maxEntries = 1 << 12
)

// connectionShares returns the shares of the connections that endpoints accept.
func (g *Gateway) connectionShares(now time.Duration) *placement.ConnectionShares {
	count := g.peers.entries(now)
	if now-g.started < entriesToldTime {
		count = max(count, g.peers.entriesTold())
	}
	return placement.NewConnectionShares(g.selfEntry(), g.peers.heard, count)
}

// lazyShares returns the shares, which are computed when they are needed first.
type lazyShares func() *placement.ConnectionShares

// connectionShare returns how many connections this entry may have to an endpoint of a
// service that bounds them.
func connectionShare(id string, s *fleet.Service, shares lazyShares) int {
	return min(shares().Of(id, s.MaxConnections()), maxConnections)
}

// limitConnections bounds the requests in flight at a candidate to its connections for this
// entry, and reports whether there are any.
func limitConnections(c *placement.Candidate, s *fleet.Service, shares lazyShares) bool {
	if s.MaxConnections() == 0 {
		return true
	}
	c.MaxInFlight = connectionShare(c.ID, s, shares)
	return c.MaxInFlight > 0
}

// connectionLimits returns the limits of the connections to all endpoints, idle ones
// included.
func connectionLimits(v *snapshot, shares lazyShares) endpoints.Limits {
	limits := make(endpoints.Limits)
	for _, e := range v.endpoints {
		if s := v.configuration.Services()[e.Service()]; s != nil && s.MaxConnections() > 0 {
			limits[e.Address()] = max(limits[e.Address()], connectionShare(e.ID(), s, shares))
		}
	}
	return limits
}
