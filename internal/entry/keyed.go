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
	// claimTimeout bounds the acquisition of a claim in the table.
	claimTimeout = time.Second
	// outcomeTimeout bounds the write of the outcome to the table; outcomeWait bounds
	// how long the response is delayed for that write.
	outcomeTimeout = 5 * time.Second
	outcomeWait    = 250 * time.Millisecond
)

// dispatchKeyed runs a keyed, non-idempotent request under its claim. The run continues
// after the caller has disconnected, because the outcome is stored under the key.
func (e *Entry) dispatchKeyed(ctx context.Context, q *request, out *responseWriter, st *serviceTraffic) {
	d := e.beginClaim(ctx, q)
	switch d.Kind() {
	case claims.Run:
	case claims.Stored:
		out.writeStored(d.Response())
		return
	case claims.NotRun:
		out.writeProvenNotRun(http.StatusServiceUnavailable, string(d.Reason()), d.RetryAfter())
		return
	case claims.KeyReuse:
		out.writeProvenNotRun(http.StatusUnprocessableEntity, string(d.Reason()), 0)
		return
	default:
		out.writeUnknown(string(d.Reason()), d.RetryAfter())
		return
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
	defer cancel()
	out.record = true
	c := e.attempts(ctx, q, out, st)
	e.finishClaim(d.Claim(), c.claimOutcome(out))
	out.conclude(c)
}

func (e *Entry) beginClaim(ctx context.Context, q *request) claims.Decision {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return e.traffic.claims.Begin(ctx, q.claim)
}

// claimOutcome returns the outcome to store in the claims row.
func (c conclusion) claimOutcome(out *responseWriter) claims.Outcome {
	switch c.kind {
	case retry.Complete:
		if response, complete := out.claimResponse(); complete {
			return claims.Completed(response)
		}
		return claims.MayHaveRun(claims.ReasonResponseLost)
	case retry.NotRun:
		return claims.NeverRan(claims.Reason(c.reason))
	}
	return claims.MayHaveRun(claims.Reason(c.reason))
}

// finishClaim writes the outcome of a claim in the background and waits for the write at
// most outcomeWait, so that a slow table does not delay the response.
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
