package entry

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/primrosetally/primrosetally/internal/coordination/retry"
	"github.com/primrosetally/primrosetally/internal/coordination/routing"
	"github.com/primrosetally/primrosetally/internal/coordination/serving"
	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// recordTimeout bounds the writes that follow an attempt.
const recordTimeout = 500 * time.Millisecond

// resultKind is how one attempt ended.
type resultKind int

const (
	resultAnswered    resultKind = iota + 1
	resultRefused                // the agent said that it did not run
	resultUnreachable            // nothing was sent to the agent
	resultLost                   // it may have run
	resultAbandoned              // its caller is gone or its time is over; it may have run
)

// result is one attempt's end.
type result struct {
	kind       resultKind
	reason     string
	retryAfter time.Duration
	crashed    bool // the endpoint or its agent died under the attempt
	occupied   bool // refused because another suspect runs there
	busy       bool // refused because the endpoint is at its limit
	// digest and incarnation tell which weights and which start of the agent.
	digest      string
	incarnation uint64
	report      *nodev1.EndpointReport
}

func (r result) outcome() retry.Outcome {
	switch r.kind {
	case resultAnswered:
		return retry.Answered()
	case resultRefused, resultUnreachable:
		return retry.NeverRan(r.retryAfter)
	}
	return retry.MayHaveRun()
}

func (r result) health() routing.Outcome {
	switch {
	case r.kind == resultAnswered:
		return routing.Succeeded
	case r.kind == resultRefused:
		return routing.Refused
	case r.kind == resultUnreachable || r.crashed:
		return routing.Unreachable
	case r.kind == resultAbandoned:
		return routing.Cancelled
	}
	return routing.Failed
}

// String returns the result as metrics and spans name it.
func (r result) String() string {
	switch r.kind {
	case resultAnswered:
		return OutcomeAnswered
	case resultRefused, resultUnreachable:
		return OutcomeNotRun
	case resultLost:
		return OutcomeUnknown
	}
	return "abandoned"
}

// attempt makes one attempt within a span and counts its result.
func (e *Entry) attempt(ctx context.Context, q *request, choice routing.Choice, number uint32, alone bool, out *answerWriter) result {
	ctx, span := e.node.Telemetry().Tracing().Start(ctx, telemetry.SpanAttempt,
		telemetry.AttributeInstance.String(choice.Name()),
		telemetry.AttributeAttempt.Int(int(number)))
	defer span.End()
	r := e.sendAttempt(ctx, q, choice, number, alone, out)
	span.SetAttributes(telemetry.AttributeResult.String(r.String()))
	e.node.Telemetry().Metrics().Attempts.WithLabelValues(q.service.Name(), r.String()).Inc()
	return r
}

// sendAttempt sends the request to one agent and passes the answer on.
func (e *Entry) sendAttempt(ctx context.Context, q *request, choice routing.Choice, number uint32, alone bool, out *answerWriter) result {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	streamCtx, cancel := context.WithCancel(httptrace.WithClientTrace(ctx, trace))
	defer cancel()
	message := e.attemptMessage(q, number, alone)
	stream, err := e.node.Pool().Agent(choice.Address()).Attempt(streamCtx, connect.NewRequest(message))
	r := result{incarnation: choice.Incarnation()}
	if err == nil {
		defer stream.Close()
		e.relay(stream, message, out, &r)
		err = stream.Err()
	}
	if r.kind != 0 {
		return r
	}
	return r.broken(ctx, err, connected.Load())
}

// broken tells what an attempt means that ended without a final part. A
// connection that broke while the attempt had time left is a crash.
func (r result) broken(ctx context.Context, err error, connected bool) result {
	switch {
	case !connected && ctx.Err() == nil:
		r.kind, r.reason = resultUnreachable, "agent not reached"
	case !connected:
		r.kind, r.reason = resultRefused, "no time left to reach an agent"
	case ctx.Err() != nil:
		r.kind, r.reason = resultAbandoned, "no whole answer in time"
	default:
		r.kind, r.reason = resultLost, "connection to the agent broke"
		code := connect.CodeOf(err)
		r.crashed = code != connect.CodeInvalidArgument && code != connect.CodeAlreadyExists
	}
	return r
}

