package engines_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/model"
	"github.com/primrosetally/primrosetally/internal/transport/engines"
)

const (
	conditionWait = 10 * time.Second
	conditionPoll = 2 * time.Millisecond
)

func newEngine(t *testing.T, options ...standin.EngineOption) (*standin.Engine, *engines.Client) {
	t.Helper()
	engine := standin.NewEngine(options...)
	server := httptest.NewServer(engine)
	t.Cleanup(func() {
		engine.Close()
		server.Close()
	})
	return engine, engines.New(server.URL)
}

// publish splits size bytes of fill and hands every chunk to keep.
func publish(t *testing.T, version string, fill byte, size int, keep func(model.Chunk, []byte) error) *model.Manifest {
	t.Helper()
	data := bytes.Repeat([]byte{fill}, size)
	for i := range data {
		data[i] += byte(i / model.MinChunkSize)
	}
	m, err := model.Split("faq", version, bytes.NewReader(data), model.MinChunkSize, keep)
	require.NoError(t, err)
	return m
}

func stage(t *testing.T, c *engines.Client, version string, fill byte) *model.Manifest {
	t.Helper()
	return publish(t, version, fill, 3*model.MinChunkSize, func(k model.Chunk, data []byte) error {
		return c.PutChunk(t.Context(), k.Digest(), data)
	})
}

func loaded(t *testing.T, c *engines.Client, id digest.Digest) engines.State {
	t.Helper()
	var state engines.State
	require.Eventually(t, func() bool {
		s, err := c.State(context.Background())
		state = s
		return err == nil && !s.Loading() && s.Serving() == id
	}, conditionWait, conditionPoll)
	return state
}

func complete(t *testing.T, c *engines.Client, q standin.CompletionRequest) (*engines.Response, []byte, error) {
	t.Helper()
	body, err := json.Marshal(q)
	require.NoError(t, err)
	request := engines.NewRequest(http.MethodPost, engines.PathCompletions, engines.WithBody(body))
	response, err := c.Do(t.Context(), request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body().Close()
	data, err := io.ReadAll(response.Body())
	return response, data, err
}

func TestLoadAndComplete(t *testing.T) {
	_, c := newEngine(t)
	m := stage(t, c, "1", 1)
	require.NoError(t, c.Load(t.Context(), engines.NewOrder(m, engines.WithFencing(3), engines.WithRevision(1))))
	state := loaded(t, c, m.ID())
	require.Equal(t, m.Whole(), state.Whole())
	require.Equal(t, uint64(3), state.Fencing())
	require.Equal(t, uint64(1), state.Incarnation())

	q := standin.CompletionRequest{Prompt: "open on Sunday?", MaxTokens: 5}
	response, data, err := complete(t, c, q)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.Status())
	require.Equal(t, m.ID(), response.Digest())
	var whole standin.CompletionAnswer
	require.NoError(t, json.Unmarshal(data, &whole))
	require.Len(t, whole.Tokens, 5)
	for i, token := range whole.Tokens {
		require.Equal(t, standin.Token(m.ID(), q.Prompt, i), token.Token)
	}
}

func TestOrders(t *testing.T) {
	tests := []struct {
		name    string
		honours bool
		fencing []uint64 // of orders in turn; even ones ask for version 1, odd ones for 2
		errs    []error
		serves  int // index of the manifest served in the end
		shown   uint64
	}{
		{"growing numbers", true, []uint64{1, 2}, []error{nil, nil}, 1, 2},
		{"old number refused", true, []uint64{5, 4}, []error{nil, engines.ErrFenced}, 0, 5},
		{"same number again", true, []uint64{5, 5}, []error{nil, nil}, 1, 5},
		{"old number ignored", false, []uint64{5, 4}, []error{nil, nil}, 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, c := newEngine(t, standin.WithHonourFencing(tt.honours))
			versions := []*model.Manifest{stage(t, c, "1", 1), stage(t, c, "2", 101)}
			for i, fencing := range tt.fencing {
				err := c.Load(t.Context(), engines.NewOrder(versions[i], engines.WithFencing(fencing)))
				if tt.errs[i] != nil {
					require.ErrorIs(t, err, tt.errs[i])
					continue
				}
				require.NoError(t, err)
				loaded(t, c, versions[i].ID())
			}
			state := loaded(t, c, versions[tt.serves].ID())
			require.Equal(t, versions[tt.serves].Whole(), state.Whole())
			require.Equal(t, tt.shown, state.Fencing())
		})
	}
}

