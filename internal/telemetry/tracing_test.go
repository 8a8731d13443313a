package telemetry_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1/nodev1connect"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

func newTracing(t *testing.T, process string) (*telemetry.Tracing, *tracetest.InMemoryExporter) {
	t.Helper()
	spans := tracetest.NewInMemoryExporter()
	tracing, err := telemetry.NewTracing(process, telemetry.WithExporter(spans))
	require.NoError(t, err)
	return tracing, spans
}

// agents answers a part to every attempt.
type agents struct {
	nodev1connect.UnimplementedAgentServiceHandler
}

func (agents) Attempt(_ context.Context, r *connect.Request[nodev1.AttemptRequest], s *connect.ServerStream[nodev1.AttemptPart]) error {
	return s.Send(&nodev1.AttemptPart{RequestId: r.Msg.GetRequestId()})
}

func (agents) Report(context.Context, *connect.Request[nodev1.ReportRequest]) (*connect.Response[nodev1.EndpointReport], error) {
	return connect.NewResponse(&nodev1.EndpointReport{}), nil
}

func TestContextCrossesConnectCalls(t *testing.T) {
	caller, callerSpans := newTracing(t, "entry-1")
	callee, calleeSpans := newTracing(t, "writer-1")
	mux := http.NewServeMux()
	names := map[string]string{nodev1connect.AgentServiceAttemptProcedure: telemetry.SpanAgent}
	mux.Handle(nodev1connect.NewAgentServiceHandler(agents{}, connect.WithInterceptors(callee.NewInterceptor(names))))
	server := httptest.NewServer(mux)
	defer server.Close()
	client := nodev1connect.NewAgentServiceClient(server.Client(), server.URL, connect.WithInterceptors(caller.NewInterceptor(nil)))
	calls := []struct {
		name string
		span string
		call func(ctx context.Context) error
	}{
		{"stream", telemetry.SpanAgent, func(ctx context.Context) error {
			stream, err := client.Attempt(ctx, connect.NewRequest(&nodev1.AttemptRequest{}))
			if err != nil {
				return err
			}
			for stream.Receive() {
			}
			return stream.Close()
		}},
		{"unary", "Report", func(ctx context.Context) error {
			_, err := client.Report(ctx, connect.NewRequest(&nodev1.ReportRequest{}))
			return err
		}},
	}
	for _, tt := range calls {
		t.Run(tt.name, func(t *testing.T) {
			calleeSpans.Reset()
			callerSpans.Reset()
			require.NoError(t, tt.call(t.Context()))
			require.Empty(t, calleeSpans.GetSpans(), "a call outside a trace makes no span")

			ctx, span := caller.Start(t.Context(), telemetry.SpanAttempt)
			require.NoError(t, tt.call(ctx))
			span.End()
			require.Eventually(t, func() bool { return len(calleeSpans.GetSpans()) == 1 }, conditionWait, conditionPoll)
			got := calleeSpans.GetSpans()[0]
			require.Equal(t, tt.span, got.Name)
			require.Equal(t, span.SpanContext().TraceID(), got.SpanContext.TraceID())
			require.Equal(t, span.SpanContext().SpanID(), got.Parent.SpanID())
		})
	}
}

func TestContextCrossesHTTP(t *testing.T) {
	recording, spans := newTracing(t, "entry-1")
	silent, err := telemetry.NewTracing("entry-2")
	require.NoError(t, err)
	tests := []struct {
		name    string
		tracing *telemetry.Tracing
		panics  bool
		spans   int
	}{
		{"with an exporter", recording, false, 1},
		{"handler cuts the connection", recording, true, 1},
		{"without an exporter the context passes through", silent, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			spans.Reset()
			onward := http.Header{}
			serve := tt.tracing.Handler(telemetry.SpanEntry, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, span := tt.tracing.StartClient(r.Context(), telemetry.SpanEngine, onward)
				defer span.End()
				if tt.panics {
					panic(http.ErrAbortHandler)
				}
			}))
			request := httptest.NewRequest(http.MethodPost, "/", nil)
			request.Header.Set("Traceparent", parent)
			call := func() { serve.ServeHTTP(httptest.NewRecorder(), request) }
			if tt.panics {
				require.Panics(t, call)
			} else {
				call()
			}
			require.Contains(t, onward.Get("Traceparent"), "0af7651916cd43dd8448eb211c80319c")
			served := 0
			for _, s := range spans.GetSpans() {
				if s.Name == telemetry.SpanEntry {
					served++
					require.Equal(t, "b7ad6b7169203331", s.Parent.SpanID().String())
				}
			}
			require.Equal(t, tt.spans, served)
		})
	}
}

func TestExporters(t *testing.T) {
	file := filepath.Join(t.TempDir(), "spans.json")
	var out bytes.Buffer
	received := make(chan string, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		received <- r.URL.Path + string(data)
	}))
	defer collector.Close()
	tests := []struct {
		name   string
		option telemetry.TracingOption
		read   func() string
	}{
		{"writer", telemetry.WithWriter(&out), out.String},
		{"file", telemetry.WithFile(file), func() string {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			return string(data)
		}},
		{"OTLP", telemetry.WithOTLP(collector.URL + "/v1/traces"), func() string { return <-received }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracing, err := telemetry.NewTracing("entry-1", tt.option)
			require.NoError(t, err)
			_, span := tracing.Start(t.Context(), telemetry.SpanAttempt)
			span.End()
			require.NoError(t, telemetry.New(telemetry.WithTracing(tracing)).Shutdown(t.Context()))
			got := tt.read()
			require.Contains(t, got, telemetry.SpanAttempt)
			require.Contains(t, got, "entry-1")
		})
	}
	_, err := telemetry.NewTracing("entry-1", telemetry.WithFile(t.TempDir()))
	require.ErrorIs(t, err, telemetry.ErrExporter)
}

func TestLogWithinSpanNamesTheTrace(t *testing.T) {
	tracing, _ := newTracing(t, "entry-1")
	ctx, span := tracing.Start(t.Context(), telemetry.SpanEntry)
	defer span.End()
	var out strings.Builder
	telemetry.ProcessStarted.Log(ctx, slog.New(slog.NewTextHandler(&out, nil)))
	require.Contains(t, out.String(), "traceId="+span.SpanContext().TraceID().String())
}
