package telemetry

import (
	"context"
	"io"
	"net/http"
	"os"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// ErrExporter is returned for an exporter of spans that cannot be set up.
var ErrExporter = eris.New("exporter of spans")

const instrumentation = "github.com/primrosetally/primrosetally"

// spanFileMode lets the operators' group read the file of spans.
const spanFileMode = 0o640

// Names of the spans, one for each hop of a request.
const (
	// SpanCaller spans a caller's call until its final answer.
	SpanCaller = "caller.request"
	// SpanEntry spans a request at its entry.
	SpanEntry = "entry.request"
	// SpanAttempt spans one attempt as its entry sees it.
	SpanAttempt = "entry.attempt"
	// SpanAgent spans one attempt at the agent.
	SpanAgent = "agent.attempt"
	// SpanEngine spans a request to the engine or plain service.
	SpanEngine = "engine.request"
)

// Tracing makes spans and carries their context across processes in the W3C
// headers traceparent and tracestate. Without an exporter it makes none, but
// passes on the context that came in.
type Tracing struct {
	tracer     trace.Tracer
	propagator propagation.TraceContext
	provider   *sdktrace.TracerProvider // nil without an exporter
	file       io.Closer                // nil without a file
}

type tracingConfig struct {
	exporter sdktrace.SpanExporter
	file     io.Closer
	sync     bool
	err      error
}

// TracingOption chooses where spans go.
type TracingOption func(*tracingConfig)

// WithWriter writes spans to w, one JSON object each.
func WithWriter(w io.Writer) TracingOption {
	return func(c *tracingConfig) { c.exporter, c.err = stdouttrace.New(stdouttrace.WithWriter(w)) }
}

// WithFile appends spans to a file, one JSON object each.
func WithFile(path string) TracingOption {
	return func(c *tracingConfig) {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, spanFileMode)
		if err != nil {
			c.err = err
			return
		}
		c.file = f
		WithWriter(f)(c)
	}
}

// WithOTLP sends spans to a collector by OTLP over HTTP.
func WithOTLP(endpointURL string) TracingOption {
	return func(c *tracingConfig) {
		// New does not connect, so it needs no context of the caller's.
		c.exporter, c.err = otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(endpointURL))
	}
}

// WithExporter hands every span to the exporter as soon as it ends, for tests.
func WithExporter(e sdktrace.SpanExporter) TracingOption {
	return func(c *tracingConfig) {
		c.exporter = e
		c.sync = true
	}
}

// NewTracing returns the tracing of the named process. The error is
// ErrExporter.
func NewTracing(process string, options ...TracingOption) (*Tracing, error) {
	var c tracingConfig
	for _, o := range options {
		o(&c)
	}
	if c.err != nil {
		return nil, eris.Wrapf(ErrExporter, "%v", c.err)
	}
	if c.exporter == nil {
		return noTracing(), nil
	}
	export := sdktrace.WithBatcher(c.exporter)
	if c.sync {
		export = sdktrace.WithSyncer(c.exporter)
	}
	provider := sdktrace.NewTracerProvider(export, sdktrace.WithResource(
		resource.NewSchemaless(attribute.String("service.name", "primrosetally"), attribute.String("service.instance.id", process)),
	))
	return &Tracing{tracer: provider.Tracer(instrumentation), provider: provider, file: c.file}, nil
}

func noTracing() *Tracing {
	return &Tracing{tracer: noop.NewTracerProvider().Tracer(instrumentation)}
}

// Start begins a span. The caller ends it.
func (t *Tracing) Start(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name, trace.WithAttributes(attributes...))
}

// StartServer begins a span for what came in with the headers. The caller ends
// it.
func (t *Tracing) StartServer(ctx context.Context, name string, h http.Header, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	ctx = t.propagator.Extract(ctx, propagation.HeaderCarrier(h))
	return t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attributes...))
}

// StartClient begins a span for what goes out with the headers, which it
// changes. The caller ends it.
func (t *Tracing) StartClient(ctx context.Context, name string, h http.Header, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	ctx, span := t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attributes...))
	t.propagator.Inject(ctx, propagation.HeaderCarrier(h))
	return ctx, span
}

// Handler spans every request that next serves.
func (t *Tracing) Handler(name string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, span := t.StartServer(r.Context(), name, r.Header)
		// A handler that cuts its connection panics; the span ends all the same.
		defer span.End()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (t *Tracing) shutdown(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.file == nil {
		return err
	}
	if closed := t.file.Close(); err == nil {
		err = closed
	}
	return err
}

// IsTraceHeader reports whether the header carries trace context, which each
// hop writes anew.
func IsTraceHeader(name string) bool {
	name = http.CanonicalHeaderKey(name)
	return name == "Traceparent" || name == "Tracestate"
}
