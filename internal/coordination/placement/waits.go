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

// known reports whether any wait is known of.
func (w *waits) known(now time.Duration) bool {
	return len(w.placed) > 0 || w.lastAt > 0 && now-w.lastAt < waitMemory
}

// usualWait returns the median of the longest waits at the endpoints where some are known, 0
// if there are none.
func (p *Pool) usualWait(now time.Duration) time.Duration {
	var known []time.Duration
	for _, e := range p.listed {
		if e.waits.known(now) {
			known = append(known, e.waits.longest(now))
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// beginsInTime reports whether a request with the given predicted time to the first event
// very likely begins at the endpoint while that is allowed. Where no wait is known of, it is
// taken for the usual one.
func (p *Pool) beginsInTime(now time.Duration, e *endpoint, delay time.Duration) bool {
	if e.BeginBefore == 0 {
		return true
	}
	wait := e.waits.longest(now)
	if !e.waits.known(now) {
		wait = p.usualWait(now)
	}
	return now+waitFactor*max(delay, wait) < e.BeginBefore
}
