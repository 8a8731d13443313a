package entry

import (
	"context"
	"fmt"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/primrosetally/primrosetally/internal/coordination/retry"
	"github.com/primrosetally/primrosetally/internal/coordination/routing"
	"github.com/primrosetally/primrosetally/internal/coordination/serving"
	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
	"github.com/primrosetally/primrosetally/internal/protocol/http1"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// recordTimeout bounds each access to the suspects registry before and after an
// attempt.
const recordTimeout = 500 * time.Millisecond

// resultKind classifies how an attempt ended.
type resultKind int

const (
	resultCompleted   resultKind = iota + 1
	resultRefused                // the agent reported that it did not run
	resultUnreachable            // no connection to the agent, so nothing was sent
	resultUnknown                // outcome unknown: it may have run
	resultCanceled               // canceled by the caller or past the deadline; it may have run
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	kind          resultKind
	reason        string
	retryAfter    time.Duration
	crashed       bool // the endpoint or its agent crashed during the attempt
	isolationBusy bool // refused because another suspect request runs at the endpoint
	overloaded    bool // refused because the endpoint is at its concurrency limit
	// digest identifies the weights that served the attempt, incarnation the agent process.
	digest      string
	incarnation uint64
	report      *nodev1.EndpointReport
}

func (r attemptResult) outcome() retry.Outcome {
	switch r.kind {
	case resultCompleted:
		return retry.Answered()
	case resultRefused, resultUnreachable:
		return retry.NeverRan(r.retryAfter)
	}
	return retry.MayHaveRun()
}

func (r attemptResult) health() routing.Outcome {
	switch {
	case r.kind == resultCompleted:
		return routing.Succeeded
	case r.kind == resultRefused:
		return routing.Refused
	case r.kind == resultUnreachable || r.crashed:
		return routing.Unreachable
	case r.kind == resultCanceled:
		return routing.Cancelled
	}
	return routing.Failed
}

// String returns the value of the result in metrics and spans.
func (r attemptResult) String() string {
	switch r.kind {
	case resultCompleted:
		return OutcomeAnswered
	case resultRefused, resultUnreachable:
		return OutcomeNotRun
	case resultUnknown:
		return OutcomeUnknown
	}
	return "abandoned"
}

// attempt runs one attempt in a trace span and counts its result.
func (e *Entry) attempt(ctx context.Context, q *request, choice routing.Choice, number uint32, isolated bool, out *responseWriter) attemptResult {
	ctx, span := e.node.Telemetry().Tracing().Start(ctx, telemetry.SpanAttempt,
		telemetry.AttributeInstance.String(choice.Name()),
		telemetry.AttributeAttempt.Int(int(number)))
	defer span.End()
	r := e.sendAttempt(ctx, q, choice, number, isolated, out)
	span.SetAttributes(telemetry.AttributeResult.String(r.String()))
	e.node.Telemetry().Metrics().Attempts.WithLabelValues(q.service.Name(), r.String()).Inc()
	return r
}

// sendAttempt sends the request to one agent and relays the response to the caller.
func (e *Entry) sendAttempt(ctx context.Context, q *request, choice routing.Choice, number uint32, isolated bool, out *responseWriter) attemptResult {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	streamCtx, cancel := context.WithCancel(httptrace.WithClientTrace(ctx, trace))
	defer cancel()
	request := e.attemptRequest(q, number, isolated)
	stream, err := e.node.Pool().Agent(choice.Address()).Attempt(streamCtx, connect.NewRequest(request))
	r := attemptResult{incarnation: choice.Incarnation()}
	if err == nil {
		defer stream.Close()
		e.relay(stream, request, out, &r)
		err = stream.Err()
	}
	if r.kind != 0 {
		return r
	}
	return r.classifyBroken(ctx, err, connected.Load())
}

// classifyBroken returns the result of an attempt whose stream ended without a final
// part. A connection that broke before the deadline counts as a crash, unless the agent
// rejected the attempt as invalid or as a duplicate.
func (r attemptResult) classifyBroken(ctx context.Context, err error, connected bool) attemptResult {
	switch {
	case !connected && ctx.Err() == nil:
		r.kind, r.reason = resultUnreachable, "agent not reached"
	case !connected:
		r.kind, r.reason = resultRefused, "no time left to reach an agent"
	case ctx.Err() != nil:
		r.kind, r.reason = resultCanceled, "no whole answer in time"
	default:
		r.kind, r.reason = resultUnknown, "connection to the agent broke"
		code := connect.CodeOf(err)
		r.crashed = code != connect.CodeInvalidArgument && code != connect.CodeAlreadyExists
	}
	return r
}

func (e *Entry) attemptRequest(q *request, number uint32, isolated bool) *nodev1.AttemptRequest {
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
	if isolated {
		m.Headers = append(m.Headers[:len(m.Headers):len(m.Headers)], &nodev1.Header{Name: suspects.Header, Value: "1"})
	}
	return m
}

// relay forwards the parts of an attempt's response to the caller. A part that belongs
// to another request or attempt is dropped and counted.
func (e *Entry) relay(stream *connect.ServerStreamForClient[nodev1.AttemptPart], m *nodev1.AttemptRequest, out *responseWriter, r *attemptResult) {
	for r.kind == 0 && stream.Receive() {
		part := stream.Msg()
		if part.GetRequestId() != m.GetRequestId() || part.GetAttempt() != m.GetAttempt() {
			e.node.Telemetry().Metrics().DroppedParts.Inc()
			continue
		}
		e.relayPart(part, out, r)
	}
}

func (e *Entry) relayPart(part *nodev1.AttemptPart, out *responseWriter, r *attemptResult) {
	switch v := part.GetPart().(type) {
	case *nodev1.AttemptPart_NotRun:
		r.kind, r.reason = resultRefused, v.NotRun.GetReason()
		r.retryAfter = time.Duration(v.NotRun.GetRetryAfterMs()) * time.Millisecond
		r.isolationBusy = v.NotRun.GetReason() == suspects.ReasonEndpointBusy
		r.overloaded = v.NotRun.GetReason() == serving.ErrBusy.Error()
		r.report = v.NotRun.GetReport()
	case *nodev1.AttemptPart_Started:
		if status := v.Started.GetStatus(); !http1.FinalStatus(int(status)) {
			r.kind, r.reason = resultUnknown, fmt.Sprintf("status %03d is none of a final answer", status)
			return
		}
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
		r.kind, r.reason = resultUnknown, v.Unknown.GetReason()
		r.crashed = v.Unknown.GetEndpointCrashed()
	}
}

// relayData forwards a part of the body. A part that arrives before the response header
// is dropped and counted.
func (e *Entry) relayData(data []byte, out *responseWriter, r *attemptResult) {
	if out.head == nil {
		e.node.Telemetry().Metrics().DroppedParts.Inc()
		return
	}
	if err := out.writeData(data); err != nil {
		r.kind, r.reason = resultCanceled, "caller is gone"
	}
}

// relayEnd completes the response, unless the caller has disconnected.
func (e *Entry) relayEnd(end *nodev1.AttemptFinished, out *responseWriter, r *attemptResult) {
	if out.head == nil {
		e.node.Telemetry().Metrics().DroppedParts.Inc()
		return
	}
	if r.kind != 0 {
		return
	}
	out.finish()
	r.kind, r.report = resultCompleted, end.GetReport()
}

func servedDigest(s *nodev1.AttemptStarted) string {
	d, err := digest.FromBytes(s.GetDigest())
	if err != nil || d.IsZero() {
		return ""
	}
	return d.String()
}
