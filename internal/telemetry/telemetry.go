// Package telemetry holds what an operator sees of a process: numbered log
// events, metrics, traces, and the handlers for metrics, health and readiness.
//
// Each process has one Telemetry of its own rather than a global one, so that a
// test can run several processes side by side.
//
// # Usage
//
//	tracing, err := telemetry.NewTracing("entry-1", telemetry.WithFile("spans.json"))
//	t := telemetry.New(telemetry.WithTracing(tracing))
//	t.Register(mux, entry.Ready)                      // /metrics, /healthz, /readyz
//	telemetry.ProcessStarted.Log(ctx, logger, "role", "entry")
//	t.Metrics().Requests.WithLabelValues("faq", "answered").Inc()
//	ctx, span := t.Tracing().Start(ctx, "entry.attempt")
//	defer span.End()
package telemetry

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Paths of the operators' handlers.
const (
	PathMetrics   = "/metrics"
	PathHealth    = "/healthz"
	PathReadiness = "/readyz"
)

// Telemetry is what one process shows of itself. It is safe for concurrent use.
type Telemetry struct {
	tracing *Tracing
	metrics *Metrics
}

// Option sets an optional property of a Telemetry.
type Option func(*Telemetry)

// WithTracing sets where spans go; by default they go nowhere.
func WithTracing(t *Tracing) Option {
	return func(o *Telemetry) { o.tracing = t }
}

// New returns the telemetry of one process.
func New(options ...Option) *Telemetry {
	t := &Telemetry{tracing: noTracing(), metrics: newMetrics()}
	for _, o := range options {
		o(t)
	}
	return t
}

// Tracing returns the tracing of the process.
func (t *Telemetry) Tracing() *Tracing { return t.tracing }

// Metrics returns the metrics of the process.
func (t *Telemetry) Metrics() *Metrics { return t.metrics }

// Register adds the handlers to mux. Health says that the process runs;
// readiness says 503 until ready returns true.
func (t *Telemetry) Register(mux *http.ServeMux, ready func() bool) {
	metrics := promhttp.HandlerFor(t.metrics.registry, promhttp.HandlerOpts{})
	mux.Handle("GET "+PathMetrics, metrics)
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET "+PathReadiness, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// Shutdown sends the spans that are still held back, until ctx ends.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	return t.tracing.shutdown(ctx)
}
