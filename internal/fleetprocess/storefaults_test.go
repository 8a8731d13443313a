package fleetprocess

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// An entry whose calls the store rejects uses the confirmation of another entry and
// receives the configuration from it.
func TestStoreRejectsOneEntry(t *testing.T) {
	s := startSystem(t, standin.WithSize(2, 1, 1, 1))
	var rejected atomic.Int64
	s.Store.SetFault(func(r *http.Request) standin.Fault {
		if r.Host != s.Entries[0].IP+storePort {
			return standin.FaultNone
		}
		rejected.Add(1)
		return standin.FaultBusy
	})
	require.Eventually(t, func() bool { return rejected.Load() > 0 }, 4*time.Second, 10*time.Millisecond)
	s.SetKeys("new-key")
	require.Eventually(t, func() bool {
		return s.call("GET", standin.PathRead, "new-key").status == http.StatusOK &&
			s.call("GET", standin.PathRead, standin.Key).status == http.StatusUnauthorized
	}, 4*time.Second, 50*time.Millisecond)
}

// Without a confirmation from the store, requests with a key are refused as not executed
// before the bound on revoked keys expires.
func TestKeysWithoutConfirmation(t *testing.T) {
	s := startSystem(t, standin.WithSize(1, 1, 1, 1))
	s.Store.SetFault(func(*http.Request) standin.Fault { return standin.FaultSilent })
	outageStart := time.Now()
	var r callResult
	require.Eventually(t, func() bool {
		r = s.call("GET", standin.PathRead, standin.Key)
		return r.status == http.StatusServiceUnavailable
	}, 5*time.Second, 20*time.Millisecond)
	require.Less(t, time.Since(outageStart), 5*time.Second)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Empty(t, s.runs.forAttempt(r.attempt))
	s.Store.SetFault(func(*http.Request) standin.Fault { return standin.FaultNone })
	require.Eventually(t, func() bool {
		return s.call("GET", standin.PathRead, standin.Key).status == http.StatusOK
	}, 5*time.Second, 20*time.Millisecond)
}

// A server that does not renew its row for a while loses it. Requests that run there
// continue and are not started again at another server.
func TestRequestContinuesAfterRowRemoval(t *testing.T) {
	slow := standin.SmallEngine
	slow.Event = 150 * time.Millisecond
	s := startSystem(t, standin.WithEngines(slow))
	path := standin.PathStream + "row"
	results := make(chan callResult, 1)
	go func() { results <- s.call("POST", path, standin.Key) }()
	require.Eventually(t, func() bool { return len(s.runs.forAttempt("attempt-1")) == 1 }, 2*time.Second, 5*time.Millisecond)
	for id := range s.Store.Rows("servers") {
		s.Store.Remove("servers", id)
	}
	r := <-results
	require.NoError(t, r.callErr)
	require.Equal(t, completeStream(path), r.body)
	require.Len(t, s.runs.forAttempt(r.attempt), 1)
}

// A new configuration takes effect although the store has compacted its history.
func TestCompactedStore(t *testing.T) {
	s := startSystem(t)
	s.Store.Compact()
	s.AddRoutes(1)
	require.Eventually(t, func() bool {
		return s.call("GET", standin.PathExtra(1), standin.Key).status == http.StatusOK
	}, 2*time.Second, 20*time.Millisecond)
}
