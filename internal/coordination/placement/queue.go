package placement

import (
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/eligibility"
)

// Parameters of the queues. A request is late if it can no longer meet its target.
const (
	// minUsefulWait is the shortest remaining wait for which a request is queued as on
	// time.
	minUsefulWait = 20 * time.Millisecond
	// maxLateWait bounds the wait of a late request: callers give up a stream that has
	// no event for two seconds.
	maxLateWait = 1200 * time.Millisecond
	// lateWaitShare is the fraction of the time until its deadline that a late request
	// may wait. The rest is left for its response.
	lateWaitShare = 1.0 / 3
	// placementsPerLate is the number of placements of other requests per late request while
	// both kinds wait. Under sustained overload the order does not change how many
	// requests get a response. With late requests behind, more responses are on time.
	placementsPerLate = 16
	// lateWaitFactor multiplies the mean wait of a late request, for a wait that is very
	// likely long enough.
	lateWaitFactor = 2.0
	// uncontendedWeight is the weight of one placement in the moving share of placements
	// made while no on-time request waited.
	uncontendedWeight = 1.0 / 32
	// lateDelayShare bounds the predicted time to the first event of a late request, as
	// a fraction of its target: behind more waiting prompts it would make others late.
	lateDelayShare = 0.5
	// lateDelayFactor is the same bound as a multiple of the time at an endpoint without
	// waiting prompts. The larger bound applies, so that this one is for short targets.
	lateDelayFactor = 1.5
	// maxSkipped is the maximum number of waiting requests that are passed over, because
	// the best endpoint would miss their target, to place one that meets its target.
	maxSkipped = 2
)

// queue holds tickets in the order of placement.
type queue []*Ticket

// before reports whether a precedes b in a queue: requests that were placed before come
// first, then the order is by priority and time of submission.
func before(a, b *Ticket) bool {
	if a.request.PlacedBefore != b.request.PlacedBefore {
		return a.request.PlacedBefore
	}
	if a.request.Priority != b.request.Priority {
		return a.request.Priority < b.request.Priority
	}
	return a.submittedAt < b.submittedAt
}

// countAhead returns the number of tickets that precede t.
func (q queue) countAhead(t *Ticket) int {
	n := 0
	for _, w := range q {
		if !before(t, w) {
			n++
		}
	}
	return n
}

func (q *queue) add(t *Ticket) {
	i := len(*q)
	for i > 0 && before(t, (*q)[i-1]) {
		i--
	}
	*q = slices.Insert(*q, i, t)
}

// remove removes a ticket and reports whether it was in the queue.
func (q *queue) remove(t *Ticket) bool {
	i := slices.Index(*q, t)
	if i >= 0 {
		*q = slices.Delete(*q, i, i+1)
	}
	return i >= 0
}

// idleFirstEventDelay predicts the time to the first event at an endpoint with the mean
// number of requests in flight where no prompt waits.
func (p *Pool) idleFirstEventDelay(r Request) time.Duration {
	return p.model.FirstEventDelay(p.meanInFlight(), 0, r.Prompt)
}

// setWaitLimits sets until when the request may wait to meet its target, and until when at
// most.
func (p *Pool) setWaitLimits(now time.Duration, t *Ticket) {
	r := t.request
	t.expiresAt = now + min(maxLateWait, time.Duration(lateWaitShare*float64(r.Deadline-now)))
	if r.Target == 0 {
		t.onTimeUntil = r.lastPlacement()
		t.expiresAt = r.lastPlacement()
		return
	}
	t.onTimeUntil = min(r.Arrived+r.Target-p.idleFirstEventDelay(r)-p.preferredLag.margin(r.Target), r.lastPlacement())
}

// lastPlacement returns the latest time at which a placement is of use.
func (r Request) lastPlacement() time.Duration { return r.Deadline - r.MinTime }

// tooLate reports whether a placement is of no use any more.
func (r Request) tooLate(now time.Duration) bool { return r.MinTime > 0 && now > r.lastPlacement() }

// meetsTarget reports whether a request with the given predicted time to the first event
// meets its target at the endpoint. Requests without a target and those that were placed
// before always do.
func (p *Pool) meetsTarget(now time.Duration, t *Ticket, e *endpoint, delay time.Duration) bool {
	return p.inTime(now, t.request, e, delay)
}

func (p *Pool) inTime(now time.Duration, r Request, e *endpoint, delay time.Duration) bool {
	return r.Target == 0 || r.PlacedBefore || now+delay+p.lagOf(e.Preferred).margin(r.Target) <= r.Arrived+r.Target
}

