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
	w.end(c)
	w.last, w.lastAt = now-c.placed, now
}

// end records that a request has ended.
func (w *waits) end(c *Choice) {
	if c.began {
		return
	}
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

// beginsInTime reports whether a request with the given predicted time to the first event
// very likely begins while that is allowed.
func (e *endpoint) beginsInTime(now, delay time.Duration) bool {
	return e.BeginBefore == 0 || now+waitFactor*max(delay, e.waits.longest(now)) < e.BeginBefore
}
