package placement

import (
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/eligibility"
)

// Outcome is how a request ended at an endpoint.
type Outcome int

// The outcomes.
const (
	// Succeeded: the complete response was received.
	Succeeded Outcome = iota + 1
	// Failed: the endpoint responded with an error of its own.
	Failed
	// Broken: the connection failed or the response was incomplete.
	Broken
	// Unreachable: nothing could be sent.
	Unreachable
	// Full: the endpoint reported that it has no capacity and did not run the request.
	Full
	// Misdirected: the endpoint is another one than expected or has other weights.
	Misdirected
	// Stale: nothing was sent, since the endpoint or the placement had changed after
	// the request was placed.
	Stale
	// Cancelled: the caller disconnected or the deadline passed.
	Cancelled
	// Withdrawn: the attempt was ended because it may not begin, or go on, any longer.
	Withdrawn
)

// Candidate is an endpoint that requests may be placed on.
type Candidate struct {
	ID      string
	Address string
	// Domain is the failure domain.
	Domain string
	// Region is the region of the failure domain, empty if unknown.
	Region string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// MaxInFlight limits the entry's own requests in flight there, since each needs a
	// connection. 0 means no limit.
	MaxInFlight int
	// Started is the start of its process in Unix milliseconds, 0 if unknown.
	Started int64
	// Version is the version of its weights, 0 for plain endpoints.
	Version int64
	// BeginBefore is the time before which requests have to begin there, 0 for any time.
	BeginBefore time.Duration
	// HeldUntil is the time from which it takes requests again, 0 if it is not held.
	HeldUntil time.Duration
	// Limited marks an endpoint that has stated a rate limit. Each request to it needs a
	// permit. RateLimit is the limit in requests a second of all entries together.
	Limited   bool
	RateLimit float64
	// Preferred marks an endpoint that this entry uses first. Each endpoint is preferred by
	// few entries, so that these have accurate counts of the requests in flight there.
	Preferred bool
	// SameRegion marks an endpoint in the own region.
	SameRegion bool
	// Distance is the time of a way to another failure domain and back, 0 for an endpoint in
	// the own one and where it is not known. Requests leave for such an endpoint only where
	// that pays.
	Distance time.Duration
}

// Request holds the properties of a request that placement depends on.
type Request struct {
	// Arrived is when the caller first sent the request. If the caller was refused and
	// has retried, that is before this request was received.
	Arrived time.Duration
	// Target is the time from Arrived within which the response should begin, 0 for any
	// time before Deadline.
	Target time.Duration
	// Deadline is the time after which the response is of no use.
	Deadline time.Duration
	// MinTime is the least time before Deadline with which a placement is of use. The
	// request is refused when less is left. 0 means that it may be placed at any time.
	MinTime time.Duration
	// Priority is the priority class; 0 is the highest.
	Priority int
	// Prompt is the number of prompt tokens, 0 for plain endpoints.
	Prompt int
	// Account is the name of the client account.
	Account string
	// Regions is where it may be served.
	Regions eligibility.Restriction
	// Exclude lists the IDs of endpoints that were already tried.
	Exclude []string
	// PlacedBefore marks a request that was placed before. It precedes all others.
	PlacedBefore bool
	// Begun marks a request whose response has begun. It can't be refused any more, so that it
	// waits until its deadline whatever is expected. Version is that of the weights of the last
	// attempt: an endpoint that was tried may take the request again with a newer one.
	Begun   bool
	Version int64
}

// Choice is the endpoint that a request is placed on.
type Choice struct {
	Candidate
	placed          time.Duration
	prompt          int
	firstEventDelay time.Duration
	inFlight        int
	prefillTokens   int
	began           bool
	permitUntil     time.Duration
}

// PermitUntil returns the end of the permit for an endpoint with a rate limit, 0 if the
// endpoint had none when it was chosen.
func (c Choice) PermitUntil() time.Duration { return c.permitUntil }

// pendingPrefill returns the number of prompt tokens that still count as waiting for
// prefill.
func (c *Choice) pendingPrefill() int {
	if c.began {
		return 0
	}
	return c.prompt
}

// FirstEventDelay returns the predicted time from placement to the first event of the
// response.
func (c Choice) FirstEventDelay() time.Duration { return c.firstEventDelay }

// InFlight returns the recorded number of requests at the endpoint before the placement.
func (c Choice) InFlight() int { return c.inFlight }

// PrefillTokens returns the recorded number of prompt tokens waiting for prefill there.
func (c Choice) PrefillTokens() int { return c.prefillTokens }

// Reason is why a request is refused.
type Reason string

// The reasons.
const (
	ReasonNoEndpoint  Reason = "no endpoint can take it"
	ReasonRegions     Reason = "no endpoint in the allowed regions can take it"
	ReasonHeld        Reason = "endpoints take none before it is of no use"
	ReasonOverload    Reason = "no room is expected in time"
	ReasonExpired     Reason = "no room came in time"
	ReasonRateLimited Reason = "rate limits of the endpoints leave no room in time"
)

// Decision is the decision on a request: the endpoint that it is placed on, or the reason
// of its refusal.
type Decision struct {
	choice     Choice
	placed     bool
	reason     Reason
	retryAfter time.Duration
	waited     time.Duration
	ahead      int
}

// Placed reports whether the request was placed on an endpoint.
func (v Decision) Placed() bool { return v.placed }

// Choice returns the endpoint that the request was placed on.
func (v Decision) Choice() Choice { return v.choice }

// Reason returns why the request is refused.
func (v Decision) Reason() Reason { return v.reason }

// RetryAfter returns the time after which a refused caller may retry.
func (v Decision) RetryAfter() time.Duration { return v.retryAfter }

// Waited returns the time between the submission and the decision.
func (v Decision) Waited() time.Duration { return v.waited }

// QueuePosition returns the number of requests that were ahead in the queue on submission.
func (v Decision) QueuePosition() int { return v.ahead }

// Ticket is a submitted request. It delivers the decision.
type Ticket struct {
	request     Request
	submittedAt time.Duration
	// onTimeUntil is the latest time of a placement that is expected to meet the target.
	// The wait ends at expiresAt.
	onTimeUntil time.Duration
	expiresAt   time.Duration
	ahead       int
	decision    chan Decision
}

// waited returns the time since the submission. Callers read the clock before they hold the
// lock of the pool, so that a decision may seem to come before it.
func (t *Ticket) waited(now time.Duration) time.Duration { return max(now-t.submittedAt, 0) }

// Decision returns a channel that delivers the decision once.
func (t *Ticket) Decision() <-chan Decision { return t.decision }

// EndpointLoad is the entry's own load on an endpoint.
type EndpointLoad struct {
	ID string
	Load
}
