// Package warmup knows which endpoints are cold, and how many requests a second all entries
// together may send to one that is.
//
// An endpoint that has started, or was kept without requests for a while, is cold: it takes
// few requests a second and crashes under many more. The bound holds for any one second and
// for the sum over all entries, whether or not they reach each other. So a cold endpoint has a
// rate limit, and each request to it needs a permit of package quota, which divides the limit.
// An entry that gets no permits sends nothing.
//
// Entries learn at different times that an endpoint is cold: from its row, from the end of an
// evacuation of its failure domain, from an attempt that did not reach it, or from another
// entry. Evidence that it is cold counts at once and is passed on. Evidence that it is warm
// is only the end of the time for which it was known to be cold: a row may be older than that
// evidence.
//
// The package does no I/O and takes the time as an argument.
//
// # Usage
//
//	t := warmup.NewTracker(bound)
//	t.Observe(now, endpoint, service.Warmup())     // for each row of an endpoint
//	t.Suspect(now, warmup.KeyOf(endpoint), service.Warmup()) // it may have become cold just now
//	limit := t.Limit(now, key)
package warmup

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/quota"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// Bound is how far the rate at a cold endpoint may be exceeded: in any one second it may get
// Overshoot times its rate, and Slack requests more.
type Bound struct {
	Overshoot float64
	Slack     float64
}

const (
	// PermitTTL is how long a permit for a cold endpoint is valid after the request for it.
	// Permits of this time and of one second may be used in the same second.
	PermitTTL = 400 * time.Millisecond
	// BurstTime is the time over which unused permits for a cold endpoint are kept.
	BurstTime = 200 * time.Millisecond
	// grantedFraction is the part of the bound that is granted. The rest is for requests of
	// entries that have not learned yet that the endpoint is cold.
	grantedFraction = 0.9
	// maxTime bounds the time for which an endpoint is known to be cold, so that a row or a
	// message with an absurd value does not limit it for long.
	maxTime = time.Minute
	// minGain is how much longer an endpoint must stay cold for this to be recorded, so that
	// messages with rounded times do not cause further ones. shareGain is the same for what
	// other entries are told: each attempt that does not reach an endpoint moves the end.
	minGain   = 50 * time.Millisecond
	shareGain = 500 * time.Millisecond
	// keepTime is how long a record of an endpoint that is not listed is kept.
	keepTime = time.Minute
)

// Rate returns the rate of permits with which the bound holds at an endpoint of such a
// service, in requests a second.
func (b Bound) Rate(w fleet.Warmup) float64 {
	most := b.Overshoot*w.PerSecond + b.Slack
	if b == (Bound{}) {
		most = w.PerSecond
	}
	return min(w.PerSecond, grantedFraction*most/(1+PermitTTL.Seconds()+BurstTime.Seconds()))
}

// Key identifies an incarnation of an endpoint.
type Key = quota.Endpoint

// Cold is how long an endpoint stays cold.
type Cold struct {
	Endpoint  Key
	Remaining time.Duration
}

// Tracker knows which endpoints are cold. It is safe for concurrent use.
type Tracker struct {
	bound Bound

	until atomic.Int64 // nanoseconds of the end of the last time for which an endpoint is known to be cold

	mu         sync.Mutex
	byEndpoint map[uint32]*record // by hash
}

type record struct {
	key        Key
	rowVersion int64
	perSecond  float64
	coldUntil  time.Duration
	// sharedUntil is the end that other entries are known to have been told.
	sharedUntil time.Duration
	seenAt      time.Duration
}

// NewTracker returns a Tracker that knows no endpoint. The zero bound stands for the rate of
// the service without any excess.
func NewTracker(b Bound) *Tracker {
	return &Tracker{bound: b, byEndpoint: make(map[uint32]*record)}
}

