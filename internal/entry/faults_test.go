package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/entry"
	"github.com/primrosetally/primrosetally/internal/standin"
)

const (
	shortWork = time.Millisecond
	longWork  = 300 * time.Millisecond
)

// TestEndpointCrash crashes the endpoint that runs a request. A keyed request is then
// sent again through the other entry; no request may run twice.
func TestEndpointCrash(t *testing.T) {
	s := newSystem(t, shortWork)
	for _, phase := range []standin.CrashPhase{standin.CrashBeforeRun, standin.CrashDuringRun, standin.CrashAfterRun} {
		t.Run("not idempotent "+string(phase), func(t *testing.T) {
			s.crashNext(phase, 1, 1)
			body := "plain " + string(phase)
			f := s.send(0, testRequest{method: http.MethodPost, body: body})
			s.crashNext(phase, 0, 0)
			require.Equal(t, entry.OutcomeUnknown, f.outcome)
			require.LessOrEqual(t, s.runsOfBody(body), uint64(1))
			s.awaitServing()
		})
		t.Run("keyed "+string(phase), func(t *testing.T) {
			s.crashNext(phase, 1, 1)
			q := testRequest{method: http.MethodPost, body: "keyed " + string(phase), key: newKey(), send: 1}
			f := s.send(0, q)
			s.crashNext(phase, 0, 0)
			require.Equal(t, entry.OutcomeUnknown, f.outcome)
			s.awaitServing()
			q.send = 2
			require.Equal(t, entry.OutcomeUnknown, s.send(1, q).outcome)
			require.LessOrEqual(t, s.runsOfKey(q.key), uint64(1))
		})
	}
}

// TestEndpointCrashIdempotent crashes one of two endpoints during idempotent requests.
// Each request must get a complete response from the other endpoint.
func TestEndpointCrashIdempotent(t *testing.T) {
	for _, phase := range []standin.CrashPhase{standin.CrashBeforeRun, standin.CrashDuringRun, standin.CrashAfterRun} {
		t.Run(string(phase), func(t *testing.T) {
			s := newSystem(t, shortWork)
			s.crashNext(phase, 1)
			for i := range 40 {
				f := s.send(i%2, testRequest{method: http.MethodGet, body: fmt.Sprint(i)})
				require.Equal(t, entry.OutcomeAnswered, f.outcome, f.reason)
			}
		})
	}
}

// TestResponseLost loses the endpoint's response after the request has run. The outcome
// must be unknown, and a repeat through the other entry must not run.
func TestResponseLost(t *testing.T) {
	s := newSystem(t, shortWork)
	for _, p := range s.plain {
		p.LoseAnswers(1)
	}
	key := newKey()
	f := s.send(0, testRequest{method: http.MethodPost, body: "seat", key: key, send: 1})
	require.Equal(t, entry.OutcomeUnknown, f.outcome)
	again := s.send(1, testRequest{method: http.MethodPost, body: "seat", key: key, send: 2})
	require.Equal(t, entry.OutcomeUnknown, again.outcome)
	require.EqualValues(t, 1, s.runsOfKey(key))
}

func TestRepeatReturnsStoredResponse(t *testing.T) {
	s := newSystem(t, shortWork)
	key := newKey()
	first := s.send(0, testRequest{method: http.MethodPost, body: "seat", key: key, send: 1})
	require.Equal(t, entry.OutcomeAnswered, first.outcome)
	again := s.send(1, testRequest{method: http.MethodPost, body: "seat", key: key, send: 2})
	require.Equal(t, first, again)
	other := s.send(1, testRequest{method: http.MethodPost, body: "two seats", key: key, send: 3})
	require.Equal(t, http.StatusUnprocessableEntity, other.status)
	require.Equal(t, entry.OutcomeNotRun, other.outcome)
	require.EqualValues(t, 1, s.runsOfKey(key))
	require.Zero(t, s.runsOfBody("two seats"))
}

