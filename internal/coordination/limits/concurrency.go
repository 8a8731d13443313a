package limits

import (
	"math"
	"sync"
	"time"
)

const (
	defaultMinLimit     = 2
	defaultMaxLimit     = 256
	defaultInitialLimit = 8
	// latencyTolerance is the multiple of the baseline up to which the latency does not
	// lower the limit. latencyTolerance*probeLoadFraction must be less than 1: otherwise a
	// baseline that was measured under load could keep the limit too high.
	latencyTolerance = 1.1
	// probeLoadFraction is the fraction of the mean number of attempts in flight to which a
	// probe lowers the limit, and up to which a sample counts as one at low load.
	probeLoadFraction = 0.8
	// intervalSamples is the number of samples between two probes of the baseline. The
	// first probe starts after firstProbeSamples. A probe takes at least probeSamples and
	// averages the second half of them.
	intervalSamples   = 400
	firstProbeSamples = 50
	probeSamples      = 64
	probeBaselineGain = 0.3 // weight of a probe in the baseline
	// With minLowLoadSamples samples at low load in an interval, no probe is started.
	lowLoadBaselineGain = 0.02 // weight of a sample at low load in the baseline
	minLowLoadSamples   = 20
	recentGain          = 0.02 // weight of a sample in the recent means
	limitGain           = 0.5  // fraction of the way to the target limit per round of samples
	minGradient         = 0.5
	// headroom times the square root of the limit is added to the target limit, so that
	// the limit grows while the latency is near the baseline.
	headroom = 0.5
	// minUtilization is the fraction of the limit that must be in use for it to grow.
	minUtilization = 0.9
)

// ConcurrencyLimiter adaptively limits the attempts that one agent admits. The limit falls
// when the mean latency exceeds the baseline and grows while it is near the baseline.
// The baseline is the mean latency at lower load. It is taken from samples at low load
// if the load varies by itself, otherwise from a probe, which lowers the limit for a
// short time. Mean latencies are compared, rather than single ones, because the latency
// varies far more between requests than with the load. A ConcurrencyLimiter is safe for
// concurrent use.
type ConcurrencyLimiter struct {
	minLimit float64
	maxLimit float64

	mu                sync.Mutex
	limit             float64
	inFlight          int
	recentLatency     float64 // seconds, moving average of the latency
	baselineLatency   float64 // seconds, 0 before the first sample at low load or probe
	meanInFlight      float64 // moving average of the attempts in flight
	samplesInInterval int     // in the current interval between two probes
	// probeLeft is the number of samples that remain of a probe. Until it is 0, the
	// limit is lowered.
	probeLeft int
	probeSum  float64 // seconds
	// lowLoadSamples counts the samples at low load: with at most
	// probeLoadFraction*meanInFlight attempts in flight.
	lowLoadSamples   int
	limitBeforeProbe float64 // limit to restore after the probe
}

// ConcurrencyLimiterOption sets an optional property of a ConcurrencyLimiter.
type ConcurrencyLimiterOption func(*ConcurrencyLimiter)

// WithLimitBounds sets the minimum and the maximum of the limit. The defaults are 2 and
// 256.
func WithLimitBounds(minLimit, maxLimit int) ConcurrencyLimiterOption {
	return func(c *ConcurrencyLimiter) {
		c.minLimit = float64(minLimit)
		c.maxLimit = float64(maxLimit)
	}
}

// WithInitialLimit sets the initial limit. The default is 8.
func WithInitialLimit(n int) ConcurrencyLimiterOption {
	return func(c *ConcurrencyLimiter) { c.limit = float64(n) }
}

