// Package admission tracks the backpressure that endpoints signal to this instance in
// the heads of their responses: an endpoint that is draining must get no further
// requests, and an overloaded one must get none for some time.
//
// A signal applies to this instance until the endpoint's process ends or the retry
// time has passed. It is not forwarded to other entries: they receive it with their
// own first response, and the platform's list marks the endpoints that drain, which is
// recorded like a signal. A row with the state "ready" cancels neither: rows are written
// on their own schedule, and a store that comes back from an older copy shows older ones.
// Only a new incarnation of the endpoint, under the same identity or at the same address,
// starts without signals.
//
// The package does no I/O and takes the time as an argument.
//
// # Usage
//
//	t := admission.NewTracker()
//	i := admission.Incarnation{ID: "e-1", Started: started}
//	t.Record(now, i, admission.Backpressure{Draining: true})
//	if t.State(now, i).Admits(now) {
//		... send
//	}
package admission

import (
	"math"
	"sync"
	"time"
)

// Incarnation identifies one run of an endpoint's process.
type Incarnation struct {
	// ID is the endpoint's identity in the platform's list.
	ID string
	// Started is the start time of the process in Unix milliseconds, 0 if unknown.
	Started int64
}

// matches reports whether both may be the same incarnation. An unknown start time
// matches any.
func (i Incarnation) matches(other Incarnation) bool {
	return i.ID == other.ID && (i.Started == other.Started || i.Started == 0 || other.Started == 0)
}

// Backpressure is the backpressure signaled in the head of an endpoint's response.
type Backpressure struct {
	// Draining is set if the endpoint is draining: this incarnation accepts no further
	// requests.
	Draining bool
	// RetryAfter is how long the endpoint accepts no requests, 0 if it did not signal a
	// delay.
	RetryAfter time.Duration
}

// isSet reports whether there is any signal.
func (b Backpressure) isSet() bool { return b.Draining || b.RetryAfter > 0 }

// State is the backpressure in effect for an endpoint. The zero value has none.
type State struct {
	draining     bool
	blockedUntil time.Duration
}

// Forever is the end of a block that has no end.
const Forever = time.Duration(math.MaxInt64)

// Draining reports whether the endpoint is draining.
func (s State) Draining() bool { return s.draining }

// BlockedUntil returns the time from which requests may be sent, Forever for an endpoint
// that is draining.
func (s State) BlockedUntil() time.Duration {
	if s.draining {
		return Forever
	}
	return s.blockedUntil
}

// Admits reports whether a request may be sent now.
func (s State) Admits(now time.Duration) bool { return now >= s.BlockedUntil() }

// Limits of a Tracker.
const (
	// maxRetryAfter bounds the delay that is accepted from an endpoint. An endpoint
	// that needs a longer one signals it again.
	maxRetryAfter = time.Hour
	// drainingTTL is how long a draining endpoint is kept after its last signal.
	drainingTTL = time.Hour
	// maxEntries bounds the memory; the incarnations with the oldest signals are
	// dropped first.
	maxEntries = 8192
)

// Tracker holds the backpressure state of endpoints. It is safe for concurrent use.
type Tracker struct {
	mu      sync.RWMutex
	entries map[string]entry // by endpoint identity
}

type entry struct {
	incarnation Incarnation
	state       State
	updatedAt   time.Duration
}

// NewTracker returns a Tracker without signals.
func NewTracker() *Tracker { return &Tracker{entries: make(map[string]entry)} }

// Record records a signal of an endpoint and returns the resulting state and whether it
// differs from the one before. A shorter delay does not end a longer one, because
// responses of one endpoint can arrive out of order.
func (t *Tracker) Record(now time.Duration, i Incarnation, b Backpressure) (s State, changed bool) {
	if !b.isSet() {
		return t.State(now, i), false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[i.ID]
	if !e.incarnation.matches(i) {
		e = entry{incarnation: i}
	}
	before := e.state
	e.updatedAt = now
	e.state.draining = before.draining || b.Draining
	if b.RetryAfter > 0 {
		e.state.blockedUntil = max(before.blockedUntil, now+min(b.RetryAfter, maxRetryAfter))
	}
	if _, known := t.entries[i.ID]; !known && len(t.entries) >= maxEntries {
		t.dropOldest()
	}
	t.entries[i.ID] = e
	return e.state, e.state != before
}

// State returns the backpressure in effect for an endpoint.
func (t *Tracker) State(now time.Duration, i Incarnation) State {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, known := t.entries[i.ID]
	if !known || !e.incarnation.matches(i) || e.state.Admits(now) {
		return State{}
	}
	return e.state
}

// Expire removes entries that no longer block requests and draining endpoints whose
// last signal is older than drainingTTL.
func (t *Tracker) Expire(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if e.state.Admits(now) || now-e.updatedAt > drainingTTL {
			delete(t.entries, id)
		}
	}
}

// dropOldest removes the entry with the oldest signal. The caller holds the mutex.
func (t *Tracker) dropOldest() {
	oldest := ""
	for id, e := range t.entries {
		if oldest == "" || e.updatedAt < t.entries[oldest].updatedAt {
			oldest = id
		}
	}
	delete(t.entries, oldest)
}