func TestMalformedKeyIsRefused(t *testing.T) {
	s := newSystem(t, shortWork)
	f := s.send(0, testRequest{method: http.MethodPost, body: "malformed", key: "no time"})
	require.Equal(t, http.StatusBadRequest, f.status)
	require.Equal(t, entry.OutcomeNotRun, f.outcome)
	require.Zero(t, s.runsOfBody("malformed"))
}

// An empty key was taken for none, so that each send of the request could run.
func TestEmptyKeyIsRefused(t *testing.T) {
	s := newSystem(t, shortWork)
	f := s.send(0, testRequest{method: http.MethodPost, body: "empty", noKey: true})
	require.Equal(t, http.StatusBadRequest, f.status)
	require.Equal(t, entry.OutcomeNotRun, f.outcome)
	require.Zero(t, s.runsOfBody("empty"))
}

// TestEntryKilledWithClaimOpen kills the entry while a keyed request runs. A repeat
// through the other entry must not run the request again.
func TestEntryKilledWithClaimOpen(t *testing.T) {
	s := newSystem(t, longWork)
	key := newKey()
	q := testRequest{method: http.MethodPost, body: "seat", key: key, send: 1}
	ended := make(chan error, 1)
	go func() {
		_, err := s.sendContext(context.Background(), 0, q)
		ended <- err
	}()
	s.eventually(func() bool { return s.runsOfKey(key) == 1 })
	s.entries[0].Kill()
	require.Error(t, <-ended)
	q.send = 2
	again := s.send(1, q)
	require.Equal(t, entry.OutcomeUnknown, again.outcome)
	require.Positive(t, again.retryAfter)
	require.EqualValues(t, 1, s.runsOfKey(key))
}

// TestTableUnavailable makes the table unavailable before the claim, between the claim
// and the outcome, and after the outcome.
func TestTableUnavailable(t *testing.T) {
	s := newSystem(t, longWork)
	t.Run("before the claim", func(t *testing.T) {
		tests := []struct {
			name         string
			send, notRun int
			want         string
		}{
			{"first send", 1, 0, entry.OutcomeNotRun},
			{"unnumbered", 0, 0, entry.OutcomeUnknown},
			{"repeat", 2, 0, entry.OutcomeUnknown},
			{"repeat after not run", 2, 1, entry.OutcomeNotRun},
		}
		for _, tt := range tests {
			key := newKey()
			s.tables.SetOutage(true)
			f := s.send(0, testRequest{method: http.MethodPost, body: "seat", key: key, send: tt.send, notRun: tt.notRun})
			s.tables.SetOutage(false)
			require.Equal(t, tt.want, f.outcome, tt.name)
			require.Positive(t, f.retryAfter)
			require.Zero(t, s.runsOfKey(key))
		}
	})
	t.Run("before the claim, then again", func(t *testing.T) {
		key := newKey()
		s.tables.SetOutage(true)
		s.send(0, testRequest{method: http.MethodPost, body: "seat", key: key, send: 1})
		s.tables.SetOutage(false)
		f := s.send(1, testRequest{method: http.MethodPost, body: "seat", key: key, send: 2, notRun: 1})
		require.Equal(t, entry.OutcomeAnswered, f.outcome)
		require.EqualValues(t, 1, s.runsOfKey(key))
	})
	t.Run("response to the claim lost", func(t *testing.T) {
		key := newKey()
		s.tables.LoseAnswers(1)
		f := s.send(0, testRequest{method: http.MethodPost, body: "seat", key: key, send: 1})
		require.Equal(t, entry.OutcomeAnswered, f.outcome)
		require.EqualValues(t, 1, s.runsOfKey(key))
	})
	t.Run("between claim and outcome", func(t *testing.T) {
		key := newKey()
		q := testRequest{method: http.MethodPost, body: "seat", key: key, send: 1}
		responses := make(chan finalResponse, 1)
		go func() {
			f, _ := s.sendContext(context.Background(), 0, q)
			responses <- f
		}()
		s.eventually(func() bool { return s.runsOfKey(key) == 1 })
		s.tables.SetOutage(true)
		first := <-responses
		require.Equal(t, entry.OutcomeAnswered, first.outcome)
		q.send = 2
		require.Equal(t, entry.OutcomeUnknown, s.send(1, q).outcome)
		s.tables.SetOutage(false)
		s.eventually(func() bool {
			q.send++
			return s.send(1, q) == first
		})
		require.EqualValues(t, 1, s.runsOfKey(key))
	})
	t.Run("after the outcome", func(t *testing.T) {
		key := newKey()
		q := testRequest{method: http.MethodPost, body: "seat", key: key, send: 1}
		first := s.send(0, q)
		s.tables.SetOutage(true)
		q.send = 2
		require.Equal(t, entry.OutcomeUnknown, s.send(1, q).outcome)
		s.tables.SetOutage(false)
		q.send = 3
		require.Equal(t, first, s.send(1, q))
		require.EqualValues(t, 1, s.runsOfKey(key))
	})
}

