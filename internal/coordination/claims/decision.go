package claims

import "time"

// Kind tells what the entry has to do with a keyed request.
type Kind int

// The decisions.
const (
	// Run lets the entry dispatch the request once.
	Run Kind = iota + 1
	// Stored gives the answer of the one run.
	Stored
	// Pending is a final "unknown": another send of the key has no outcome yet.
	Pending
	// Unknown is a final "unknown": the request may have run, and no answer will
	// come.
	Unknown
	// NotRun is a final "not run".
	NotRun
	// KeyReuse refuses a key that was first used with another request.
	KeyReuse
)

var kindNames = map[Kind]string{
	Run: "run", Stored: "stored", Pending: "pending",
	Unknown: "unknown", NotRun: "notRun", KeyReuse: "keyReuse",
}

// String returns the name of the decision.
func (k Kind) String() string { return kindNames[k] }

// Reason says why a request was not dispatched or has no answer.
type Reason string

// The reasons. A row may hold others, given by agents.
const (
	ReasonTableUnavailable    Reason = "claims table unavailable"
	ReasonKeyInFuture  Reason = "key created in the future"
	ReasonKeyExpired   Reason = "key older than the retention"
	ReasonRequestMismatch    Reason = "key was used with another request"
	ReasonStillPending Reason = "an earlier send is still pending"
	ReasonNoOutcome    Reason = "an earlier send left no outcome"
	ReasonResponseLost   Reason = "the request ran, its answer was not kept"
)

// Decision is what Begin decides.
type Decision struct {
	kind       Kind
	claim      Claim
	answer     Response
	reason     Reason
	retryAfter time.Duration
}

// Kind returns the decision.
func (d Decision) Kind() Kind { return d.kind }

// Claim returns the claim to be finished after Run.
func (d Decision) Claim() Claim { return d.claim }

// Response returns the answer of the one run after Stored.
func (d Decision) Response() Response { return d.answer }

// Reason returns why there is no answer.
func (d Decision) Reason() Reason { return d.reason }

// RetryAfter returns when the caller may come back with the key, 0 for never.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// Claim is the right to dispatch one request once.
type Claim struct {
	request Request
	version uint64
}

// Request returns the request that holds the claim.
func (c Claim) Request() Request { return c.request }

// Header is one header field of an answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Response is a whole answer.
type Response struct {
	status  int
	headers []Header
	body    []byte
}

// NewResponse returns an answer.
func NewResponse(status int, headers []Header, body []byte) Response {
	return Response{status: status, headers: headers, body: body}
}

// Status returns the HTTP status.
func (a Response) Status() int { return a.status }

// Headers returns the header fields.
func (a Response) Headers() []Header { return a.headers }

// Body returns the body.
func (a Response) Body() []byte { return a.body }

// Outcome is how a claimed request ended.
type Outcome struct {
	state  state
	answer Response
	reason Reason
}

// Completed is the outcome of a request that gave its whole answer.
func Completed(a Response) Outcome {
	return Outcome{state: stateAnswered, answer: a}
}

// NeverRan is the outcome of a request that its agent refused, or that was
// never dispatched.
func NeverRan(reason Reason) Outcome {
	return Outcome{state: stateNotRun, reason: reason}
}

// MayHaveRun is the outcome of a request whose answer was lost.
func MayHaveRun(reason Reason) Outcome {
	return Outcome{state: stateUnknown, reason: reason}
}
