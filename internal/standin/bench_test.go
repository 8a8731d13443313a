package standin_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/state/model"
	"github.com/primrosetally/primrosetally/internal/transport/engines"
	"github.com/primrosetally/primrosetally/internal/transport/tables"
)

// BenchmarkTables measures what the stand-in leaves of the table service's
// several hundred writes and two thousand reads a second.
func BenchmarkTables(b *testing.B) {
	server := httptest.NewServer(standin.NewTables())
	defer server.Close()
	c := tables.New(server.URL)
	b.Run("commit", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			if _, err := c.Commit(b.Context(), tables.NewTransaction().Put(strconv.Itoa(i%1000), []byte("v"))); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("get", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			if _, err := c.Get(b.Context(), strconv.Itoa(i%1000)); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkTokens measures the tokens that one engine streams to one caller.
func BenchmarkTokens(b *testing.B) {
	const tokens = 10_000
	engine := standin.NewEngine()
	server := httptest.NewServer(engine)
	defer server.Close()
	defer engine.Close()
	c := engines.New(server.URL)
	put := func(k model.Chunk, data []byte) error { return c.PutChunk(b.Context(), k.Digest(), data) }
	m, err := model.Split("faq", "1", strings.NewReader("weights"), model.MinChunkSize, put)
	if err != nil {
		b.Fatal(err)
	}
	if err := c.Load(b.Context(), engines.NewOrder(m)); err != nil {
		b.Fatal(err)
	}
	require.Eventually(b, func() bool {
		state, err := c.State(b.Context())
		return err == nil && state.Serving() == m.ID()
	}, conditionWait, conditionPoll)
	body, _ := json.Marshal(standin.CompletionRequest{Prompt: "a", MaxTokens: tokens, Stream: true})
	for b.Loop() {
		response, err := http.Post(server.URL+engines.PathCompletions, "application/json", bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	b.ReportMetric(tokens*float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}
