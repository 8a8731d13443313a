package fleet

import "time"

// Kind tells what may be repeated of the requests on a route.
type Kind int

// The kinds of requests.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a series of events. They may run more
	// than once only where the route is resumable.
	Streaming
)

// Split is the share of a route's requests that one service takes.
type Split struct {
	service string
	weight  int
}

// NewSplit returns a share of weight for a service.
func NewSplit(service string, weight int) Split {
	return Split{service: service, weight: weight}
}

// Service returns the name of the service.
func (s Split) Service() string { return s.service }

// Weight returns the weight relative to the other shares of the route.
func (s Split) Weight() int { return s.weight }

// Route says how the requests of one host and path prefix are handled. It is
// immutable.
type Route struct {
	name        string
	host        string
	prefix      string
	kind        Kind
	timeout     time.Duration
	target      time.Duration
	eventGap    time.Duration
	priority    int
	splits      []Split
	maxAttempts int
	anonymous   bool
	resumable   bool
	regions     *Regions
}

// RouteOption sets a property of a route.
type RouteOption func(*Route)

// WithKind sets what may be repeated; the default is NonIdempotent.
func WithKind(k Kind) RouteOption { return func(r *Route) { r.kind = k } }

// WithTimes sets the timeout of a request, the latency within which an answer
// has its full value, and the longest pause between two events of a stream.
func WithTimes(timeout, target, eventGap time.Duration) RouteOption {
	return func(r *Route) {
		r.timeout = timeout
		r.target = target
		r.eventGap = eventGap
	}
}

// WithPriority sets the rank; 0 is the highest.
func WithPriority(p int) RouteOption { return func(r *Route) { r.priority = p } }

// WithSplits sets the services that take the requests.
func WithSplits(splits ...Split) RouteOption {
	return func(r *Route) { r.splits = splits }
}

// WithMaxAttempts sets how many endpoints one request may be sent to.
func WithMaxAttempts(n int) RouteOption { return func(r *Route) { r.maxAttempts = n } }

// WithAnonymous lets requests without a key in.
func WithAnonymous(anonymous bool) RouteOption {
	return func(r *Route) { r.anonymous = anonymous }
}

// WithResumable lets a broken stream go on at another endpoint.
func WithResumable(resumable bool) RouteOption {
	return func(r *Route) { r.resumable = resumable }
}

// WithRegions sets the regions in which requests may be served; the default is all.
func WithRegions(regions *Regions) RouteOption {
	return func(r *Route) { r.regions = regions }
}

// NewRoute returns a route for the paths of host that begin with prefix.
func NewRoute(name, host, prefix string, options ...RouteOption) *Route {
	r := &Route{name: name, host: host, prefix: prefix, maxAttempts: 1}
	for _, o := range options {
		o(r)
	}
	return r
}

// Name returns the name of the route.
func (r *Route) Name() string { return r.name }

// Host returns the host of the requests.
func (r *Route) Host() string { return r.host }

// Prefix returns the prefix of the paths.
func (r *Route) Prefix() string { return r.prefix }

// Kind returns what may be repeated.
func (r *Route) Kind() Kind { return r.kind }

// Timeout returns the longest time until the final answer.
func (r *Route) Timeout() time.Duration { return r.timeout }

// Target returns the latency within which an answer has its full value.
func (r *Route) Target() time.Duration { return r.target }

// EventGap returns the longest pause between events, 0 where none is set.
func (r *Route) EventGap() time.Duration { return r.eventGap }

// Priority returns the rank; 0 is the highest.
func (r *Route) Priority() int { return r.priority }

// MaxAttempts returns how many endpoints one request may be sent to.
func (r *Route) MaxAttempts() int { return r.maxAttempts }

// Anonymous reports whether requests need no key.
func (r *Route) Anonymous() bool { return r.anonymous }

// Regions returns the regions in which requests may be served.
func (r *Route) Regions() *Regions { return r.regions }

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.kind == Idempotent || r.Resumable()
}

// Resumable reports whether a broken stream may go on at another endpoint.
func (r *Route) Resumable() bool { return r.kind == Streaming && r.resumable }

// Splits returns the shares of the services. The caller must not change them.
func (r *Route) Splits() []Split { return r.splits }

// Service returns the service that takes a request; draw in [0, 1) chooses
// between the shares. It is empty where the route has no service.
func (r *Route) Service(draw float64) string {
	total := 0
	for _, s := range r.splits {
		total += s.weight
	}
	at := draw * float64(total)
	for _, s := range r.splits {
		at -= float64(s.weight)
		if at < 0 {
			return s.service
		}
	}
	return ""
}
