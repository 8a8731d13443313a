package placement

import "time"

// Outcome is how the work at an endpoint ended.
type Outcome int

// The outcomes.
const (
	// Succeeded: a whole answer came.
	Succeeded Outcome = iota + 1
	// Failed: the endpoint answered with a failure of its own.
	Failed
	// Broken: the connection failed or no whole answer came.
	Broken
	// Unreachable: nothing could be sent.
	Unreachable
	// Full: the endpoint said that it has no room and did not run the request.
	Full
	// Misdirected: the endpoint is another one or has other weights.
	Misdirected
	// Stale: nothing was sent, since the endpoint or the placement is no longer
	// what it was when the request was placed.
	Stale
	// Cancelled: the caller left or its time was over.
	Cancelled
)

// Candidate is an endpoint that requests may be placed on.
type Candidate struct {
	ID      string
	Address string
	// Domain is the failure domain.
	Domain string
	// Slots is how many requests run there at a time.
	Slots int
	// MaxInFlight bounds the own requests there, since each needs a connection.
	MaxInFlight int
	// Started is the start of its process in Unix milliseconds, 0 if unknown.
	Started int64
	// Version is the version of the weights there, 0 for plain endpoints.
	Version int64
	// HeldUntil is the time from which it takes requests again, 0 while it does.
	HeldUntil time.Duration
	// Preferred marks an endpoint that this entry uses first. Each endpoint is the home
	// of few entries, so that what is on its way there is known where it matters.
	Preferred bool
	// SameRegion marks an endpoint of the own region.
	SameRegion bool
}

// Request is what the decision needs to know of a request.
type Request struct {
	// Arrived is when the caller first asked: one that was refused and came back
	// asked before the request was taken.
	Arrived time.Duration
	// Target is the time from Arrived within which the answer should begin, 0 for any
	// time before Deadline.
	Target time.Duration
	// Deadline is when the answer is of no use any more.
	Deadline time.Duration
	// Priority is the rank; 0 is the highest.
	Priority int
	// Prompt is the number of prompt tokens, 0 for plain endpoints.
	Prompt int
	// Exclude are endpoints that were tried.
	Exclude []string
	// PlacedBefore marks a request that was placed before and goes ahead of others.
	PlacedBefore bool
}

// Choice is the endpoint that a request is placed on.
type Choice struct {
	Candidate
	placed   time.Duration
	prompt   int
	first    time.Duration
	inFlight int
	unread   int
	began    bool
}

// unreadLeft returns the prompt tokens that still count as unread.
func (c *Choice) unreadLeft() int {
	if c.began {
		return 0
	}
	return c.prompt
}

// FirstEventDelay returns the predicted time from placement until the answer begins.
func (c Choice) FirstEventDelay() time.Duration { return c.first }

// InFlight returns the requests that the endpoint was believed to have.
func (c Choice) InFlight() int { return c.inFlight }

// PrefillTokens returns the prompt tokens that were believed to wait there.
func (c Choice) PrefillTokens() int { return c.unread }

// Reason tells why a request is refused.
type Reason string

// The reasons.
const (
	ReasonNoEndpoint Reason = "no endpoint can take it"
	ReasonHeld       Reason = "endpoints take none before it is of no use"
	ReasonOverload   Reason = "no room is expected in time"
	ReasonExpired    Reason = "no room came in time"
)

// Decision is the decision on a request.
type Decision struct {
	choice     Choice
	placed     bool
	reason     Reason
	retryAfter time.Duration
	waited     time.Duration
	queued     int
}

// Placed reports whether the request has an endpoint.
func (v Decision) Placed() bool { return v.placed }

// Choice returns the endpoint.
func (v Decision) Choice() Choice { return v.choice }

// Reason returns why the request is refused.
func (v Decision) Reason() Reason { return v.reason }

// RetryAfter returns when a refused caller may come back.
func (v Decision) RetryAfter() time.Duration { return v.retryAfter }

// Waited returns the time between the offer and the verdict.
func (v Decision) Waited() time.Duration { return v.waited }

// QueuePosition returns how many requests waited ahead when the request was offered.
func (v Decision) QueuePosition() int { return v.queued }

// Ticket is a request that waits for its verdict.
type Ticket struct {
	request Request
	offered time.Duration
	// punctual is the last moment at which a placement gives an answer within the
	// target; the wait ends at expires.
	punctual time.Duration
	expires  time.Duration
	queued   int
	verdict  chan Decision
}

// Decision delivers the decision once.
func (t *Ticket) Decision() <-chan Decision { return t.verdict }

// EndpointLoad is the own work at an endpoint.
type EndpointLoad struct {
	ID string
	Load
}
