package limits

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// AccountLimits holds the weight of a client account and its limits for a service.
type AccountLimits struct {
	weight      float64
	rate        float64 // requests per second; 0 means unlimited
	burst       int     // requests
	maxInFlight int     // requests; 0 means unlimited
}

// AccountLimitsOption sets an optional property of AccountLimits.
type AccountLimitsOption func(*AccountLimits)

// NewAccountLimits returns limits with the given weight. The weight is relative to those
// of the other accounts. Without options, rate and requests in flight are unlimited.
func NewAccountLimits(weight float64, options ...AccountLimitsOption) AccountLimits {
	s := AccountLimits{weight: weight}
	for _, o := range options {
		o(&s)
	}
	return s
}

// WithRateLimit limits the requests per second by a token bucket that holds burst
// requests.
func WithRateLimit(perSecond float64, burst int) AccountLimitsOption {
	return func(s *AccountLimits) {
		s.rate = perSecond
		s.burst = burst
	}
}

// WithInFlightLimit limits the requests in flight. Further requests are queued.
func WithInFlightLimit(n int) AccountLimitsOption {
	return func(s *AccountLimits) { s.maxInFlight = n }
}

// account is the state of a client account at an admission controller.
type account struct {
	limits      AccountLimits
	tokenBucket *rate.Limiter
	queue       []*Ticket // by priority, then by arrival
	inFlight    int
	virtualTime float64 // seconds of slot time used, divided by the weight
}

func newAccount(s AccountLimits) *account {
	a := &account{}
	a.setLimits(s)
	return a
}

// setLimits sets the weight and the limits. The token bucket is kept if the rate and the
// burst are unchanged.
func (a *account) setLimits(s AccountLimits) {
	if a.limits.rate != s.rate || a.limits.burst != s.burst {
		a.tokenBucket = nil
	}
	if s.rate > 0 && a.tokenBucket == nil {
		a.tokenBucket = rate.NewLimiter(rate.Limit(s.rate), max(s.burst, 1))
	}
	a.limits = s
}

// takeToken takes a token from the bucket and returns 0. If the bucket is empty, it
// returns the time until the next token, at least a millisecond.
func (a *account) takeToken(now time.Time) time.Duration {
	if a.tokenBucket == nil || a.tokenBucket.AllowN(now, 1) {
		return 0
	}
	missing := 1 - a.tokenBucket.TokensAt(now)
	return max(time.Duration(missing/a.limits.rate*float64(time.Second)), time.Millisecond)
}

// atInFlightLimit reports whether the account has reached its limit of requests in flight.
func (a *account) atInFlightLimit() bool {
	return a.limits.maxInFlight > 0 && a.inFlight >= a.limits.maxInFlight
}

func (a *account) charge(seconds float64) {
	a.virtualTime += seconds / a.limits.weight
}

// precedes reports whether the next request of a is admitted before that of b: the
// account with the lower virtual time comes first, and at equal virtual times the
// request with the earlier deadline.
func (a *account) precedes(b *account) bool {
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.queue[0].deadlineBefore(b.queue[0])
}

// push queues a request behind those with the same or a higher priority.
func (a *account) push(t *Ticket) {
	t.state = queued
	i := len(a.queue)
	for i > 0 && a.queue[i-1].request.priority < t.request.priority {
		i--
	}
	a.queue = slices.Insert(a.queue, i, t)
}

func (a *account) pop() *Ticket {
	t := a.queue[0]
	a.queue = slices.Delete(a.queue, 0, 1)
	return t
}

func (a *account) remove(t *Ticket) {
	if i := slices.Index(a.queue, t); i >= 0 {
		a.queue = slices.Delete(a.queue, i, i+1)
	}
}

// Request describes a request for a slot.
type Request struct {
	account  string
	deadline time.Time
	priority int
}

// RequestOption sets an optional property of a Request.
type RequestOption func(*Request)

// NewRequest returns a request of an account.
func NewRequest(account string, deadline time.Time, options ...RequestOption) Request {
	r := Request{account: account, deadline: deadline}
	for _, o := range options {
		o(&r)
	}
	return r
}

// WithPriority sets the priority of the request, by default 0. It is queued before
// requests of the same account with a lower priority. The priority has no effect on the
// order between accounts.
func WithPriority(p int) RequestOption {
	return func(r *Request) { r.priority = p }
}

type ticketState int

const (
	queued ticketState = iota + 1
	admitted
	refused
	finished
)

// Ticket tracks a request at an admission controller.
type Ticket struct {
	request    Request
	account    *account
	state      ticketState
	decision   chan Decision
	admittedAt time.Time
	charged    float64 // seconds, charged to the account on admission
}

// Decision returns the channel that receives the decision. It receives exactly one value.
func (t *Ticket) Decision() <-chan Decision { return t.decision }

func (t *Ticket) refuse(reason Reason, retryAfter time.Duration) {
	t.state = refused
	t.decision <- Decision{reason: reason, retryAfter: retryAfter}
}

// deadlineBefore reports whether the deadline of t is before that of other.
func (t *Ticket) deadlineBefore(other *Ticket) bool {
	return t.request.deadline.Before(other.request.deadline)
}

// Decision is the decision on one request.
type Decision struct {
	admitted   bool
	reason     Reason
	retryAfter time.Duration
}

// Admitted reports whether the request has a slot.
func (d Decision) Admitted() bool { return d.admitted }

// Reason returns why the request was refused.
func (d Decision) Reason() Reason { return d.reason }

// RetryAfter returns the delay before a retry of a refused request.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }
