package placement

import (
	"slices"
	"time"
)

// Bounds of waiting.
const (
	// minUsefulWait is the least wait worth queueing for.
	minUsefulWait = 20 * time.Millisecond
	// maxLateWait bounds the wait of a request whose target has passed: callers give a
	// stream up that shows no event for two seconds.
	maxLateWait = 1200 * time.Millisecond
	// lateWaitShare is the part of the time left that such a request may wait. The
	// rest is for its answer.
	lateWaitShare = 1.0 / 3
	// lateEvery placements one goes to a late request, while both kinds wait. Under
	// lasting overload the same number of callers is answered whatever the order; with
	// the late ones behind, more of them are answered in time.
	lateEvery = 16
	// lateCaution multiplies the mean time until a late request's turn.
	lateCaution = 2.0
	// slackWeight is the weight of a placement in the moving share of those made while
	// nobody waited who could be answered in time.
	slackWeight = 1.0 / 32
	// lateFirstShare of the target is what the first event of a late request may
	// take by prediction: the prompts that it waits behind would make others late.
	lateFirstShare = 0.5
	// lateFirstFactor is the same as a multiple of what an endpoint without waiting
	// prompts takes, for targets below that.
	lateFirstFactor = 1.5
	// skipped is how many waiting requests that an endpoint can't answer in time any
	// more are passed over for one that it can.
	skipped = 2
)

// queue holds tickets in the order in which they are placed.
type queue []*Ticket

// before orders the waiting: those that were placed before, then by priority and
// arrival.
func before(a, b *Ticket) bool {
	if a.request.PlacedBefore != b.request.PlacedBefore {
		return a.request.PlacedBefore
	}
	if a.request.Priority != b.request.Priority {
		return a.request.Priority < b.request.Priority
	}
	return a.offered < b.offered
}

