package fleetprocess

import (
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/watch"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/model"
	"github.com/primrosetally/primrosetally/internal/transport/chunks"
	"github.com/primrosetally/primrosetally/internal/transport/entries"
	"github.com/primrosetally/primrosetally/platform"
)

// serveEndless answers calls of agents with messages without end: a stream states a large one
// first.
func serveEndless(w http.ResponseWriter, r *http.Request) {
	const stated = 30 << 20 // bytes
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
	if strings.HasSuffix(r.URL.Path, "FetchChunk") {
		_, _ = w.Write(binary.BigEndian.AppendUint32([]byte{0}, stated))
	}
	block := make([]byte, 32<<10)
	for err := error(nil); err == nil; {
		_, err = w.Write(block)
	}
}

// Peers, endpoints, the origin and the store send without end, to all calls that an agent has
// in progress at a time. What it holds of that stays far below its memory, 152 MB.
func TestEndlessAnswersTakeMemoryOfAgent(t *testing.T) {
	const (
		most      = 96 << 20 // bytes
		transfers = 4        // at a time, of the exchange of weights
		reads     = 32       // of staged chunks
		polled    = 12       // peers
		// chunkBytes is the size of a chunk of the platform's sites.
		chunkBytes = 24 << 10
		// retryPause is the least time after which an agent makes a failed call again.
		retryPause = 30 * time.Millisecond
	)
	server := httptest.NewUnstartedServer(http.HandlerFunc(serveEndless))
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols = &protocols
	server.Start()
	defer server.Close()
	address := server.Listener.Addr().String()
	text := []byte("chunk")
	m, err := model.New("m", "2", []model.Chunk{model.NewChunk(digest.Of(text), int64(len(text)))}, digest.Of(text))
	require.NoError(t, err)
	pool, client := newPeerPool(), newManifestClient()
	tables := entries.NewClient(entries.WithMaxMessage(maxTableCopy))
	engine, store := platform.NewEngine(address), platform.NewStore(address)
	calls := []struct {
		name  string
		count int
		make  func(ctx context.Context) error
	}{
		{"chunks of peers", transfers, func(ctx context.Context) error {
			body, err := chunks.Fetch(ctx, pool.Agent(address), &nodev1.Origin{}, digest.Of(text), 0)
			if err == nil {
				_, err = io.Copy(io.Discard, body)
			}
			return err
		}},
		{"maps of peers", polled, func(ctx context.Context) error {
			_, _, err := chunks.Map(ctx, pool.AgentControl(address), m)
			return err
		}},
		{"manifest of a peer", 1, func(ctx context.Context) error {
			_, err := chunks.Manifest(ctx, client, address, "m", 2)
			return err
		}},
		{"tables of an entry", 2, func(ctx context.Context) error {
			_, err := tables.FetchRows(ctx, address, nodev1.Table_TABLE_ENDPOINTS, watch.Position{})
			return err
		}},
		{"staged chunks", reads, func(ctx context.Context) error {
			_, err := engine.ReadStaged(ctx, "m", 0, chunkBytes)
			return err
		}},
		{"manifest of the origin", 1, func(ctx context.Context) error {
			_, err := engine.Manifest(ctx, "m", 2)
			return err
		}},
		{"tables of the store", 2, func(ctx context.Context) error {
			_, err := store.List(ctx, platform.TableEndpoints)
			return err
		}},
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	before := liveHeap()
	var work sync.WaitGroup
	for _, c := range calls {
		for range c.count {
			work.Go(func() {
				for ; ctx.Err() == nil; sleep(ctx, retryPause) {
					if err := c.make(ctx); err == nil {
						t.Errorf("%s: no error", c.name)
						return
					}
				}
			})
		}
	}
	peak := uint64(0)
	for ctx.Err() == nil {
		now := liveHeap()
		peak = max(peak, now-min(before, now))
		time.Sleep(5 * time.Millisecond)
	}
	work.Wait()
	t.Logf("%d KB", peak>>10)
	require.Less(t, peak, uint64(most))
}

// liveHeap returns the bytes of the objects that the last collection found in use.
func liveHeap() uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	runtime.GC()
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
