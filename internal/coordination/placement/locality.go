package placement

import (
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/locality"
)

// offer is the best endpoint for a request among those of the own failure domain, or of others.
type offer struct {
	endpoint *endpoint
	score    time.Duration
	delay    time.Duration
}

// take replaces the offer by an endpoint with a lower score.
func (o *offer) take(e *endpoint, score, delay time.Duration) {
	if o.endpoint == nil || score < o.score {
		*o = offer{e, score, delay}
	}
}

// leaves reports whether a request leaves the own failure domain.
func (p *Pool) leaves(now time.Duration, r Request, home, away offer) bool {
	if away.endpoint == nil {
		return false
	}
	return locality.Leaves(p.offerOf(now, r, home), p.offerOf(now, r, away))
}

func (p *Pool) offerOf(now time.Duration, r Request, o offer) locality.Offer {
	if o.endpoint == nil {
		return locality.Offer{}
	}
	return locality.Offer{
		Available: true,
		InTime:    p.inTime(now, r, o.endpoint, o.delay),
		Delay:     o.delay + o.endpoint.Distance,
	}
}

// recordNeed records a request that leaves the own failure domain, or finds no endpoint at all.
func (p *Pool) recordNeed(now time.Duration, r Request, e *endpoint) {
	if p.distant && !r.Regions.Any() && (e == nil || e.Distance > 0) {
		p.need.Add(now)
	}
}

// Need returns the requests a second that found no room in the own failure domain.
func (p *Pool) Need(now time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.need.Rate(now)
}
