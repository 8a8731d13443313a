// Package retry decides what follows an attempt: another attempt or one of the three
// final results. Only entries retry; agents and transports do not.
//
// Each service has a retry budget, a token bucket that its own requests fill: after n
// requests at most ratio*n + reserve attempts were retries. A failed retry halves the
// number of tokens. The tokens of healthy traffic thus suffice for the many requests of
// one crashed endpoint, whose retries succeed. In a total outage they are used up after a
// few retries, so that the number of attempts stays close to the number of requests.
//
// A request that may have run once has the result Unknown even if a later attempt was
// refused.
//
// # Usage
//
//	b := retry.NewBudget()                            // one for each service
//	s := b.Start(retry.WithIdempotent(true))          // one for each request
//	for {
//		d := s.Decide(attempt(), timeLeft)
//		if d.Kind() != retry.Retry {
//			return d
//		}
//		wait(d.Backoff())
//	}
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	defaultRatio       = 0.08
	defaultReserve     = 10  // tokens
	defaultMaxTokens   = 100 // tokens
	defaultMaxAttempts = 4
	// failedRetryFactor is the fraction of the tokens left after a failed retry.
	failedRetryFactor = 0.5
	defaultBackoff    = 10 * time.Millisecond
	defaultMaxBackoff = 500 * time.Millisecond
	defaultRetryAfter = time.Second
)

// Outcome is how one attempt ended.
type Outcome struct {
	kind       outcomeKind
	retryAfter time.Duration
}

type outcomeKind int

const (
	answered outcomeKind = iota + 1
	notRun
	unknown
)

// Answered is the outcome of an attempt with a complete response.
func Answered() Outcome { return Outcome{kind: answered} }

// NeverRan is the outcome of an attempt that the agent refused, or that was never sent.
// The argument is the retry-after time from the agent, 0 if there is none.
func NeverRan(retryAfter time.Duration) Outcome {
	return Outcome{kind: notRun, retryAfter: retryAfter}
}

// MayHaveRun is the outcome of an attempt that was sent and has no complete response.
func MayHaveRun() Outcome { return Outcome{kind: unknown} }

// Kind is what follows an attempt: a retry or a final result.
type Kind int

// The kinds of decisions. All but Retry are final.
const (
	Retry Kind = iota + 1
	Complete
	NotRun
	Unknown
)

// Denial is why no further attempt follows one without a complete response.
type Denial string

// The denials. A decision for a retry, or after a complete response, has none.
const (
	// DeniedMayRun: the request may run only once, and may have run.
	DeniedMayRun Denial = "may run only once"
	// DeniedAttempts: the request has had as many attempts as it may have.
	DeniedAttempts Denial = "no attempts left"
	// DeniedTime: too little time is left.
	DeniedTime Denial = "no time left"
	// DeniedBudget: the budget of the service allows no retry.
	DeniedBudget Denial = "no retry budget"
)

// Decision is what follows an attempt.
type Decision struct {
	kind       Kind
	denial     Denial
	backoff    time.Duration
	retryAfter time.Duration
}

// Kind returns the kind of the decision.
func (d Decision) Kind() Kind { return d.kind }

// Denial returns why the decision is no retry.
func (d Decision) Denial() Denial { return d.denial }

// Backoff returns the delay before the next attempt.
func (d Decision) Backoff() time.Duration { return d.backoff }

// RetryAfter returns the time after which the caller may retry after a final result.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// Budget limits the retries of one service at one entry. It is safe for concurrent use.
type Budget struct {
	ratio       float64
	reserve     float64
	maxTokens   float64
	maxAttempts int
	backoff     time.Duration
	maxBackoff  time.Duration
	retryAfter  time.Duration
	random      func() float64

	promiseRatio float64

	mu       sync.Mutex
	tokens   float64 // below 0 after promises beyond them
	requests uint64
	retries  uint64
	denied   uint64
	recent   recentRequests
}

// Option sets an optional property of a Budget.
type Option func(*Budget)

// WithRatio sets the number of retry tokens that each request adds.
func WithRatio(ratio float64) Option {
	return func(b *Budget) { b.ratio = ratio }
}

// WithReserve sets the number of tokens before the first request.
func WithReserve(n int) Option {
	return func(b *Budget) { b.reserve = float64(n) }
}

// WithMaxAttempts sets the maximum number of attempts of one request.
func WithMaxAttempts(n int) Option {
	return func(b *Budget) { b.maxAttempts = n }
}

// WithBackoff sets the mean of the first delay and the maximum delay.
func WithBackoff(first, limit time.Duration) Option {
	return func(b *Budget) {
		b.backoff = first
		b.maxBackoff = limit
	}
}

// WithRandom sets the source of random numbers in [0, 1), which must be safe
// for concurrent use.
func WithRandom(random func() float64) Option {
	return func(b *Budget) { b.random = random }
}

// NewBudget returns the retry budget of a service.
func NewBudget(options ...Option) *Budget {
	b := &Budget{
		ratio:       defaultRatio,
		reserve:     defaultReserve,
		maxTokens:   defaultMaxTokens,
		maxAttempts: defaultMaxAttempts,
		backoff:     defaultBackoff,
		maxBackoff:  defaultMaxBackoff,
		retryAfter:  defaultRetryAfter,
		random:      rand.Float64,
	}
	for _, o := range options {
		o(b)
	}
	b.tokens = b.reserve
	return b
}

// Requests returns the number of requests started.
func (b *Budget) Requests() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests
}

// Retries returns the number of retries granted.
func (b *Budget) Retries() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retries
}

// Denied returns the number of retries that the budget denied.
func (b *Budget) Denied() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.denied
}

// Start begins a request and adds its tokens to the budget.
func (b *Budget) Start(options ...SequenceOption) *Sequence {
	s := &Sequence{budget: b, attempt: 1}
	for _, o := range options {
		o(s)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
	b.recent.add()
	b.tokens = min(b.tokens+b.ratio, b.maxTokens)
	return s
}

// Refill adds tokens apart from those of requests, and sets the maximum number of tokens.
func (b *Budget) Refill(tokens, maxTokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxTokens = maxTokens
	b.tokens = min(b.tokens+tokens, maxTokens)
}

// takeToken removes a token for a retry and reports whether there was one.
func (b *Budget) takeToken() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		b.denied++
		return false
	}
	b.tokens--
	b.retries++
	return true
}

// recordFailedRetry reduces the tokens after a failed retry.
func (b *Budget) recordFailedRetry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens > 0 {
		b.tokens *= failedRetryFactor
	}
}

// nextBackoff returns a uniformly random delay below a bound that doubles with each
// attempt.
func (b *Budget) nextBackoff(attempt int) time.Duration {
	bound := b.maxBackoff
	if shift := attempt - 1; shift < 16 {
		bound = min(b.backoff<<shift*2, b.maxBackoff)
	}
	return time.Duration(b.random() * float64(bound))
}
