package limits

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// AccountLimits is what a client account may use of a service.
type AccountLimits struct {
	weight   float64
	rate     float64
	burst    int
	inFlight int
}

// AccountLimitsOption sets an optional property of a share.
type AccountLimitsOption func(*AccountLimits)

// NewAccountLimits returns a share with a weight relative to the other accounts.
func NewAccountLimits(weight float64, options ...AccountLimitsOption) AccountLimits {
	s := AccountLimits{weight: weight}
	for _, o := range options {
		o(&s)
	}
	return s
}

// WithRateLimit bounds the requests a second, with a burst above it.
func WithRateLimit(perSecond float64, burst int) AccountLimitsOption {
	return func(s *AccountLimits) {
		s.rate = perSecond
		s.burst = burst
	}
}

// WithInFlightLimit bounds the requests in progress. More of them wait.
func WithInFlightLimit(n int) AccountLimitsOption {
	return func(s *AccountLimits) { s.inFlight = n }
}

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

func (a *account) setShare(s AccountLimits) {
	if a.share.rate != s.rate || a.share.burst != s.burst {
		a.bucket = nil
	}
	if s.rate > 0 && a.bucket == nil {
		a.bucket = rate.NewLimiter(rate.Limit(s.rate), max(s.burst, 1))
	}
	a.share = s
}

// takeToken returns 0, or the time until the account may send again.
func (a *account) takeToken(now time.Time) time.Duration {
	if a.bucket == nil || a.bucket.AllowN(now, 1) {
		return 0
	}
	missing := 1 - a.bucket.TokensAt(now)
	return max(time.Duration(missing/a.share.rate*float64(time.Second)), time.Millisecond)
}

func (a *account) full() bool {
	return a.share.inFlight > 0 && a.inFlight >= a.share.inFlight
}

func (a *account) charge(seconds float64) {
	a.virtualTime += seconds / a.share.weight
}

// before reports whether it is a's turn rather than b's.
func (a *account) before(b *account) bool {
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.queue[0].offered(b.queue[0])
}

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

// Request is one request that asks for a slot.
type Request struct {
	account  string
	deadline time.Time
	priority int
}

// RequestOption sets an optional property of a request.
type RequestOption func(*Request)

// NewRequest returns a request of an account.
func NewRequest(account string, deadline time.Time, options ...RequestOption) Request {
	r := Request{account: account, deadline: deadline}
	for _, o := range options {
		o(&r)
	}
	return r
}

// WithPriority puts the request before those of the same account with a lower
// priority. Between accounts only the weights count.
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

// Ticket is a request at a gate.
type Ticket struct {
	request    Request
	account    *account
	state      ticketState
	verdict    chan Decision
	admittedAt time.Time
	charged    float64 // seconds
}

// Decision returns the channel on which the one verdict comes.
func (t *Ticket) Decision() <-chan Decision { return t.verdict }

func (t *Ticket) refuse(reason Reason, retryAfter time.Duration) {
	t.state = refused
	t.verdict <- Decision{reason: reason, retryAfter: retryAfter}
}

// offered reports whether t's deadline comes before the other's.
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

// RetryAfter returns when a refused request may come back.
func (v Decision) RetryAfter() time.Duration { return v.retryAfter }
