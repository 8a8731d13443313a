package members_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/transport/members"
)

func entry(name string, incarnation uint64) member.Member {
	return member.New(name, member.RoleEntry, "127.0.0.1:7001",
		member.WithPlace("riga", "riga-a"), member.WithIncarnation(incarnation))
}

// recorder counts the bytes of bodies that the list costs.
type recorder struct {
	http.Handler
	bytes atomic.Int64
}

type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (w countingWriter) Write(data []byte) (int, error) {
	w.bytes.Add(int64(len(data)))
	return w.ResponseWriter.Write(data)
}

func (r *recorder) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.Handler.ServeHTTP(countingWriter{w, &r.bytes}, q)
}

func TestUnchangedListCostsNoBody(t *testing.T) {
	list := standin.NewMembers()
	counted := &recorder{Handler: list}
	server := httptest.NewServer(counted)
	defer server.Close()
	c := members.New(server.URL)
	steps := []struct {
		name    string
		change  func()
		want    []member.Member
		changed bool
	}{
		{"empty", func() {}, []member.Member{}, true},
		{"two", func() { list.Put(entry("b", 1)); list.Put(entry("a", 1)) }, []member.Member{entry("a", 1), entry("b", 1)}, true},
		{"same", func() {}, []member.Member{entry("a", 1), entry("b", 1)}, false},
		{"same written again", func() { list.Put(entry("b", 1)) }, []member.Member{entry("a", 1), entry("b", 1)}, false},
		{"restarted", func() { list.Put(entry("b", 2)) }, []member.Member{entry("a", 1), entry("b", 2)}, true},
		{"removed", func() { list.Remove("a"); list.Remove("none") }, []member.Member{entry("b", 2)}, true},
	}
	for _, s := range steps {
		s.change()
		before := counted.bytes.Load()
		got, err := c.List(t.Context())
		require.NoError(t, err, s.name)
		require.Equal(t, s.want, got, s.name)
		require.Equal(t, s.changed, counted.bytes.Load() > before, s.name)
	}
}

func TestListLags(t *testing.T) {
	now := time.Unix(1_000, 0)
	list := standin.NewMembers(standin.WithLag(20*time.Second), standin.WithMembersClock(func() time.Time { return now }))
	server := httptest.NewServer(list)
	defer server.Close()
	c := members.New(server.URL)
	steps := []struct {
		after  time.Duration
		change func()
		want   []member.Member
	}{
		{0, func() { list.Put(entry("a", 1)) }, []member.Member{}},
		{19 * time.Second, func() { list.Remove("a") }, []member.Member{}},
		{time.Second, func() {}, []member.Member{entry("a", 1)}},
		{18 * time.Second, func() {}, []member.Member{entry("a", 1)}},
		{time.Second, func() {}, []member.Member{}},
	}
	for i, s := range steps {
		now = now.Add(s.after)
		s.change()
		got, err := c.List(t.Context())
		require.NoError(t, err)
		require.Equal(t, s.want, got, "step %d", i)
	}
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name   string
		handle http.HandlerFunc
	}{
		{"outage", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }},
		{"cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"malformed", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "[") }},
		{"cut short", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, `{"members":[]}`)
		}},
		{"unchanged though nothing was read", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotModified) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(tt.handle)
			defer server.Close()
			_, err := members.New(server.URL).List(t.Context())
			require.ErrorIs(t, err, members.ErrUnavailable)
		})
	}
}

func TestChangesOverHTTP(t *testing.T) {
	server := httptest.NewServer(standin.NewMembers())
	defer server.Close()
	tests := []struct {
		name   string
		method string
		path   string
		body   string
		status int
	}{
		{"put", http.MethodPut, "/members/a", `{"name":"a","role":"entry"}`, http.StatusNoContent},
		{"other name", http.MethodPut, "/members/b", `{"name":"a"}`, http.StatusBadRequest},
		{"malformed", http.MethodPut, "/members/b", `{`, http.StatusBadRequest},
		{"delete absent", http.MethodDelete, "/members/c", "", http.StatusNoContent},
		{"lag", http.MethodPost, "/control", `{"lagMs":0}`, http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, err := http.NewRequest(tt.method, server.URL+tt.path, strings.NewReader(tt.body))
			require.NoError(t, err)
			response, err := server.Client().Do(r)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, tt.status, response.StatusCode)
		})
	}
	got, err := members.New(server.URL).List(t.Context())
	require.NoError(t, err)
	require.Len(t, got, 1)
	require.Equal(t, "a", got[0].Name())
}