// TestSameKeyConcurrently sends one key through both entries concurrently. The request
// must run once.
func TestSameKeyConcurrently(t *testing.T) {
	s := newSystem(t, shortWork)
	for range 20 {
		key := newKey()
		var wg sync.WaitGroup
		responses := make([]finalResponse, 4)
		for i := range responses {
			wg.Go(func() {
				responses[i] = s.send(i%2, testRequest{method: http.MethodPost, body: "seat", key: key, send: i + 1})
			})
		}
		wg.Wait()
		require.EqualValues(t, 1, s.runsOfKey(key))
		completed := 0
		for _, f := range responses {
			require.NotEqual(t, entry.OutcomeNotRun, f.outcome)
			if f.outcome == entry.OutcomeAnswered {
				completed++
			}
		}
		require.Positive(t, completed)
	}
}

// TestCallerDisconnects cancels a keyed request at the caller while it runs. Its outcome
// must still be stored for a repeat.
func TestCallerDisconnects(t *testing.T) {
	s := newSystem(t, longWork)
	key := newKey()
	q := testRequest{method: http.MethodPost, body: "seat", key: key, send: 1}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := s.sendContext(ctx, 0, q)
		ended <- err
	}()
	s.eventually(func() bool { return s.runsOfKey(key) == 1 })
	cancel()
	require.Error(t, <-ended)
	s.eventually(func() bool {
		q.send++
		return s.send(1, q).outcome == entry.OutcomeAnswered
	})
	require.EqualValues(t, 1, s.runsOfKey(key))
}

// TestAgentDrains stops an agent gracefully while requests run at its endpoint. Those
// requests must complete, and the endpoint must get no new ones.
func TestAgentDrains(t *testing.T) {
	s := newSystem(t, longWork)
	responses := make(chan finalResponse, 16)
	for i := range cap(responses) {
		go func() {
			f, _ := s.sendContext(context.Background(), i%2, testRequest{method: http.MethodPost, body: "in progress"})
			responses <- f
		}()
	}
	s.eventually(func() bool { return s.runsOfBody("in progress") == uint64(cap(responses)) })
	stopped := make(chan error, 1)
	go func() { stopped <- s.agents[0].Stop(context.Background()) }()
	for range cap(responses) {
		require.Equal(t, entry.OutcomeAnswered, (<-responses).outcome)
	}
	require.NoError(t, <-stopped)
	before := s.plain[0].Runs().Total
	for i := range 20 {
		f := s.send(i%2, testRequest{method: http.MethodPost, body: fmt.Sprint("later ", i)})
		require.Equal(t, entry.OutcomeAnswered, f.outcome, f.reason)
	}
	require.Equal(t, before, s.plain[0].Runs().Total)
}
