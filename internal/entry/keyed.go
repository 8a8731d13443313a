package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/claims"
	"github.com/primrosetally/primrosetally/internal/coordination/retry"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

const (
	// claimTimeout bounds the table's part before the dispatch.
	claimTimeout = time.Second
	// outcomeTimeout bounds the write of the outcome, outcomeWait how long the
	// caller's answer waits for it.
	outcomeTimeout = 5 * time.Second
	outcomeWait    = 250 * time.Millisecond
)

// dispatchKeyed runs a keyed request that is not idempotent under its claim. The
// run goes on when the caller goes away, since the key's outcome is kept.
func (e *Entry) dispatchKeyed(ctx context.Context, q *request, out *answerWriter, st *serviceTraffic) {
	d := e.beginClaim(ctx, q)
	switch d.Kind() {
	case claims.Run:
	case claims.Stored:
		out.stored(d.Response())
		return
	case claims.NotRun:
		out.provenNotRun(http.StatusServiceUnavailable, string(d.Reason()), d.RetryAfter())
		return
	case claims.KeyReuse:
		out.provenNotRun(http.StatusUnprocessableEntity, string(d.Reason()), 0)
		return
	default:
		out.unknown(string(d.Reason()), d.RetryAfter())
		return
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
	defer cancel()
	out.keep = true
	c := e.attempts(ctx, q, out, st)
	e.finishClaim(d.Claim(), c.outcome(out))
	out.conclude(c)
}

func (e *Entry) beginClaim(ctx context.Context, q *request) claims.Decision {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return e.traffic.claims.Begin(ctx, q.claim)
}

// outcome is what the claims row is to hold.
func (c conclusion) outcome(out *answerWriter) claims.Outcome {
	switch c.kind {
	case retry.Complete:
		if answer, whole := out.answer(); whole {
			return claims.Completed(answer)
		}
		return claims.MayHaveRun(claims.ReasonResponseLost)
	case retry.NotRun:
		return claims.NeverRan(claims.Reason(c.reason))
	}
	return claims.MayHaveRun(claims.Reason(c.reason))
}

// finishClaim writes the outcome of a claim. The caller's answer does not wait
// for a slow table.
func (e *Entry) finishClaim(claim claims.Claim, o claims.Outcome) {
	written := make(chan struct{})
	e.inFlight.Go(func() {
		defer close(written)
		ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
		defer cancel()
		if err := e.traffic.claims.Finish(ctx, claim, o); err != nil {
			telemetry.OutcomeNotWritten.Log(ctx, e.node.Logger(), "request", claim.Request().ID(), "error", err)
		}
	})
	timer := time.NewTimer(outcomeWait)
	defer timer.Stop()
	select {
	case <-written:
	case <-timer.C:
	}
}
