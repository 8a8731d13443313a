package fleetprocess

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform"
	"github.com/primrosetally/primrosetally/platform/standin"
)

// followTime is the time in which every entry follows a change of a table.
const followTime = 3 * time.Second

// putOddRows writes to every table what other writers may leave there.
func (s *system) putOddRows() {
	engine := s.Entries[0] // a machine without a server
	for _, o := range standin.OddRows(standin.ServiceEngine, s.Address(engine), standin.Model) {
		s.Store.Put(platform.TableEndpoints, o.Key, o.Value)
	}
	for i, value := range standin.OddValues() {
		for _, table := range []string{platform.TableEndpoints, platform.TableEntries, platform.TableWeights, platform.TableOperator} {
			key := fmt.Sprintf("version/odd-value-%d", i)
			s.Store.PutRaw(table, key, func(version int64) string {
				return fmt.Sprintf(`{"table":%q,"part":"","key":%q,"value":%s,"row-version":%d}`, table, key, value, version)
			})
		}
	}
	for table, key := range map[string]string{
		platform.TableEndpoints: "i-plain-1-1", platform.TableEntries: s.Entries[0].Name,
		platform.TableWeights: standin.Model + "/2", platform.TableOperator: "config",
	} {
		for i, o := range standin.OddRecords(table, key) {
			s.Store.PutRaw(table, fmt.Sprintf("odd-record-%d", i), o.Encode)
		}
	}
	s.Store.Put(platform.TableWeights, standin.Model+"/900", fmt.Appendf(nil, `{"model":%q,"version":900,"namedMs":0}`, standin.Model))
	s.Store.Put(platform.TableWeights, standin.Model+"/1", fmt.Appendf(nil, `{"model":%q,"version":1,"namedMs":9000000000000000000}`, standin.Model))
	s.Store.Put(platform.TableEntries, "odd-entry", fmt.Appendf(nil, `{"peerAddress":%q}`, strings.Repeat("1", 3000)))
	s.Store.Put(platform.TableOperator, "version/odd", []byte(`{"version":9223372036854775807}`))
	s.Store.Put(platform.TableOperator, "version/nested", []byte(strings.Repeat("[", 60_000)))
}

// removeOddRows removes what is not the system's or a server's own.
func (s *system) removeOddRows() {
	own := map[string]bool{"config": true, "version/" + standin.Model: true}
	for id := range s.Servers {
		own[id] = true
	}
	for _, m := range s.Entries {
		own[m.Name] = true
	}
	for _, table := range []string{platform.TableEndpoints, platform.TableEntries, platform.TableWeights, platform.TableOperator} {
		for key := range s.Store.Rows(table) {
			if !own[key] {
				s.Store.Remove(table, key)
			}
		}
	}
}

// answersAtAll reports whether every entry answers a request for a path.
func (s *system) answersAtAll(path string) bool {
	for i, m := range s.Entries {
		s.next++
		result := &outcomes{}
		s.callOnce(s.Front(m), path, fmt.Sprintf("all-%d-%d", s.next, i), result)
		if result.answered.Load() == 0 {
			return false
		}
	}
	return true
}

// callEachEntry sends requests to all entries, one at a time to each, until ctx is done. One
// server has slots for all of them.
func (s *system) callEachEntry(ctx context.Context, path string, result *outcomes) *sync.WaitGroup {
	var callers sync.WaitGroup
	for _, m := range s.Entries {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				s.callOnce(s.Front(m), path, fmt.Sprintf("each-%s-%d", m.Name, n), result)
			}
		})
	}
	return &callers
}

// Odd rows come and go in every table while requests go on. No request fails, no process
// ends, every entry and agent follows later changes, and each version of a row is logged
// once by each process.
func TestOddRowsComeAndGo(t *testing.T) {
	const rounds = 3
	s := startSystem(t, standin.WithSize(2, 2, 1, 1))
	require.Eventually(t, func() bool { return s.answersAtAll(standin.PathRead) && s.answersAtAll(standin.PathStream+"a") }, followTime, 20*time.Millisecond)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	result := &outcomes{}
	callers := s.callEachEntry(ctx, standin.PathRead, result)
	for round := range rounds {
		s.putOddRows()
		s.AddRoutes(1)
		require.Eventually(t, func() bool { return s.answersAtAll(standin.PathExtra(2*round + 1)) }, followTime, 20*time.Millisecond, "odd rows")
		s.removeOddRows()
		s.AddRoutes(1)
		require.Eventually(t, func() bool { return s.answersAtAll(standin.PathExtra(2*round + 2)) }, followTime, 20*time.Millisecond, "none")
	}
	s.putOddRows()
	s.NameWeights(2)
	for _, id := range []string{"i-engine-1-1", "i-engine-2-1"} {
		require.Eventually(t, func() bool {
			version, whole := s.Servers[id].Version()
			return whole && version == 2
		}, 9*time.Second, 20*time.Millisecond, id)
	}
	require.Eventually(t, func() bool { return s.answersAtAll(standin.PathStream + "b") }, followTime, 20*time.Millisecond)
	s.Servers["i-plain-1-1"].Drain()
	require.Eventually(t, func() bool {
		r := s.call("GET", standin.PathRead, standin.Key)
		return r.status == http.StatusOK && s.runs.forAttempt(r.attempt)[0].Server == "i-plain-2-1"
	}, followTime, 20*time.Millisecond)
	for range 20 {
		r := s.call("GET", standin.PathRead, standin.Key)
		require.NoError(t, r.callErr)
		require.Equal(t, http.StatusOK, r.status, r.attempt)
		require.Equal(t, "i-plain-2-1", s.runs.forAttempt(r.attempt)[0].Server)
	}
	stop()
	callers.Wait()
	require.Positive(t, result.answered.Load())
	require.Zero(t, result.refused.Load()+result.failed.Load())
	s.requireEachRowLoggedOnce()
}

// requireEachRowLoggedOnce checks that no process logs a version of a malformed row twice,
// and that some are logged.
func (s *system) requireEachRowLoggedOnce() {
	type line struct{ Msg, Process, Endpoint, Entry, Weights, Row, Error string }
	type versioned struct {
		line
		RowVersion int64
	}
	counts := make(map[versioned]int)
	for text := range strings.Lines(s.logs.String()) {
		if !strings.Contains(text, "RowMalformed") {
			continue
		}
		var v versioned
		require.NoError(s.t, json.Unmarshal([]byte(text), &v))
		require.Less(s.t, len(text), 2<<10, "a line of the log")
		v.Error = "" // that of an unknown service changes with the configuration
		counts[v]++
	}
	require.NotEmpty(s.t, counts)
	for v, n := range counts {
		require.Equal(s.t, 1, n, "%+v", v)
	}
}
