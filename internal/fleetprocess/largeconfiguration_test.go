package fleetprocess

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Large configurations follow one another while callers send requests. None waits for a
// configuration for longer than a caller, who abandons a connection on which its
// request is not read within a third of its time, and the last one is in force in time.
func TestRequestsDoNotWaitForConfigurations(t *testing.T) {
	const (
		routes        = 350                   // some more than a row of the store holds
		interval      = 60 * time.Millisecond // between configurations
		length        = 2 * time.Second
		callerTimeout = 800 * time.Millisecond // a third of the time of a call
		inForce       = 2 * time.Second
	)
	s := startSystem(t, standin.WithSize(1, 1, 1, 1))
	s.AddRoutes(routes)
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		for start := time.Now(); time.Since(start) < length; time.Sleep(interval) {
			s.Configure()
		}
	}()
	longest, calls := time.Duration(0), 0
	for changing := true; changing; calls++ {
		start := time.Now()
		r := s.call("GET", standin.PathRead, standin.Key)
		require.NoError(t, r.callErr)
		require.Equal(t, http.StatusOK, r.status)
		longest = max(longest, time.Since(start))
		select {
		case <-changed:
			changing = false
		default:
		}
	}
	t.Logf("longest of %d calls: %v", calls, longest)
	require.Less(t, longest, callerTimeout)
	s.AddRoutes(1)
	require.Eventually(t, func() bool {
		return s.call("GET", standin.PathExtra(routes+1), standin.Key).status == http.StatusOK
	}, inForce, 10*time.Millisecond)
}
