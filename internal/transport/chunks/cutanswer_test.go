package chunks_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/swarm"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1/nodev1connect"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/model"
	"github.com/primrosetally/primrosetally/internal/transport/chunks"
	"github.com/primrosetally/primrosetally/internal/transport/nodes"
)

// holder is an agent that holds all chunks of a manifest.
type holder struct {
	nodev1connect.UnimplementedAgentServiceHandler
	nodev1connect.UnimplementedReplicaServiceHandler
	manifest *model.Manifest
}

const chunkText = "bytes of a chunk"

func (h holder) ChunkMap(context.Context, *connect.Request[nodev1.ChunkMapRequest]) (*connect.Response[nodev1.ChunkMapResponse], error) {
	return connect.NewResponse(&nodev1.ChunkMapResponse{Bitmap: []byte{0xff}, Uploads: 3}), nil
}

func (h holder) FetchChunk(_ context.Context, _ *connect.Request[nodev1.FetchChunkRequest], stream *connect.ServerStream[nodev1.FetchChunkResponse]) error {
	return stream.Send(&nodev1.FetchChunkResponse{Data: []byte(chunkText)})
}

func (h holder) FetchManifest(context.Context, *connect.Request[nodev1.FetchManifestRequest]) (*connect.Response[nodev1.FetchManifestResponse], error) {
	return connect.NewResponse(&nodev1.FetchManifestResponse{Manifest: h.manifest.Encode()}), nil
}

// startHolder returns the address of a holder.
func startHolder(t *testing.T, m *model.Manifest) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(nodev1connect.NewAgentServiceHandler(holder{manifest: m}))
	mux.Handle(nodev1connect.NewReplicaServiceHandler(holder{manifest: m}))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = nodes.ServerProtocols()
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// cutter forwards connections to a server and ends them after a number of bytes of answers.
type cutter struct {
	to    string
	reset bool

	mu    sync.Mutex
	limit int64
}

// listen returns the address of the cutter.
func (c *cutter) listen(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() { // ends with the listener
		for {
			front, err := l.Accept()
			if err != nil {
				return
			}
			go c.forward(front)
		}
	}()
	return l.Addr().String()
}

func (c *cutter) forward(front net.Conn) {
	defer front.Close()
	back, err := net.Dial("tcp", c.to)
	if err != nil {
		return
	}
	defer back.Close()
	go func() { _, _ = io.Copy(back, front) }() // ends with the connections
	c.mu.Lock()
	limit := c.limit
	c.mu.Unlock()
	_, _ = io.CopyN(front, back, limit) // ends with the connections at the latest
	if t, isTCP := front.(*net.TCPConn); isTCP && c.reset {
		_ = t.SetLinger(0) // closing then sends a reset
	}
}

func (c *cutter) setLimit(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = n
}

// An answer of an agent that broke off was taken for an empty or short one: no chunks, a
// part of a chunk, or no manifest.
func TestCutAnswerOfAgent(t *testing.T) {
	const enough = 2 << 10 // bytes, more than any of the answers has
	d := digest.Of([]byte(chunkText))
	m, err := model.New("m", "1", []model.Chunk{model.NewChunk(d, int64(len(chunkText)))}, d)
	require.NoError(t, err)
	for _, test := range []struct {
		name string
		call func(ctx context.Context, p *nodes.Pool, address string) (result string, err error)
		want string
	}{
		{"chunk map", func(ctx context.Context, p *nodes.Pool, address string) (string, error) {
			held, uploads, err := chunks.Map(ctx, p.Agent(address), m)
			return strconv.Itoa(held.Count()) + " held, uploads " + strconv.Itoa(uploads), err
		}, "1 held, uploads 3"},
		{"chunk map over the connection for control", func(ctx context.Context, p *nodes.Pool, address string) (string, error) {
			held, uploads, err := chunks.Map(ctx, p.AgentControl(address), m)
			return strconv.Itoa(held.Count()) + " held, uploads " + strconv.Itoa(uploads), err
		}, "1 held, uploads 3"},
		{"chunk", func(ctx context.Context, p *nodes.Pool, address string) (string, error) {
			body, err := chunks.Fetch(ctx, p.Agent(address), nil, d, 0)
			if err != nil {
				return "", err
			}
			defer body.Close()
			data, err := io.ReadAll(body)
			return string(data), err
		}, chunkText},
		{"manifest", func(ctx context.Context, _ *nodes.Pool, address string) (string, error) {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			got, err := chunks.Manifest(ctx, &http.Client{Transport: transport}, address, "m", 1)
			if got == nil {
				return "no manifest", err
			}
			return string(got.Encode()), err
		}, string(m.Encode())},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(test.name+", reset "+strconv.FormatBool(reset), func(t *testing.T) {
				c := &cutter{to: startHolder(t, m), reset: reset}
				address := c.listen(t)
				failed := 0
				for at := range int64(enough) {
					c.setLimit(at)
					p := nodes.NewPool()
					result, err := test.call(t.Context(), p, address)
					p.Close()
					if err == nil {
						require.Equal(t, test.want, result, "cut after %d bytes", at)
						break
					}
					require.NotErrorIs(t, err, swarm.ErrMissing, "cut after %d bytes", at)
					require.NotErrorIs(t, err, swarm.ErrRefused, "cut after %d bytes", at)
					failed++
				}
				require.Positive(t, failed)
				require.Less(t, failed, enough, "the whole answer arrives")
			})
		}
	}
}
