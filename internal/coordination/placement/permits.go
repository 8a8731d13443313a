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
	// averaged. Below minArrivalRate no further request is expected soon.
	arrivalTime    = time.Second
	minArrivalRate = 0.3 // requests a second
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
	until time.Duration
}

// Demand is a number of permits that are wanted for an endpoint.
type Demand struct {
	Candidate
	Count int
}

// WithPermitsWanted sets a function that is called when a request finds no permit. It must
// not block and not call the Pool.
func WithPermitsWanted(wanted func()) Option { return func(p *Pool) { p.permitsWanted = wanted } }

// GrantPermits adds permits for an endpoint that are valid until the given time. Share is
// the rate of permits that this entry can expect, in requests a second.
func (p *Pool) GrantPermits(now time.Duration, id string, count int, until time.Duration, share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[id]
	if e == nil || !e.Limited {
		return
	}
	e.share, e.shareAt = share, now
	for range count {
		e.permits = append(e.permits, permit{until})
	}
	p.placeQueued(now)
	if count == 0 {
		p.refuseUnpermitted(now)
	}
}

// WantedPermits returns the permits that this entry wants: for its preferred endpoints
// those of the requests that are expected soon, and for all endpoints those of waiting
// requests that have no other endpoint.
func (p *Pool) WantedPermits(now time.Duration) []Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting := len(p.onTime) + len(p.late)
	requests := waiting + p.expectedArrivals(now)
	if requests == 0 {
		return nil
	}
	scarce := waiting > 0 || p.allLimited()
	var wanted []*endpoint
	for _, e := range p.listed {
		if e.lacksPermit(now, p.overcommit) && (e.Preferred || scarce) {
			wanted = append(wanted, e)
		}
	}
	slices.SortStableFunc(wanted, func(a, b *endpoint) int { return cmp.Compare(preference(a), preference(b)) })
	wanted = wanted[:min(len(wanted), maxWantedEndpoints)]
	count := min((requests+len(p.listed)-1)/len(p.listed), maxWantedPermits)
	demands := make([]Demand, 0, len(wanted))
	for _, e := range wanted {
		demands = append(demands, Demand{Candidate: e.Candidate, Count: count})
	}
	return demands
}

// preference orders preferred endpoints before others.
func preference(e *endpoint) int {
	if e.Preferred {
		return 0
	}
	return 1
}

// recordArrival updates the rate of submitted requests.
func (p *Pool) recordArrival(now time.Duration) {
	p.arrivalRate = p.arrivalRateAt(now) + 1/arrivalTime.Seconds()
	p.arrivedAt = now
}

func (p *Pool) arrivalRateAt(now time.Duration) float64 {
	return p.arrivalRate * math.Exp(-float64(now-p.arrivedAt)/float64(arrivalTime))
}

// expectedArrivals returns the number of requests that are expected within permitLead.
func (p *Pool) expectedArrivals(now time.Duration) int {
	rate := p.arrivalRateAt(now)
	if rate < minArrivalRate {
		return 0
	}
	return int(math.Ceil(rate * permitLead.Seconds()))
}

// allLimited reports whether every endpoint has a rate limit.
func (p *Pool) allLimited() bool {
	return len(p.listed) > 0 && !slices.ContainsFunc(p.listed, func(e *endpoint) bool { return !e.Limited })
}

// askForPermits calls permitsWanted if an endpoint could take a request but for a permit.
func (p *Pool) askForPermits(now time.Duration) {
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
		case r.excludes(e.ID):
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

// waitsForPermit reports whether only a permit is missing to place the request.
func (p *Pool) waitsForPermit(now time.Duration, r Request) bool {
	missing := false
	for _, e := range p.listed {
		switch {
		case r.excludes(e.ID):
		case !e.Limited:
			return false
		case e.lacksPermit(now, p.overcommit):
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

// lacksPermit reports whether the endpoint could take a request but for a permit.
func (e *endpoint) lacksPermit(now time.Duration, overcommit int) bool {
	return e.Limited && !e.hasPermit(now) && e.isAvailable(now) && e.freeSlots(overcommit) > 0
}

// hasPermit reports whether there is a valid permit.
func (e *endpoint) hasPermit(now time.Duration) bool {
	e.permits = slices.DeleteFunc(e.permits, func(r permit) bool { return now >= r.until })
	return len(e.permits) > 0
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
		e.permits = append(e.permits, permit{until})
	}
}