func TestRepeatedOrderLoadsOnce(t *testing.T) {
	engine, c := newEngine(t)
	m := stage(t, c, "1", 1)
	for range 3 {
		require.NoError(t, c.Load(t.Context(), engines.NewOrder(m)))
		loaded(t, c, m.ID())
	}
	require.Equal(t, uint64(1), engine.Counts().Loads)
}

func TestStaging(t *testing.T) {
	_, c := newEngine(t, standin.WithStagingCapacity(3*model.MinChunkSize))
	m := stage(t, c, "1", 1)
	chunk := m.Chunk(1).Digest()
	staged, err := c.Chunks(t.Context())
	require.NoError(t, err)
	require.Len(t, staged, 3)

	stream, err := c.OpenChunk(t.Context(), chunk, model.MinChunkSize-2)
	require.NoError(t, err)
	data, err := io.ReadAll(stream)
	require.NoError(t, err)
	require.NoError(t, stream.Close())
	require.Equal(t, []byte{2, 2}, data)

	require.ErrorIs(t, c.PutChunk(t.Context(), digest.Of([]byte("x")), []byte("x")), engines.ErrStagingFull)
	require.NoError(t, c.DropChunk(t.Context(), chunk))
	require.NoError(t, c.DropChunk(t.Context(), chunk))
	_, err = c.OpenChunk(t.Context(), chunk, 0)
	require.ErrorIs(t, err, engines.ErrMissingChunk)
	require.ErrorIs(t, c.Load(t.Context(), engines.NewOrder(m)), engines.ErrMissingChunk)
	require.NoError(t, c.PutChunk(t.Context(), digest.Of([]byte("x")), []byte("x")))
}

// The sum over the loaded bytes shows weights that are not those ordered.
func TestWholeShowsWrongWeights(t *testing.T) {
	tests := []struct {
		name  string
		spoil func(t *testing.T, e *standin.Engine, c *engines.Client, m *model.Manifest)
	}{
		{"load left a chunk out", func(_ *testing.T, e *standin.Engine, _ *engines.Client, _ *model.Manifest) {
			e.LoadOther(1)
		}},
		{"corrupt chunk staged", func(t *testing.T, _ *standin.Engine, c *engines.Client, m *model.Manifest) {
			require.NoError(t, c.PutChunk(t.Context(), m.Chunk(2).Digest(), make([]byte, model.MinChunkSize)))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			engine, c := newEngine(t)
			m := stage(t, c, "1", 1)
			tt.spoil(t, engine, c, m)
			require.NoError(t, c.Load(t.Context(), engines.NewOrder(m)))
			state := loaded(t, c, m.ID())
			require.NotEqual(t, m.Whole(), state.Whole())

			// Once the cause is gone, the same order brings the right weights.
			m = stage(t, c, "1", 1)
			require.NoError(t, c.Load(t.Context(), engines.NewOrder(m)))
			require.Eventually(t, func() bool {
				s, err := c.State(context.Background())
				return err == nil && s.Serving() == m.ID() && s.Whole() == m.Whole()
			}, conditionWait, conditionPoll)
		})
	}
}

func TestStreamAndResume(t *testing.T) {
	_, c := newEngine(t)
	m := stage(t, c, "1", 1)
	require.NoError(t, c.Load(t.Context(), engines.NewOrder(m)))
	loaded(t, c, m.ID())
	tests := []struct {
		name string
		from int
		n    int
	}{
		{"whole", 0, 100},
		{"resumed", 37, 100},
		{"nothing left", 100, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := standin.CompletionRequest{Prompt: "returns?", MaxTokens: tt.n, Stream: true, ResumeFrom: tt.from}
			response, data, err := complete(t, c, q)
			require.NoError(t, err)
			require.Equal(t, "text/event-stream", response.Header().Get("Content-Type"))
			require.Equal(t, "1", response.Header().Get(engines.HeaderIncarnation))
			var want bytes.Buffer
			for i := tt.from; i < tt.n; i++ {
				line, err := json.Marshal(standin.CompletionToken{Index: i, Token: standin.Token(m.ID(), q.Prompt, i)})
				require.NoError(t, err)
				want.WriteString("data: " + string(line) + "\n\n")
			}
			want.WriteString("data: [DONE]\n\n")
			require.Equal(t, want.String(), string(data))
		})
	}
}