// lateFits reports whether the predicted time to the first event at an endpoint is short
// enough for a late request to be placed there.
func (p *Pool) lateFits(r Request, delay time.Duration) bool {
	bound := max(lateDelayShare*float64(r.Target), lateDelayFactor*float64(p.idleFirstEventDelay(r)))
	return p.model.Step == 0 || r.Target == 0 || float64(delay) <= bound
}

// expectedWait returns the expected wait of a request with the given number of requests
// ahead of it. Slots become free for this entry at the rate at which its own requests end.
func (p *Pool) expectedWait(ahead int) time.Duration {
	return time.Duration(float64(p.serviceTime.average()) * float64(ahead+1) / float64(max(p.inFlight, 1)))
}

// expectedWaitOf returns the expected wait of a request behind those of a queue that precede
// it. Only requests at endpoints in its allowed regions make room for it, and only some of the
// requests ahead of it go there.
func (p *Pool) expectedWaitOf(t *Ticket, q queue) time.Duration {
	if !t.request.Regions.Any() {
		return p.expectedWait(q.countAhead(t))
	}
	inFlight := 0
	for _, e := range p.listed {
		if t.request.Regions.Admits(e.Region) {
			inFlight += e.ownLoad.InFlight
		}
	}
	share := float64(inFlight) / float64(max(p.inFlight, 1))
	ahead := 0.0
	for _, w := range q {
		switch {
		case before(t, w):
		case w.request.Regions == t.request.Regions:
			ahead++
		default:
			ahead += share
		}
	}
	return time.Duration(float64(p.serviceTime.average()) * (ahead + 1) / float64(max(inFlight, 1)))
}

// expectedLateWait returns the wait after which a late request is very likely to be
// placed. Late requests get the placements for which no on-time request waits. Those come
// at irregular intervals.
func (p *Pool) expectedLateWait(ahead int) time.Duration {
	return time.Duration(lateWaitFactor * float64(p.expectedWait(ahead)) / max(p.uncontendedShare, 1.0/placementsPerLate))
}

// recordContention updates the share of placements made while no on-time request waited.
func (p *Pool) recordContention() {
	uncontended := 0.0
	if len(p.onTime) == 0 {
		uncontended = 1
	}
	p.uncontendedShare += uncontendedWeight * (uncontended - p.uncontendedShare)
}

// refusalReason returns the reason why no endpoint can take a waiting request, or "" if one
// may.
func (p *Pool) refusalReason(t *Ticket) Reason {
	reason := ReasonNoEndpoint
	for _, e := range p.listed {
		switch {
		case !t.request.Regions.Admits(e.Region):
			if reason == ReasonNoEndpoint {
				reason = ReasonRegions
			}
		case t.request.excludes(e):
		case e.hold.until > max(t.expiresAt, t.onTimeUntil):
			reason = ReasonHeld
		default:
			return ""
		}
	}
	return reason
}

// refuseUnplaceable refuses the waiting requests that no endpoint will take in time.
func (p *Pool) refuseUnplaceable(now time.Duration) {
	for _, q := range []*queue{&p.onTime, &p.late} {
		*q = slices.DeleteFunc(*q, func(t *Ticket) bool {
			reason := p.refusalReason(t)
			if reason != "" {
				p.refuse(now, t, reason)
			}
			return reason != ""
		})
	}
}

// excludes reports whether a request must not be placed on an endpoint.
func (r *Request) excludes(e *endpoint) bool {
	if !r.Regions.Admits(e.Region) {
		return true
	}
	return slices.Contains(r.Exclude, e.ID) && !(r.Begun && e.Version > r.Version)
}

// waitOf returns how a request would wait: as late, or on time, or why it is refused instead. One
// whose response has begun is never refused.
func (p *Pool) waitOf(now time.Duration, t *Ticket) (refusal Reason, late bool) {
	if t.request.Begun && !t.request.tooLate(now) {
		return "", false
	}
	if reason := p.refusalReason(t); reason != "" {
		return reason, false
	}
	if t.request.tooLate(now) {
		return ReasonExpired, false
	}
	if p.limitedCount > 0 && p.waitsForPermit(now, t.request) {
		if p.permitTooLate(now, t, t.ahead) {
			return ReasonRateLimited, false
		}
		return "", t.onTimeUntil-now < minUsefulWait
	}
	if t.onTimeUntil-now >= minUsefulWait && now+p.expectedWaitOf(t, p.onTime) <= t.onTimeUntil {
		return "", false
	}
	if p.lateWaitTooLong(now, t) {
		return ReasonOverload, true
	}
	return "", true
}

