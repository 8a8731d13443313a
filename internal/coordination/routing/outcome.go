package routing

import "time"

// Outcome is the result of an attempt with respect to the endpoint's health.
type Outcome int

// The outcomes of an attempt.
const (
	// Succeeded means that the endpoint returned a complete response of any kind.
	Succeeded Outcome = iota + 1
	// Refused means that the agent did not admit the attempt.
	Refused
	// Failed means that the attempt reached the endpoint but received no complete
	// response.
	Failed
	// Unreachable means that the attempt did not reach the agent. A single one counts
	// as enough failures for an ejection.
	Unreachable
	// Cancelled means that the attempt ended without a result for the endpoint, for
	// example because the caller disconnected.
	Cancelled
)

// ejectionPolicy configures outlier ejection: for how long an endpoint receives no
// requests after consecutive failures. The duration doubles with each further ejection,
// at most maxDoublings times and up to maxDuration, until an attempt succeeds.
type ejectionPolicy struct {
	failureThreshold int64
	baseDuration     time.Duration
	maxDuration      time.Duration
	maxFraction      float64
	maxDoublings     int64
}

var defaultEjectionPolicy = ejectionPolicy{
	failureThreshold: 3,
	baseDuration:     2 * time.Second,
	maxDuration:      30 * time.Second,
	maxFraction:      0.5,
	maxDoublings:     4,
}

// WithEjection sets the number of consecutive failures that eject an endpoint, the
// duration of the first ejection, and the maximum fraction of a service's endpoints in
// the subset that may be ejected at the same time.
func WithEjection(failures int, base time.Duration, maxFraction float64) Option {
	return func(r *Router) {
		r.ejection.failureThreshold = int64(failures)
		r.ejection.baseDuration = base
		r.ejection.maxFraction = maxFraction
	}
}

// Done ends the attempt of a choice and records its outcome. It must be called exactly
// once for each choice.
func (r *Router) Done(choice Choice, outcome Outcome) {
	e := choice.endpoint
	e.counters.inFlight.Add(-1)
	switch outcome {
	case Succeeded:
		e.counters.consecutiveFailures.Store(0)
		e.counters.ejections.Store(0)
	case Failed:
		r.countFailure(e, e.counters.consecutiveFailures.Add(1))
	case Unreachable:
		r.countFailure(e, e.counters.consecutiveFailures.Add(r.ejection.failureThreshold))
	}
}

// countFailure ejects an endpoint once it has had enough consecutive failures, unless
// too many endpoints of its service are ejected already: failures that are so
// widespread are unlikely to be caused by the single endpoint.
func (r *Router) countFailure(e *endpointRecord, failures int64) {
	if failures < r.ejection.failureThreshold {
		return
	}
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.counters.ejectedUntil.Load() > now.UnixNano() || !r.mayEject(e, now) {
		return
	}
	doublings := min(e.counters.ejections.Add(1)-1, r.ejection.maxDoublings)
	until := now.Add(min(r.ejection.baseDuration<<doublings, r.ejection.maxDuration)).UnixNano()
	e.counters.consecutiveFailures.Store(0)
	e.counters.slowStartAt.Store(until)
	e.counters.ejectedUntil.Store(until)
}

// mayEject reports whether the maximum fraction of ejected endpoints permits ejecting
// one more endpoint of the service of e. It is false if e is no longer in the table.
func (r *Router) mayEject(e *endpointRecord, now time.Time) bool {
	for _, st := range r.table.Load().services {
		ejected, contains := 0, false
		for _, other := range st.endpoints {
			contains = contains || other.counters == e.counters
			if other.counters.ejectedUntil.Load() > now.UnixNano() {
				ejected++
			}
		}
		if contains {
			return float64(ejected+1) <= r.ejection.maxFraction*float64(len(st.endpoints))
		}
	}
	return false
}
