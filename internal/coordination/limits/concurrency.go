package limits

import (
	"math"
	"sync"
	"time"
)

const (
	defaultFloor        = 2
	defaultCeiling      = 256
	defaultInitialLimit = 8
	// latencyTolerance is the factor over the baseline up to which the latency
	// does not lower the limit. Times probeShare it stays below 1, so that a
	// baseline that was measured under load cannot hold the limit up.
	latencyTolerance = 1.5
	probeShare       = 0.5
	// windowSamples is the length of a window of the baseline.
	windowSamples = 500
	recentGain    = 0.1
	limitGain     = 0.2
	minGradient   = 0.5
	// headroom times the square root of the limit is its growth per round.
	headroom = 0.5
	// busyShare of the limit has to be in use for it to grow.
	busyShare = 0.5
)

// Concurrency is the adaptive limit on the attempts that one agent admits. The
// limit falls as the recent latency leaves the baseline, and grows while the
// latency stays near that. The baseline is the lowest latency of two windows of
// samples; each window begins with the limit cut to a share, so that the
// baseline is measured with less in flight. It is safe for concurrent use.
type Concurrency struct {
	floor   float64
	ceiling float64

	mu       sync.Mutex
	limit    float64
	inFlight int
	recent   float64 // seconds
	lowest   float64 // seconds, of this window
	previous float64 // seconds, of the window before
	samples  int     // of this window
	// While probeLeft samples are awaited the limit is cut; afterwards it is
	// restored.
	probeLeft int
	restored  float64
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
	c := &Concurrency{floor: defaultFloor, ceiling: defaultCeiling, limit: defaultInitialLimit}
	c.lowest, c.previous = math.Inf(1), math.Inf(1)
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
	if c.recent == 0 {
		c.recent = seconds
	}
	c.recent += recentGain * (seconds - c.recent)
	c.lowest = min(c.lowest, seconds)
	c.samples++
	switch {
	case c.probeLeft > 0:
		c.probe()
	case c.samples >= windowSamples:
		c.startWindow()
	default:
		c.follow(float64(inFlight))
	}
	c.limit = min(max(c.limit, c.floor), c.ceiling)
}

// follow moves the limit by one sample. A sample stands for one of the attempts
// in flight, so that a whole round of them moves the limit by limitGain.
func (c *Concurrency) follow(inFlight float64) {
	baseline := min(c.lowest, c.previous)
	gradient := baseline * latencyTolerance / c.recent
	gradient = min(max(gradient, minGradient), 1)
	if gradient == 1 && inFlight < busyShare*c.limit {
		return
	}
	target := c.limit*gradient + headroom*math.Sqrt(c.limit)
	c.limit += limitGain * (target - c.limit) / max(inFlight, 1)
}

// startWindow cuts the limit for as many samples as it takes to drain what is
// above it and to see the latency below it.
func (c *Concurrency) startWindow() {
	c.previous = c.lowest
	c.lowest = math.Inf(1)
	c.samples = 0
	c.restored = c.limit
	c.probeLeft = int(2 * c.limit)
	c.limit *= probeShare
}

func (c *Concurrency) probe() {
	c.probeLeft--
	if c.probeLeft == 0 {
		c.limit = c.restored
	}
}
