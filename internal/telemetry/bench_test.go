package telemetry_test

import (
	"context"
	"net/http"
	"testing"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// discard is an exporter that drops every span.
type discard struct{}

func (discard) ExportSpans(context.Context, []sdktrace.ReadOnlySpan) error { return nil }

func (discard) Shutdown(context.Context) error { return nil }

// BenchmarkHop measures what tracing costs one hop: a context read from the
// headers, a server's span, a client's span and a context written.
func BenchmarkHop(b *testing.B) {
	recording, err := telemetry.NewTracing("entry-1", telemetry.WithExporter(discard{}))
	if err != nil {
		b.Fatal(err)
	}
	silent, err := telemetry.NewTracing("entry-1")
	if err != nil {
		b.Fatal(err)
	}
	cases := []struct {
		name    string
		tracing *telemetry.Tracing
	}{
		{"without exporter", silent},
		{"with exporter", recording},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			in, out := http.Header{"Traceparent": {parent}}, http.Header{}
			for b.Loop() {
				ctx, server := c.tracing.StartServer(context.Background(), telemetry.SpanEntry, in)
				_, client := c.tracing.StartClient(ctx, telemetry.SpanAttempt, out)
				client.End()
				server.End()
			}
		})
	}
}
