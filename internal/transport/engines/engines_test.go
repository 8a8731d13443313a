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
