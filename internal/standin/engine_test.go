package standin_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/state/model"
	"github.com/primrosetally/primrosetally/internal/transport/engines"
)

const (
	conditionWait = 10 * time.Second
	conditionPoll = 2 * time.Millisecond
)

// serving is an engine that serves a small model.
type serving struct {
	engine *standin.Engine
	server *httptest.Server
	client *engines.Client
	first  *model.Manifest
	second *model.Manifest // staged as well
}

func newServing(t *testing.T, options ...standin.EngineOption) serving {
	t.Helper()
	s := serving{engine: standin.NewEngine(options...)}
	s.server = httptest.NewServer(s.engine)
	t.Cleanup(func() {
		s.engine.Close()
		s.server.Close()
	})
	s.client = engines.New(s.server.URL)
	s.first = s.stage(t, "1")
	s.second = s.stage(t, "2")
	s.load(t, s.first)
	return s
}

func (s serving) stage(t *testing.T, version string) *model.Manifest {
	t.Helper()
	put := func(k model.Chunk, data []byte) error { return s.client.PutChunk(t.Context(), k.Digest(), data) }
	m, err := model.Split("faq", version, strings.NewReader("weights "+version), model.MinChunkSize, put)
	require.NoError(t, err)
	return m
}

func (s serving) load(t *testing.T, m *model.Manifest) {
	t.Helper()
	require.NoError(t, s.client.Load(t.Context(), engines.NewOrder(m)))
	require.Eventually(t, func() bool {
		state, err := s.client.State(context.Background())
		return err == nil && state.Serving() == m.ID()
	}, conditionWait, conditionPoll)
}

// open sends a streamed completion and returns its answer.
func (s serving) open(ctx context.Context, t *testing.T, q standin.CompletionRequest) *http.Response {
	t.Helper()
	q.Stream = true
	body, err := json.Marshal(q)
	require.NoError(t, err)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL+engines.PathCompletions, bytes.NewReader(body))
	require.NoError(t, err)
	response, err := s.server.Client().Do(r)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func (s serving) eventually(t *testing.T, condition func(standin.EngineCounts) bool) {
	t.Helper()
	require.Eventually(t, func() bool { return condition(s.engine.Counts()) }, conditionWait, conditionPoll)
}

func TestGoneCallerCancels(t *testing.T) {
	const forever = 1 << 30
	tests := []struct {
		name   string
		cancel func(t *testing.T, s serving, leave context.CancelFunc)
	}{
		{"connection closed", func(_ *testing.T, _ serving, leave context.CancelFunc) { leave() }},
		{"cancelled by its ID", func(t *testing.T, s serving, _ context.CancelFunc) {
			response, err := http.Post(s.server.URL+engines.PathCancel, "application/json", strings.NewReader(`{"requestId":"q"}`))
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusNoContent, response.StatusCode)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newServing(t, standin.WithTokenDelay(time.Millisecond))
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			s.open(ctx, t, standin.CompletionRequest{RequestID: "q", Prompt: "a", MaxTokens: forever})
			tt.cancel(t, s, leave)
			s.eventually(t, func(c standin.EngineCounts) bool { return c.Canceled == 1 })
			require.Zero(t, s.engine.Counts().Finished)
		})
	}
}

// An order that is carried out under a running request mixes its answer, so
// that a test can tell an agent which does not drain.
func TestLoadUnderRunningRequestMixesAnswer(t *testing.T) {
	s := newServing(t, standin.WithTokenDelay(time.Millisecond))
	response := s.open(t.Context(), t, standin.CompletionRequest{Prompt: "a", MaxTokens: 1 << 30})
	lines := bufio.NewScanner(response.Body)
	token := func() (got standin.CompletionToken) {
		for lines.Scan() {
			if data, found := strings.CutPrefix(lines.Text(), "data: "); found {
				require.NoError(t, json.Unmarshal([]byte(data), &got))
				return got
			}
		}
		require.NoError(t, lines.Err())
		return got
	}
	first := token()
	require.Equal(t, standin.Token(s.first.ID(), "a", first.Index), first.Token)
	s.load(t, s.second)
	for range 1000 {
		if got := token(); got.Token == standin.Token(s.second.ID(), "a", got.Index) {
			return
		}
	}
	t.Fatal("no token of the second version within 1000")
}

func TestPriorityOrdersTheQueue(t *testing.T) {
	s := newServing(t, standin.WithCapacity(1), standin.WithTokenDelay(time.Millisecond))
	ctx, leave := context.WithCancel(t.Context())
	s.open(ctx, t, standin.CompletionRequest{RequestID: "first", Prompt: "a", MaxTokens: 1 << 30})
	finished := make(chan error, 3)
	waiting := 0
	for _, q := range []standin.CompletionRequest{
		{RequestID: "low", Prompt: "a", MaxTokens: 1, Priority: 1},
		{RequestID: "high", Prompt: "a", MaxTokens: 1, Priority: 9},
		{RequestID: "middle", Prompt: "a", MaxTokens: 1, Priority: 5},
	} {
		body, err := json.Marshal(q)
		require.NoError(t, err)
		go func() {
			response, err := http.Post(s.server.URL+engines.PathCompletions, "application/json", bytes.NewReader(body))
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			finished <- err
		}()
		waiting++
		require.Eventually(t, func() bool {
			state, err := s.client.State(context.Background())
			return err == nil && state.Waiting() == waiting
		}, conditionWait, conditionPoll)
	}
	leave()
	for range 3 {
		require.NoError(t, <-finished)
	}
	require.Equal(t, []string{"first", "high", "middle", "low"}, s.engine.Admitted())
}

func TestFreezeHoldsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := standin.NewEngine()
		defer engine.Close()
		engine.Freeze(true)
		answered := make(chan int, 1)
		go func() {
			recorder := httptest.NewRecorder()
			engine.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, engines.PathState, nil))
			answered <- recorder.Code
		}()
		synctest.Wait()
		require.Empty(t, answered)
		engine.Freeze(false)
		require.Equal(t, http.StatusOK, <-answered)
	})
}

func TestLoadReportLags(t *testing.T) {
	clock := newClock()
	s := newServing(t, standin.WithTokenDelay(time.Millisecond), standin.WithLoadReportLag(time.Minute), standin.WithEngineClock(clock.now))
	s.open(t.Context(), t, standin.CompletionRequest{Prompt: "a", MaxTokens: 1 << 30})
	running := func() int {
		state, err := s.client.State(t.Context())
		require.NoError(t, err)
		return state.Running()
	}
	require.Zero(t, running())
	clock.advance(time.Minute - time.Second)
	require.Zero(t, running())
	clock.advance(time.Second)
	require.Equal(t, 1, running())
}
