package limits

import (
	"math"
	"sync"
	"time"
)

const (
	defaultFloor   = 2
	defaultCeiling = 256
	// latencyTolerance is the factor over the baseline up to which the latency
	// does not lower the limit.
	latencyTolerance = 1.5
	// baselineDrift lets the baseline follow a service that became slower for
	// good, by this share of the difference a sample.
	baselineDrift = 0.001
	recentGain    = 0.1
	limitGain     = 0.2
	minGradient   = 0.5
	// busyShare of the limit has to be in use for it to grow.
	busyShare = 0.5
)

// Concurrency is the adaptive limit on the attempts that one agent admits. The
// limit falls as the recent latency leaves the lowest seen, and grows by its
// square root while the latency stays near that. It is safe for concurrent use.
type Concurrency struct {
	floor   float64
	ceiling float64

	mu       sync.Mutex
	limit    float64
	inFlight int
	baseline float64 // seconds
	recent   float64 // seconds
}

// ConcurrencyOption sets an optional property of a Concurrency.
type ConcurrencyOption func(*Concurrency)

// WithBounds sets the floor and the ceiling of the limit.
func WithBounds(floor, ceiling int) ConcurrencyOption {
	return func(c *Concurrency) {
		c.floor = float64(floor)
		c.ceiling = float64(ceiling)
	}
}

// WithInitialLimit sets the limit to start from.
func WithInitialLimit(n int) ConcurrencyOption {
	return func(c *Concurrency) { c.limit = float64(n) }
}

// NewConcurrency returns a limit with nothing in flight.
func NewConcurrency(options ...ConcurrencyOption) *Concurrency {
	c := &Concurrency{floor: defaultFloor, ceiling: defaultCeiling, limit: defaultSlots}
	for _, o := range options {
		o(c)
	}
	c.limit = min(max(c.limit, c.floor), c.ceiling)
	return c
}

// Acquire admits one more attempt, or returns false.
func (c *Concurrency) Acquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight >= int(c.limit) {
		return false
	}
	c.inFlight++
	return true
}

// Release ends an attempt. The latency is the time to the first token, or the
// whole time of a plain call; 0 gives no sample.
func (c *Concurrency) Release(latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	inFlight := c.inFlight
	c.inFlight--
	if latency > 0 {
		c.sample(latency.Seconds(), inFlight)
	}
}

// Limit returns the limit in force.
func (c *Concurrency) Limit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.limit)
}

// InFlight returns the number of admitted attempts.
func (c *Concurrency) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// RetryAfter returns when a refused attempt may come back to this agent.
func (c *Concurrency) RetryAfter() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := time.Duration(c.recent / max(c.limit, 1) * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

func (c *Concurrency) sample(seconds float64, inFlight int) {
	if c.baseline == 0 {
		c.baseline = seconds
		c.recent = seconds
	}
	c.baseline = min(c.baseline+baselineDrift*(seconds-c.baseline), seconds)
	c.recent += recentGain * (seconds - c.recent)
	gradient := c.baseline * latencyTolerance / c.recent
	gradient = min(max(gradient, minGradient), 1)
	if gradient == 1 && float64(inFlight) < busyShare*c.limit {
		return
	}
	target := c.limit*gradient + math.Sqrt(c.limit)
	// A sample stands for one of the attempts in flight, so a whole round of
	// them moves the limit by limitGain.
	step := limitGain * (target - c.limit) / max(float64(inFlight), 1)
	c.limit = min(max(c.limit+step, c.floor), c.ceiling)
}
