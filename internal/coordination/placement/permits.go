package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of permits for endpoints with a rate limit.
const (
	// arrivalTime is the time constant over which the rate of submitted requests is
	// averaged: long enough that a few requests in a row are no rate.
	arrivalTime = 3 * time.Second
	// permitLead is the time for which permits are obtained in advance, about twice as
	// long as it takes to obtain one.
	permitLead = 200 * time.Millisecond
	// maxWantedEndpoints bounds the endpoints for which permits are wanted at a time, and
	// maxWantedPermits the permits for one of them.
	maxWantedEndpoints = 16
	maxWantedPermits   = 64
	// permitWait is how long a request waits for a permit while it is not known how many
	// permits this entry gets, which is longer than the way to another region and back.
	permitWait = 60 * time.Millisecond
	// shareTTL is how long the share of a rate limit that this entry gets is known.
	shareTTL = time.Second
	// maxPermitRetryAfter bounds the retry-after time of requests that find no permit.
	maxPermitRetryAfter = 10 * time.Second
)

// permit allows one request to an endpoint with a rate limit.
type permit struct {
	reservedUntil time.Duration // until then it is kept for accounts that are not above the mean
	until         time.Duration
}

// Demand is a number of permits that are wanted for an endpoint.
type Demand struct {
	Candidate
	Count int
}

// Demands are the permits that an entry wants.
type Demands struct {
	Endpoints []Demand
	// Total is how many permits the requests need, at whichever of the endpoints.
	Total int
	// Expected is set if some of the requests are expected soon. Otherwise only permits
	// that are granted at once are of use.
	Expected bool
}

// WithPermitsWanted sets a function that is called when a request finds no permit. It must
// not block and not call the Pool.
func WithPermitsWanted(wanted func()) Option { return func(p *Pool) { p.permitsWanted = wanted } }

// Permits are permits for an endpoint.
type Permits struct {
	// ID is the identity of the endpoint.
	ID    string
	Count int
	// Until is the end of their validity.
	Until time.Duration
	// Share is the rate of permits that this entry can expect, in requests a second.
	Share float64
}

// GrantPermits adds the permits of one answer, places waiting requests with them, and
// refuses those that are not expected to get one in time.
func (p *Pool) GrantPermits(now time.Duration, granted []Permits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range granted {
		e := p.endpoints[g.ID]
		if e == nil || !e.Limited {
			continue
		}
		e.share, e.shareAt = g.Share, now
		for range g.Count {
			e.permits = append(e.permits, permit{reservedUntil: now + reserveTime, until: g.Until})
		}
	}
	p.placeQueued(now)
	p.refuseUnpermitted(now)
}

// WantedPermits returns the permits that this entry wants: for its preferred endpoints
// those of the requests that are expected soon, and for all endpoints those of waiting
// requests that have no other endpoint.
func (p *Pool) WantedPermits(now time.Duration) Demands {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limitedCount == 0 {
		return Demands{}
	}
	waiting := len(p.begun) + len(p.onTime) + len(p.late)
	arrivals := p.expectedArrivals(now)
	if waiting+arrivals == 0 {
		return Demands{}
	}
	demands := Demands{Total: waiting + arrivals, Expected: arrivals > 0}
	count := min((waiting+arrivals+len(p.listed)-1)/len(p.listed), maxWantedPermits)
	for _, e := range p.lackingPermits(now, waiting > 0 || p.allLimited()) {
		demands.Endpoints = append(demands.Endpoints, Demand{Candidate: e.Candidate, Count: count})
	}
	return demands
}

// lackingPermits returns the endpoints that could take a request but for a permit, the
// preferred ones first, and only these unless all is set.
func (p *Pool) lackingPermits(now time.Duration, all bool) []*endpoint {
	var list []*endpoint
	for _, e := range p.listed {
		if e.lacksPermit(now, p.overcommit) && (e.Preferred || all) {
			list = append(list, e)
		}
	}
	slices.SortStableFunc(list, func(a, b *endpoint) int { return cmp.Compare(preference(a), preference(b)) })
	return list[:min(len(list), maxWantedEndpoints)]
}

// preference orders preferred endpoints before others.
func preference(e *endpoint) int {
	if e.Preferred {
		return 0
	}
	return 1
}

// recordArrival updates the rate of submitted requests.
func (p *Pool) recordArrival(now time.Duration, r Request) {
	if p.limitedCount > 0 {
		p.use.want(now, r.Account)
	}
	p.arrivalRate = p.arrivalRateAt(now) + 1/arrivalTime.Seconds()
	p.arrivedAt = now
}

func (p *Pool) arrivalRateAt(now time.Duration) float64 {
	return p.arrivalRate * math.Exp(-float64(now-p.arrivedAt)/float64(arrivalTime))
}

// expectedArrivals returns the number of requests that are expected within permitLead.
// Less than one counts as none, since a permit may expire before the next request, while
// another entry has one that waits.
func (p *Pool) expectedArrivals(now time.Duration) int {
	return int(p.arrivalRateAt(now) * permitLead.Seconds())
}

// allLimited reports whether every endpoint has a rate limit.
func (p *Pool) allLimited() bool {
	return len(p.listed) > 0 && !slices.ContainsFunc(p.listed, func(e *endpoint) bool { return !e.Limited })
}

