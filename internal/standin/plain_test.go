package standin_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/transport/engines"
)

func TestPlainCrashPhases(t *testing.T) {
	tests := []struct {
		name     string
		phase    standin.CrashPhase
		runs     uint64
		finished uint64
	}{
		{"before the run", standin.CrashBeforeRun, 0, 0},
		{"during the run", standin.CrashDuringRun, 1, 0},
		{"after the run", standin.CrashAfterRun, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			service := standin.NewPlain(standin.WithPlainRestartDelay(time.Millisecond))
			server := httptest.NewServer(service)
			defer server.Close()
			c := engines.New(server.URL)
			service.CrashNext(tt.phase, 1)
			book := engines.NewRequest(http.MethodPost, "/bookings", engines.WithHeader("Idempotency-Key", "k"))
			_, err := c.Do(t.Context(), book)
			require.ErrorIs(t, err, engines.ErrUnknown)
			require.Equal(t, tt.runs, service.Runs().ByKey["k"])
			require.Equal(t, tt.finished, service.Runs().Finished)
			require.Eventually(t, func() bool {
				state, err := c.State(t.Context())
				return err == nil && state.Incarnation() == 2
			}, conditionWait, conditionPoll)
			response, err := c.Do(t.Context(), book)
			require.NoError(t, err)
			require.NoError(t, response.Body().Close())
			require.Equal(t, tt.runs+1, service.Runs().ByKey["k"])
		})
	}
}

func TestControl(t *testing.T) {
	handlers := []struct {
		name   string
		handle http.Handler
		path   string
	}{
		{"tables", standin.NewTables(), "/v1/rows?key=k"},
		{"objects", standin.NewObjects(), "/k"},
		{"members", standin.NewMembers(), "/members"},
		{"engine", standin.NewEngine(), "/state"},
		{"plain", standin.NewPlain(), "/x"},
	}
	tests := []struct {
		name   string
		body   string
		status int
		outage bool
	}{
		{"outage", `{"outage":true}`, http.StatusOK, true},
		{"other fault leaves the outage", `{"delayMs":0}`, http.StatusOK, true},
		{"end", `{"outage":false,"loseAnswers":0,"frozen":false}`, http.StatusOK, false},
		{"malformed", `{"outage":`, http.StatusBadRequest, false},
	}
	for _, h := range handlers {
		server := httptest.NewServer(h.handle)
		defer server.Close()
		for _, tt := range tests {
			t.Run(h.name+" "+tt.name, func(t *testing.T) {
				response, err := http.Post(server.URL+standin.PathControl, "application/json", strings.NewReader(tt.body))
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
				require.Equal(t, tt.status, response.StatusCode)
				response, err = http.Get(server.URL + h.path)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
				require.Equal(t, tt.outage, response.StatusCode == http.StatusServiceUnavailable)
			})
		}
	}
}
