// Package routing selects the endpoint for each attempt and the entries whose
// addresses are returned to a caller.
//
// An entry uses a subset of a service's endpoints, selected by rendezvous
// hashing. This keeps the traffic of load reports from all endpoints to all
// entries within the control-plane budget. The table of endpoints is immutable
// and replaced atomically as a whole; only atomic counters change in place.
//
// Pick considers the eligible endpoints: those in the serving state with the
// requested manifest digest that are neither ejected nor excluded by the request.
// It prefers the entry's own failure domain while that has spare capacity. For a
// request with a prompt prefix it takes the first of the two endpoints that rank
// highest for the prefix and whose load is within a bound of the mean load. For
// other requests, and if neither is within the bound, it takes the less loaded of
// two random endpoints.
//
// Load information is delayed. The load of an endpoint is the last reported
// number of requests in flight, corrected by the entry's own dispatches and
// completions since that report. Reports older than a maximum age are ignored.
//
// # Usage
//
//	r := routing.New("entry-1", routing.WithLocality("riga", "riga-a"))
//	r.SetEndpoints("faq", endpoints)            // membership or endpoint states changed
//	choice, err := r.Pick(routing.NewRequest("faq", routing.WithPrefix(hash)))
//	if errors.Is(err, routing.ErrNoEndpoint) {
//		retryAfter := routing.RetryAfter(err)
//	}
//	r.RecordLoad(report)                        // load report received with a response
//	r.Done(choice, routing.Succeeded)
package routing

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/state/rendezvous"
)

// ErrNoEndpoint is the error of Pick if no endpoint of the service can take the
// request now. RetryAfter returns the delay before a retry.
var ErrNoEndpoint = eris.New("no endpoint can take the request")

const (
	defaultSubsetSize = 24
	defaultLoadBound  = 1.25
	// defaultLoadSlack is the number of requests above the load bound that an
	// endpoint still accepts for a prefix. Without it, the requests of one prefix
	// would be scattered over many endpoints when the service is lightly loaded.
	defaultLoadSlack        = 1.0
	defaultReportMaxAge     = 5 * time.Second
	defaultSlowStart        = 10 * time.Second
	slowStartMinFraction    = 0.1
	defaultRetryAfter       = time.Second
	saturatedRetryAfter     = 20 * time.Millisecond
	defaultConcurrencyLimit = 16 // requests in flight
)

// Router selects endpoints for one entry. It is safe for concurrent use.
type Router struct {
	entry         string
	region        string
	failureDomain string
	now           func() time.Time
	random        func() uint64
	subsetSize    int
	loadBound     float64
	loadSlack     float64
	reportMaxAge  time.Duration
	slowStart     time.Duration
	retryAfter    time.Duration
	ejection      ejectionPolicy

	mu    sync.Mutex // serialises writers of table
	table atomic.Pointer[table]
}

// Option sets an optional property of a Router.
type Option func(*Router)

// WithLocality sets the entry's region and failure domain.
func WithLocality(region, failureDomain string) Option {
	return func(r *Router) {
		r.region = region
		r.failureDomain = failureDomain
	}
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(r *Router) { r.now = now }
}

// WithRandom sets the source of random numbers, which must be safe for
// concurrent use.
func WithRandom(random func() uint64) Option {
	return func(r *Router) { r.random = random }
}

// WithSubsetSize sets the maximum number of endpoints of a service that the entry
// uses.
func WithSubsetSize(n int) Option {
	return func(r *Router) { r.subsetSize = n }
}

// WithLoadBound sets the multiple of the mean load up to which an endpoint receives
// requests that are assigned to it by their prefix.
func WithLoadBound(factor float64) Option {
	return func(r *Router) { r.loadBound = factor }
}

// WithSlowStart sets the duration of the slow start, during which a new or
// readmitted endpoint has a reduced capacity.
func WithSlowStart(d time.Duration) Option {
	return func(r *Router) { r.slowStart = d }
}

// New returns a router without endpoints for the named entry.
func New(entry string, options ...Option) *Router {
	r := &Router{
		entry:        entry,
		now:          time.Now,
		random:       rand.Uint64,
		subsetSize:   defaultSubsetSize,
		loadBound:    defaultLoadBound,
		loadSlack:    defaultLoadSlack,
		reportMaxAge: defaultReportMaxAge,
		slowStart:    defaultSlowStart,
		retryAfter:   defaultRetryAfter,
		ejection:     defaultEjectionPolicy,
	}
	for _, o := range options {
		o(r)
	}
	r.table.Store(&table{services: map[string]*serviceTable{}, endpointsByName: map[string]*endpointRecord{}})
	return r
}