// requestPermits calls permitsWanted if an endpoint could take a request but for a permit.
func (p *Pool) requestPermits(now time.Duration) {
	if p.limitedCount == 0 || p.permitsWanted == nil {
		return
	}
	for _, e := range p.listed {
		if e.lacksPermit(now, p.overcommit) {
			p.permitsWanted()
			return
		}
	}
}

// permitRate returns the rate of permits that this entry can expect for the endpoints
// that the request may use, in requests a second. It is not known if one of them has no
// rate limit, or if the share of none is known.
func (p *Pool) permitRate(now time.Duration, r Request) (rate float64, known bool) {
	for _, e := range p.listed {
		switch {
		case r.excludes(e):
		case !e.Limited:
			return 0, false
		case e.shareAt > 0 && now-e.shareAt < shareTTL:
			rate += e.share
			known = true
		}
	}
	return rate, known
}

// permitDelay returns the expected wait for a permit with the given number of requests
// ahead, 0 if it is not known.
func (p *Pool) permitDelay(now time.Duration, r Request, ahead int) time.Duration {
	rate, known := p.permitRate(now, r)
	if !known {
		return 0
	}
	seconds := float64(ahead+1) / max(rate, 1e-6)
	return time.Duration(min(seconds, maxPermitDelaySeconds) * float64(time.Second))
}

// maxPermitDelaySeconds is beyond every deadline.
const maxPermitDelaySeconds = 3600

// needsUnreserved reports whether the request may use only permits that are not reserved,
// because its account has used more than others that share them.
func (p *Pool) needsUnreserved(now time.Duration, r Request) bool {
	return p.allLimited() && p.use.aboveMean(now, r.Account)
}

// waitsForPermit reports whether only a permit is missing to place the request.
func (p *Pool) waitsForPermit(now time.Duration, r Request) bool {
	missing := false
	unreserved := p.needsUnreserved(now, r)
	for _, e := range p.listed {
		switch {
		case r.excludes(e):
		case !e.Limited:
			return false
		case !e.hasPermit(now, unreserved) && e.isAvailable(now) && e.freeSlots(p.overcommit) > 0:
			missing = true
		}
	}
	return missing
}

// refuseUnpermitted refuses the waiting requests that will find no permit in time.
func (p *Pool) refuseUnpermitted(now time.Duration) {
	if p.limitedCount == 0 {
		return
	}
	for _, q := range []*queue{&p.onTime, &p.late} {
		position := 0
		*q = slices.DeleteFunc(*q, func(t *Ticket) bool {
			if !p.permitTooLate(now, t, position) {
				position++
				return false
			}
			p.refuse(now, t, ReasonRateLimited)
			return true
		})
	}
}

// permitTooLate reports whether a waiting request is not expected to get a permit in time.
// While the share of this entry is not known, that is after permitWait.
func (p *Pool) permitTooLate(now time.Duration, t *Ticket, ahead int) bool {
	if !p.waitsForPermit(now, t.request) {
		return false
	}
	_, known := p.permitRate(now, t.request)
	if !known {
		return now-t.submittedAt >= permitWait
	}
	return now+p.permitDelay(now, t.request, ahead) > max(t.onTimeUntil, t.expiresAt)
}

// permitRetryAfter returns the time after which a request that found no permit is likely
// to find one.
func (p *Pool) permitRetryAfter(now time.Duration) time.Duration {
	delay := p.permitDelay(now, Request{}, len(p.onTime)+len(p.late))
	return min(delay, maxPermitRetryAfter)
}

// keepPermits drops the permits that do not fit an endpoint's new state: all if it has
// started again or has no limit any more, and all but one if its limit is lower.
func (e *endpoint) keepPermits(c Candidate) {
	switch {
	case e.Limited != c.Limited || e.Candidate.Started != c.Started:
		e.permits, e.share, e.shareAt = nil, 0, 0
	case c.RateLimit < e.RateLimit:
		e.permits = e.permits[:min(len(e.permits), 1)]
		e.shareAt = 0
	}
}

// lacksPermit reports whether the endpoint could take a request but for a permit.
func (e *endpoint) lacksPermit(now time.Duration, overcommit int) bool {
	return e.Limited && !e.hasPermit(now, false) && e.isAvailable(now) && e.freeSlots(overcommit) > 0
}

// hasPermit reports whether there is a valid permit, which must not be reserved for other
// accounts if unreserved is set.
func (e *endpoint) hasPermit(now time.Duration, unreserved bool) bool {
	e.permits = slices.DeleteFunc(e.permits, func(r permit) bool { return now >= r.until })
	return slices.ContainsFunc(e.permits, func(r permit) bool { return !unreserved || now >= r.reservedUntil })
}

// takePermit uses the permit that expires first and returns until when it is valid.
func (e *endpoint) takePermit() time.Duration {
	first := 0
	for i, r := range e.permits {
		if r.until < e.permits[first].until {
			first = i
		}
	}
	until := e.permits[first].until
	e.permits = slices.Delete(e.permits, first, first+1)
	return until
}

// returnPermit gives back the permit of a request that was not sent.
func (e *endpoint) returnPermit(now, until time.Duration) {
	if e.Limited && until > now {
		e.permits = append(e.permits, permit{until: until})
	}
}
