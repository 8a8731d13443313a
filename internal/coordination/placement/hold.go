package placement

import "time"

// Hold stops placements on an endpoint until the given time. Requests in flight there
// continue. Waiting requests that can no longer be placed in time are refused.
func (p *Pool) Hold(now time.Duration, id string, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		e.hold.extend(until)
	}
	p.refuseUnplaceable(now)
}

// RefuseUnplaceable refuses the waiting requests that no endpoint will take in time.
func (p *Pool) RefuseUnplaceable(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuseUnplaceable(now)
}

// HoldRemaining returns the time until the first hold ends if all endpoints are held,
// else 0.
func (p *Pool) HoldRemaining(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holdRemaining(now)
}

// holdRemaining is HoldRemaining for a caller that holds p.mu.
func (p *Pool) holdRemaining(now time.Duration) time.Duration {
	if len(p.listed) == 0 {
		return 0
	}
	earliest := p.listed[0].hold.until
	for _, e := range p.listed {
		earliest = min(earliest, e.hold.until)
	}
	return max(earliest-now, 0)
}

// maxProbes is the maximum number of requests placed on an endpoint after a hold until the
// response to one of them begins. All waiting requests at once would overload it again.
const maxProbes = 2

// hold is a period in which an endpoint has asked for no requests.
type hold struct {
	until        time.Duration
	probing      bool // no response to a request placed after the hold has begun yet
	probesPlaced int  // requests placed since the hold was set
}

// extend prolongs the hold, and restarts the probing, if the given time is later than its
// end.
func (h *hold) extend(until time.Duration) {
	if until > h.until {
		*h = hold{until: until, probing: true}
	}
}

// admits reports whether the hold permits another request.
func (h *hold) admits(now time.Duration) bool {
	return now >= h.until && (!h.probing || h.probesPlaced < maxProbes)
}

// recordResponse ends the probing if the response is to a request placed after the hold.
func (h *hold) recordResponse(placed time.Duration) {
	if placed >= h.until {
		h.probing = false
	}
}

// recordFailure permits another probe if the failed request was one.
func (h *hold) recordFailure(placed time.Duration) {
	if h.probing && placed >= h.until && h.probesPlaced > 0 {
		h.probesPlaced--
	}
}
