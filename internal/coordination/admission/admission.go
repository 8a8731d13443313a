// Package admission keeps what endpoints have asked of this instance in the heads of
// their answers: to be sent no further requests, because they leave, or none for some
// time, because they are overloaded.
//
// What an endpoint says binds the instance that heard it for the rest of that
// endpoint's life, or until the time is over. It is not told to other entries: they
// hear it with their own first answer, and the platform's list names the endpoints that
// leave. A row that says "ready" does not undo what the endpoint itself has said: rows
// are written on their own schedule. Only another life of the endpoint, under the same
// identity or at the same address, starts anew.
//
// The package has no I/O and no clock of its own.
//
// # Usage
//
//	b := admission.NewBook()
//	b.Hear(now, admission.Life{ID: id, Started: started}, admission.Request{Leaving: true})
//	if b.Standing(now, life).Admits(now) {
//		... send
//	}
package admission

import (
	"math"
	"sync"
	"time"
)

// Incarnation is one start of an endpoint.
type Incarnation struct {
	// ID is the identity in the platform's list.
	ID string
	// Started is the start of the process in Unix milliseconds, 0 if unknown.
	Started int64
}

// same reports whether both may be one life: an unknown start rules nothing out.
func (l Incarnation) same(other Incarnation) bool {
	return l.ID == other.ID && (l.Started == other.Started || l.Started == 0 || other.Started == 0)
}

// Backpressure is what the head of an endpoint's answer asks for.
type Backpressure struct {
	// Draining tells that the endpoint wants no further requests in this life.
	Draining bool
	// RetryAfter is how long it wants none, 0 for no such wish.
	RetryAfter time.Duration
}

// asks reports whether the endpoint asks for anything.
func (r Backpressure) asks() bool { return r.Draining || r.RetryAfter > 0 }

// State is what an endpoint has asked for and still holds. The zero value is that of
// an endpoint that has asked for nothing.
type State struct {
	leaving bool
	until   time.Duration
}

// Forever is the end of a hold that does not end.
const Forever = time.Duration(math.MaxInt64)

// Draining reports whether the endpoint wants no further requests in this life.
func (s State) Draining() bool { return s.leaving }

// BlockedUntil returns the time from which requests may be sent, Forever for an endpoint that
// leaves.
func (s State) BlockedUntil() time.Duration {
	if s.leaving {
		return Forever
	}
	return s.until
}

// Admits reports whether a request may be sent now.
func (s State) Admits(now time.Duration) bool { return now >= s.BlockedUntil() }

// Bounds of a Book.
const (
	// longestWait bounds what is taken for a wait. An endpoint that really wants nothing
	// for longer asks again.
	longestWait = time.Hour
	// kept is how long an endpoint that leaves is remembered after it last said so.
	kept = time.Hour
	// maxLives bounds the memory; the lives heard longest ago are dropped first.
	maxLives = 8192
)

// Tracker holds the standings of endpoints. It is safe for concurrent use.
type Tracker struct {
	mu    sync.RWMutex
	lives map[string]entry // by identity
}

type entry struct {
	life     Incarnation
	standing State
	heard    time.Duration
}

// NewTracker returns an empty book.
func NewTracker() *Tracker { return &Tracker{lives: make(map[string]entry)} }

// Record takes in what an endpoint asks for, and returns its standing and whether that
// has changed. A shorter wait does not end a longer one: answers of an endpoint
// overtake each other.
func (b *Tracker) Record(now time.Duration, l Incarnation, r Backpressure) (s State, changed bool) {
	if !r.asks() {
		return b.State(now, l), false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.lives[l.ID]
	if !e.life.same(l) {
		e = entry{life: l}
	}
	before := e.standing
	e.heard = now
	e.standing.leaving = before.leaving || r.Draining
	if r.RetryAfter > 0 {
		e.standing.until = max(before.until, now+min(r.RetryAfter, longestWait))
	}
	if _, known := b.lives[l.ID]; !known && len(b.lives) >= maxLives {
		b.dropOldest()
	}
	b.lives[l.ID] = e
	return e.standing, e.standing != before
}

// State returns what an endpoint has asked for.
func (b *Tracker) State(now time.Duration, l Incarnation) State {
	b.mu.RLock()
	defer b.mu.RUnlock()
	e, known := b.lives[l.ID]
	if !known || !e.life.same(l) || e.standing.Admits(now) {
		return State{}
	}
	return e.standing
}

// Expire drops what binds no longer.
func (b *Tracker) Expire(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, e := range b.lives {
		if e.standing.Admits(now) || now-e.heard > kept {
			delete(b.lives, id)
		}
	}
}

// dropOldest drops the life that was heard longest ago. The caller holds the mutex.
func (b *Tracker) dropOldest() {
	oldest := ""
	for id, e := range b.lives {
		if oldest == "" || e.heard < b.lives[oldest].heard {
			oldest = id
		}
	}
	delete(b.lives, oldest)
}
