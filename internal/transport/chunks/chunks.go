// Package chunks is the calling side of the exchange of chunks between agents.
//
// # Usage
//
//	held, uploads, err := chunks.Map(ctx, pool.Agent(address), manifest)
//	body, err := chunks.Fetch(ctx, pool.Agent(address), origin, digest, offset)
//	if errors.Is(err, swarm.ErrRefused) { ... }
package chunks

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/primrosetally/primrosetally/internal/transport/tcp"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/coordination/swarm"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1/nodev1connect"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/model"
)

// retryAfterHeader of a refused chunk is the time to wait before a retry, in milliseconds.
const retryAfterHeader = "Retry-After-Ms"

// Map requests from an agent which chunks of a manifest it can send, and how many uploads
// it has in progress.
func Map(ctx context.Context, agent nodev1connect.AgentServiceClient, m *model.Manifest) (swarm.Bitmap, int, error) {
	request := &nodev1.ChunkMapRequest{Manifest: m.ID().Bytes()}
	answer, err := agent.ChunkMap(ctx, connect.NewRequest(request))
	if err != nil {
		return swarm.Bitmap{}, 0, err
	}
	return swarm.BitmapFromBytes(m.Chunks(), answer.Msg.GetBitmap()), int(answer.Msg.GetUploads()), nil
}

// Fetch opens the bytes of a chunk at an agent from offset on. A refusal is a
// swarm.RefusedError; the error wraps swarm.ErrMissing where the agent does not
// hold the chunk.
func Fetch(ctx context.Context, agent nodev1connect.AgentServiceClient, from *nodev1.Origin, chunk digest.Digest, offset int64) (io.ReadCloser, error) {
	request := &nodev1.FetchChunkRequest{From: from, Digest: chunk.Bytes(), Offset: uint64(offset)}
	stream, err := agent.FetchChunk(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	// A refusal comes before the first data, so it must be seen before a reader is
	// handed out.
	body := &reader{stream: stream}
	if !stream.Receive() {
		err := refusalOf(stream.Err())
		stream.Close()
		return nil, err
	}
	body.rest = stream.Msg().GetData()
	return body, nil
}

// MaxManifest bounds a manifest that another agent sends, in bytes. It is above the largest one
// that the platform's origin can serve.
const MaxManifest = 2 << 20

// Manifest requests a manifest from an agent; it is nil where the agent has none.
func Manifest(ctx context.Context, client connect.HTTPClient, address, name string, version int64) (*model.Manifest, error) {
	service := nodev1connect.NewReplicaServiceClient(tcp.NewBounded(MaxManifest, client.Do), "http://"+address, connect.WithReadMaxBytes(MaxManifest))
	answer, err := service.FetchManifest(ctx, connect.NewRequest(&nodev1.FetchManifestRequest{Model: name, Version: version}))
	if err != nil || len(answer.Msg.GetManifest()) == 0 {
		return nil, err
	}
	return model.Parse(answer.Msg.GetManifest())
}

// Refuse returns the error by which an agent refuses a chunk for now.
func Refuse(retryAfter time.Duration) error {
	refusal := connect.NewError(connect.CodeResourceExhausted, swarm.ErrRefused)
	refusal.Meta().Set(retryAfterHeader, strconv.FormatInt(retryAfter.Milliseconds(), 10))
	return refusal
}

// refusalOf turns the error of a sender into those of the exchange.
func refusalOf(err error) error {
	var refusal *connect.Error
	if !errors.As(err, &refusal) {
		return eris.Wrap(swarm.ErrMissing, "empty answer")
	}
	switch refusal.Code() {
	case connect.CodeResourceExhausted:
		// A hint that is missing counts as none.
		ms, _ := strconv.Atoi(refusal.Meta().Get(retryAfterHeader))
		return &swarm.RefusedError{RetryAfter: time.Duration(ms) * time.Millisecond}
	case connect.CodeNotFound:
		return eris.Wrap(swarm.ErrMissing, refusal.Message())
	}
	return err
}

// reader reads the data of a stream of chunk messages.
type reader struct {
	stream *connect.ServerStreamForClient[nodev1.FetchChunkResponse]
	rest   []byte
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
		if !r.stream.Receive() {
			if err := r.stream.Err(); err != nil {
				return 0, err
			}
			return 0, io.EOF
		}
		r.rest = r.stream.Msg().GetData()
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// Close implements io.Closer.
func (r *reader) Close() error { return r.stream.Close() }
