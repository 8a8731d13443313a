package telemetry_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

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

// BenchmarkLine measures the longest line of a request, on its way to an output that
// takes everything, and one that the bound on lines drops.
func BenchmarkLine(b *testing.B) {
	bounded, end := context.WithCancel(context.Background())
	defer end()
	for _, c := range []struct {
		name   string
		output io.Writer
	}{
		{"written", io.Discard},
		{"within a bound", telemetry.NewBoundedWriter(bounded, io.Discard, func(*slog.Logger, int64) {})},
	} {
		b.Run(c.name, func(b *testing.B) {
			logger := slog.New(slog.NewJSONHandler(c.output, nil)).With("process", "entry-1")
			b.ReportAllocs()
			for b.Loop() {
				telemetry.FleetRequestEnded.Log(context.Background(), logger,
					"request", "757c8a36c5a255af", "outcome", "answered", "status", 200, "reason", "", "took", 443*time.Millisecond,
					"configuration", 23, "route", "r-draft", "account", "shop-1", "endpoint", "i-b4885fcc58", "attempts", 1,
					"first", 152*time.Millisecond, "pause", 50*time.Millisecond, "spent", time.Duration(0), "waited", time.Duration(0),
					"predicted", 160*time.Millisecond, "inFlight", 10, "unread", 113, "prompt", 1683, "home", true)
			}
		})
	}
}
