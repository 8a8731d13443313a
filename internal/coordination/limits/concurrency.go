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
	latencyTolerance = 1.1
	probeShare       = 0.8
	// windowSamples lie between two measurements of the baseline, each of which
	// takes probeSamples and counts the last half of them. The first comes after
	// firstSamples.
	windowSamples = 400
	firstSamples  = 50
	probeSamples  = 64
	baselineGain  = 0.3
	// Samples that came with less in flight make a measurement unnecessary.
	lowSampleGain    = 0.02
	enoughLowSamples = 20
	recentGain       = 0.02
	limitGain        = 0.5
	minGradient      = 0.5
	// headroom times the square root of the limit is its growth per round.
	headroom = 0.5
	// busyShare of the limit has to be in use for it to grow.
	busyShare = 0.9
)

// ConcurrencyLimiter is the adaptive limit on the attempts that one agent admits. The
// limit falls as the mean latency leaves the baseline, and grows while it stays
// near that. The baseline is the mean latency while less is in flight: by itself
// where the load varies, else while the limit is cut for a short time. Means are compared with means, since the latency differs
// from request to request by far more than load makes it. It is safe for
// concurrent use.
type ConcurrencyLimiter struct {
	floor   float64
	ceiling float64

	mu       sync.Mutex
	limit    float64
	inFlight int
	recent   float64 // seconds
	baseline float64 // seconds, 0 before the first measurement
	usage    float64 // mean of the attempts in flight
	samples  int     // since the last measurement
	// While probeLeft samples are awaited the limit is cut; afterwards it is
	// restored.
	probeLeft int
	probeSum  float64 // seconds
	// lowSamples came with less than probeShare of the usage in flight.
	lowSamples int
	restored   float64
}

// ConcurrencyLimiterOption sets an optional property of a Concurrency.
type ConcurrencyLimiterOption func(*ConcurrencyLimiter)

// WithLimitBounds sets the floor and the ceiling of the limit.
func WithLimitBounds(floor, ceiling int) ConcurrencyLimiterOption {
	return func(c *ConcurrencyLimiter) {
		c.floor = float64(floor)
		c.ceiling = float64(ceiling)
	}
}

// WithInitialLimit sets the limit to start from.
func WithInitialLimit(n int) ConcurrencyLimiterOption {
	return func(c *ConcurrencyLimiter) { c.limit = float64(n) }
}

// NewConcurrencyLimiter returns a limit with nothing in flight.
func NewConcurrencyLimiter(options ...ConcurrencyLimiterOption) *ConcurrencyLimiter {
	c := &ConcurrencyLimiter{floor: defaultFloor, ceiling: defaultCeiling, limit: defaultInitialLimit, samples: windowSamples - firstSamples}
	for _, o := range options {
		o(c)
	}
	c.limit = min(max(c.limit, c.floor), c.ceiling)
	return c
}

// Permit is one admitted attempt.
type Permit struct {
	inFlight int // with itself, when it was admitted
}

// Acquire admits one more attempt, or returns false.
func (c *ConcurrencyLimiter) Acquire() (Permit, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight >= int(c.limit) {
		return Permit{}, false
	}
	c.inFlight++
	return Permit{inFlight: c.inFlight}, true
}

// Release ends an attempt. The latency is the time to the first token, or the
// whole time of a plain call; 0 gives no sample.
func (c *ConcurrencyLimiter) Release(p Permit, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	inFlight := c.inFlight
	c.inFlight--
	if latency > 0 {
		c.sample(latency.Seconds(), float64(p.inFlight+inFlight)/2, max(p.inFlight, inFlight))
	}
}

// Limit returns the limit in force.
func (c *ConcurrencyLimiter) Limit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.limit)
}

// InFlight returns the number of admitted attempts.
func (c *ConcurrencyLimiter) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// RetryAfter returns when a refused attempt may come back to this agent.
func (c *ConcurrencyLimiter) RetryAfter() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := time.Duration(c.recent / max(c.limit, 1) * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// sample takes in a latency with the mean and the greatest number in flight at
// the two ends of the attempt.
func (c *ConcurrencyLimiter) sample(seconds, mean float64, greatest int) {
	if c.probeLeft > 0 {
		c.probe(seconds)
		return
	}
	if c.recent == 0 {
		c.recent = seconds
	}
	c.recent += recentGain * (seconds - c.recent)
	c.usage += recentGain * (mean - c.usage)
	c.samples++
	if mean <= probeShare*c.usage {
		c.lowSamples++
		c.learnBaseline(seconds, lowSampleGain)
	}
	c.follow(float64(greatest))
	if c.samples >= windowSamples {
		c.endWindow()
	}
	c.limit = min(max(c.limit, c.floor), c.ceiling)
}

// follow moves the limit by one sample. A sample stands for one of the attempts
// in flight, so that a whole round of them moves the limit by limitGain.
func (c *ConcurrencyLimiter) follow(inFlight float64) {
	gradient := 1.0
	if c.baseline > 0 {
		gradient = min(max(c.baseline*latencyTolerance/c.recent, minGradient), 1)
	}
	if gradient == 1 && inFlight < busyShare*c.limit {
		return
	}
	target := c.limit*gradient + headroom*math.Sqrt(c.limit)
	c.limit += limitGain * (target - c.limit) / max(inFlight, 1)
}

// endWindow cuts the limit for a measurement, unless enough samples came by
// themselves while less was in flight.
func (c *ConcurrencyLimiter) endWindow() {
	if c.lowSamples < enoughLowSamples {
		c.startProbe()
	}
	c.samples = 0
	c.lowSamples = 0
}

func (c *ConcurrencyLimiter) learnBaseline(seconds, gain float64) {
	if c.baseline == 0 {
		c.baseline = seconds
	}
	c.baseline += gain * (seconds - c.baseline)
}

// startProbe cuts the limit below what is in use, for as many samples as it takes
// to drain what is above it and to see the latency below it.
func (c *ConcurrencyLimiter) startProbe() {
	c.restored = c.limit
	c.probeLeft = max(probeSamples, int(2*c.limit))
	c.probeSum = 0
	c.limit = max(min(c.limit, c.usage)*probeShare, c.floor)
}

func (c *ConcurrencyLimiter) probe(seconds float64) {
	c.probeLeft--
	counted := max(probeSamples, int(2*c.restored)) / 2
	if c.probeLeft < counted {
		c.probeSum += seconds
	}
	if c.probeLeft > 0 {
		return
	}
	c.learnBaseline(c.probeSum/float64(counted), baselineGain)
	c.limit = c.restored
}