func (e *Entry) attemptMessage(q *request, number uint32, alone bool) *nodev1.AttemptRequest {
	m := &nodev1.AttemptRequest{
		From:           e.node.From(),
		RequestId:      q.id,
		Attempt:        number,
		Service:        q.service.Name(),
		Account:        q.account,
		Method:         q.method,
		Path:           q.path,
		Headers:        q.header,
		Body:           q.body,
		TimeLeftMs:     uint32(max(time.Until(q.deadline).Milliseconds(), 1)),
		Priority:       q.priority,
		Idempotent:     q.idempotent,
		IdempotencyKey: q.key,
	}
	if alone {
		m.Headers = append(m.Headers[:len(m.Headers):len(m.Headers)], &nodev1.Header{Name: suspects.Header, Value: "1"})
	}
	return m
}

// relay passes the parts of an attempt's answer on to the caller. A part that
// fits no open attempt is dropped and counted.
func (e *Entry) relay(stream *connect.ServerStreamForClient[nodev1.AttemptPart], m *nodev1.AttemptRequest, out *answerWriter, r *result) {
	for r.kind == 0 && stream.Receive() {
		part := stream.Msg()
		if part.GetRequestId() != m.GetRequestId() || part.GetAttempt() != m.GetAttempt() {
			e.node.Telemetry().Metrics().DroppedParts.Inc()
			continue
		}
		e.relayPart(part, out, r)
	}
}

func (e *Entry) relayPart(part *nodev1.AttemptPart, out *answerWriter, r *result) {
	switch v := part.GetPart().(type) {
	case *nodev1.AttemptPart_NotRun:
		r.kind, r.reason = resultRefused, v.NotRun.GetReason()
		r.retryAfter = time.Duration(v.NotRun.GetRetryAfterMs()) * time.Millisecond
		r.occupied = v.NotRun.GetReason() == suspects.ReasonEndpointBusy
		r.busy = v.NotRun.GetReason() == serving.ErrBusy.Error()
		r.report = v.NotRun.GetReport()
	case *nodev1.AttemptPart_Started:
		r.digest = servedDigest(v.Started)
		out.begin(v.Started)
		e.relayData(v.Started.GetData(), out, r)
		if end := v.Started.GetFinished(); end != nil {
			e.relayEnd(end, out, r)
		}
	case *nodev1.AttemptPart_Data:
		e.relayData(v.Data, out, r)
	case *nodev1.AttemptPart_Finished:
		e.relayEnd(v.Finished, out, r)
	case *nodev1.AttemptPart_Unknown:
		r.kind, r.reason = resultLost, v.Unknown.GetReason()
		r.crashed = v.Unknown.GetEndpointCrashed()
	}
}

// relayData passes a part of the body on. One without a head before it is dropped.
func (e *Entry) relayData(data []byte, out *answerWriter, r *result) {
	if out.head == nil {
		e.node.Telemetry().Metrics().DroppedParts.Inc()
		return
	}
	if err := out.data(data); err != nil {
		r.kind, r.reason = resultAbandoned, "caller is gone"
	}
}

// relayEnd ends a whole answer, unless its caller is gone.
func (e *Entry) relayEnd(end *nodev1.AttemptFinished, out *answerWriter, r *result) {
	if out.head == nil {
		e.node.Telemetry().Metrics().DroppedParts.Inc()
		return
	}
	if r.kind != 0 {
		return
	}
	out.finish()
	r.kind, r.report = resultAnswered, end.GetReport()
}

func servedDigest(s *nodev1.AttemptStarted) string {
	d, err := digest.FromBytes(s.GetDigest())
	if err != nil || d.IsZero() {
		return ""
	}
	return d.String()
}
