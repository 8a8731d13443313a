package replica

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/coordination/swarm"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1/nodev1connect"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/model"
	"github.com/primrosetally/primrosetally/internal/transport/chunks"
	"github.com/primrosetally/primrosetally/internal/transport/tcp"
)

// Limits of the exchange, for weights that use the full link for seconds.
const (
	pollInterval = 250 * time.Millisecond
	stallTimeout = 1500 * time.Millisecond
	// takeoverTimeout is the time without progress after which the next agent in rank
	// fetches a chunk instead of its gateway.
	takeoverTimeout = 900 * time.Millisecond
	concurrency     = 4
	// firstBackoff and maxBackoff are the bounds of the backoff of a source that failed.
	// They are short because a recovered origin must be used at once: the whole transfer
	// takes four seconds.
	firstBackoff = 150 * time.Millisecond
	maxBackoff   = 600 * time.Millisecond
	pollTimeout  = 400 * time.Millisecond
)

// newExchange returns an exchange that transfers the chunks of m through the Replica's
// callbacks.
func (r *Replica) newExchange(m *model.Manifest, t target) *swarm.Exchange {
	return swarm.NewExchange(m, r.self,
		swarm.WithLogger(r.logger),
		swarm.WithPickerOptions(
			swarm.WithOriginRegion(r.callbacks.OriginRegion()),
			swarm.WithMaxOriginCopies(1),
			swarm.WithConcurrency(concurrency),
			swarm.WithPollInterval(pollInterval),
			swarm.WithStallTimeout(stallTimeout),
			swarm.WithTakeoverTimeout(takeoverTimeout),
			swarm.WithBackoff(firstBackoff, maxBackoff),
		),
		swarm.WithPollTimeout(pollTimeout),
		swarm.WithCallbacks(swarm.Callbacks{
			ListPeers: r.callbacks.ListPeers,
			ChunkMap: func(ctx context.Context, p member.Member) (swarm.Bitmap, int, error) {
				return r.callbacks.ChunkMap(ctx, p, m)
			},
			FetchPeer: r.callbacks.FetchPeer,
			FetchOrigin: func(ctx context.Context, d digest.Digest, offset int64) (io.ReadCloser, error) {
				return r.fetchOrigin(ctx, t, d, offset)
			},
			Stage:  func(ctx context.Context, c model.Chunk, data []byte) error { return r.stage(ctx, t, m, c, data) },
			Staged: func(context.Context) ([]digest.Digest, error) { return r.stagedDigests(m), nil },
		}))
}

// fetchOrigin opens a chunk at the origin. The origin sends whole chunks only, so the
// bytes before offset are discarded.
func (r *Replica) fetchOrigin(ctx context.Context, t target, d digest.Digest, offset int64) (io.ReadCloser, error) {
	r.mu.Lock()
	chunk, found := r.staging.index[d]
	r.mu.Unlock()
	if !found {
		return nil, eris.Wrap(swarm.ErrMissing, d.Short())
	}
	body, err := r.callbacks.OriginChunk(ctx, t.model, t.version, chunk)
	if err != nil {
		return nil, err
	}
	if _, err := io.CopyN(io.Discard, body, offset); err != nil {
		body.Close()
		return nil, eris.Wrap(err, "discard the bytes of a chunk before the offset")
	}
	return body, nil
}

// stage writes a verified chunk at every index that has it in the manifest.
func (r *Replica) stage(ctx context.Context, t target, m *model.Manifest, c model.Chunk, data []byte) error {
	for i := range m.Chunks() {
		if m.Chunk(i).Digest() != c.Digest() {
			continue
		}
		if err := r.stageAt(ctx, t, i, data); err != nil {
			return err
		}
		r.mu.Lock()
		if r.staging.manifest == m {
			r.staging.staged[i] = true
		}
		r.mu.Unlock()
	}
	return nil
}

// stageAt writes a chunk and records a write without an answer. The write is not canceled
// with ctx, since that would leave its outcome unknown.
func (r *Replica) stageAt(ctx context.Context, t target, chunk int, data []byte) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	err := r.callbacks.Stage(context.WithoutCancel(ctx), t.model, chunk, data)
	if err != nil && !errors.Is(err, ErrRejected) {
		r.mu.Lock()
		r.unanswered.add(t.version)
		r.mu.Unlock()
	}
	return err
}

