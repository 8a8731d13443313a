package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/coordination/retry"
	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
)

// minAttemptTime is the minimum time left for another attempt, whatever is known of the
// endpoints. The caller could not use the response to a request that is sent with less.
const minAttemptTime = 60 * time.Millisecond

// result is the result of one attempt.
type result struct {
	outcome placement.Outcome
	reason  string
	// cause is how the response ended where the reason is the limit of the attempt.
	cause string
	// notRun is set if it is proven that the endpoint did not start to process the
	// request.
	notRun bool
	// responded is set if the final response was written.
	responded bool
	// errorResponse is the endpoint's error response, kept for the case that no later
	// attempt gets a response.
	errorResponse *bufferedResponse
	// brokenOff is set if the endpoint broke off the attempt, rather than the caller or
	// the deadline.
	brokenOff bool
	// timeOver is set if the endpoint ended its response as the time of the request ended.
	timeOver bool
}

// bufferedResponse is a complete response of an endpoint.
type bufferedResponse struct {
	status int
	header http.Header
	body   blocks
}

// sequence decides after each attempt of a request whether another one follows.
type sequence struct {
	gateway       *Gateway
	budget        *retry.Budget
	attempts      *retry.Sequence
	mayHaveRun    bool         // an attempt may have run at an endpoint
	denial        retry.Denial // why no further attempt follows
	errorResponse *bufferedResponse
}

func (g *Gateway) newSequence(q *request) *sequence {
	return &sequence{
		gateway: g,
		budget:  q.traffic.budget,
		attempts: q.traffic.budget.Start(
			retry.WithIdempotent(q.route.Repeatable()),
			retry.WithMinTime(minAttemptTime)),
	}
}

// retryOrFinish reports whether another attempt follows. If not, it writes the final
// response.
func (s *sequence) retryOrFinish(ctx context.Context, q *request, r result, out *responseWriter) bool {
	promise := q.limit.takePromise()
	defer promise.Refund()
	if r.responded || out.aborted {
		return false
	}
	if !r.notRun {
		s.mayHaveRun = true
	}
	if r.errorResponse != nil {
		s.errorResponse = r.errorResponse
	}
	if ctx.Err() != nil || r.timeOver {
		s.timedOut(ctx, q, r, out)
		return false
	}
	if out.resumable(q) && s.mayRetry(q, r, promise) {
		q.resumed = out.headerWritten
		return true
	}
	s.finish(out, q, r.reason, s.retryAfter(q, r), "denied", s.denial)
	return false
}

// mayRetry reports whether the request may be sent once more. An attempt that this entry ended
// goes on with its promise, which may be nil.
func (s *sequence) mayRetry(q *request, r result, promise *retry.Promise) bool {
	limit := max(q.route.MaxAttempts(), 1)
	if r.notRun {
		// Only endpoints that run the request count against the limit.
		limit++
	}
	if len(q.tried) >= limit {
		s.denial = retry.DeniedAttempts
		return false
	}
	outcome := retry.MayHaveRun()
	if r.notRun {
		outcome = retry.NeverRan(0)
	}
	if r.outcome == placement.Unreachable || r.outcome == placement.Stale {
		// Nothing was sent to an endpoint, so this does not count as a retry.
		return q.remaining(s.gateway.now()) > minAttemptTime && q.attempts < maxAttempts
	}
	remaining := q.remaining(s.gateway.now())
	d := retry.Decision{}
	if r.outcome == placement.Withdrawn && promise != nil {
		d = s.attempts.Resume(promise, remaining)
	} else {
		promise.Refund()
		d = s.attempts.Decide(outcome, remaining)
	}
	s.denial = d.Denial()
	return d.Kind() == retry.Retry
}

// minTime returns the least time with which the next attempt is of use. While the request
// can be refused as not run, that is the time of a response, but at most half of the time
// that the request had: some responses are faster. Once it may have run, no refusal is
// better than another attempt.
func (s *sequence) minTime(q *request) time.Duration {
	enough := minAttemptTime
	if !s.mayHaveRun {
		enough = max(enough, q.traffic.placement.ResponseTime(q.head.PromptTokens))
	}
	if q.attempts > 0 {
		return min(enough, max((q.deadline-q.arrived)/2, minAttemptTime))
	}
	return min(enough, max(q.remaining(s.gateway.now())/2, 0))
}

// maxAttempts bounds the connection attempts for one request.
const maxAttempts = 5

// retryAfter returns the Retry-After for a request that no endpoint accepted.
func (s *sequence) retryAfter(q *request, r result) time.Duration {
	opens := q.traffic.placement.HoldRemaining(s.gateway.now())
	if r.outcome == placement.Full {
		return opens + fullRetryAfter
	}
	return opens + unavailableRetryAfter
}

// fullRetryAfter is the time after which a full endpoint may have capacity again.
const fullRetryAfter = 400 * time.Millisecond

// finish writes the final response after the last attempt: the endpoint's own error,
// "not run" if that is proven, or an error that leaves open whether the request ran.
func (s *sequence) finish(out *responseWriter, q *request, reason string, retryAfter time.Duration, args ...any) {
	switch {
	case out.headerWritten:
		out.abort(q, reason, args...)
	case s.errorResponse != nil:
		out.forward(q, s.errorResponse)
	case s.mayHaveRun:
		out.fail(q, http.StatusBadGateway, reason, args...)
	default:
		out.refuseRetryable(q, reason, retryAfter, args...)
	}
}

// notPlaced ends a request that no endpoint was chosen for.
func (s *sequence) notPlaced(out *responseWriter, q *request, v placement.Decision) {
	if d := s.gateway.suspicion(q); d.Kind() == suspects.Quarantined {
		s.refuseSuspect(out, q, d)
		return
	}
	if s.gateway.drain.hasEnded() || s.gateway.mustNotStart(q, out) {
		s.finish(out, q, reasonStopping, stoppingRetryAfter)
		return
	}
	s.finish(out, q, string(v.Reason()), v.RetryAfter(), "queued", v.QueuePosition(), "waited", v.Waited())
}

// refuseSuspect ends a request that is in quarantine. It is not recorded among the refusals
// that callers are expected to repeat: these are to be placed soon.
func (s *sequence) refuseSuspect(out *responseWriter, q *request, d suspects.Decision) {
	s.gateway.metrics.QuarantinedRequests.WithLabelValues(q.service.Name()).Inc()
	args := []any{"incidents", d.Incidents(), "keys", d.Signature(), "parts", q.head.SharedParts}
	if out.headerWritten || s.errorResponse != nil || s.mayHaveRun {
		s.finish(out, q, reasonQuarantined, 0, args...)
		return
	}
	out.refuse(q.head.ID, http.StatusServiceUnavailable, reasonQuarantined, d.RetryAfter(), args...)
}

// timedOut ends a request whose caller disconnected or whose deadline passed, or that a
// planned stop ends.
func (s *sequence) timedOut(ctx context.Context, q *request, r result, out *responseWriter) {
	reason, retryAfter := reasonTimeOver, unavailableRetryAfter
	if q.shortened || s.gateway.drain.hasEnded() {
		reason, retryAfter = reasonStopping, stoppingRetryAfter
	}
	switch {
	case !isTimeout(ctx) && !r.timeOver && !s.gateway.drain.hasEnded():
		out.callerGone(q, r.reason)
	case out.headerWritten:
		out.abort(q, reason)
	case s.errorResponse != nil:
		out.forward(q, s.errorResponse)
	case s.mayHaveRun:
		out.fail(q, http.StatusGatewayTimeout, reason)
	default:
		out.refuseRetryable(q, reason, retryAfter)
	}
}