// ahead returns how many tickets go before t.
func (q queue) ahead(t *Ticket) int {
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

// remove takes a ticket out and reports whether it was there.
func (q *queue) remove(t *Ticket) bool {
	i := slices.Index(*q, t)
	if i >= 0 {
		*q = slices.Delete(*q, i, i+1)
	}
	return i >= 0
}

// idleFirst predicts the first event at an endpoint of usual load where no prompt
// waits.
func (p *Pool) idleFirst(r Request) time.Duration {
	return p.model.FirstEventDelay(p.usualLoad(), 0, r.Prompt)
}

// schedule sets how long the request may wait for an answer in time, and at all.
func (p *Pool) schedule(now time.Duration, t *Ticket) {
	r := t.request
	t.expires = now + min(maxLateWait, time.Duration(lateWaitShare*float64(r.Deadline-now)))
	if r.Target == 0 {
		t.punctual = r.Deadline
		t.expires = r.Deadline
		return
	}
	t.punctual = min(r.Arrived+r.Target-p.idleFirst(r)-p.homeLag.margin(r.Target), r.Deadline)
}

// meets reports whether an answer that is predicted to begin after first is in time.
func (p *Pool) meets(now time.Duration, t *Ticket, e *endpoint, first time.Duration) bool {
	r := t.request
	return r.Target == 0 || r.PlacedBefore || now+first+p.lagOf(e.Preferred).margin(r.Target) <= r.Arrived+r.Target
}

// lateFits reports whether the prompts that wait at an endpoint leave room for a
// request whose target has passed.
func (p *Pool) lateFits(r Request, first time.Duration) bool {
	bound := max(lateFirstShare*float64(r.Target), lateFirstFactor*float64(p.idleFirst(r)))
	return p.model.Step == 0 || r.Target == 0 || float64(first) <= bound
}

// turn returns when a request with so many ahead of it is expected to be placed.
// Places come free here at the rate at which the own requests end.
func (p *Pool) turn(ahead int) time.Duration {
	held := p.held
	if held == 0 {
		held = defaultHeld
	}
	return time.Duration(float64(held) * float64(ahead+1) / float64(max(p.inFlight, 1)))
}

// lateTurn returns by when a late request is very likely to be placed. The placements
// fall to it that nobody else waits for, and those come unevenly.
func (p *Pool) lateTurn(ahead int) time.Duration {
	return time.Duration(lateCaution * float64(p.turn(ahead)) / max(p.slack, 1.0/lateEvery))
}

// noteSlack takes a placement into the share of those for which nobody else waited.
func (p *Pool) noteSlack() {
	alone := 0.0
	if len(p.waiting) == 0 {
		alone = 1
	}
	p.slack += slackWeight * (alone - p.slack)
}

// impossible tells why no endpoint might take a request that waits, empty where one
// might.
func (p *Pool) impossible(t *Ticket) Reason {
	reason := ReasonNoEndpoint
	for _, e := range p.order {
		switch {
		case t.request.excludes(e.ID):
		case e.hold.until > max(t.expires, t.punctual):
			reason = ReasonHeld
		default:
			return ""
		}
	}
	return reason
}

// refuseHeld refuses those of the waiting that no endpoint will take in time any more.
func (p *Pool) refuseHeld(now time.Duration) {
	for _, q := range []*queue{&p.waiting, &p.late} {
		*q = slices.DeleteFunc(*q, func(t *Ticket) bool {
			reason := p.impossible(t)
			if reason != "" {
				p.refuse(now, t, reason)
			}
			return reason != ""
		})
	}
}

func (r Request) excludes(id string) bool { return slices.Contains(r.Exclude, id) }

// enqueue has the request wait while its turn is expected in time for an answer
// within the target, else among the late ones while it is expected before the wait
// must end, and refuses it otherwise.
func (p *Pool) enqueue(now time.Duration, t *Ticket, reason Reason) {
	if impossible := p.impossible(t); impossible != "" {
		p.refuse(now, t, impossible)
		return
	}
	if t.punctual-now >= minUsefulWait && now+p.turn(p.waiting.ahead(t)) <= t.punctual {
		p.waiting.add(t)
		return
	}
	p.enqueueLate(now, t, reason)
}

func (p *Pool) enqueueLate(now time.Duration, t *Ticket, reason Reason) {
	if now+p.lateTurn(p.late.ahead(t)) > t.expires {
		p.refuse(now, t, reason)
		return
	}
	p.late.add(t)
}

// demote ends the waits that can't lead to an answer in time any more.
func (p *Pool) demote(now time.Duration) {
	for i := 0; i < len(p.waiting); {
		t := p.waiting[i]
		if now < t.punctual {
			i++
			continue
		}
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.enqueueLate(now, t, ReasonExpired)
	}
}

// expire refuses the late requests whose wait is over.
func (p *Pool) expire(now time.Duration) {
	p.late = slices.DeleteFunc(p.late, func(t *Ticket) bool {
		over := now >= t.expires
		if over {
			p.refuse(now, t, ReasonExpired)
		}
		return over
	})
}

// pump places the waiting as far as there is room.
func (p *Pool) pump(now time.Duration) {
	for p.placeNext(now) {
		continue
	}
}

// placeNext places one of the waiting and reports whether it did.
func (p *Pool) placeNext(now time.Duration) bool {
	if len(p.late) > 0 && p.sinceLate >= lateEvery && p.placeLate(now) {
		return true
	}
	return p.placeWaiting(now) || len(p.waiting) == 0 && p.placeLate(now)
}

func (p *Pool) placeWaiting(now time.Duration) bool {
	passed := 0
	for _, t := range p.waiting {
		e, first := p.best(now, t.request)
		if e == nil && len(t.request.Exclude) == 0 {
			return false
		}
		if e != nil && p.meets(now, t, e, first) {
			p.waiting.remove(t)
			p.place(now, t, e, first)
			return true
		}
		if passed++; passed > skipped {
			return false
		}
	}
	return false
}

func (p *Pool) placeLate(now time.Duration) bool {
	if len(p.late) == 0 {
		return false
	}
	t := p.late[0]
	e, first := p.best(now, t.request)
	if e == nil || !p.lateFits(t.request, first) {
		return false
	}
	p.late.remove(t)
	p.place(now, t, e, first)
	p.sinceLate = 0
	return true
}
