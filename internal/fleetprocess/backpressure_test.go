package fleetprocess

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// An endpoint whose row says that it is draining gets no new requests.
func TestDrainingEndpoint(t *testing.T) {
	s := startSystem(t, standin.WithSize(2, 1, 1, 1))
	s.Servers["i-plain-1-1"].Drain()
	require.Eventually(t, func() bool {
		r := s.call("GET", standin.PathRead, standin.Key)
		return r.status == http.StatusOK && s.runs.forAttempt(r.attempt)[0].Server == "i-plain-2-1"
	}, 2*time.Second, 20*time.Millisecond)
	for range 20 {
		r := s.call("GET", standin.PathRead, standin.Key)
		require.Equal(t, "i-plain-2-1", s.runs.forAttempt(r.attempt)[0].Server)
	}
}

// An endpoint that reports draining only in its responses gets no new requests from the
// entry that received one, although its row still has the state ready.
func TestDrainingReportedInResponse(t *testing.T) {
	s := startSystem(t, standin.WithSize(2, 1, 1, 1))
	draining := s.Servers["i-plain-1-1"]
	draining.SignalLeaving()
	for draining.Arrivals() == 0 {
		require.Equal(t, http.StatusOK, s.call("GET", standin.PathRead, standin.Key).status)
	}
	arrivals := draining.Arrivals()
	for range 40 {
		r := s.call("GET", standin.PathRead, standin.Key)
		require.Equal(t, http.StatusOK, r.status)
		require.Equal(t, "i-plain-2-1", s.runs.forAttempt(r.attempt)[0].Server)
	}
	require.Equal(t, arrivals, draining.Arrivals())
}

// Endpoints that respond with Retry-After get no requests before that time has elapsed.
// While this holds for all endpoints of a service, callers are refused immediately, with
// the time after which the first endpoint accepts requests again.
func TestEndpointsSendRetryAfter(t *testing.T) {
	const retryAfter = 1500 * time.Millisecond
	s := startSystem(t, standin.WithSize(2, 1, 1, 1))
	endpoints := []*standin.Server{s.Servers["i-plain-1-1"], s.Servers["i-plain-2-1"]}
	for _, server := range endpoints {
		server.Hold(retryAfter)
	}
	start := time.Now()
	arrivals := func() int { return endpoints[0].Arrivals() + endpoints[1].Arrivals() }
	require.Equal(t, http.StatusServiceUnavailable, s.call("GET", standin.PathRead, standin.Key).status)
	require.Equal(t, http.StatusServiceUnavailable, s.call("GET", standin.PathRead, standin.Key).status)
	initialArrivals := arrivals()
	for time.Since(start) < retryAfter-300*time.Millisecond {
		sent := time.Now()
		r := s.call("GET", standin.PathRead, standin.Key)
		elapsed := time.Since(sent)
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		require.Less(t, elapsed, 300*time.Millisecond, "refused immediately")
		reported, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.GreaterOrEqual(t, reported, (retryAfter - time.Since(start)).Seconds())
		require.Empty(t, s.runs.forAttempt(r.attempt))
	}
	require.Equal(t, initialArrivals, arrivals())
	require.LessOrEqual(t, initialArrivals, len(endpoints))
	require.Eventually(t, func() bool {
		return s.call("GET", standin.PathRead, standin.Key).status == http.StatusOK
	}, 5*time.Second, 50*time.Millisecond)
}
