package claims

import "time"

// Kind is the action that an entry takes for a keyed request.
type Kind int

// The decisions.
const (
	// Run allows the entry to dispatch the request once.
	Run Kind = iota + 1
	// Stored returns the stored response of the run.
	Stored
	// Pending ends this send as "unknown": another send of the key has no outcome yet.
	Pending
	// Unknown ends this send as "unknown": the request may have run, and no response
	// will become available.
	Unknown
	// NotRun ends this send as "not run".
	NotRun
	// KeyReuse rejects a key that was first used with a different request.
	KeyReuse
)

var kindNames = map[Kind]string{
	Run: "run", Stored: "stored", Pending: "pending",
	Unknown: "unknown", NotRun: "notRun", KeyReuse: "keyReuse",
}

// String returns the name of the decision.
func (k Kind) String() string { return kindNames[k] }

// Reason is the cause why a request was not dispatched or has no response.
type Reason string

// The reasons set by this package. A row may hold other reasons, reported by agents.
const (
	ReasonTableUnavailable Reason = "claims table unavailable"
	ReasonKeyInFuture      Reason = "key created in the future"
	ReasonKeyExpired       Reason = "key older than the retention"
	ReasonRequestMismatch  Reason = "key was used with another request"
	ReasonStillPending     Reason = "an earlier send is still pending"
	ReasonNoOutcome        Reason = "an earlier send left no outcome"
	ReasonResponseLost     Reason = "the request ran, its answer was not kept"
)

// Decision is the result of Begin.
type Decision struct {
	kind       Kind
	claim      Claim
	response   Response
	reason     Reason
	retryAfter time.Duration
}

// Kind returns the action to take.
func (d Decision) Kind() Kind { return d.kind }

// Claim returns the claim to pass to Finish; it is set only for Run.
func (d Decision) Claim() Claim { return d.claim }

// Response returns the stored response; it is set only for Stored.
func (d Decision) Response() Response { return d.response }

// Reason returns the cause why there is no response.
func (d Decision) Reason() Reason { return d.reason }

// RetryAfter returns the delay after which the caller may retry the key, 0 for never.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// Claim is the right to dispatch one request once.
type Claim struct {
	request Request
	version uint64
}

// Request returns the request that holds the claim.
func (c Claim) Request() Request { return c.request }

// Header is one header field of a response.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Response is a complete response to a request.
type Response struct {
	status  int
	headers []Header
	body    []byte
}

// NewResponse returns a response. It keeps the slices without copying them.
func NewResponse(status int, headers []Header, body []byte) Response {
	return Response{status: status, headers: headers, body: body}
}

// Status returns the HTTP status.
func (r Response) Status() int { return r.status }

// Headers returns the header fields.
func (r Response) Headers() []Header { return r.headers }

// Body returns the body.
func (r Response) Body() []byte { return r.body }

// Outcome is the final result of a claimed request.
type Outcome struct {
	state    state
	response Response
	reason   Reason
}

// Completed is the outcome of a request whose complete response was received.
func Completed(r Response) Outcome {
	return Outcome{state: stateCompleted, response: r}
}

// NeverRan is the outcome of a request that its agent refused, or that was never
// dispatched.
func NeverRan(reason Reason) Outcome {
	return Outcome{state: stateNotRun, reason: reason}
}

// MayHaveRun is the outcome of a request whose response was lost.
func MayHaveRun(reason Reason) Outcome {
	return Outcome{state: stateUnknown, reason: reason}
}
