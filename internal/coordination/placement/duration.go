package placement

import "time"

// Gains of the estimate of durations, and the number of deviations above the mean within
// which nearly all responses end, as RFC 6298 has them for round-trip times.
const (
	meanGain        = 1.0 / 8
	deviationGain   = 1.0 / 4
	deviationFactor = 4
)

// duration estimates how long responses take.
type duration struct {
	mean, deviation time.Duration
	recorded        bool
}

// record records the duration of one response.
func (e *duration) record(d time.Duration) {
	if !e.recorded {
		e.mean, e.deviation, e.recorded = d, d/2, true
		return
	}
	difference := d - e.mean
	e.deviation += time.Duration(deviationGain * float64(difference.Abs()-e.deviation))
	e.mean += time.Duration(meanGain * float64(difference))
}

// most returns the time within which nearly all responses end, 0 before the first one.
func (e *duration) most() time.Duration { return e.mean + deviationFactor*e.deviation }

// ResponseTime returns the time that the response to a request with the given prompt is
// expected to take at most, from its placement to its end. It is 0 while no response has
// been received.
func (p *Pool) ResponseTime(prompt int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.afterFirstEvent.recorded {
		return 0
	}
	return p.idleFirstEventDelay(Request{Prompt: prompt}) + p.afterFirstEvent.most()
}