func (r *Replica) stagedDigests(m *model.Manifest) []digest.Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []digest.Digest
	for i, staged := range r.staging.staged {
		if staged && r.staging.manifest == m {
			list = append(list, m.Chunk(i).Digest())
		}
	}
	return list
}

// Register adds the handlers from which peers fetch chunks and manifests.
func (r *Replica) Register(mux *http.ServeMux) {
	h := handler{replica: r}
	maxMessage := connect.WithReadMaxBytes(tcp.MaxMessage)
	mux.Handle(nodev1connect.NewAgentServiceHandler(h, maxMessage))
	mux.Handle(nodev1connect.NewReplicaServiceHandler(h, maxMessage))
}

type handler struct {
	nodev1connect.UnimplementedAgentServiceHandler
	replica *Replica
}

// ChunkMap returns which chunks of a manifest are staged, and the active uploads.
func (h handler) ChunkMap(_ context.Context, q *connect.Request[nodev1.ChunkMapRequest]) (*connect.Response[nodev1.ChunkMapResponse], error) {
	r := h.replica
	r.mu.Lock()
	defer r.mu.Unlock()
	response := &nodev1.ChunkMapResponse{}
	m := r.staging.manifest
	if m == nil || string(m.ID().Bytes()) != string(q.Msg.GetManifest()) {
		return connect.NewResponse(response), nil
	}
	bitmap := swarm.NewBitmap(m.Chunks())
	for i, staged := range r.staging.staged {
		if staged {
			bitmap.Set(i)
		}
	}
	response.Bitmap = bitmap.Bytes()
	response.Uploads = uint32(r.uploads.ActiveInRegion())
	return connect.NewResponse(response), nil
}

// FetchChunk sends a staged chunk to a peer. It refuses the request if the upload limiter
// or the link's rate limit does not admit it.
func (h handler) FetchChunk(ctx context.Context, q *connect.Request[nodev1.FetchChunkRequest], stream *connect.ServerStream[nodev1.FetchChunkResponse]) error {
	r := h.replica
	d, err := digest.FromBytes(q.Msg.GetDigest())
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	r.mu.Lock()
	i, found := r.staging.index[d]
	found = found && r.staging.staged[i]
	uploads, staging := r.uploads, r.staging
	r.mu.Unlock()
	if !found {
		return connect.NewError(connect.CodeNotFound, swarm.ErrMissing)
	}
	size := staging.manifest.Chunk(i).Size()
	if q.Msg.GetOffset() > uint64(size) {
		return connect.NewError(connect.CodeInvalidArgument, errOffset)
	}
	offset := int64(q.Msg.GetOffset())
	remaining := size - offset
	admission := uploads.Admit(remaining, false)
	if !admission.Admitted {
		return chunks.Refuse(admission.RetryAfter)
	}
	if err := r.awaitLink(ctx, int(remaining)); err != nil {
		uploads.Release(remaining, false)
		return chunks.Refuse(maxLinkWait)
	}
	data, err := r.callbacks.ReadStaged(ctx, staging.manifest.Name(), i, size)
	if err != nil || int64(len(data)) < offset {
		uploads.Release(remaining, false)
		return connect.NewError(connect.CodeNotFound, swarm.ErrMissing)
	}
	err = stream.Send(&nodev1.FetchChunkResponse{Data: data[offset:]})
	uploads.Release(0, false)
	return err
}

// errOffset is returned to a peer that requests bytes beyond the end of a chunk.
var errOffset = eris.New("offset is beyond the end of the chunk")

// maxLinkWait limits how long an upload waits for the link's rate limiter.
const maxLinkWait = 700 * time.Millisecond

// awaitLink applies the rate limit of uploads. The events of live streams are sent over
// the same link, so chunks must not fill its queue.
func (r *Replica) awaitLink(ctx context.Context, size int) error {
	ctx, cancel := context.WithTimeout(ctx, maxLinkWait)
	defer cancel()
	return r.uplink.WaitN(ctx, size)
}