// SetEndpoints replaces the endpoints of a service. An endpoint that has the same
// incarnation as before keeps its counters. An empty list removes the service.
func (r *Router) SetEndpoints(service string, endpoints []Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.table.Load()
	members := r.subset(endpoints)
	st := &serviceTable{endpoints: make([]*endpointRecord, 0, len(members))}
	newService := old.services[service] == nil
	for _, m := range members {
		st.endpoints = append(st.endpoints, r.newRecord(old, m, newService))
	}
	r.table.Store(old.withService(service, st))
}

// newRecord returns the table record of an endpoint, with the counters of its
// existing record if the incarnation is the same. A new endpoint or incarnation begins
// with a slow start, unless the whole service is new to the router: then the endpoints
// may have been running for a long time.
func (r *Router) newRecord(old *table, e Endpoint, newService bool) *endpointRecord {
	existing := old.endpointsByName[e.name]
	if existing != nil && existing.Endpoint == e {
		return existing
	}
	record := &endpointRecord{Endpoint: e, hash: rendezvous.Hash(e.name), counters: &counters{}}
	record.local = e.failureDomain == r.failureDomain
	switch {
	case existing != nil && existing.incarnation == e.incarnation:
		record.counters = existing.counters
	case !newService:
		record.counters.slowStartAt.Store(r.now().UnixNano())
	}
	return record
}

// Request holds the requirements of an attempt.
type Request struct {
	service string
	prefix  uint64
	digest  string
	exclude []string
}

// RequestOption sets an optional property of a request.
type RequestOption func(*Request)

// NewRequest returns a request to a service.
func NewRequest(service string, options ...RequestOption) Request {
	r := Request{service: service}
	for _, o := range options {
		o(&r)
	}
	return r
}

// WithPrefix sets the hash of the prompt prefix; 0 means no prefix. Requests with
// the same hash go to the same endpoints while their load is within the bound.
func WithPrefix(hash uint64) RequestOption {
	return func(r *Request) { r.prefix = hash }
}

// WithDigest restricts the request to endpoints that serve the manifest with this
// digest.
func WithDigest(digest string) RequestOption {
	return func(r *Request) { r.digest = digest }
}

// WithExclude names endpoints that must not be chosen.
func WithExclude(names ...string) RequestOption {
	return func(r *Request) { r.exclude = names }
}

// Choice is an endpoint returned by Pick. Each choice must be passed to Done when
// its attempt has ended.
type Choice struct {
	endpoint *endpointRecord
	affinity bool
}

// Name returns the endpoint's name.
func (c Choice) Name() string { return c.endpoint.name }

// Address returns the address of the endpoint's agent.
func (c Choice) Address() string { return c.endpoint.address }

// Incarnation returns the incarnation number of the agent, which changes with each
// start.
func (c Choice) Incarnation() uint64 { return c.endpoint.incarnation }

// Affinity reports whether the endpoint was selected by the prompt prefix.
func (c Choice) Affinity() bool { return c.affinity }

// Pick selects an endpoint and counts the request as in flight there. An error of
// Pick matches ErrNoEndpoint.
func (r *Router) Pick(request Request) (Choice, error) {
	st := r.table.Load().services[request.service]
	if st == nil {
		return Choice{}, noEndpointError{reason: "service unknown here", retryAfter: r.retryAfter}
	}
	now := r.now().UnixNano()
	var s candidateSet
	s.collect(r, st, request, now)
	if s.n == 0 {
		return Choice{}, r.refusal(st, request, now)
	}
	e, affinity := r.choose(&s, request)
	e.counters.inFlight.Add(1)
	return Choice{endpoint: e, affinity: affinity}, nil
}

// Saturated reports whether Pick returned err only because all eligible endpoints
// were at capacity. One may have spare capacity again at any moment.
func Saturated(err error) bool {
	var n noEndpointError
	return eris.As(err, &n) && n.saturated
}

// RetryAfter returns the delay before a retry after an error of Pick, or 0 for any
// other error.
func RetryAfter(err error) time.Duration {
	var n noEndpointError
	if eris.As(err, &n) {
		return n.retryAfter
	}
	return 0
}

type noEndpointError struct {
	reason     string
	retryAfter time.Duration
	saturated  bool
}

func (n noEndpointError) Error() string { return ErrNoEndpoint.Error() + ": " + n.reason }

func (n noEndpointError) Is(target error) bool { return target == ErrNoEndpoint }

// refusal returns the error for a request without a candidate. Its retry delay ends
// when the first ejection does, and is at most r.retryAfter.
func (r *Router) refusal(st *serviceTable, request Request, now int64) error {
	n := noEndpointError{reason: "all leaving, loading, ejected or already tried", retryAfter: r.retryAfter}
	for _, e := range st.endpoints {
		if eligible(e, request, now) {
			return noEndpointError{reason: "all full", retryAfter: saturatedRetryAfter, saturated: true}
		}
		until := time.Duration(e.counters.ejectedUntil.Load() - now)
		if until > 0 && until < n.retryAfter {
			n.retryAfter = until
		}
	}
	return n
}
