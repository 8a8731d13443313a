package tables_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/transport/tables"
)

func newTables(t *testing.T) (*standin.Tables, *tables.Client) {
	t.Helper()
	service := standin.NewTables()
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	return service, tables.New(server.URL)
}

func put(t *testing.T, c *tables.Client, key, value string) tables.Version {
	t.Helper()
	version, err := c.Commit(t.Context(), tables.NewTransaction().Put(key, []byte(value)))
	require.NoError(t, err)
	return version
}

func TestCommit(t *testing.T) {
	tests := []struct {
		name    string
		change  func(head tables.Version) *tables.Transaction
		err     error
		head    string // value of config/head afterwards
		change1 string // value of change/1 afterwards
	}{
		{
			"matching versions",
			func(head tables.Version) *tables.Transaction {
				return tables.NewTransaction().Expect("config/head", head).Put("config/head", []byte("b")).
					Expect("change/1", 0).Put("change/1", []byte("accepted"))
			},
			nil, "b", "accepted",
		},
		{
			"stale version writes nothing",
			func(head tables.Version) *tables.Transaction {
				return tables.NewTransaction().Put("change/1", []byte("accepted")).
					Expect("config/head", head-1).Put("config/head", []byte("b"))
			},
			tables.ErrConflict, "a", "",
		},
		{
			"row expected to be absent",
			func(tables.Version) *tables.Transaction {
				return tables.NewTransaction().Expect("config/head", 0).Put("config/head", []byte("b"))
			},
			tables.ErrConflict, "a", "",
		},
		{
			"row expected to be present",
			func(tables.Version) *tables.Transaction {
				return tables.NewTransaction().Expect("change/1", 1).Put("change/1", []byte("x"))
			},
			tables.ErrConflict, "a", "",
		},
		{
			"delete",
			func(head tables.Version) *tables.Transaction {
				return tables.NewTransaction().Expect("config/head", head).Delete("config/head").Delete("none")
			},
			nil, "", "",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, c := newTables(t)
			put(t, c, "other", "x")
			head := put(t, c, "config/head", "a")
			version, err := c.Commit(t.Context(), tt.change(head))
			if tt.err != nil {
				require.ErrorIs(t, err, tt.err)
			} else {
				require.NoError(t, err)
				require.Greater(t, version, head)
			}
			row, err := c.Get(t.Context(), "config/head")
			require.NoError(t, err)
			require.Equal(t, tt.head, string(row.Value()))
			require.Equal(t, tt.head == "", row.Version() == 0)
			row, err = c.Get(t.Context(), "change/1")
			require.NoError(t, err)
			require.Equal(t, tt.change1, string(row.Value()))
		})
	}
}

func TestVersionIsNeverUsedTwice(t *testing.T) {
	_, c := newTables(t)
	first := put(t, c, "claim/1", "a")
	_, err := c.Commit(t.Context(), tables.NewTransaction().Delete("claim/1"))
	require.NoError(t, err)
	again := put(t, c, "claim/1", "a")
	require.Greater(t, again, first)
}

func TestList(t *testing.T) {
	_, c := newTables(t)
	for _, key := range []string{"b/2", "a/1", "b/10", "c", "b/1", "b"} {
		put(t, c, key, key)
	}
	tests := []struct {
		name   string
		prefix string
		limit  int
		keys   []string
	}{
		{"prefix in order", "b/", 10, []string{"b/1", "b/10", "b/2"}},
		{"limit", "b/", 2, []string{"b/1", "b/10"}},
		{"no limit", "", 0, []string{"a/1", "b", "b/1", "b/10", "b/2", "c"}},
		{"none", "z", 10, []string{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rows, err := c.List(t.Context(), tt.prefix, tt.limit)
			require.NoError(t, err)
			keys := []string{}
			for _, r := range rows {
				keys = append(keys, r.Key())
				require.Equal(t, r.Key(), string(r.Value()))
			}
			require.Equal(t, tt.keys, keys)
		})
	}
}

// A commit whose fate is open gives ErrUnknown, and the request is sent once.
func TestCommitFaults(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	cut := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	tests := []struct {
		name   string
		handle http.HandlerFunc
		err    error
	}{
		{"outage before the write", status(503), tables.ErrUnavailable},
		{"internal error", status(500), tables.ErrUnknown},
		{"bad gateway", status(502), tables.ErrUnknown},
		{"gateway timeout", status(504), tables.ErrUnknown},
		{"request timeout", status(408), tables.ErrUnknown},
		{"malformed request", status(400), tables.ErrRejected},
		{"conflict", status(409), tables.ErrConflict},
		{"redirect", status(307), tables.ErrUnknown},
		{"connection cut", cut, tables.ErrUnknown},
		{"answer cut short", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"version":7}`))
		}, tables.ErrUnknown},
		{"answer malformed", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }, tables.ErrUnknown},
		{"answer without version", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }, tables.ErrUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var received atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if r.Method == http.MethodGet {
					_, _ = fmt.Fprint(w, "{}")
					return
				}
				received.Add(1)
				tt.handle(w, r)
			}))
			defer server.Close()
			c := tables.New(server.URL)
			// The read leaves a kept-alive connection, on which net/http might
			// repeat a request.
			_, err := c.Get(t.Context(), "warm")
			require.NoError(t, err)
			_, err = c.Commit(t.Context(), tables.NewTransaction().Put("k", []byte("v")))
			require.ErrorIs(t, err, tt.err)
			for _, other := range []error{tables.ErrUnavailable, tables.ErrUnknown, tables.ErrRejected, tables.ErrConflict} {
				if other != tt.err {
					require.NotErrorIs(t, err, other)
				}
			}
			require.Equal(t, int32(1), received.Load())
		})
	}
}

func TestCommitCanceledWhileSent(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	}))
	defer server.Close()
	_, err := tables.New(server.URL).Commit(ctx, tables.NewTransaction().Put("k", nil))
	require.ErrorIs(t, err, tables.ErrUnknown)
}

func TestServiceGone(t *testing.T) {
	server := httptest.NewServer(standin.NewTables())
	server.Close()
	c := tables.New(server.URL)
	_, err := c.Commit(t.Context(), tables.NewTransaction().Put("k", nil))
	require.ErrorIs(t, err, tables.ErrUnavailable)
	_, err = c.Get(t.Context(), "k")
	require.ErrorIs(t, err, tables.ErrUnavailable)
	_, err = c.List(t.Context(), "k", 1)
	require.ErrorIs(t, err, tables.ErrUnavailable)
}

func TestStandinFaults(t *testing.T) {
	service, c := newTables(t)
	service.LoseAnswers(1)
	_, err := c.Commit(t.Context(), tables.NewTransaction().Expect("k", 0).Put("k", []byte("v")))
	require.ErrorIs(t, err, tables.ErrUnknown)
	row, err := c.Get(t.Context(), "k")
	require.NoError(t, err)
	require.Equal(t, "v", string(row.Value()))

	service.SetOutage(true)
	_, err = c.Commit(t.Context(), tables.NewTransaction().Put("k", []byte("w")))
	require.ErrorIs(t, err, tables.ErrUnavailable)
	_, err = c.Get(t.Context(), "k")
	require.ErrorIs(t, err, tables.ErrUnavailable)
	service.SetOutage(false)
	row, err = c.Get(t.Context(), "k")
	require.NoError(t, err)
	require.Equal(t, "v", string(row.Value()))
	counts := service.Counts()
	require.Equal(t, standin.TableCounts{Reads: 2, Commits: 1, RowsWritten: 1, LostAnswers: 1}, counts)
}
