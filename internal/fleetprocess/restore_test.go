package fleetprocess

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform"
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

// statusAt returns the status of the response of one entry, 0 if there is none.
func (s *system) statusAt(m standin.Machine, path, key string) int {
	s.t.Helper()
	s.next++
	request, err := standin.NewRequest("GET", s.Front(m), path, fmt.Sprintf("attempt-%d", s.next), key, 2500*time.Millisecond)
	require.NoError(s.t, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// An entry that starts just after the store has come back from an older copy reads an older
// configuration there, which the others have left behind.
func TestEntryStartsWithOlderCopyOfStore(t *testing.T) {
	const inForce = 4 * time.Second
	const notWritten = 5 * time.Second // until the operators write the configuration again
	s := newSystem(t, standin.WithSize(1, 3, 1, 1))
	late := s.Entries[2]
	s.Entries = s.Entries[:2]
	s.startProcesses()
	s.SetKeys(standin.Key, "key-2")
	require.Eventually(t, func() bool { return s.statusAt(s.Entries[0], standin.PathRead, "key-2") == http.StatusOK }, inForce, 20*time.Millisecond)
	older := s.Store.Copy()
	s.SetKeys(standin.Key)
	s.AddRoutes(1)
	for _, m := range s.Entries {
		require.Eventually(t, func() bool {
			return s.statusAt(m, standin.PathExtra(1), standin.Key) == http.StatusOK && s.statusAt(m, standin.PathRead, "key-2") == http.StatusUnauthorized
		}, inForce, 20*time.Millisecond)
	}

	s.Store.Restore(older)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	s.start(ctx, late, RunEntry)
	for returned := time.Now(); time.Since(returned) < notWritten; {
		require.NotEqual(t, http.StatusOK, s.statusAt(late, standin.PathRead, "key-2"), "a revoked key works again")
		require.NotEqual(t, http.StatusNotFound, s.statusAt(late, standin.PathExtra(1), standin.Key), "a route is gone again")
	}
	s.AddRoutes(1)
	require.Eventually(t, func() bool {
		return s.IsReady(late) && s.statusAt(late, standin.PathExtra(2), standin.Key) == http.StatusOK
	}, inForce, 20*time.Millisecond)
	require.Equal(t, http.StatusUnauthorized, s.statusAt(late, standin.PathRead, "key-2"))
}

// The store comes back from an older copy after an entry has written its row, before the
// entry has read anything. Entries that start later find others by these rows.
func TestRowOfEntryLostAtStart(t *testing.T) {
	const inTime = 5 * time.Second
	s := newSystem(t, standin.WithSize(1, 1, 1, 1))
	ctx, cancel := context.WithCancel(t.Context())
	s.cancel = cancel
	t.Cleanup(s.stop)
	older := s.Store.Copy()
	s.Store.SetFault(func(r *http.Request) standin.Fault {
		if r.Method == http.MethodGet {
			return standin.FaultBusy
		}
		return standin.FaultNone
	})
	s.start(ctx, s.Entries[0], RunEntry)
	isListed := func() bool { return len(s.Store.Rows(platform.TableEntries)) == 1 }
	require.Eventually(t, isListed, inTime, 10*time.Millisecond)
	s.Store.Restore(older)
	s.Store.SetFault(func(*http.Request) standin.Fault { return standin.FaultNone })
	require.False(t, isListed())
	require.Eventually(t, isListed, inTime, 10*time.Millisecond)
}
