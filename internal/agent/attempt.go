package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/primrosetally/primrosetally/internal/coordination/serving"
	"github.com/primrosetally/primrosetally/internal/coordination/suspects"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/internal/transport/engines"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// Delays after which a refused attempt may be retried at this endpoint.
const (
	retryAfterBusy   = 100 * time.Millisecond
	retryAfterSwitch = time.Second
)

// service returns the configuration of the endpoint's service, and false if no
// configuration is in force or it lacks the service.
func (a *Agent) service() (configtext.Service, bool) {
	s := a.node.Snapshot()
	if s == nil {
		return configtext.Service{}, false
	}
	return s.Config().Service(a.node.Self().Service())
}

// attemptStream sends the parts of the response to one attempt.
type attemptStream struct {
	request *nodev1.AttemptRequest
	stream  *connect.ServerStream[nodev1.AttemptPart]
}

func (s attemptStream) send(p *nodev1.AttemptPart) error {
	p.RequestId = s.request.GetRequestId()
	p.Attempt = s.request.GetAttempt()
	return s.stream.Send(p)
}

func (s attemptStream) notRun(reason string, retryAfter time.Duration, r *nodev1.EndpointReport) error {
	return s.send(&nodev1.AttemptPart{Part: &nodev1.AttemptPart_NotRun{NotRun: &nodev1.AttemptNotRun{
		Reason:       reason,
		RetryAfterMs: uint32(retryAfter.Milliseconds()),
		Report:       r,
	}}})
}

func (s attemptStream) unknown(reason string, crashed bool) error {
	return s.send(&nodev1.AttemptPart{Part: &nodev1.AttemptPart_Unknown{Unknown: &nodev1.AttemptUnknown{
		Reason:          reason,
		EndpointCrashed: crashed,
	}}})
}

// Attempt runs or refuses one attempt of a client request.
func (h handler) Attempt(ctx context.Context, r *connect.Request[nodev1.AttemptRequest], stream *connect.ServerStream[nodev1.AttemptPart]) error {
	a := h.agent
	out := attemptStream{request: r.Msg, stream: stream}
	if _, ok := a.service(); !ok || r.Msg.GetService() != a.node.Self().Service() {
		return out.notRun("endpoint does not serve "+r.Msg.GetService(), retryAfterSwitch, a.report())
	}
	pinned, err := digest.FromBytes(r.Msg.GetPinnedDigest())
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	if !a.attempts.record(r.Msg) {
		return connect.NewError(connect.CodeAlreadyExists, errDuplicateAttempt)
	}
	admission, err := a.controller.Admit(pinned)
	if err != nil {
		a.node.Telemetry().Metrics().Admissions.WithLabelValues(telemetry.DecisionRefused).Inc()
		return out.notRun(err.Error(), retryAfter(err), a.report())
	}
	a.node.Telemetry().Metrics().Admissions.WithLabelValues(telemetry.DecisionAdmitted).Inc()
	defer admission.Done()
	permit, ok := a.limiter.Acquire()
	if !ok {
		return out.notRun(serving.ErrBusy.Error(), a.limiter.RetryAfter(), a.report())
	}
	var latency time.Duration
	defer func() { a.limiter.Release(permit, latency) }()
	if removeSuspectHeader(r.Msg) {
		if !a.suspects.TryAcquire(a.node.Self().Name()) {
			return out.notRun(suspects.ReasonEndpointBusy, retryAfterBusy, a.report())
		}
		defer a.suspects.Release(a.node.Self().Name())
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.Msg.GetTimeLeftMs())*time.Millisecond)
	defer cancel()
	return a.run(ctx, out, admission, &latency)
}

func retryAfter(err error) time.Duration {
	if errors.Is(err, serving.ErrBusy) {
		return retryAfterBusy
	}
	return retryAfterSwitch
}

// run sends the request to the endpoint once and streams the response back.
func (a *Agent) run(ctx context.Context, out attemptStream, admission *serving.Admission, latency *time.Duration) error {
	traceHeader := http.Header{}
	ctx, span := a.node.Telemetry().Tracing().StartClient(ctx, telemetry.SpanEngine, traceHeader)
	defer span.End()
	start := time.Now()
	incarnation := a.incarnation.Load()
	response, err := a.engine.Do(ctx, engineRequest(out.request, traceHeader))
	if errors.Is(err, engines.ErrUnavailable) {
		return out.notRun("endpoint does not accept connections", retryAfterSwitch, a.report())
	}
	if err != nil {
		return out.unknown("endpoint gave no answer", a.crashed(ctx, incarnation))
	}
	*latency = time.Since(start)
	defer response.Body().Close()
	if response.Digest() != admission.Digest() {
		a.controller.MarkDown()
		a.setFault("endpoint answered from other weights than admitted")
		return out.unknown("endpoint answered from other weights", false)
	}
	return a.streamResponse(ctx, out, response, startedPart(response, admission.Digest()), incarnation)
}

// streamResponse streams the head and the body of the response. The head is sent with
// the first bytes of the body, and a short response is a single message. The finished
// part is sent only if the endpoint completed the body.
func (a *Agent) streamResponse(ctx context.Context, out attemptStream, response *engines.Response, head *nodev1.AttemptStarted, incarnation uint64) error {
	buf := make([]byte, responseMessageBytes)
	n, err := response.Body().Read(buf)
	head.Data = buf[:n]
	if err == io.EOF {
		head.Finished = a.finishedPart()
	}
	if sent := out.send(&nodev1.AttemptPart{Part: &nodev1.AttemptPart_Started{Started: head}}); sent != nil {
		return sent
	}
	if err == io.EOF {
		return nil
	}
	for err == nil {
		n, err = response.Body().Read(buf)
		if n == 0 {
			continue
		}
		if sent := out.send(&nodev1.AttemptPart{Part: &nodev1.AttemptPart_Data{Data: buf[:n]}}); sent != nil {
			return sent
		}
	}
	if err != io.EOF {
		return out.unknown("answer of the endpoint ended early", a.crashed(ctx, incarnation))
	}
	return out.send(&nodev1.AttemptPart{Part: &nodev1.AttemptPart_Finished{Finished: a.finishedPart()}})
}

func (a *Agent) finishedPart() *nodev1.AttemptFinished {
	return &nodev1.AttemptFinished{Report: a.report()}
}

// crashed reports, after a failed response, whether the endpoint is unreachable or has
// another incarnation than the one that the attempt was sent to. A canceled call or an
// expired deadline does not indicate a crash.
func (a *Agent) crashed(ctx context.Context, incarnation uint64) bool {
	if ctx.Err() != nil {
		return false
	}
	probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), engineTimeout)
	defer cancel()
	state, err := a.engine.State(probeCtx)
	return err != nil || state.Incarnation() != incarnation
}

func engineRequest(r *nodev1.AttemptRequest, traceHeader http.Header) engines.Request {
	options := []engines.RequestOption{engines.WithBody(r.GetBody())}
	for _, h := range r.GetHeaders() {
		options = append(options, engines.WithHeader(h.GetName(), h.GetValue()))
	}
	for name := range traceHeader {
		options = append(options, engines.WithHeader(name, traceHeader.Get(name)))
	}
	return engines.NewRequest(r.GetMethod(), r.GetPath(), options...)
}

func startedPart(response *engines.Response, served digest.Digest) *nodev1.AttemptStarted {
	start := &nodev1.AttemptStarted{Status: uint32(response.Status()), Digest: served.Bytes()}
	for name, values := range response.Header() {
		for _, v := range values {
			start.Headers = append(start.Headers, &nodev1.Header{Name: name, Value: v})
		}
	}
	return start
}
