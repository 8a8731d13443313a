package suspects

import "time"

// Kind is the way in which a request may be dispatched.
type Kind int

// The kinds of decision.
const (
	Allowed Kind = iota
	// Isolated allows the request only on an endpoint where no other suspect runs.
	Isolated
	// Quarantined refuses the request.
	Quarantined
	// Trial allows the request once, to find out whether its quarantine may end.
	Trial
)

// Decision is the decision on one request.
type Decision struct {
	kind       Kind
	retryAfter time.Duration
	incidents  int
	signature  []Key
}

// Kind returns the way in which the request may be dispatched.
func (d Decision) Kind() Kind { return d.kind }

// RetryAfter returns the remaining duration of the quarantine, after which the caller
// may retry.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// Incidents returns the number of incidents on which a quarantine by evidence rests.
func (d Decision) Incidents() int { return d.incidents }

// Signature returns the keys that requests in a quarantine by evidence have in common.
func (d Decision) Signature() []Key { return d.signature }
