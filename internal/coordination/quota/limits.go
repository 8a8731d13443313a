package quota

import (
	"slices"
	"sync"
	"time"
)

// Limit is the rate limit of an endpoint, in requests a second of all entries together.
// The zero value is no limit.
type Limit struct {
	limited   bool
	perSecond float64
	burst     time.Duration // 0 for burstTime
}

// NewLimit returns a limit of so many requests a second, which must not be negative.
func NewLimit(n float64) Limit { return Limit{limited: true, perSecond: n} }

// WithBurst returns the limit with the time over which unused permits are kept.
func (l Limit) WithBurst(d time.Duration) Limit {
	l.burst = d
	return l
}

// Lower returns the limit that allows less.
func (l Limit) Lower(other Limit) Limit {
	if other.lower(l) {
		return other
	}
	return l
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.limited }

// PerSecond returns the requests a second, 0 without a limit.
func (l Limit) PerSecond() float64 { return l.perSecond }

// Endpoint identifies one incarnation of an endpoint in the messages between entries.
type Endpoint struct {
	// Hash is the hash of its identity.
	Hash uint32
	// Started is the start of its process in Unix milliseconds, 0 if unknown.
	Started int64
}

// Matches reports whether both may be the same incarnation. An unknown start time
// matches any.
func (e Endpoint) Matches(other Endpoint) bool {
	return e.Hash == other.Hash && (e.Started == other.Started || e.Started == 0 || other.Started == 0)
}

// Observation is the limit that an endpoint stated at a time on this process's clock.
type Observation struct {
	Endpoint Endpoint
	Limit    Limit
	At       time.Duration
}

// Bounds of the memory of Limits.
const (
	// liftedTTL is how long a lifted limit is kept, so that an entry that missed the
	// lifting does not restore the limit. It is also how long a limit is kept whose
	// endpoint is no longer listed.
	liftedTTL = 20 * time.Second
	// maxLimits bounds the endpoints; the ones with the oldest observations are dropped
	// first.
	maxLimits = 4096
)

// Limits holds the newest limit of each endpoint that has stated one. It merges what
// this entry reads in responses with what other entries report. It is safe for
// concurrent use.
type Limits struct {
	mu         sync.RWMutex
	byEndpoint map[uint32]record
	revision   uint64 // grows with each change of a limit
}

type record struct {
	Observation
	// unreported is set while the other entries do not know the limit, which this entry
	// read itself.
	unreported bool
}

// NewLimits returns Limits without any.
func NewLimits() *Limits { return &Limits{byEndpoint: make(map[uint32]record)} }

// Record records what the head of a response states and reports whether the limit
// changes. The request was sent at the time sent. A response to a request that was sent
// before the newest observation may be older than that: it can lower the limit, but
// not raise or lift it.
func (l *Limits) Record(now, sent time.Duration, e Endpoint, stated Limit) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known := l.byEndpoint[e.Hash]
	if known && !r.Endpoint.Matches(e) {
		if e.Started < r.Endpoint.Started {
			return false // a response of an earlier incarnation
		}
		r, known = record{}, false
	}
	if !known && !stated.Limited() {
		delete(l.byEndpoint, e.Hash)
		return false
	}
	if known && sent < r.At && !stated.lower(r.Limit) {
		return false
	}
	if known && !r.Limit.Limited() && !stated.Limited() {
		return false // keeps the time of the lifting, so that it expires
	}
	changed = r.Limit != stated
	l.put(record{Observation: Observation{Endpoint: e, Limit: stated, At: now}, unreported: changed || r.unreported})
	return changed
}

// lower reports whether the limit allows less than another one.
func (l Limit) lower(other Limit) bool {
	return l.limited && (!other.limited || l.perSecond < other.perSecond)
}

// Merge takes over an observation of another entry if it is newer, and reports whether
// the limit changes.
func (l *Limits) Merge(o Observation) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known := l.byEndpoint[o.Endpoint.Hash]
	switch {
	case known && !r.Endpoint.Matches(o.Endpoint) && o.Endpoint.Started < r.Endpoint.Started:
		return false
	case known && r.Endpoint.Matches(o.Endpoint) && o.At <= r.At:
		if r.Limit == o.Limit {
			r.unreported = false
			l.byEndpoint[o.Endpoint.Hash] = r
		}
		return false
	}
	changed = r.Limit != o.Limit
	l.put(record{Observation: o})
	return changed
}

// put stores a record. The caller holds the mutex.
func (l *Limits) put(r record) {
	old, known := l.byEndpoint[r.Endpoint.Hash]
	if !known && len(l.byEndpoint) >= maxLimits {
		l.dropOldest()
	}
	if old.Limit != r.Limit || old.Endpoint != r.Endpoint {
		l.revision++
	}
	l.byEndpoint[r.Endpoint.Hash] = r
}

// dropOldest removes the oldest observation. The caller holds the mutex.
func (l *Limits) dropOldest() {
	var oldest *record
	for _, r := range l.byEndpoint {
		if oldest == nil || r.At < oldest.At {
			oldest = &r
		}
	}
	if oldest != nil {
		delete(l.byEndpoint, oldest.Endpoint.Hash)
	}
}

// Limit returns the limit of an endpoint.
func (l *Limits) Limit(e Endpoint) Limit {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if r, known := l.byEndpoint[e.Hash]; known && r.Endpoint.Matches(e) {
		return r.Limit
	}
	return Limit{}
}

// Count returns the number of endpoints with a limit.
func (l *Limits) Count() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	n := 0
	for _, r := range l.byEndpoint {
		if r.Limit.Limited() {
			n++
		}
	}
	return n
}

// Empty reports whether there is neither a limit nor one that was lifted recently.
func (l *Limits) Empty() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.byEndpoint) == 0
}

// All returns all observations, in the order of the hashes, and the revision that they
// are of.
func (l *Limits) All() (list []Observation, revision uint64) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, r := range l.byEndpoint {
		list = append(list, r.Observation)
	}
	slices.SortFunc(list, func(a, b Observation) int { return int(int64(a.Endpoint.Hash) - int64(b.Endpoint.Hash)) })
	return list, l.revision
}

// Unreported returns at most n of the observations that other entries do not know yet.
func (l *Limits) Unreported(n int) []Observation {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var list []Observation
	for _, r := range l.byEndpoint {
		if r.unreported && len(list) < n {
			list = append(list, r.Observation)
		}
	}
	return list
}

// Expire removes what is older than liftedTTL and was lifted, or belongs to an endpoint
// that is not listed.
func (l *Limits) Expire(now time.Duration, listed func(e Endpoint) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for hash, r := range l.byEndpoint {
		if now-r.At > liftedTTL && (!r.Limit.Limited() || !listed(r.Endpoint)) {
			delete(l.byEndpoint, hash)
			l.revision++
		}
	}
}
