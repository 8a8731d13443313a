package once_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/transport/once"
)

// closer answers the first request and closes the kept-alive connection after
// it has read each of the others.
type closer struct {
	received atomic.Int32
}

func (c *closer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if c.received.Add(1) == 1 {
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_ = conn.Close()
}

var replayable = []struct {
	name   string
	method string
	header string
	body   string
}{
	{"idempotency key with a body", http.MethodPost, "Idempotency-Key", "book a seat"},
	{"idempotency key without a body", http.MethodPost, "Idempotency-Key", ""},
	{"old form of the key", http.MethodPost, "X-Idempotency-Key", "book a seat"},
	{"post without a key", http.MethodPost, "", "book a seat"},
	{"get", http.MethodGet, "", ""},
	{"delete", http.MethodDelete, "Idempotency-Key", ""},
}

func newRequest(t *testing.T, method, url, header, body string) *http.Request {
	t.Helper()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequest(method, url, reader)
	require.NoError(t, err)
	if header != "" {
		r.Header.Set(header, "42")
	}
	return r
}

func TestBrokenConnectionIsNotRepeated(t *testing.T) {
	for _, tt := range replayable {
		t.Run(tt.name, func(t *testing.T) {
			peer := &closer{}
			server := httptest.NewServer(peer)
			defer server.Close()
			client := once.NewClient(once.NewTransport())
			response, err := client.Do(t.Context(), newRequest(t, http.MethodPost, server.URL, "", "warm"))
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, response.Body)
			require.NoError(t, response.Body.Close())

			_, err = client.Do(t.Context(), newRequest(t, tt.method, server.URL, tt.header, tt.body))
			require.ErrorIs(t, err, once.ErrNoAnswer)
			require.Equal(t, int32(2), peer.received.Load())
		})
	}
}

// The hazard is real: the plain client repeats a request with a key.
func TestPlainClientRepeats(t *testing.T) {
	peer := &closer{}
	server := httptest.NewServer(peer)
	defer server.Close()
	response, err := server.Client().Post(server.URL, "text/plain", bytes.NewReader([]byte("warm")))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	r := newRequest(t, http.MethodPost, server.URL, "Idempotency-Key", "book a seat")
	_, err = server.Client().Do(r)
	require.Error(t, err)
	require.Equal(t, int32(3), peer.received.Load())
}

func TestNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	tests := []struct {
		name string
		ctx  context.Context
	}{
		{"connection refused", t.Context()},
		{"context ended before", canceled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := once.NewClient(once.NewTransport())
			_, err := client.Do(tt.ctx, newRequest(t, http.MethodPost, "http://"+address, "", "x"))
			require.ErrorIs(t, err, once.ErrNotSent)
			require.NotErrorIs(t, err, once.ErrNoAnswer)
		})
	}
}

func TestRedirectIsNotFollowed(t *testing.T) {
	var received atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	client := once.NewClient(once.NewTransport())
	response, err := client.Do(t.Context(), newRequest(t, http.MethodPost, server.URL, "", "x"))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusTemporaryRedirect, response.StatusCode)
	require.Equal(t, int32(1), received.Load())
}
