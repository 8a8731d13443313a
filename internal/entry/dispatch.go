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
	// roomPause is the wait for room at an endpoint while all are full.
	roomPause = 10 * time.Millisecond
	// maxBusyTries bounds the refusals of busy endpoints that one request takes
	// before it counts as refused. They are not paid from the budget of retries:
	// the gate lets fewer requests in instead.
	maxBusyTries = 100
	// minAttemptTime is the least time left for which another attempt is made.
	minAttemptTime = 5 * time.Millisecond
)

// conclusion is how all attempts of a request ended together.
type conclusion struct {
	kind       retry.Kind
	reason     string
	retryAfter time.Duration
}

// dispatch gives the caller one final answer. Between arrival and the first
// attempt stand the gate of the service and, for a keyed request that is not
// idempotent, its claim.
func (e *Entry) dispatch(ctx context.Context, q *request, out *answerWriter) {
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	st := e.traffic.service(q.snapshot, q.service.Name())
	ticket := st.gate.Submit(limits.NewRequest(q.account, q.deadline, limits.WithPriority(int(q.priority))))
	verdict := awaitVerdict(ctx, st.gate, ticket)
	if !verdict.Admitted() {
		out.notRun(refusalStatus(verdict.Reason()), string(verdict.Reason()), verdict.RetryAfter())
		return
	}
	defer st.gate.Release(ticket)
	if q.keyed() {
		e.dispatchKeyed(ctx, q, out, st)
		return
	}
	out.conclude(e.attempts(ctx, q, out, st))
}

func awaitVerdict(ctx context.Context, gate *limits.AdmissionController, t *limits.Ticket) limits.Decision {
	select {
	case v := <-t.Decision():
		return v
	case <-ctx.Done():
		gate.Cancel(t)
		return limits.Decision{}
	}
}

func refusalStatus(reason limits.Reason) int {
	if reason == limits.ReasonRateLimit || reason == limits.ReasonQueueFull {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// conclude gives the final answer, unless the whole answer is out.
func (a *answerWriter) conclude(c conclusion) {
	switch c.kind {
	case retry.NotRun:
		a.provenNotRun(http.StatusServiceUnavailable, c.reason, c.retryAfter)
	case retry.Unknown:
		a.unknown(c.reason, c.retryAfter)
	}
}

// attempts makes attempts until one gives the whole answer, or until no further
// one may be made. The answer is then with out.
func (e *Entry) attempts(ctx context.Context, q *request, out *answerWriter, st *serviceTraffic) conclusion {
	sequence := st.budget.Start(retry.WithIdempotent(q.idempotent), retry.WithMinTime(minAttemptTime))
	var tried []string
	busyTries := 0
	for number := uint32(1); ; number++ {
		verdict := e.admitSuspect(ctx, q)
		if verdict.Kind() == suspects.Quarantined {
			return concluded(sequence.GiveUp(verdict.RetryAfter()), "request crashed endpoints and is quarantined")
		}
		alone := verdict.Kind() == suspects.Isolated
		choice, err := e.pick(ctx, q, st, alone, tried)
		if err != nil {
			return concluded(sequence.GiveUp(routing.RetryAfter(err)), err.Error())
		}
		r := e.attempt(ctx, q, choice, number, alone, out)
		e.account(ctx, q, choice, r, alone)
		if r.busy {
			st.gate.RecordOverload()
			busyTries++
		}
		if (r.occupied || r.busy) && busyTries <= maxBusyTries && pause(ctx, roomPause) {
			continue
		}
		if r.kind != resultAnswered && !out.discard() {
			return conclusion{kind: retry.Unknown, reason: r.reason}
		}
		delay := e.delayAfter(r)
		d := sequence.Decide(r.outcome(), time.Until(q.deadline)-delay)
		if d.Kind() != retry.Retry {
			return concluded(d, r.reason)
		}
		if !pause(ctx, d.Backoff()+delay) {
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

// concluded turns a final decision into a conclusion.
func concluded(d retry.Decision, reason string) conclusion {
	return conclusion{kind: d.Kind(), reason: reason, retryAfter: d.RetryAfter()}
}

// delayAfter holds a retry after a crash back until the other entries know the
// request too.
func (e *Entry) delayAfter(r result) time.Duration {
	if r.crashed {
		return e.traffic.suspects.PropagationDelay()
	}
	return 0
}

// pick chooses an endpoint, and waits for room while all are full. A suspect
// goes to the endpoint that ranks first for it, where no other suspect of this
// entry runs.
func (e *Entry) pick(ctx context.Context, q *request, st *serviceTraffic, alone bool, tried []string) (routing.Choice, error) {
	prefix := q.prefix
	if alone {
		prefix = binary.LittleEndian.Uint64(q.fingerprint[:8])
	}
	options := []routing.RequestOption{routing.WithPrefix(prefix)}
	full := false
	wanted := routing.NewRequest(q.service.Name(), append(options, routing.WithExclude(tried...))...)
	for {
		choice, err := e.traffic.router.Pick(wanted)
		if err != nil && len(tried) > 0 {
			choice, err = e.traffic.router.Pick(routing.NewRequest(q.service.Name(), options...))
		}
		if err == nil && alone && !e.traffic.alone.TryAcquire(choice.Name()) {
			e.traffic.router.Done(choice, routing.Cancelled)
		} else if err == nil || !routing.Saturated(err) {
			return choice, err
		}
		if err != nil && !full {
			full = true
			st.gate.RecordOverload()
		}
		if !pause(ctx, roomPause) {
			return choice, routing.ErrNoEndpoint
		}
	}
}

// account tells the router and the registry of suspects how an attempt ended.
func (e *Entry) account(ctx context.Context, q *request, choice routing.Choice, r result, alone bool) {
	if alone {
		e.traffic.alone.Release(choice.Name())
	}
	e.traffic.router.Done(choice, r.health())
	if r.report != nil {
		e.traffic.observe(r.report)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	switch {
	case r.kind == resultAnswered:
		e.traffic.suspects.RecordCompletion(ctx, q.fingerprint, r.digest)
	case r.crashed:
		crash := suspects.NewCrash(choice.Name(), r.incarnation, r.digest)
		if err := e.traffic.suspects.RecordCrash(ctx, crash, []digest.Digest{q.fingerprint}); err != nil {
			telemetry.SuspectNotWritten.Log(ctx, e.node.Logger(), "error", err)
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