// NewConcurrencyLimiter returns a limiter without attempts in flight.
func NewConcurrencyLimiter(options ...ConcurrencyLimiterOption) *ConcurrencyLimiter {
	c := &ConcurrencyLimiter{minLimit: defaultMinLimit, maxLimit: defaultMaxLimit, limit: defaultInitialLimit, samplesInInterval: intervalSamples - firstProbeSamples}
	for _, o := range options {
		o(c)
	}
	c.limit = min(max(c.limit, c.minLimit), c.maxLimit)
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
		c.recordSample(latency.Seconds(), float64(p.inFlight+inFlight)/2, max(p.inFlight, inFlight))
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
	wait := time.Duration(c.recentLatency / max(c.limit, 1) * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// recordSample records the latency of an attempt in seconds, with the mean and the
// maximum of the numbers of attempts in flight at its admission and at its end.
func (c *ConcurrencyLimiter) recordSample(seconds, meanInFlight float64, maxInFlight int) {
	if c.probeLeft > 0 {
		c.recordProbeSample(seconds)
		return
	}
	if c.recentLatency == 0 {
		c.recentLatency = seconds
	}
	c.recentLatency += recentGain * (seconds - c.recentLatency)
	c.meanInFlight += recentGain * (meanInFlight - c.meanInFlight)
	c.samplesInInterval++
	if meanInFlight <= probeLoadFraction*c.meanInFlight {
		c.lowLoadSamples++
		c.updateBaseline(seconds, lowLoadBaselineGain)
	}
	c.adjustLimit(float64(maxInFlight))
	if c.samplesInInterval >= intervalSamples {
		c.endInterval()
	}
	c.limit = min(max(c.limit, c.minLimit), c.maxLimit)
}

// adjustLimit adjusts the limit after one sample. Each sample contributes in proportion
// to 1/inFlight, so that a round with one sample of each attempt in flight moves the
// limit by limitGain of its distance to the target.
func (c *ConcurrencyLimiter) adjustLimit(inFlight float64) {
	gradient := 1.0
	if c.baselineLatency > 0 {
		gradient = min(max(c.baselineLatency*latencyTolerance/c.recentLatency, minGradient), 1)
	}
	if gradient == 1 && inFlight < minUtilization*c.limit {
		return
	}
	target := c.limit*gradient + headroom*math.Sqrt(c.limit)
	c.limit += limitGain * (target - c.limit) / max(inFlight, 1)
}

// endInterval ends a probe interval. It starts a probe, unless the interval had enough
// samples at low load.
func (c *ConcurrencyLimiter) endInterval() {
	if c.lowLoadSamples < minLowLoadSamples {
		c.startProbe()
	}
	c.samplesInInterval = 0
	c.lowLoadSamples = 0
}

// updateBaseline moves the baseline towards a latency by the fraction gain of the
// difference. The first latency becomes the baseline.
func (c *ConcurrencyLimiter) updateBaseline(seconds, gain float64) {
	if c.baselineLatency == 0 {
		c.baselineLatency = seconds
	}
	c.baselineLatency += gain * (seconds - c.baselineLatency)
}

// startProbe lowers the limit below the mean number of attempts in flight. The probe has
// enough samples for the attempts above the lowered limit to end, and for a mean latency
// at the lower load.
func (c *ConcurrencyLimiter) startProbe() {
	c.limitBeforeProbe = c.limit
	c.probeLeft = max(probeSamples, int(2*c.limit))
	c.probeSum = 0
	c.limit = max(min(c.limit, c.meanInFlight)*probeLoadFraction, c.minLimit)
}

// recordProbeSample records a latency in seconds during a probe, and ends the probe after
// its last sample. The first half of the samples, at least as many as the previous
// limit, is ignored because it includes attempts that were admitted before the limit was
// lowered and ran partly at the previous load.
func (c *ConcurrencyLimiter) recordProbeSample(seconds float64) {
	c.probeLeft--
	averagedSamples := max(probeSamples, int(2*c.limitBeforeProbe)) / 2
	if c.probeLeft < averagedSamples {
		c.probeSum += seconds
	}
	if c.probeLeft > 0 {
		return
	}
	c.updateBaseline(c.probeSum/float64(averagedSamples), probeBaselineGain)
	c.limit = c.limitBeforeProbe
}
