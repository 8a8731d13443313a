package quota

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Vote is an entry's vote for this grantor.
type Vote struct {
	Address     string
	Incarnation uint64
	// Until is the end of its lease.
	Until time.Duration
	// Entries is the number of entries that the voter knows, itself included.
	Entries int
}

// Wanted is a number of permits that an entry wants for an endpoint.
type Wanted struct {
	Endpoint Endpoint
	Count    int
}

// PermitRequest is an entry's request for permits. It replaces the previous one of the same entry.
type PermitRequest struct {
	Address     string
	Incarnation uint64
	// Stamp is the sender's clock when it wrote the request; the grant echoes it.
	Stamp  uint64
	Wanted []Wanted
	// Total is how many permits its requests need, at whichever of the endpoints.
	Total int
	// TTL is how long the permits are of use after the first answer. With 0 there is only
	// one answer: the entry refuses its requests if it contains no permit.
	TTL time.Duration
}

// Granted is the answer to what an entry wants for an endpoint.
type Granted struct {
	Endpoint Endpoint
	Count    int
	// Share is the rate of permits that the entry can expect, in requests a second.
	Share float64
}

// Grant answers a PermitRequest.
type Grant struct {
	Address     string
	Incarnation uint64
	Stamp       uint64
	Permits     []Granted
}

// Grantor grants permits. It is safe for concurrent use.
type Grantor struct {
	random func() float64

	mu       sync.Mutex
	votes    map[string]Vote   // by address
	known    map[string]uint64 // revision of the limits that a voter has, by address
	requests map[string]*pendingRequest
	buckets  map[uint32]*bucket // by endpoint hash
}

type pendingRequest struct {
	PermitRequest
	at       time.Duration
	answered bool
}

// bucket is a token bucket of permits for one endpoint.
type bucket struct {
	endpoint   Endpoint
	tokens     float64
	refilledAt time.Duration
}

// GrantorOption sets a property of a Grantor.
type GrantorOption func(*Grantor)

// WithRandom sets the source of random numbers in [0, 1).
func WithRandom(random func() float64) GrantorOption {
	return func(g *Grantor) { g.random = random }
}

// NewGrantor returns a Grantor without votes.
func NewGrantor(options ...GrantorOption) *Grantor {
	g := &Grantor{random: rand.Float64}
	for _, o := range options {
		o(g)
	}
	g.reset()
	return g
}

// Reset forgets votes, requests and unused permits, since this entry does not grant any
// more.
func (g *Grantor) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reset()
}

func (g *Grantor) reset() {
	g.votes = make(map[string]Vote)
	g.known = make(map[string]uint64)
	g.requests = make(map[string]*pendingRequest)
	g.buckets = make(map[uint32]*bucket)
}

// Vote records a vote. A new process at an address replaces the one before.
func (g *Grantor) Vote(v Vote) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if last := g.votes[v.Address]; last.Incarnation == v.Incarnation && last.Until > v.Until {
		return
	}
	g.votes[v.Address] = v
}

// SetRevision records the revision of the limits that an entry has.
func (g *Grantor) SetRevision(address string, revision uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.known[address] = revision
}

// HasRevision reports whether an entry has the limits of a revision.
func (g *Grantor) HasRevision(address string, revision uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.known[address] == revision
}

// Request records a request for permits.
func (g *Grantor) Request(now time.Duration, r PermitRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if last := g.requests[r.Address]; last != nil && last.Incarnation == r.Incarnation && last.Stamp > r.Stamp {
		return
	}
	if len(r.Wanted) == 0 || r.Total <= 0 {
		delete(g.requests, r.Address)
		return
	}
	g.requests[r.Address] = &pendingRequest{PermitRequest: r, at: now}
}

// Pending reports whether an entry waits for permits.
func (g *Grantor) Pending() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.requests) > 0
}

// Fraction returns the fraction of each limit that this grantor may grant, and the number
// of all entries, which is the largest that it or a voter knows.
func (g *Grantor) Fraction(now time.Duration, entries int) (fraction float64, all int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fraction(now, entries)
}

func (g *Grantor) fraction(now time.Duration, entries int) (fraction float64, all int) {
	all = entries
	for address, v := range g.votes {
		if now >= v.Until {
			delete(g.votes, address)
			continue
		}
		all = max(all, v.Entries)
	}
	all = max(all, len(g.votes), 1)
	return float64(len(g.votes)) / float64(all), all
}

