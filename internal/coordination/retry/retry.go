// Package retry decides what follows an attempt: another one, or one of the
// three final answers. Only entries retry; agents and transports do not.
//
// Retries are paid from a budget for each service, which its own requests fill:
// after n requests at most share*n + reserve attempts were retries. A retry that
// fails halves what is saved. What healthy traffic saved thus serves the many
// requests of one endpoint that died, whose retries succeed, and is gone after
// few of them in a total outage, where the attempts stay near the requests.
//
// A request that may have run once stays "unknown" even if a later attempt of it
// was refused.
//
// # Usage
//
//	b := retry.NewBudget()                            // one for each service
//	s := b.Start(retry.WithIdempotent(true))          // one for each request
//	for {
//		d := s.Decide(attempt(), timeLeft)
//		if d.Kind() != retry.Again {
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
	defaultShare       = 0.08
	defaultReserve     = 10  // retries
	defaultMaxSaved    = 100 // retries
	defaultMaxAttempts = 4
	// failedRetryKeeps is the share of the savings left after a failed retry.
	failedRetryKeeps  = 0.5
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

// Answered is an attempt that gave its whole answer.
func Answered() Outcome { return Outcome{kind: answered} }

// NeverRan is an attempt that its agent refused, or that was never sent. The
// agent's hint when to come back may be 0.
func NeverRan(retryAfter time.Duration) Outcome {
	return Outcome{kind: notRun, retryAfter: retryAfter}
}

// MayHaveRun is an attempt that was sent and gave no whole answer.
func MayHaveRun() Outcome { return Outcome{kind: unknown} }

// Kind tells what follows an attempt.
type Kind int

// The decisions. All but Retry are final.
const (
	Retry Kind = iota + 1
	Complete
	NotRun
	Unknown
)

// Decision is what follows an attempt.
type Decision struct {
	kind       Kind
	backoff    time.Duration
	retryAfter time.Duration
}

// Kind returns the decision.
func (d Decision) Kind() Kind { return d.kind }

// Backoff returns the wait before the next attempt.
func (d Decision) Backoff() time.Duration { return d.backoff }

// RetryAfter returns when the caller may come back after a final answer.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// Budget bounds the retries of one service at one entry. It is safe for
// concurrent use.
type Budget struct {
	share       float64
	reserve     float64
	maxSaved    float64
	maxAttempts int
	backoff     time.Duration
	maxBackoff  time.Duration
	retryAfter  time.Duration
	random      func() float64

	mu       sync.Mutex
	saved    float64
	requests uint64
	retries  uint64
	denied   uint64
}

// Option sets an optional property of a Budget.
type Option func(*Budget)

// WithRatio sets the retries that each request pays for.
func WithRatio(share float64) Option {
	return func(b *Budget) { b.share = share }
}

// WithReserve sets the retries that are there before any request.
func WithReserve(n int) Option {
	return func(b *Budget) { b.reserve = float64(n) }
}

// WithMaxAttempts sets the attempts of one request.
func WithMaxAttempts(n int) Option {
	return func(b *Budget) { b.maxAttempts = n }
}

// WithBackoff sets the mean of the first wait and the longest wait.
func WithBackoff(first, longest time.Duration) Option {
	return func(b *Budget) {
		b.backoff = first
		b.maxBackoff = longest
	}
}

// WithRandom sets the source of random numbers in [0, 1), which must be safe
// for concurrent use.
func WithRandom(random func() float64) Option {
	return func(b *Budget) { b.random = random }
}

// NewBudget returns the budget of a service.
func NewBudget(options ...Option) *Budget {
	b := &Budget{
		share:       defaultShare,
		reserve:     defaultReserve,
		maxSaved:    defaultMaxSaved,
		maxAttempts: defaultMaxAttempts,
		backoff:     defaultBackoff,
		maxBackoff:  defaultMaxBackoff,
		retryAfter:  defaultRetryAfter,
		random:      rand.Float64,
	}
	for _, o := range options {
		o(b)
	}
	b.saved = b.reserve
	return b
}

// Requests returns how many requests were started.
func (b *Budget) Requests() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests
}

// Retries returns how many retries were granted.
func (b *Budget) Retries() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retries
}

// Denied returns how many retries the budget did not grant.
func (b *Budget) Denied() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.denied
}

// Start begins a request and pays its share into the budget.
func (b *Budget) Start(options ...SequenceOption) *Sequence {
	s := &Sequence{budget: b, attempt: 1}
	for _, o := range options {
		o(s)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
	b.saved = min(b.saved+b.share, b.maxSaved)
	return s
}

// Refill adds retries that no request pays for, up to the largest number that may
// be saved.
func (b *Budget) Refill(retries, maxSaved float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxSaved = maxSaved
	b.saved = min(b.saved+retries, maxSaved)
}

func (b *Budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		b.denied++
		return false
	}
	b.saved--
	b.retries++
	return true
}

// retryFailed cuts the savings after a retry that did not help.
func (b *Budget) retryFailed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved *= failedRetryKeeps
}

// wait returns a random wait below a bound that doubles with each attempt.
func (b *Budget) wait(attempt int) time.Duration {
	bound := b.maxBackoff
	if shift := attempt - 1; shift < 16 {
		bound = min(b.backoff<<shift*2, b.maxBackoff)
	}
	return time.Duration(b.random() * float64(bound))
}
