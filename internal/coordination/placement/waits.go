package placement

import (
	"slices"
	"time"
)

const (
	// waitMemory is how long the wait of a request for its first event is remembered. While
	// no requests are placed on an endpoint because of it, no other wait becomes known, so
	// that it must last from then until the time before which requests have to begin.
	waitMemory = 15 * time.Second
	// minEndedWait is the least wait of a request that ends before its first event from which
	// it is remembered: it would have waited longer, and a short one says nothing.
	minEndedWait = 500 * time.Millisecond
	// waitFactor multiplies the expected wait, for a wait that is very likely long enough.
	waitFactor = 2
)

// waits holds how long the own requests at an endpoint wait for their first events. They
// wait longer than predicted where the endpoint is slow or stalled, of which the intervals
// between events say nothing until there are some.
type waits struct {
	placed []time.Duration // when the requests were placed that have not begun, oldest first
	last   time.Duration   // wait of the request that began last
	lastAt time.Duration   // when it began, 0 if none has
}

// add records a request that is placed.
func (w *waits) add(now time.Duration) { w.placed = append(w.placed, now) }

// begin records the first event of the response to a request.
func (w *waits) begin(now time.Duration, c *Choice) {
	if c.began {
		return
	}
	w.remove(c)
	w.last, w.lastAt = now-c.placed, now
}

// end records that a request has ended. One that was ended before its first event has waited
// for so long at least.
func (w *waits) end(now time.Duration, c *Choice, outcome Outcome) {
	if c.began {
		return
	}
	w.remove(c)
	wait := now - c.placed
	if outcome != Cancelled && outcome != Withdrawn || wait < minEndedWait || wait < w.longest(now) {
		return
	}
	w.last, w.lastAt = wait, now
}

func (w *waits) remove(c *Choice) {
	if i := slices.Index(w.placed, c.placed); i >= 0 {
		w.placed = slices.Delete(w.placed, i, i+1)
	}
}

// longest returns the longest wait that is known of: the time for which the oldest request
// has been waiting, or the wait of the one that began last.
func (w *waits) longest(now time.Duration) time.Duration {
	longest := time.Duration(0)
	if len(w.placed) > 0 {
		longest = now - w.placed[0]
	}
	if w.lastAt > 0 && now-w.lastAt < waitMemory {
		longest = max(longest, w.last)
	}
	return longest
}

// known reports whether a wait of a request that has begun or ended is known. Those that have
// not begun yet show only the least that the wait can be.
func (w *waits) known(now time.Duration) bool { return w.lastAt > 0 && now-w.lastAt < waitMemory }

// unlistedWaits holds, by ID, the waits that are known of endpoints that have left the list:
// those that load a version of the weights return to it, and show what is usual meanwhile.
type unlistedWaits map[string]waits

// add keeps the waits at an endpoint that has left the list, if any are known.
func (u unlistedWaits) add(now time.Duration, e *endpoint) {
	if e.waits.known(now) {
		u[e.ID] = e.waits
	}
}

// take removes and returns the waits at an endpoint that is listed again.
func (u unlistedWaits) take(id string) waits {
	w := u[id]
	delete(u, id)
	return w
}

// expire removes the waits that are long ago.
func (u unlistedWaits) expire(now time.Duration) {
	for id, w := range u {
		if !w.known(now) {
			delete(u, id)
		}
	}
}

// usualWait returns the median of the longest waits at the endpoints, 0 if none is known of.
// Where no request has begun, the time for which the oldest one has been waiting counts if it
// is longer than is usual at the others, since a shorter one says nothing yet.
func (p *Pool) usualWait(now time.Duration) time.Duration {
	known := p.knownWaits(now)
	least := max(median(known), minEndedWait)
	for _, e := range p.endpoints {
		if wait := e.waits.longest(now); !e.waits.known(now) && wait >= least {
			known = append(known, wait)
		}
	}
	return median(known)
}

// knownWaits returns the longest wait of each endpoint where one is known.
func (p *Pool) knownWaits(now time.Duration) []time.Duration {
	var known []time.Duration
	for _, e := range p.endpoints {
		if e.waits.known(now) {
			known = append(known, e.waits.longest(now))
		}
	}
	for _, w := range p.unlistedWaits {
		if w.known(now) {
			known = append(known, w.longest(now))
		}
	}
	return known
}

// median returns the median, the upper one of two, 0 if there are no values. It sorts them.
func median(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// beginsInTime reports whether a request with the given predicted time to the first event
// very likely begins at the endpoint while that is allowed. Where no wait is known, it is
// taken for the usual one, or for that of the oldest request there if it is longer.
func (p *Pool) beginsInTime(now time.Duration, e *endpoint, delay time.Duration) bool {
	if e.BeginBefore == 0 {
		return true
	}
	wait := e.waits.longest(now)
	if !e.waits.known(now) {
		wait = max(wait, p.usualWait(now))
	}
	return now+waitFactor*max(delay, wait) < e.BeginBefore
}
