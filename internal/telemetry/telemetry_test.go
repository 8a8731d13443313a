package telemetry_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/telemetry"
)

const (
	conditionWait = 10 * time.Second
	conditionPoll = 2 * time.Millisecond
)

func TestHandlers(t *testing.T) {
	ready := false
	process := telemetry.New()
	process.Metrics().Requests.WithLabelValues("faq", "answered").Inc()
	mux := http.NewServeMux()
	process.Register(mux, func() bool { return ready })
	tests := []struct {
		name   string
		path   string
		ready  bool
		status int
		body   string
	}{
		{"health", telemetry.PathHealth, false, http.StatusOK, ""},
		{"not ready", telemetry.PathReadiness, false, http.StatusServiceUnavailable, ""},
		{"ready", telemetry.PathReadiness, true, http.StatusOK, ""},
		{"own metric", telemetry.PathMetrics, true, http.StatusOK, `primrosetally_requests_total{outcome="answered",service="faq"} 1`},
		{"process metric", telemetry.PathMetrics, true, http.StatusOK, "process_resident_memory_bytes"},
		{"other path", "/metrics/x", true, http.StatusNotFound, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ready = tt.ready
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, tt.path, nil))
			require.Equal(t, tt.status, w.Code)
			require.Contains(t, w.Body.String(), tt.body)
		})
	}
}

// Two processes in one program do not share counters.
func TestProcessesAreApart(t *testing.T) {
	first, second := telemetry.New(), telemetry.New()
	first.Metrics().Revision.Set(7)
	mux := http.NewServeMux()
	second.Register(mux, func() bool { return true })
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, telemetry.PathMetrics, nil))
	require.Contains(t, w.Body.String(), "primrosetally_revision 0")
}
