package placement

import "time"

func (p *Pool) ahead(t *Ticket) int {
	n := 0
	for _, w := range p.waiting {
		if !before(t, w) {
			n++
		}
	}
	return n
}

// before orders the waiting: those that were placed before, then by priority and
// arrival.
func before(a, b *Ticket) bool {
	if a.request.Again != b.request.Again {
		return a.request.Again
	}
	if a.request.Priority != b.request.Priority {
		return a.request.Priority < b.request.Priority
	}
	return a.offered < b.offered
}

func (p *Pool) enqueue(t *Ticket) {
	i := len(p.waiting)
	for i > 0 && before(t, p.waiting[i-1]) {
		i--
	}
	p.waiting = append(p.waiting, nil)
	copy(p.waiting[i+1:], p.waiting[i:])
	p.waiting[i] = t
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

// possible reports whether any endpoint might take the request later.
func (p *Pool) possible(r Request) bool {
	for _, e := range p.order {
		if !r.excludes(e.ID) {
			return true
		}
	}
	return false
}

// lateShare is how far beyond its target an answer may begin by prediction. A
// request that would begin later delays all that are read beside it.
const lateShare = 1.5

// hopeless reports whether an answer would begin much too late. What was placed
// before goes on.
func (r Request) hopeless(now, first time.Duration) bool {
	return r.Target > 0 && !r.Again && float64(now-r.Arrived+first) > lateShare*float64(r.Target)
}

func (r Request) excludes(id string) bool {
	for _, x := range r.Exclude {
		if x == id {
			return true
		}
	}
	return false
}

// pump places the waiting as far as there is room.
func (p *Pool) pump(now time.Duration) {
	for i := 0; i < len(p.waiting); {
		t := p.waiting[i]
		e, first := p.best(now, t.request)
		if e == nil {
			if len(t.request.Exclude) == 0 {
				return
			}
			i++
			continue
		}
		p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
		p.place(now, t, e, first)
	}
}
