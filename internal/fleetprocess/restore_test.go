package fleetprocess

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// The store comes back from a copy that is older than a revoked key, a route and an endpoint
// that leaves. None of them returns, and what is written afterwards, under versions that are
// given out again, is in force in time.
func TestStoreFromOlderCopy(t *testing.T) {
	const inForce = 4 * time.Second // 2 s for what is written again, 2 s for a change
	s := startSystem(t, standin.WithSize(2, 2, 1, 1))
	served := func(path, key string) int { return s.call("GET", path, key).status }
	s.SetKeys(standin.Key, "key-2")
	require.Eventually(t, func() bool { return served(standin.PathRead, "key-2") == http.StatusOK }, inForce, 20*time.Millisecond)
	older := s.Store.Copy()
	for range 40 {
		s.Store.Put("status", "noise", nil) // versions that the copy does not have
	}
	s.SetKeys(standin.Key)
	s.AddRoutes(1)
	leaving := s.Servers["i-plain-1-1"]
	leaving.Drain()
	require.Eventually(t, func() bool {
		return served(standin.PathExtra(1), standin.Key) == http.StatusOK && served(standin.PathRead, "key-2") == http.StatusUnauthorized
	}, inForce, 20*time.Millisecond)
	pauseUntilQuiet(t, s, leaving)
	arrivals := leaving.Arrivals()

	s.Store.Restore(older)
	returned := time.Now()
	for time.Since(returned) < 2500*time.Millisecond {
		require.NotEqual(t, http.StatusOK, served(standin.PathRead, "key-2"), "a revoked key works again")
		require.NotEqual(t, http.StatusNotFound, served(standin.PathExtra(1), standin.Key), "a route is gone again")
	}
	s.AddRoutes(1)
	written := time.Now()
	require.Eventually(t, func() bool { return served(standin.PathExtra(2), standin.Key) == http.StatusOK }, inForce, 20*time.Millisecond)
	t.Logf("in force after %s", time.Since(written))
	for i := range 40 {
		path := fmt.Sprintf("%s%d", standin.PathRead, i)
		require.Equal(t, http.StatusOK, served(path, standin.Key))
	}
	require.Equal(t, arrivals, leaving.Arrivals(), "an endpoint that leaves gets requests again")
}

// pauseUntilQuiet waits until an endpoint has got no request of 40 in a row.
func pauseUntilQuiet(t *testing.T, s *system, server *standin.Server) {
	t.Helper()
	require.Eventually(t, func() bool {
		before := server.Arrivals()
		for range 40 {
			s.call("GET", standin.PathRead, standin.Key)
		}
		return server.Arrivals() == before
	}, 4*time.Second, 20*time.Millisecond)
}