// lateWaitTooLong reports whether the wait of a late request would expire before it is placed.
func (p *Pool) lateWaitTooLong(now time.Duration, t *Ticket) bool {
	return now+p.expectedLateWait(p.late.countAhead(t)) > t.expiresAt
}

// enqueue queues the request as on time if it is expected to be placed early enough to
// meet its target, else as late if it is expected to be placed before its wait expires.
// Otherwise it refuses the request, unless its response has begun.
func (p *Pool) enqueue(now time.Duration, t *Ticket) {
	refusal, late := p.waitOf(now, t)
	switch {
	case refusal != "":
		p.refuse(now, t, refusal)
	case late:
		p.late.add(t)
	case t.request.Begun:
		p.begun.add(t)
	default:
		p.onTime.add(t)
	}
}

// enqueueLate queues a late request, or refuses it if its wait would expire.
func (p *Pool) enqueueLate(now time.Duration, t *Ticket, reason Reason) {
	if p.lateWaitTooLong(now, t) {
		p.refuse(now, t, reason)
		return
	}
	p.late.add(t)
}

// demote moves requests that can no longer meet their target to the late queue.
func (p *Pool) demote(now time.Duration) {
	for i := 0; i < len(p.onTime); {
		t := p.onTime[i]
		if now < t.onTimeUntil {
			i++
			continue
		}
		p.onTime = slices.Delete(p.onTime, i, i+1)
		p.enqueueLate(now, t, ReasonExpired)
	}
}

// expire refuses the late requests whose wait is over, and those whose response has begun and
// whose deadline has come.
func (p *Pool) expire(now time.Duration) {
	for _, q := range []*queue{&p.begun, &p.late} {
		*q = slices.DeleteFunc(*q, func(t *Ticket) bool {
			expired := now >= t.expiresAt
			if expired {
				p.refuse(now, t, ReasonExpired)
			}
			return expired
		})
	}
}

// placeQueued places waiting requests while there is capacity.
func (p *Pool) placeQueued(now time.Duration) {
	for p.placeNext(now) {
		continue
	}
}

// placeNext places one waiting request and reports whether it did.
func (p *Pool) placeNext(now time.Duration) bool {
	if p.placeBegun(now) {
		return true
	}
	if len(p.late) > 0 && p.placedSinceLate >= placementsPerLate && p.placeLate(now) {
		return true
	}
	return p.placeDue(now) || p.placeOnTime(now) || len(p.onTime) == 0 && p.placeLate(now)
}

// placeBegun places the first request whose response has begun and that an endpoint can take.
// One that none can take yet does not delay any other request.
func (p *Pool) placeBegun(now time.Duration) bool {
	for _, t := range p.begun {
		e, delay := p.bestEndpoint(now, t.request)
		if e != nil && !t.request.tooLate(now) {
			p.begun.remove(t)
			p.place(now, t, e, delay)
			return true
		}
	}
	return false
}

func (p *Pool) placeOnTime(now time.Duration) bool {
	skipped := 0
	var full eligibility.Restriction // without an endpoint that has capacity
	for _, t := range p.onTime {
		if full.Any() && t.request.Regions == full {
			continue
		}
		e, delay := p.bestEndpoint(now, t.request)
		if e == nil && len(t.request.Exclude) == 0 && p.limitedCount == 0 && p.boundedCount == 0 {
			if !t.request.Regions.Any() {
				return false // no other request can be placed either
			}
			full = t.request.Regions
			continue // requests with other regions may be placed
		}
		if e != nil && !t.request.tooLate(now) && p.meetsTarget(now, t, e, delay) {
			p.onTime.remove(t)
			p.place(now, t, e, delay)
			return true
		}
		if skipped++; skipped > maxSkipped {
			return false
		}
	}
	return false
}

func (p *Pool) placeLate(now time.Duration) bool {
	for _, t := range p.late {
		e, delay := p.bestEndpoint(now, t.request)
		if e != nil && !t.request.tooLate(now) && p.lateFits(t.request, delay) {
			p.late.remove(t)
			p.place(now, t, e, delay)
			p.placedSinceLate = 0
			return true
		}
		if !t.request.Regions.Any() {
			return false
		}
		// Only its regions may be full, which is no reason for the next one to wait.
	}
	return false
}
