package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
	"github.com/primrosetally/primrosetally/internal/coordination/retry"
)

// minAttemptTime is the least time left for which another attempt is made: a
// request that is sent with less is of no use to its caller.
const minAttemptTime = 60 * time.Millisecond

// result is how one attempt ended.
type result struct {
	outcome placement.Outcome
	reason  string
	// notRun proves that the endpoint did not begin to work on the request.
	notRun bool
	// answered tells that the final answer was given.
	answered bool
	// failure is the endpoint's own failed answer, kept in case no other comes.
	failure *failure
	crashed bool
}

// failure is a whole answer with a failing status.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// sequence decides what follows each attempt of a request.
type sequence struct {
	gateway  *Gateway
	budget   *retry.Budget
	attempts *retry.Sequence
	mayRun   bool // an attempt may have run
	kept     *failure
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

// again reports whether another attempt follows, and gives the final answer where
// none does.
func (s *sequence) again(ctx context.Context, q *request, r result, out *answerWriter) bool {
	if r.answered || out.aborted {
		return false
	}
	if !r.notRun {
		s.mayRun = true
	}
	if r.failure != nil {
		s.kept = r.failure
	}
	if r.crashed {
		s.gateway.traffic.suspects.crashed(q.mark, s.gateway.now())
	}
	if ctx.Err() != nil {
		s.timedOut(ctx, q, r, out)
		return false
	}
	if !s.allowed(q, r) {
		s.give(out, q, r.reason, s.backAfter(q, r))
		return false
	}
	return true
}

// allowed reports whether the request may be sent once more.
func (s *sequence) allowed(q *request, r result) bool {
	limit := max(q.route.MaxAttempts(), 1)
	if r.notRun {
		// The bound is on endpoints that run the request.
		limit++
	}
	if len(q.sent) >= limit {
		return false
	}
	outcome := retry.MayHaveRun()
	if r.notRun {
		outcome = retry.NeverRan(0)
	}
	if r.outcome == placement.Unreachable || r.outcome == placement.Stale {
		// Nothing reached an endpoint, so no repeat is counted.
		return q.left(s.gateway.now()) > minAttemptTime && q.attempts < maxAttempts
	}
	return s.attempts.Decide(outcome, q.left(s.gateway.now())).Kind() == retry.Retry
}

// maxAttempts bounds the connections that are tried for one request.
const maxAttempts = 5

// backAfter returns when an endpoint may take the request, after one did not.
func (s *sequence) backAfter(q *request, r result) time.Duration {
	opens := q.traffic.placement.HoldRemaining(s.gateway.now())
	if r.outcome == placement.Full {
		return opens + refusedRetryAfter
	}
	return opens + unknownRetryAfter
}

// refusedRetryAfter is when room may have come after an endpoint was full.
const refusedRetryAfter = 400 * time.Millisecond

// give gives the final answer after the last attempt: the endpoint's own failure,
// "not run" where that is proven, or a failure that promises nothing.
func (s *sequence) give(out *answerWriter, q *request, reason string, retryAfter time.Duration, args ...any) {
	switch {
	case out.begun:
		out.abort(q, reason)
	case s.kept != nil:
		out.pass(q, s.kept)
	case s.mayRun:
		out.fail(q, http.StatusBadGateway, reason, args...)
	default:
		out.turnAway(q, reason, retryAfter, args...)
	}
}

// timedOut ends a request whose caller left or whose time is over.
func (s *sequence) timedOut(ctx context.Context, q *request, r result, out *answerWriter) {
	switch {
	case !isTimeout(ctx):
		out.left(q, r.reason)
	case out.begun:
		out.abort(q, "time is over")
	case s.mayRun:
		out.fail(q, http.StatusGatewayTimeout, "time is over")
	default:
		out.turnAway(q, "time is over", unknownRetryAfter)
	}
}