// Hash returns the hash by which messages name an endpoint.
func Hash(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

// KeyOf returns the incarnation of an endpoint.
func KeyOf(e *fleet.Endpoint) Key { return Key{Hash: Hash(e.ID()), Started: e.Started()} }

// Observe records the row of an endpoint and reports whether it is known to be cold for longer
// than before. A row that was recorded before changes nothing. Without a readable value, the
// endpoint of a new incarnation is cold for the time of a start.
func (t *Tracker) Observe(now time.Duration, e *fleet.Endpoint, w fleet.Warmup) (longer bool) {
	if !w.Limited() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r, started := t.record(KeyOf(e))
	c := e.Cold()
	same := !started && c.RowVersion == r.rowVersion
	r.seenAt, r.rowVersion = now, c.RowVersion
	r.perSecond = t.bound.Rate(w)
	switch {
	case same:
		return false
	case !c.Known && started:
		return t.extend(now, r, w.Time)
	}
	return t.extend(now, r, c.Remaining)
}

// Suspect records that an endpoint may have become cold just now, and reports whether it is
// known to be cold for longer than before.
func (t *Tracker) Suspect(now time.Duration, k Key, w fleet.Warmup) (longer bool) {
	if !w.Limited() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r, _ := t.record(k)
	r.seenAt, r.perSecond = now, t.bound.Rate(w)
	return t.extend(now, r, w.Time)
}

// Merge records what another entry knows of an endpoint and reports whether that is known to be
// cold for longer than before. The entry has told all others if shared is set.
func (t *Tracker) Merge(now time.Duration, c Cold, w fleet.Warmup, shared bool) (longer bool) {
	if !w.Limited() || c.Remaining <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byEndpoint[c.Endpoint.Hash]
	if r != nil && !r.key.Matches(c.Endpoint) && c.Endpoint.Started < r.key.Started {
		return false // of an earlier incarnation
	}
	r, _ = t.record(c.Endpoint)
	r.seenAt, r.perSecond = now, t.bound.Rate(w)
	longer = t.extend(now, r, c.Remaining)
	if shared {
		r.sharedUntil = max(r.sharedUntil, now+min(c.Remaining, maxTime))
	}
	return longer
}

// record returns the record of an incarnation; started is set if it is a new one. The caller
// holds the mutex.
func (t *Tracker) record(k Key) (r *record, started bool) {
	r = t.byEndpoint[k.Hash]
	if r != nil && r.key.Matches(k) {
		return r, false
	}
	r = &record{key: k}
	t.byEndpoint[k.Hash] = r
	return r, true
}

// extend records that an endpoint is cold for a time from now on. The caller holds the mutex.
func (t *Tracker) extend(now time.Duration, r *record, d time.Duration) (longer bool) {
	until := now + min(d, maxTime)
	if d <= 0 || until < r.coldUntil+minGain {
		return false
	}
	r.coldUntil = until
	t.until.Store(max(t.until.Load(), int64(until)))
	return true
}

// Limit returns the rate limit of an endpoint, none if it is warm.
func (t *Tracker) Limit(now time.Duration, k Key) quota.Limit {
	if !t.Any(now) {
		return quota.Limit{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byEndpoint[k.Hash]
	if r == nil || now >= r.coldUntil || !r.key.Matches(k) {
		return quota.Limit{}
	}
	return quota.NewLimit(r.perSecond).WithBurst(BurstTime)
}

// Any reports whether an endpoint is cold.
func (t *Tracker) Any(now time.Duration) bool {
	return int64(now) < t.until.Load()
}

// List returns the cold endpoints in the order of their hashes. With unshared set, it returns
// those that other entries may not know.
func (t *Tracker) List(now time.Duration, unshared bool) []Cold {
	if !t.Any(now) {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Cold
	for _, r := range t.byEndpoint {
		if now >= r.coldUntil || unshared && r.coldUntil < r.sharedUntil+shareGain {
			continue
		}
		list = append(list, Cold{Endpoint: r.key, Remaining: r.coldUntil - now})
	}
	slices.SortFunc(list, func(a, b Cold) int { return cmp.Compare(a.Endpoint.Hash, b.Endpoint.Hash) })
	return list
}

// Announced records that all other entries are being told of the cold endpoints.
func (t *Tracker) Announced(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.byEndpoint {
		if now < r.coldUntil {
			r.sharedUntil = r.coldUntil
		}
	}
}

// Expire forgets endpoints that were not seen for a while.
func (t *Tracker) Expire(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for hash, r := range t.byEndpoint {
		if now >= r.coldUntil && now-r.seenAt > keepTime {
			delete(t.byEndpoint, hash)
		}
	}
}
