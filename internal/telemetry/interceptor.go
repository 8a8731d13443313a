package telemetry

import (
	"context"
	"path"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Attributes of spans.
const (
	// AttributeInstance names the instance that an attempt goes to.
	AttributeInstance = attribute.Key("primrosetally.instance")
	// AttributeAttempt is the number of an attempt, from 1.
	AttributeAttempt = attribute.Key("primrosetally.attempt")
	// AttributeResult tells how an attempt ended.
	AttributeResult = attribute.Key("primrosetally.result")
)

// Interceptor carries trace context in the headers of connect calls between the
// system's processes and spans the calls that belong to a trace. Control traffic
// belongs to none and makes no spans.
type Interceptor struct {
	tracing *Tracing
	names   map[string]string
}

var _ connect.Interceptor = (*Interceptor)(nil)

// NewInterceptor returns an interceptor for clients and handlers. The names of
// its spans at the handler are given by procedure; the last part of the
// procedure is taken for others.
func (t *Tracing) NewInterceptor(names map[string]string) *Interceptor {
	return &Interceptor{tracing: t, names: names}
}

// WrapUnary implements connect.Interceptor.
func (i *Interceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		carrier := propagation.HeaderCarrier(r.Header())
		if r.Spec().IsClient {
			i.tracing.propagator.Inject(ctx, carrier)
			return next(ctx, r)
		}
		ctx, span := i.serve(ctx, r.Spec(), carrier)
		defer span.End()
		return next(ctx, r)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (i *Interceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		i.tracing.propagator.Inject(ctx, propagation.HeaderCarrier(conn.RequestHeader()))
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (i *Interceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		ctx, span := i.serve(ctx, conn.Spec(), propagation.HeaderCarrier(conn.RequestHeader()))
		defer span.End()
		return next(ctx, conn)
	}
}

// serve begins a span if the call belongs to a trace.
func (i *Interceptor) serve(ctx context.Context, spec connect.Spec, carrier propagation.HeaderCarrier) (context.Context, trace.Span) {
	ctx = i.tracing.propagator.Extract(ctx, carrier)
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ctx, trace.SpanFromContext(ctx)
	}
	name, ok := i.names[spec.Procedure]
	if !ok {
		name = path.Base(spec.Procedure)
	}
	return i.tracing.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
}
