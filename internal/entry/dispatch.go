package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// Bounds of the retries.
const (
	maxAttempts   = 4
	retryPause    = 20 * time.Millisecond
	noEndpointGap = time.Second
)

// result is how one attempt ended.
type result int

const (
	resultAnswered result = iota
	resultNotRun
	resultUnknown
	resultBroken // the head of the answer was passed on, but not the whole
)

// String returns the result as metrics and spans name it.
func (r result) String() string {
	switch r {
	case resultAnswered:
		return OutcomeAnswered
	case resultNotRun:
		return OutcomeNotRun
	case resultUnknown:
		return OutcomeUnknown
	default:
		return "broken"
	}
}

// dispatch runs the request on an endpoint and gives the caller one final
// answer. A non-idempotent request is tried again only after "not run".
func (e *Entry) dispatch(ctx context.Context, q *request, out *answerWriter) {
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	ran := false
	for attempt := uint32(1); attempt <= maxAttempts; attempt++ {
		target, ok := e.choose(q)
		if !ok {
			break
		}
		switch e.observedAttempt(ctx, q, target, attempt, out) {
		case resultAnswered:
			return
		case resultBroken:
			out.unknown("answer broke off")
		case resultUnknown:
			ran = true
			if !q.idempotent {
				out.unknown("endpoint gave no whole answer")
				return
			}
		}
		if !pause(ctx, retryPause) {
			break
		}
	}
	if ran {
		out.unknown("no attempt gave a whole answer")
		return
	}
	out.notRun(http.StatusServiceUnavailable, "no endpoint admitted the request", noEndpointGap)
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// choose returns the less loaded of two endpoints taken at random.
func (e *Entry) choose(q *request) (endpoint, bool) {
	var list []endpoint
	for _, p := range e.reports.of(q.service.Name()) {
		if p.admits() {
			list = append(list, p)
		}
	}
	if len(list) == 0 {
		return endpoint{}, false
	}
	a := list[rand.IntN(len(list))]
	b := list[rand.IntN(len(list))]
	if b.report.GetInFlight() < a.report.GetInFlight() {
		return b, true
	}
	return a, true
}

// observedAttempt makes one attempt within a span and counts its result.
func (e *Entry) observedAttempt(ctx context.Context, q *request, p endpoint, number uint32, out *answerWriter) result {
	ctx, span := e.node.Telemetry().Tracing().Start(ctx, telemetry.SpanAttempt,
		telemetry.AttributeInstance.String(p.member.Name()),
		telemetry.AttributeAttempt.Int(int(number)))
	defer span.End()
	r := e.attempt(ctx, q, p, number, out)
	span.SetAttributes(telemetry.AttributeResult.String(r.String()))
	e.node.Telemetry().Metrics().Attempts.WithLabelValues(q.service.Name(), r.String()).Inc()
	return r
}

// attempt sends the request to one agent and passes the answer on.
func (e *Entry) attempt(ctx context.Context, q *request, p endpoint, number uint32, out *answerWriter) result {
	message := &nodev1.AttemptRequest{
		From:           e.node.From(),
		RequestId:      q.id,
		Attempt:        number,
		Service:        q.service.Name(),
		Account:        q.account,
		Method:         q.method,
		Path:           q.path,
		Headers:        q.header,
		Body:           q.body,
		TimeLeftMs:     uint32(time.Until(q.deadline).Milliseconds()),
		Idempotent:     q.idempotent,
		IdempotencyKey: q.key,
	}
	stream, err := e.node.Pool().Agent(p.member.Address()).Attempt(ctx, connect.NewRequest(message))
	if err != nil {
		return resultUnknown
	}
	defer stream.Close()
	return relay(stream, q, number, out)
}

// relay passes the parts of an attempt's answer on to the caller.
func relay(stream *connect.ServerStreamForClient[nodev1.AttemptPart], q *request, number uint32, out *answerWriter) result {
	begun := false
	for stream.Receive() {
		part := stream.Msg()
		if part.GetRequestId() != q.id || part.GetAttempt() != number {
			continue
		}
		switch v := part.GetPart().(type) {
		case *nodev1.AttemptPart_NotRun:
			return resultNotRun
		case *nodev1.AttemptPart_Started:
			begun = true
			out.start(v.Started)
		case *nodev1.AttemptPart_Data:
			if err := out.data(v.Data); err != nil {
				return resultBroken
			}
		case *nodev1.AttemptPart_Finished:
			out.finish()
			return resultAnswered
		case *nodev1.AttemptPart_Unknown:
			return broken(begun)
		}
	}
	return broken(begun)
}

func broken(begun bool) result {
	if begun {
		return resultBroken
	}
	return resultUnknown
}
