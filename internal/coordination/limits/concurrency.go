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
	// latencyTolerance is the multiple of the baseline up to which the latency does not
	// lower the limit. latencyTolerance*probeShare must be less than 1: otherwise a
	// baseline that was measured under load could keep the limit too high.
	latencyTolerance = 1.1
	// probeShare is the fraction of the mean number of attempts in flight to which a
	// probe lowers the limit, and up to which a sample counts as one at low load.
	probeShare = 0.8
	// windowSamples is the number of samples between two probes of the baseline. The
	// first probe starts after firstSamples. A probe takes at least probeSamples and
	// averages the second half of them.
	windowSamples = 400
	firstSamples  = 50
	probeSamples  = 64
	baselineGain  = 0.3 // weight of a probe in the baseline
	// With enoughLowSamples samples at low load, no probe is required.
	lowSampleGain    = 0.02 // weight of a sample at low load in the baseline
	enoughLowSamples = 20
	recentGain       = 0.02 // weight of a sample in the recent means
	limitGain        = 0.5  // fraction of the way to the target limit per round of samples
	minGradient      = 0.5
	// headroom times the square root of the limit is added to the target limit, so that
	// the limit grows while the latency is near the baseline.
	headroom = 0.5
	// busyShare is the fraction of the limit that must be in use for it to grow.
	busyShare = 0.9
)

// ConcurrencyLimiter adaptively limits the attempts that one agent admits. The limit falls
// when the mean latency exceeds the baseline and grows while it is near the baseline.
// The baseline is the mean latency at lower load. It is taken from samples at low load
// if the load varies by itself, otherwise from a probe, which lowers the limit for a
// short time. Mean latencies are compared, rather than single ones, because the latency
// varies far more between requests than with the load. A ConcurrencyLimiter is safe for
// concurrent use.
type ConcurrencyLimiter struct {
	floor   float64
	ceiling float64

	mu       sync.Mutex
	limit    float64
	inFlight int
	recent   float64 // seconds, moving average of the latency
	baseline float64 // seconds, 0 before the first sample at low load or probe
	usage    float64 // moving average of the attempts in flight
	samples  int     // in the current interval between two probes
	// probeLeft is the number of samples that remain of a probe. Until it is 0, the
	// limit is lowered.
	probeLeft int
	probeSum  float64 // seconds
	// lowSamples counts the samples at low load: with at most probeShare*usage attempts
	// in flight.
	lowSamples int
	restored   float64 // limit to restore after the probe
}

// ConcurrencyLimiterOption sets an optional property of a Concurrency.
type ConcurrencyLimiterOption func(*ConcurrencyLimiter)

// WithLimitBounds sets the minimum and the maximum of the limit. The defaults are 2 and 256.
func WithLimitBounds(floor, ceiling int) ConcurrencyLimiterOption {
	return func(c *ConcurrencyLimiter) {
		c.floor = float64(floor)
		c.ceiling = float64(ceiling)
	}
}

// WithInitialLimit sets the initial limit. The default is 8.
func WithInitialLimit(n int) ConcurrencyLimiterOption {
	return func(c *ConcurrencyLimiter) { c.limit = float64(n) }
}

// NewConcurrencyLimiter returns a limiter without attempts in flight.
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
	inFlight int // number of attempts in flight at admission, including this one
}

// Acquire admits an attempt. It returns false if the limit is reached.
func (c *ConcurrencyLimiter) Acquire() (Permit, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight >= int(c.limit) {
		return Permit{}, false
	}
	c.inFlight++
	return Permit{inFlight: c.inFlight}, true
}

// Release ends an attempt. The latency is the time to the first token, or the total
// time of a call without streaming. A latency of 0 is not recorded as a sample.
func (c *ConcurrencyLimiter) Release(p Permit, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	inFlight := c.inFlight
	c.inFlight--
	if latency > 0 {
		c.sample(latency.Seconds(), float64(p.inFlight+inFlight)/2, max(p.inFlight, inFlight))
	}
}

// Limit returns the current limit.
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

// RetryAfter returns the delay before a refused attempt may be sent to this agent
// again.
func (c *ConcurrencyLimiter) RetryAfter() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := time.Duration(c.recent / max(c.limit, 1) * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// sample records the latency of an attempt in seconds, with the mean and the maximum of
// the numbers of attempts in flight at its admission and at its end.
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

// follow adjusts the limit after one sample. Each sample contributes in proportion to
// 1/inFlight, so that a round with one sample of each attempt in flight moves the limit
// by limitGain of its distance to the target.
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

// endWindow ends a probe interval. It starts a probe, unless the interval had enough
// samples at low load.
func (c *ConcurrencyLimiter) endWindow() {
	if c.lowSamples < enoughLowSamples {
		c.startProbe()
	}
	c.samples = 0
	c.lowSamples = 0
}

// learnBaseline moves the baseline towards a latency by the fraction gain of the
// difference. The first latency becomes the baseline.
func (c *ConcurrencyLimiter) learnBaseline(seconds, gain float64) {
	if c.baseline == 0 {
		c.baseline = seconds
	}
	c.baseline += gain * (seconds - c.baseline)
}

// startProbe lowers the limit below the mean number of attempts in flight. The probe has
// enough samples for the attempts above the lowered limit to end, and for a mean latency
// at the lower load.
func (c *ConcurrencyLimiter) startProbe() {
	c.restored = c.limit
	c.probeLeft = max(probeSamples, int(2*c.limit))
	c.probeSum = 0
	c.limit = max(min(c.limit, c.usage)*probeShare, c.floor)
}

// probe records a latency in seconds during a probe, and ends the probe after its last
// sample. The first half of the samples is ignored, as their attempts ran partly at the
// previous load.
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
