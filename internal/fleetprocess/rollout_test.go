package fleetprocess

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform"
	"github.com/primrosetally/primrosetally/platform/standin"
)

// A target version reaches every endpoint completely although some chunks of the origin
// arrive corrupt.
func TestWeightsReachEveryEndpoint(t *testing.T) {
	s := startSystem(t, standin.WithSize(2, 1, 3, 1))
	var mu sync.Mutex
	calls := 0
	s.Origin.SetBroken(func() standin.Breakage {
		mu.Lock()
		defer mu.Unlock()
		calls++
		if calls%7 == 6 {
			return standin.BreakError
		}
		return standin.BreakNone
	})
	s.NameWeights(2)
	for id, server := range s.Servers {
		if !strings.HasPrefix(id, "i-engine") {
			continue
		}
		require.Eventually(t, func() bool {
			version, whole := server.Version()
			require.True(t, whole, id)
			return version == 2
		}, 9*time.Second, 20*time.Millisecond, id)
	}
	r := s.call("POST", standin.PathStream+"v", standin.Key)
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, int64(2), s.runs.forAttempt(r.attempt)[0].Version)
}

// All entries start together during a rollout, when no endpoint has the new weights yet.
// The store tells when these were set: the old ones may be used for some seconds more. An
// entry that is ready must know that.
func TestEntriesStartDuringRollout(t *testing.T) {
	s := newSystem(t)
	s.Origin.SetBroken(func() standin.Breakage { return standin.BreakError })
	s.NameWeights(2)
	row := targetVersionRow{Model: standin.Model, Version: 2}
	value, err := json.Marshal(row)
	require.NoError(t, err)
	s.Store.Put(platform.TableWeights, row.key(), value)
	s.startProcesses()
	r := s.call("POST", standin.PathStream+"rollout", standin.Key)
	require.NoError(t, r.callErr)
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, int64(1), s.runs.forAttempt(r.attempt)[0].Version)
}