// Distribute answers the requests for permits of which any is granted or which were not
// answered before. Entries is the number of entries that this one knows.
func (g *Grantor) Distribute(now time.Duration, limits []Observation, entries int) []Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	fraction, _ := g.fraction(now, entries)
	g.dropAnswered(now)
	g.dropBuckets(limits)
	granted := make(map[string][]Granted)
	for _, o := range limits {
		if o.Limit.Limited() {
			g.distribute(now, o, fraction, granted)
		}
	}
	var grants []Grant
	for address, r := range g.requests {
		permits := granted[address]
		if r.answered && !slices.ContainsFunc(permits, func(p Granted) bool { return p.Count > 0 }) {
			continue
		}
		r.answered = true
		grants = append(grants, Grant{Address: address, Incarnation: r.Incarnation, Stamp: r.Stamp, Permits: permits})
	}
	return grants
}

// dropAnswered removes answered requests whose permits are no longer of use.
func (g *Grantor) dropAnswered(now time.Duration) {
	for address, r := range g.requests {
		if r.answered && now-r.at >= r.TTL {
			delete(g.requests, address)
		}
	}
}

// dropBuckets removes the buckets of endpoints whose limit is no longer known.
func (g *Grantor) dropBuckets(limits []Observation) {
	if len(g.buckets) <= len(limits) {
		return
	}
	known := make(map[uint32]bool, len(limits))
	for _, o := range limits {
		known[o.Endpoint.Hash] = true
	}
	for hash := range g.buckets {
		if !known[hash] {
			delete(g.buckets, hash)
		}
	}
}

// distribute grants the permits of one endpoint, each to one of the entries that want it,
// with a probability in proportion to how many they want.
func (g *Grantor) distribute(now time.Duration, o Observation, fraction float64, granted map[string][]Granted) {
	rate := fraction * min(max(o.Limit.PerSecond(), minRate), maxRate)
	burst := burstTime
	if o.Limit.burst > 0 {
		burst = o.Limit.burst
	}
	b := g.refill(now, o.Endpoint, rate, burst)
	requesters := g.requestersOf(o.Endpoint)
	total := totalWanted(requesters)
	if total == 0 {
		return
	}
	for i := range requesters {
		requesters[i].share = rate * float64(requesters[i].wants()) / float64(total)
	}
	for ; b.tokens >= 1 && total > 0; total = totalWanted(requesters) {
		b.tokens--
		r := draw(requesters, int(g.random()*float64(total)))
		r.granted++
		r.wanted.Count--
		r.request.Total--
	}
	for _, r := range requesters {
		granted[r.request.Address] = append(granted[r.request.Address], Granted{Endpoint: o.Endpoint, Count: r.granted, Share: r.share})
	}
}

// requester is what one entry wants for an endpoint, and what it is granted.
type requester struct {
	request *pendingRequest
	wanted  *Wanted
	share   float64
	granted int
}

// wants returns the permits that it still wants for the endpoint.
func (r requester) wants() int { return min(r.wanted.Count, r.request.Total) }

func totalWanted(requesters []requester) int {
	total := 0
	for _, r := range requesters {
		total += r.wants()
	}
	return total
}

// draw returns the requester of the n-th of all wanted permits.
func draw(requesters []requester, n int) *requester {
	for i := range requesters {
		if n < requesters[i].wants() {
			return &requesters[i]
		}
		n -= requesters[i].wants()
	}
	panic("quota: more permits are drawn than wanted")
}

// requestersOf returns the entries that want permits of an endpoint, in the order of their
// addresses.
func (g *Grantor) requestersOf(e Endpoint) []requester {
	var requesters []requester
	for _, r := range g.requests {
		for i := range r.Wanted {
			if w := &r.Wanted[i]; w.Endpoint.Matches(e) {
				requesters = append(requesters, requester{request: r, wanted: w})
			}
		}
	}
	slices.SortFunc(requesters, func(a, b requester) int { return strings.Compare(a.request.Address, b.request.Address) })
	return requesters
}

// refill returns the bucket of an endpoint with the permits since the last call. A new
// one is empty, since the grantor before may just have used the limit.
func (g *Grantor) refill(now time.Duration, e Endpoint, rate float64, burst time.Duration) *bucket {
	b := g.buckets[e.Hash]
	if b == nil || !b.endpoint.Matches(e) {
		b = &bucket{endpoint: e, refilledAt: now}
		g.buckets[e.Hash] = b
	}
	elapsed := min(now-b.refilledAt, VoteLease(minAnnounceInterval))
	b.tokens = min(b.tokens+rate*elapsed.Seconds(), max(rate*burst.Seconds(), 1))
	b.refilledAt = now
	return b
}
