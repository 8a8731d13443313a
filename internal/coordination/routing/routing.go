// Package routing chooses the endpoint for each attempt, and the entries whose
// addresses a caller is given.
//
// An entry knows a subset of a service's endpoints, picked by rendezvous
// hashing, so that the load reports of all endpoints to all entries stay within
// the control budget. The table of endpoints is immutable and swapped whole;
// only counters change in place, all of them atomic.
//
// Pick takes the endpoints that may be used at all (serving the wanted digest,
// neither leaving nor ejected nor tried before), prefers the own failure domain
// while it has room, and then takes one of two choices: the two endpoints that
// rank first for the request's prompt prefix while their load stays within a
// bound of the mean, else two random ones, of which the less loaded wins.
//
// Load lags. It is the last reported number of requests in flight, corrected by
// the entry's own dispatches and completions since that report. A report that is
// too old is not counted at all.
//
// # Usage
//
//	r := routing.New("entry-1", routing.WithPlace("riga", "riga-a"))
//	r.Update("faq", endpoints)                  // membership or reports changed
//	choice, err := r.Pick(routing.NewRequest("faq", routing.WithPrefix(hash)))
//	if errors.Is(err, routing.ErrNoEndpoint) {
//		retryAfter := routing.RetryAfter(err)
//	}
//	r.Report(report)                            // load that came with an answer
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

// ErrNoEndpoint means that no endpoint of the service can take the request now.
// RetryAfter tells from the error when one may.
var ErrNoEndpoint = eris.New("no endpoint can take the request")

const (
	defaultSubsetSize = 24
	defaultLoadBound  = 1.25
	// A prefix keeps its endpoint for this many requests above the bound, so
	// that a lightly loaded service does not scatter its prefixes.
	defaultLoadSlack    = 1.0
	defaultReportMaxAge = 5 * time.Second
	defaultSlowStart    = 10 * time.Second
	slowStartFloor      = 0.1
	defaultRetryAfter   = time.Second
	saturatedRetryAfter = 20 * time.Millisecond
	defaultLimit        = 16 // requests in flight
)

// Router chooses endpoints for one entry. It is safe for concurrent use.
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
	ejection      ejection

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

// WithSubsetSize sets how many endpoints of a service the entry uses.
func WithSubsetSize(n int) Option {
	return func(r *Router) { r.subsetSize = n }
}

// WithLoadBound sets the factor over the mean load up to which a request goes
// to the endpoint that its prefix names.
func WithLoadBound(factor float64) Option {
	return func(r *Router) { r.loadBound = factor }
}

// WithSlowStart sets for how long a fresh endpoint gets less than its share.
func WithSlowStart(d time.Duration) Option {
	return func(r *Router) { r.slowStart = d }
}

// New returns the router of an entry, without endpoints.
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
		ejection:     defaultEjection,
	}
	for _, o := range options {
		o(r)
	}
	r.table.Store(&table{services: map[string]*serviceTable{}, names: map[string]*endpoint{}})
	return r
}

// SetEndpoints replaces what is known of a service's endpoints. Counters of an
// endpoint live on as long as its incarnation does. No endpoints removes the
// service.
func (r *Router) SetEndpoints(service string, endpoints []Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.table.Load()
	members := r.subset(endpoints)
	st := &serviceTable{endpoints: make([]*endpoint, 0, len(members))}
	fresh := old.services[service] == nil
	for _, m := range members {
		st.endpoints = append(st.endpoints, r.carryOver(old, m, fresh))
	}
	r.table.Store(old.with(service, st))
}

// carryOver returns the entry of the table for an endpoint. The endpoints of a
// service that the entry just learned of are not fresh; it is the entry that is.
func (r *Router) carryOver(old *table, e Endpoint, freshService bool) *endpoint {
	known := old.names[e.name]
	if known != nil && known.Endpoint == e {
		return known
	}
	next := &endpoint{Endpoint: e, hash: rendezvous.Hash(e.name), counters: &counters{}}
	next.local = e.failureDomain == r.failureDomain
	switch {
	case known != nil && known.incarnation == e.incarnation:
		next.counters = known.counters
	case !freshService:
		next.counters.startedAt.Store(r.now().UnixNano())
	}
	return next
}

// Request says what an attempt needs.
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

// WithPrefix sets the hash of the prompt prefix; 0 stands for none. Requests
// with the same hash go to the same endpoints while these have room.
func WithPrefix(hash uint64) RequestOption {
	return func(r *Request) { r.prefix = hash }
}

// WithDigest pins the request to endpoints that serve this manifest.
func WithDigest(digest string) RequestOption {
	return func(r *Request) { r.digest = digest }
}

// WithExclude names endpoints that must not be chosen.
func WithExclude(names ...string) RequestOption {
	return func(r *Request) { r.exclude = names }
}

// Choice is one picked endpoint. Every choice is given back with Done.
type Choice struct {
	endpoint *endpoint
	affinity bool
}

// Name returns the endpoint's name.
func (c Choice) Name() string { return c.endpoint.name }

// Address returns the agent's address.
func (c Choice) Address() string { return c.endpoint.address }

// Incarnation returns the number of the agent's start.
func (c Choice) Incarnation() uint64 { return c.endpoint.incarnation }

// Affinity reports whether the endpoint was chosen for the prompt prefix.
func (c Choice) Affinity() bool { return c.affinity }

// Pick chooses an endpoint and counts the request as in flight there. The error
// is ErrNoEndpoint.
func (r *Router) Pick(request Request) (Choice, error) {
	st := r.table.Load().services[request.service]
	if st == nil {
		return Choice{}, noEndpoint{reason: "service unknown here", retryAfter: r.retryAfter}
	}
	now := r.now().UnixNano()
	var s selection
	s.collect(r, st, request, now)
	if s.n == 0 {
		return Choice{}, r.refusal(st, request, now)
	}
	e, affinity := r.choose(&s, request)
	e.counters.inFlight.Add(1)
	return Choice{endpoint: e, affinity: affinity}, nil
}

// Saturated reports whether an error of Pick came about only because all usable
// endpoints were full, so that one may have room any moment.
func Saturated(err error) bool {
	var n noEndpoint
	return eris.As(err, &n) && n.saturated
}

// RetryAfter returns when to come back after an error of Pick, 0 for another
// error.
func RetryAfter(err error) time.Duration {
	var n noEndpoint
	if eris.As(err, &n) {
		return n.retryAfter
	}
	return 0
}

type noEndpoint struct {
	reason     string
	retryAfter time.Duration
	saturated  bool
}

func (n noEndpoint) Error() string { return ErrNoEndpoint.Error() + ": " + n.reason }

func (n noEndpoint) Is(target error) bool { return target == ErrNoEndpoint }

// refusal names the first moment at which an endpoint may be free again.
func (r *Router) refusal(st *serviceTable, request Request, now int64) error {
	n := noEndpoint{reason: "all leaving, loading, ejected or already tried", retryAfter: r.retryAfter}
	for _, e := range st.endpoints {
		if usable(e, request, now) {
			return noEndpoint{reason: "all full", retryAfter: saturatedRetryAfter, saturated: true}
		}
		until := time.Duration(e.counters.ejectedUntil.Load() - now)
		if until > 0 && until < n.retryAfter {
			n.retryAfter = until
		}
	}
	return n
}