// A request that fails is at the engine at most once, and the error tells
// whether it can have run.
func TestDoFaults(t *testing.T) {
	tests := []struct {
		name string
		set  func(e *standin.Engine)
		q    standin.CompletionRequest
		err  error // of Do or of reading the body
		runs uint64
	}{
		{"whole answer", func(*standin.Engine) {}, standin.CompletionRequest{Prompt: "a", MaxTokens: 3}, nil, 1},
		{"poison", func(*standin.Engine) {}, standin.CompletionRequest{Prompt: standin.PoisonMarker, MaxTokens: 3}, engines.ErrUnknown, 1},
		{"down", func(e *standin.Engine) { e.Crash() }, standin.CompletionRequest{Prompt: "a", MaxTokens: 3}, engines.ErrUnknown, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			engine, c := newEngine(t, standin.WithRestartDelay(time.Hour))
			m := stage(t, c, "1", 1)
			require.NoError(t, c.Load(t.Context(), engines.NewOrder(m)))
			loaded(t, c, m.ID())
			tt.set(engine)
			_, _, err := complete(t, c, tt.q)
			require.ErrorIs(t, err, tt.err)
			require.Equal(t, tt.runs, engine.Counts().Runs)
		})
	}
}

func TestDoWithKeyIsNotRepeated(t *testing.T) {
	service := standin.NewPlain()
	server := httptest.NewServer(service)
	defer server.Close()
	c := engines.New(server.URL)
	_, err := c.State(t.Context()) // leaves a kept-alive connection
	require.NoError(t, err)
	service.LoseAnswers(1)
	request := engines.NewRequest(http.MethodPost, "/bookings",
		engines.WithHeader("Idempotency-Key", "seat-1"), engines.WithBody([]byte("two seats")))
	_, err = c.Do(t.Context(), request)
	require.ErrorIs(t, err, engines.ErrUnknown)
	require.Equal(t, map[string]uint64{"seat-1": 1}, service.Runs().ByKey)
}

func TestEngineGone(t *testing.T) {
	server := httptest.NewServer(standin.NewPlain())
	server.Close()
	c := engines.New(server.URL)
	m := publish(t, "1", 1, 10, func(model.Chunk, []byte) error { return nil })
	calls := []struct {
		name string
		call func() error
	}{
		{"state", func() error { _, err := c.State(t.Context()); return err }},
		{"chunks", func() error { _, err := c.Chunks(t.Context()); return err }},
		{"open", func() error { _, err := c.OpenChunk(t.Context(), m.ID(), 0); return err }},
		{"put", func() error { return c.PutChunk(t.Context(), m.ID(), nil) }},
		{"drop", func() error { return c.DropChunk(t.Context(), m.ID()) }},
		{"load", func() error { return c.Load(t.Context(), engines.NewOrder(m)) }},
		{"do", func() error { _, err := c.Do(t.Context(), engines.NewRequest(http.MethodPost, "/x")); return err }},
	}
	for _, tt := range calls {
		t.Run(tt.name, func(t *testing.T) {
			require.ErrorIs(t, tt.call(), engines.ErrUnavailable)
		})
	}
}

func TestCrashCutsStreamAndForgets(t *testing.T) {
	engine, c := newEngine(t, standin.WithTokenDelay(time.Millisecond), standin.WithRestartDelay(time.Millisecond))
	m := stage(t, c, "1", 1)
	require.NoError(t, c.Load(t.Context(), engines.NewOrder(m)))
	loaded(t, c, m.ID())
	body, err := json.Marshal(standin.CompletionRequest{Prompt: "a", MaxTokens: 1 << 30, Stream: true})
	require.NoError(t, err)
	response, err := c.Do(t.Context(), engines.NewRequest(http.MethodPost, engines.PathCompletions, engines.WithBody(body)))
	require.NoError(t, err)
	defer response.Body().Close()
	_, err = response.Body().Read(make([]byte, 16))
	require.NoError(t, err)

	engine.Crash()
	_, err = io.Copy(io.Discard, response.Body())
	require.Error(t, err)
	var state engines.State
	require.Eventually(t, func() bool {
		state, err = c.State(context.Background())
		return err == nil
	}, conditionWait, conditionPoll)
	require.Equal(t, uint64(2), state.Incarnation())
	require.True(t, state.Serving().IsZero())
	staged, err := c.Chunks(t.Context())
	require.NoError(t, err)
	require.Empty(t, staged)
}
