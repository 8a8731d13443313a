package limits

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// AccountLimits holds the weight of a client account and its limits for a service.
type AccountLimits struct {
	weight   float64
	rate     float64 // requests per second; 0 means unlimited
	burst    int     // requests
	inFlight int     // requests; 0 means unlimited
}

// AccountLimitsOption sets an optional property of a Share.
type AccountLimitsOption func(*AccountLimits)

// NewAccountLimits returns a share without limits. The weight is relative to those of the other
// accounts.
func NewAccountLimits(weight float64, options ...AccountLimitsOption) AccountLimits {
	s := AccountLimits{weight: weight}
	for _, o := range options {
		o(&s)
	}
	return s
}

// WithRateLimit limits the requests per second by a token bucket that holds burst requests.
func WithRateLimit(perSecond float64, burst int) AccountLimitsOption {
	return func(s *AccountLimits) {
		s.rate = perSecond
		s.burst = burst
	}
}

// WithInFlightLimit limits the requests in flight. Further requests are queued.
func WithInFlightLimit(n int) AccountLimitsOption {
	return func(s *AccountLimits) { s.inFlight = n }
}

// account is the state of a client account at an admission controller.
type account struct {
	share       AccountLimits
	bucket      *rate.Limiter
	queue       []*Ticket // by priority, then by arrival
	inFlight    int
	virtualTime float64 // seconds of slot time used, divided by the weight
}

func newAccount(s AccountLimits) *account {
	a := &account{}
	a.setShare(s)
	return a
}

// setShare sets the weight and the limits. The token bucket is kept if the rate and the
// burst are unchanged.
func (a *account) setShare(s AccountLimits) {
	if a.share.rate != s.rate || a.share.burst != s.burst {
		a.bucket = nil
	}
	if s.rate > 0 && a.bucket == nil {
		a.bucket = rate.NewLimiter(rate.Limit(s.rate), max(s.burst, 1))
	}
	a.share = s
}

// takeToken takes a token from the bucket and returns 0. If the bucket is empty, it
// returns the time until the next token, at least a millisecond.
func (a *account) takeToken(now time.Time) time.Duration {
	if a.bucket == nil || a.bucket.AllowN(now, 1) {
		return 0
	}
	missing := 1 - a.bucket.TokensAt(now)
	return max(time.Duration(missing/a.share.rate*float64(time.Second)), time.Millisecond)
}

// full reports whether the account has reached its limit of requests in flight.
func (a *account) full() bool {
	return a.share.inFlight > 0 && a.inFlight >= a.share.inFlight
}

func (a *account) charge(seconds float64) {
	a.virtualTime += seconds / a.share.weight
}

// before reports whether the next request of a is admitted before that of b: the account
// with the lower virtual time precedes, then the request with the earlier deadline.
func (a *account) before(b *account) bool {
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.queue[0].offered(b.queue[0])
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
	verdict    chan Decision
	admittedAt time.Time
	charged    float64 // seconds, charged to the account on admission
}

// Decision returns the channel that receives the decision. It receives exactly one value.
func (t *Ticket) Decision() <-chan Decision { return t.verdict }

func (t *Ticket) refuse(reason Reason, retryAfter time.Duration) {
	t.state = refused
	t.verdict <- Decision{reason: reason, retryAfter: retryAfter}
}

// offered reports whether the deadline of t is before that of other.
func (t *Ticket) offered(other *Ticket) bool {
	return t.request.deadline.Before(other.request.deadline)
}

// Decision is the decision on one request.
type Decision struct {
	admitted   bool
	reason     Reason
	retryAfter time.Duration
}

// Admitted reports whether the request has a slot.
func (v Decision) Admitted() bool { return v.admitted }

// Reason returns why the request was refused.
func (v Decision) Reason() Reason { return v.reason }

// RetryAfter returns the delay before a retry of a refused request.
func (v Decision) RetryAfter() time.Duration { return v.retryAfter }
