package entry

import (
	"context"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/primrosetally/primrosetally/internal/coordination/limits"
	"github.com/primrosetally/primrosetally/internal/coordination/retry"
	"github.com/primrosetally/primrosetally/internal/coordination/routing"
	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

const (
	// capacityRetryDelay is the delay before another try while all endpoints are at
	// capacity.
	capacityRetryDelay = 10 * time.Millisecond
	// maxBusyRetries bounds the retries of one request after refusals by busy endpoints.
	// These retries don't consume the retry budget: the admission controller admits
	// fewer requests instead.
	maxBusyRetries = 100
	// minAttemptTime is the minimum time left before the deadline for another attempt.
	minAttemptTime = 5 * time.Millisecond
)

// conclusion is the combined result of all attempts of a request.
type conclusion struct {
	kind       retry.Kind
	reason     string
	retryAfter time.Duration
}

// dispatch runs the request and writes one final response. Before the first attempt the
// request must pass the admission controller of its service and, if it is keyed and not
// idempotent, acquire its claim.
func (e *Entry) dispatch(ctx context.Context, q *request, out *responseWriter) {
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	st := e.traffic.service(q.snapshot, q.service.Name())
	ticket := st.admission.Submit(limits.NewRequest(q.account, q.deadline, limits.WithPriority(int(q.priority))))
	decision := awaitDecision(ctx, st.admission, ticket)
	if !decision.Admitted() {
		out.writeNotRun(refusalStatus(decision.Reason()), string(decision.Reason()), decision.RetryAfter())
		return
	}
	defer st.admission.Release(ticket)
	if q.keyed() {
		e.dispatchKeyed(ctx, q, out, st)
		return
	}
	out.conclude(e.attempts(ctx, q, out, st))
}

func awaitDecision(ctx context.Context, controller *limits.AdmissionController, t *limits.Ticket) limits.Decision {
	select {
	case v := <-t.Decision():
		return v
	case <-ctx.Done():
		controller.Cancel(t)
		return limits.Decision{}
	}
}

func refusalStatus(reason limits.Reason) int {
	if reason == limits.ReasonRateLimit || reason == limits.ReasonQueueFull {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// conclude writes the final response, unless a complete response was already written.
func (a *responseWriter) conclude(c conclusion) {
	switch c.kind {
	case retry.NotRun:
		a.writeProvenNotRun(http.StatusServiceUnavailable, c.reason, c.retryAfter)
	case retry.Unknown:
		a.writeUnknown(c.reason, c.retryAfter)
	}
}

// attempts makes attempts until one returns a complete response, which out has then
// written, or until the retry policy allows no further attempt.
func (e *Entry) attempts(ctx context.Context, q *request, out *responseWriter, st *serviceTraffic) conclusion {
	sequence := st.budget.Start(retry.WithIdempotent(q.idempotent), retry.WithMinTime(minAttemptTime))
	var tried []string
	busyRetries := 0
	for number := uint32(1); ; number++ {
		decision := e.admitSuspect(ctx, q)
		if decision.Kind() == suspects.Quarantined {
			return concluded(sequence.GiveUp(decision.RetryAfter()), "request crashed endpoints and is quarantined")
		}
		isolated := decision.Kind() == suspects.Isolated
		choice, err := e.pick(ctx, q, st, isolated, tried)
		if err != nil {
			return concluded(sequence.GiveUp(routing.RetryAfter(err)), err.Error())
		}
		r := e.attempt(ctx, q, choice, number, isolated, out)
		e.recordResult(ctx, q, choice, r, isolated)
		if r.overloaded {
			st.admission.RecordOverload()
			busyRetries++
		}
		if (r.isolationBusy || r.overloaded) && busyRetries <= maxBusyRetries && sleep(ctx, capacityRetryDelay) {
			continue
		}
		if r.kind != resultCompleted && !out.discard() {
			return conclusion{kind: retry.Unknown, reason: r.reason}
		}
		delay := e.retryDelay(r)
		d := sequence.Decide(r.outcome(), time.Until(q.deadline)-delay)
		if d.Kind() != retry.Retry {
			return concluded(d, r.reason)
		}
		if !sleep(ctx, d.Backoff()+delay) {
			return concluded(sequence.GiveUp(0), r.reason)
		}
		tried = append(tried, choice.Name())
	}
}

func (e *Entry) admitSuspect(ctx context.Context, q *request) suspects.Decision {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return e.traffic.suspects.Admit(ctx, q.fingerprint, q.idempotent)
}

// concluded returns the conclusion for a final retry decision.
func concluded(d retry.Decision, reason string) conclusion {
	return conclusion{kind: d.Kind(), reason: reason, retryAfter: d.RetryAfter()}
}

// retryDelay returns the minimum delay before a retry. After a crash it is the time until
// the other entries have read the new suspect from the table.
func (e *Entry) retryDelay(r attemptResult) time.Duration {
	if r.crashed {
		return e.traffic.suspects.PropagationDelay()
	}
	return 0
}

// pick selects an endpoint and waits while all endpoints are at capacity. A suspect
// request is sent to the endpoint that ranks first for its fingerprint, once no other
// suspect request of this entry runs there.
func (e *Entry) pick(ctx context.Context, q *request, st *serviceTraffic, isolated bool, tried []string) (routing.Choice, error) {
	prefix := q.prefix
	if isolated {
		prefix = binary.LittleEndian.Uint64(q.fingerprint[:8])
	}
	options := []routing.RequestOption{routing.WithPrefix(prefix)}
	full := false
	preferred := routing.NewRequest(q.service.Name(), append(options, routing.WithExclude(tried...))...)
	for {
		choice, err := e.traffic.router.Pick(preferred)
		if err != nil && len(tried) > 0 {
			choice, err = e.traffic.router.Pick(routing.NewRequest(q.service.Name(), options...))
		}
		if err == nil && isolated && !e.traffic.isolation.TryAcquire(choice.Name()) {
			e.traffic.router.Done(choice, routing.Cancelled)
		} else if err == nil || !routing.Saturated(err) {
			return choice, err
		}
		if err != nil && !full {
			full = true
			st.admission.RecordOverload()
		}
		if !sleep(ctx, capacityRetryDelay) {
			return choice, routing.ErrNoEndpoint
		}
	}
}

// recordResult records the result of an attempt with the router and the suspects
// registry.
func (e *Entry) recordResult(ctx context.Context, q *request, choice routing.Choice, r attemptResult, isolated bool) {
	if isolated {
		e.traffic.isolation.Release(choice.Name())
	}
	e.traffic.router.Done(choice, r.health())
	if r.report != nil {
		e.traffic.recordReport(r.report)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	switch {
	case r.kind == resultCompleted:
		e.traffic.suspects.RecordCompletion(ctx, q.fingerprint, r.digest)
	case r.crashed:
		crash := suspects.NewCrash(choice.Name(), r.incarnation, r.digest)
		if err := e.traffic.suspects.RecordCrash(ctx, crash, []digest.Digest{q.fingerprint}); err != nil {
			telemetry.SuspectNotWritten.Log(ctx, e.node.Logger(), "error", err)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
