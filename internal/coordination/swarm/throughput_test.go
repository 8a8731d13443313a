package swarm_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/swarm"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/model"
)

const benchmarkChunk = 2 << 20

// benchmarkModel returns chunks of 2 MiB, with their bytes.
func benchmarkModel(b *testing.B, size int) (*model.Manifest, map[digest.Digest][]byte) {
	random := rand.NewChaCha8([32]byte{1})
	kept := make(map[digest.Digest][]byte)
	store := func(c model.Chunk, data []byte) error {
		kept[c.Digest()] = bytes.Clone(data)
		return nil
	}
	m, err := model.Split("faq", "1", io.LimitReader(random, int64(size)), benchmarkChunk, store)
	require.NoError(b, err)
	return m, kept
}

// BenchmarkExchangeLoopback fetches a model from three peers over loopback HTTP.
func BenchmarkExchangeLoopback(b *testing.B) {
	for _, size := range []int{32 << 20, 128 << 20} {
		b.Run(fmt.Sprintf("%dMiB", size>>20), func(b *testing.B) {
			m, data := benchmarkModel(b, size)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				d, err := digest.Parse(r.URL.Path[1:])
				if err == nil {
					_, err = w.Write(data[d])
				}
				if err != nil {
					b.Error(err)
				}
			}))
			defer server.Close()
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				require.NoError(b, loopbackExchange(m, server.URL).Run(b.Context()))
			}
		})
	}
}

func loopbackExchange(m *model.Manifest, url string) *swarm.Exchange {
	var members []member.Member
	for i := range 3 {
		members = append(members, member.New(fmt.Sprint("peer-", i), member.RoleAgent, "127.0.0.1:1", member.WithPlace("riga", "riga-a")))
	}
	full := swarm.NewBitmap(m.Chunks())
	for i := range m.Chunks() {
		full.Set(i)
	}
	self := member.New("self", member.RoleAgent, "127.0.0.1:1", member.WithPlace("riga", "riga-a"))
	return swarm.NewExchange(m, self, swarm.WithCallbacks(swarm.Callbacks{
		ListPeers: func(context.Context) ([]member.Member, error) { return members, nil },
		ChunkMap:  func(context.Context, member.Member) (swarm.Bitmap, int, error) { return full, 0, nil },
		FetchPeer: func(ctx context.Context, _ member.Member, d digest.Digest, _ int64) (io.ReadCloser, error) {
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/"+d.String(), nil)
			if err != nil {
				return nil, err
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return nil, err
			}
			return response.Body, nil
		},
		FetchOrigin: func(context.Context, digest.Digest, int64) (io.ReadCloser, error) { return nil, errUnreachable },
		Stage:       func(context.Context, model.Chunk, []byte) error { return nil },
		Staged:      func(context.Context) ([]digest.Digest, error) { return nil, nil },
	}))
}

// BenchmarkSHA256 hashes the same bytes alone, for comparison.
func BenchmarkSHA256(b *testing.B) {
	m, data := benchmarkModel(b, 128<<20)
	b.SetBytes(m.Size())
	for b.Loop() {
		h := sha256.New()
		for i := range m.Chunks() {
			h.Write(data[m.Chunk(i).Digest()])
		}
		h.Sum(nil)
	}
}

// TestMemoryIsFlatInModelSize counts the buffers that chunks arrive in.
func TestMemoryIsFlatInModelSize(t *testing.T) {
	for _, chunks := range []int{16, 64, 256} {
		m, data := weights(t, "1", chunks, 3)
		var mu sync.Mutex
		seen := make(map[*byte]bool)
		x := swarm.NewExchange(m, member.New("self", member.RoleAgent, "127.0.0.1:1"), swarm.WithCallbacks(swarm.Callbacks{
			ListPeers: func(context.Context) ([]member.Member, error) { return []member.Member{}, nil },
			FetchOrigin: func(_ context.Context, d digest.Digest, offset int64) (io.ReadCloser, error) {
				return io.NopCloser(bytes.NewReader(data[d][offset:])), nil
			},
			Stage: func(_ context.Context, _ model.Chunk, b []byte) error {
				mu.Lock()
				defer mu.Unlock()
				seen[&b[0]] = true
				return nil
			},
			Staged: func(context.Context) ([]digest.Digest, error) { return nil, nil },
		}))
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.NoError(t, x.Run(ctx))
		require.LessOrEqual(t, len(seen), 8)
	}
}
