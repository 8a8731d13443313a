package objects_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/transport/objects"
)

func newObjects(t *testing.T, options ...standin.ObjectsOption) (*standin.Objects, *objects.Client) {
	t.Helper()
	store := standin.NewObjects(options...)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return store, objects.New(server.URL)
}

func TestPutGetExists(t *testing.T) {
	_, c := newObjects(t)
	tests := []struct {
		name string
		key  string
		data []byte
	}{
		{"small", "manifests/1", []byte("abc")},
		{"empty", "sections/0", []byte{}},
		{"many blocks", "chunks/2", bytes.Repeat([]byte("0123456789abcdef"), 10_000)},
		{"key to be escaped", "sections/a b%?#", []byte("x")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			found, err := c.Exists(t.Context(), tt.key)
			require.NoError(t, err)
			require.False(t, found)
			_, err = c.Get(t.Context(), tt.key)
			require.ErrorIs(t, err, objects.ErrNotFound)
			require.NoError(t, c.Put(t.Context(), tt.key, tt.data))
			require.NoError(t, c.Put(t.Context(), tt.key, tt.data))
			found, err = c.Exists(t.Context(), tt.key)
			require.NoError(t, err)
			require.True(t, found)
			data, err := c.Get(t.Context(), tt.key)
			require.NoError(t, err)
			require.Equal(t, tt.data, data)
		})
	}
}

func TestOpen(t *testing.T) {
	ignoresRange := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("0123456789"))
	})
	store := standin.NewObjects()
	store.Store("chunks/1", []byte("0123456789"))
	servers := []struct {
		name   string
		handle http.Handler
	}{
		{"honours range", store},
		{"ignores range", ignoresRange},
	}
	tests := []struct {
		name   string
		offset int64
		want   string
	}{
		{"start", 0, "0123456789"},
		{"middle", 4, "456789"},
		{"end", 10, ""},
		{"beyond", 11, ""},
	}
	for _, s := range servers {
		server := httptest.NewServer(s.handle)
		defer server.Close()
		for _, tt := range tests {
			t.Run(s.name+" "+tt.name, func(t *testing.T) {
				stream, err := objects.New(server.URL).Open(t.Context(), "chunks/1", tt.offset)
				require.NoError(t, err)
				defer stream.Close()
				data, err := io.ReadAll(stream)
				require.NoError(t, err)
				require.Equal(t, tt.want, string(data))
			})
		}
	}
}

func TestFaults(t *testing.T) {
	answers := func(code int, header ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if len(header) == 2 {
				w.Header().Set(header[0], header[1])
			}
			w.WriteHeader(code)
		}
	}
	tests := []struct {
		name   string
		handle http.HandlerFunc
		err    error
		wait   time.Duration
	}{
		{"outage", answers(503), objects.ErrUnavailable, 0},
		{"slow down", answers(503, "Retry-After", "3"), objects.ErrSlowDown, 3 * time.Second},
		{"too many requests", answers(429), objects.ErrSlowDown, time.Second},
		{"malformed wait", answers(429, "Retry-After", "soon"), objects.ErrSlowDown, time.Second},
		{"internal error", answers(500), objects.ErrUnavailable, 0},
		{"forbidden", answers(403), objects.ErrUnavailable, 0},
		{"cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, objects.ErrUnavailable, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(tt.handle)
			defer server.Close()
			c := objects.New(server.URL)
			_, errGet := c.Get(t.Context(), "k")
			_, errExists := c.Exists(t.Context(), "k")
			errPut := c.Put(t.Context(), "k", []byte("v"))
			for _, err := range []error{errGet, errExists, errPut} {
				require.ErrorIs(t, err, tt.err)
				require.Equal(t, tt.wait, objects.RetryAfter(err))
			}
		})
	}
}

func TestStreamCutShort(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = w.Write([]byte("01234"))
	}))
	defer server.Close()
	c := objects.New(server.URL)
	stream, err := c.Open(t.Context(), "k", 0)
	require.NoError(t, err)
	defer stream.Close()
	data, err := io.ReadAll(stream)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, "01234", string(data))
	_, err = c.Get(t.Context(), "k")
	require.ErrorIs(t, err, objects.ErrUnavailable)
}

func TestCorruptFractionDependsOnSeed(t *testing.T) {
	const reads = 200
	pattern := func(seed uint64) (corrupt []bool) {
		store, c := newObjects(t, standin.WithSeed(seed))
		store.Store("chunks/1", []byte("0123456789"))
		store.CorruptFraction(0.25)
		for range reads {
			data, err := c.Get(t.Context(), "chunks/1")
			require.NoError(t, err)
			require.Len(t, data, 10)
			corrupt = append(corrupt, string(data) != "0123456789")
		}
		return corrupt
	}
	first := pattern(1)
	require.Equal(t, first, pattern(1))
	require.NotEqual(t, first, pattern(2))
	bad := 0
	for _, c := range first {
		if c {
			bad++
		}
	}
	require.InDelta(t, reads/4, bad, reads/8)
}

func TestCountsByPrefix(t *testing.T) {
	store, c := newObjects(t, standin.WithRate(1<<30))
	require.NoError(t, c.Put(t.Context(), "chunks/1", make([]byte, 100_000)))
	require.NoError(t, c.Put(t.Context(), "manifests/1", make([]byte, 500)))
	for _, key := range []string{"chunks/1", "chunks/1", "manifests/1"} {
		_, err := c.Get(t.Context(), key)
		require.NoError(t, err)
	}
	counts := store.Counts()
	require.Equal(t, uint64(200_500), counts.BytesServed)
	require.Equal(t, map[string]uint64{"chunks": 200_000, "manifests": 500}, counts.BytesServedByPrefix)
	require.Equal(t, uint64(2), counts.Writes)
}

func TestTooManyStreams(t *testing.T) {
	store, c := newObjects(t, standin.WithMaxStreams(1))
	store.Store("chunks/1", make([]byte, 8<<20)) // more than the sockets buffer
	first, err := c.Open(t.Context(), "chunks/1", 0)
	require.NoError(t, err)
	_, err = c.Open(t.Context(), "chunks/1", 0)
	require.ErrorIs(t, err, objects.ErrSlowDown)
	var slow *objects.SlowDownError
	require.True(t, errors.As(err, &slow))
	require.Equal(t, time.Second, slow.RetryAfter())
	require.NoError(t, first.Close())
}
