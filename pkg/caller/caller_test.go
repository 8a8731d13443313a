package caller_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/pkg/caller"
)

// entry is a stand-in for one entry: it answers the sends of a request in turn.
type entry struct {
	*httptest.Server
	mu      sync.Mutex
	peers   []string
	answers []http.HandlerFunc
	sends   []http.Header
	asked   int
}

func newEntry(t *testing.T, answers ...http.HandlerFunc) *entry {
	e := &entry{answers: answers}
	e.Server = httptest.NewServer(http.HandlerFunc(e.serve))
	t.Cleanup(e.Server.Close)
	return e
}

func (e *entry) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	e.handler(r)(w, r)
}

func (e *entry) handler(r *http.Request) http.HandlerFunc {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.URL.Path != "/addresses" {
		e.sends = append(e.sends, r.Header)
		return e.answers[min(len(e.sends), len(e.answers))-1]
	}
	e.asked++
	list := map[string]any{"addresses": e.peers, "ttlSeconds": 60}
	return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(list) }
}

func (e *entry) received() []http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sends
}

// answerNext sets the answers of the sends after the ones so far.
func (e *entry) answerNext(answers ...http.HandlerFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers = append(make([]http.HandlerFunc, len(e.sends)), answers...)
}

func whole(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Trailer", "Outcome")
	w.WriteHeader(http.StatusCreated)
	_, _ = io.WriteString(w, "seat held")
	w.Header().Set("Outcome", "answered")
}

func cut(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Trailer", "Outcome")
	_, _ = io.WriteString(w, "seat")
}

func broken(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func final(outcome string, retryAfter int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Outcome", outcome)
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(map[string]any{"outcome": outcome, "reason": "why", "retryAfterMs": retryAfter})
	}
}

// unreachable returns the base URL of a port on which nothing listens.
func unreachable(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return "http://" + l.Addr().String()
}

func noWait(context.Context, time.Duration) error { return nil }

func booking() *caller.Request {
	return caller.NewRequest(http.MethodPost, "bookings", "/seats", caller.WithBody([]byte("two")), caller.WithKey())
}

func TestFinalAnswers(t *testing.T) {
	tests := []struct {
		name       string
		answer     http.HandlerFunc
		want       error
		retryAfter time.Duration
	}{
		{"whole", whole, nil, 0},
		{"not run", final("notRun", 250), caller.ErrNotRun, 250 * time.Millisecond},
		{"not run, never come back", final("notRun", 0), caller.ErrNotRun, 0},
		{"unknown", final("unknown", 500), caller.ErrUnknown, 500 * time.Millisecond},
		{"answer cut off", cut, caller.ErrUnknown, time.Second},
		{"connection broken", broken, caller.ErrUnknown, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEntry(t, tt.answer)
			c := caller.New("shop-1", []string{e.URL})
			answer, err := c.Do(context.Background(), booking())
			require.Equal(t, tt.retryAfter, caller.RetryAfter(err))
			require.Len(t, e.received(), 1, "sent once")
			if tt.want != nil {
				require.ErrorIs(t, err, tt.want)
				return
			}
			require.NoError(t, err)
			require.Equal(t, http.StatusCreated, answer.Status())
			require.Equal(t, "seat held", string(answer.Body()))
		})
	}
}

// TestBrokenKeptConnection breaks a kept connection after the request was read:
// net/http by itself would send a request with this header again.
func TestBrokenKeptConnection(t *testing.T) {
	e := newEntry(t, whole)
	c := caller.New("shop-1", []string{e.URL})
	_, err := c.Do(context.Background(), booking())
	require.NoError(t, err)
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		sent := len(e.received())
		e.answerNext(broken, whole)
		_, err = c.Do(context.Background(), caller.NewRequest(method, "bookings", "/seats", caller.WithKey()))
		require.ErrorIs(t, err, caller.ErrUnknown)
		require.Len(t, e.received(), sent+1)
		_, err = c.Do(context.Background(), booking())
		require.NoError(t, err)
	}
}

func TestKeyStaysAndSendsAreNumbered(t *testing.T) {
	e := newEntry(t, final("notRun", 1), final("notRun", 1), final("unknown", 1), final("notRun", 1), whole)
	c := caller.New("shop-1", []string{e.URL}, caller.WithWait(noWait))
	r := booking()
	answer, err := c.Complete(context.Background(), r)
	require.NoError(t, err)
	require.Equal(t, "seat held", string(answer.Body()))
	want := [][2]string{{"1", "0"}, {"2", "1"}, {"3", "2"}, {"4", "2"}, {"5", "2"}}
	require.Len(t, e.received(), len(want))
	for i, h := range e.received() {
		require.Equal(t, r.Key(), h.Get(caller.HeaderIdempotencyKey))
		require.Equal(t, want[i], [2]string{h.Get(caller.HeaderSend), h.Get(caller.HeaderNotRun)})
	}
	require.NotEqual(t, r.Key(), booking().Key())
}

func TestCompleteStops(t *testing.T) {
	tests := []struct {
		name    string
		request *caller.Request
		answer  http.HandlerFunc
		sends   int
	}{
		{"unknown, neither key nor idempotent", caller.NewRequest(http.MethodPost, "pages", "/publish"), final("unknown", 1), 1},
		{"never come back", booking(), final("notRun", 0), 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEntry(t, tt.answer, whole)
			_, err := caller.New("shop-1", []string{e.URL}, caller.WithWait(noWait)).Complete(context.Background(), tt.request)
			require.Error(t, err)
			require.Len(t, e.received(), tt.sends)
		})
	}
}

func TestFailsOverWhenNothingWasSent(t *testing.T) {
	good := newEntry(t, whole)
	dead := unreachable(t)
	good.peers = []string{dead, good.URL}
	c := caller.New("shop-1", []string{dead, good.URL})
	for range 3 {
		_, err := c.Do(context.Background(), booking())
		require.NoError(t, err)
	}
	require.Len(t, good.received(), 3)
	require.Equal(t, "1", good.received()[0].Get(caller.HeaderSend))
	_, err := caller.New("shop-1", []string{dead}).Do(context.Background(), booking())
	require.ErrorIs(t, err, caller.ErrNotRun)
	require.Positive(t, caller.RetryAfter(err))
}

func TestAddressesAreKeptForTheirTimeToLive(t *testing.T) {
	e := newEntry(t, whole)
	e.peers = []string{e.URL}
	now := time.Unix(1000, 0)
	c := caller.New("shop-1", []string{e.URL}, caller.WithNow(func() time.Time { return now }))
	send := func() {
		_, err := c.Do(context.Background(), booking())
		require.NoError(t, err)
	}
	send()
	send()
	require.Equal(t, 1, e.asked)
	now = now.Add(61 * time.Second)
	send()
	require.Equal(t, 2, e.asked)
}

func TestStreamReportsABrokenAnswer(t *testing.T) {
	e := newEntry(t, cut)
	s, err := caller.New("shop-1", []string{e.URL}).Stream(context.Background(), booking())
	require.NoError(t, err)
	defer s.Close()
	body, err := io.ReadAll(s)
	require.Equal(t, "seat", string(body))
	require.True(t, errors.Is(err, caller.ErrUnknown))
}
