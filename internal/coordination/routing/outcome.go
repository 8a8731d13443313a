package routing

import "time"

// Outcome is how an attempt ended, as far as the endpoint's health is concerned.
type Outcome int

// The outcomes.
const (
	// Succeeded is any whole answer of the endpoint.
	Succeeded Outcome = iota + 1
	// Refused is an attempt that the agent did not admit.
	Refused
	// Failed is an attempt that reached the endpoint and got no whole answer.
	Failed
	// Unreachable is an attempt that did not reach the agent.
	Unreachable
	// Cancelled is an attempt that the caller gave up.
	Cancelled
)

// ejection says when an endpoint is left out for a while.
type ejection struct {
	failures    int64
	base        time.Duration
	longest     time.Duration
	maxShare    float64
	maxDoubling int64
}

var defaultEjection = ejection{
	failures:    3,
	base:        2 * time.Second,
	longest:     30 * time.Second,
	maxShare:    0.5,
	maxDoubling: 4,
}

// WithEjection sets the number of failures in a row that eject an endpoint, for
// how long the first ejection lasts, and the share of a service's endpoints in
// the subset that may be ejected at once.
func WithEjection(failures int, base time.Duration, maxShare float64) Option {
	return func(r *Router) {
		r.ejection.failures = int64(failures)
		r.ejection.base = base
		r.ejection.maxShare = maxShare
	}
}

// Done gives a choice back.
func (r *Router) Done(choice Choice, outcome Outcome) {
	e := choice.endpoint
	e.counters.inFlight.Add(-1)
	switch outcome {
	case Succeeded:
		e.counters.failures.Store(0)
		e.counters.ejections.Store(0)
	case Failed:
		r.countFailure(e, e.counters.failures.Add(1))
	case Unreachable:
		r.countFailure(e, e.counters.failures.Add(r.ejection.failures))
	}
}

// countFailure ejects an endpoint after enough failures in a row, unless too
// many of its service are ejected already: then the fault is not the endpoint's.
func (r *Router) countFailure(e *endpoint, failures int64) {
	if failures < r.ejection.failures {
		return
	}
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.counters.ejectedUntil.Load() > now.UnixNano() || !r.mayEject(e, now) {
		return
	}
	times := min(e.counters.ejections.Add(1)-1, r.ejection.maxDoubling)
	until := now.Add(min(r.ejection.base<<times, r.ejection.longest)).UnixNano()
	e.counters.failures.Store(0)
	e.counters.startedAt.Store(until)
	e.counters.ejectedUntil.Store(until)
}

func (r *Router) mayEject(e *endpoint, now time.Time) bool {
	for _, st := range r.table.Load().services {
		ejected, own := 0, false
		for _, other := range st.endpoints {
			own = own || other.counters == e.counters
			if other.counters.ejectedUntil.Load() > now.UnixNano() {
				ejected++
			}
		}
		if own {
			return float64(ejected+1) <= r.ejection.maxShare*float64(len(st.endpoints))
		}
	}
	return false
}
