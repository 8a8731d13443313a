package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
)

// An endpoint stops work when the time left that it was given ends, whoever has set it: the
// caller, the timeout of the route, a planned stop, the bound of a version, or what an earlier
// attempt has left. It may then end its response in good order. Unless a length shows that
// the response is whole, such an end counts as a cut: the caller of a response that is broken
// off can ask again, the caller of one that looks whole can't know that it has to.
//
// A stream that may be resumed is sought further at another endpoint while the request has
// time: if that has no further event, the stream is whole.

// endTolerance is how much sooner than here the time left may end by the clock of the
// endpoint, which gets it in whole milliseconds; clockRateDivisor adds the part of the time
// left by which that clock may be fast.
const (
	endTolerance     = 5 * time.Millisecond
	clockRateDivisor = 1000
)

// pastEndpointDeadline reports whether the time left that the endpoint of the last attempt was
// given has ended, or may have ended by its clock.
func (q *request) pastEndpointDeadline(now time.Duration) bool {
	given := q.endpointDeadline - q.sentAt
	return now >= q.endpointDeadline-endTolerance-given/clockRateDivisor
}

// mayBeCut reports whether a response that ends now in good order may have been cut there by
// its endpoint, which stops work at the end of its time left. One that says that this time is
// over was made then.
func (q *request) mayBeCut(now time.Duration, r *http.Response) bool {
	hasEnd := r.ContentLength >= 0 || q.method == http.MethodHead || r.StatusCode == http.StatusGatewayTimeout
	return q.pastEndpointDeadline(now) && !hasEnd
}

// endedWithTime returns the result of an attempt whose endpoint ended its response in good
// order as its time left ended. That is no fault of the endpoint.
func (g *Gateway) endedWithTime(ctx context.Context, q *request) result {
	r := g.interrupted(ctx, q, errEndedWithTime, false)
	if r.outcome == placement.Broken {
		r.outcome = placement.Cancelled
		r.timeOver = true
	}
	return r
}

// recordEnd records that an endpoint has ended a stream in good order as its time left ended.
// A response that ends with its connection may as well have been cut.
func (a *responseWriter) recordEnd(r *http.Response) {
	if !unframed(r) {
		a.endedWith = a.events
	}
}

// mayBeWhole reports whether the events that the caller has are all that an endpoint sent
// before it ended the stream in good order.
func (a *responseWriter) mayBeWhole() bool {
	return a.headerWritten && a.endedWith > 0 && a.endedWith == a.events
}
