package replica

import (
	"context"
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

// Bounds of the exchange, for weights that fill a link for seconds.
const (
	pollInterval = 250 * time.Millisecond
	stallTimeout = 1500 * time.Millisecond
	// takeover is the time without progress after which the next in rank draws a
	// chunk in the place of its gateway.
	takeover    = 900 * time.Millisecond
	concurrency = 4
	// firstBackoff and longestBackoff rest a source that failed. An origin that is
	// back must be drawn from at once: the whole transfer takes four seconds.
	firstBackoff   = 150 * time.Millisecond
	longestBackoff = 600 * time.Millisecond
	pollTimeout    = 400 * time.Millisecond
)

// newExchange joins the decisions of the exchange to the functions that move
// bytes.
func (r *Replica) newExchange(m *model.Manifest, w want) *swarm.Exchange {
	return swarm.NewExchange(m, r.self,
		swarm.WithLogger(r.logger),
		swarm.WithPickerOptions(
			swarm.WithOriginRegion(r.seams.OriginRegion()),
			swarm.WithMaxOriginCopies(1),
			swarm.WithConcurrency(concurrency),
			swarm.WithPollInterval(pollInterval),
			swarm.WithStallTimeout(stallTimeout),
			swarm.WithTakeoverTimeout(takeover),
			swarm.WithBackoff(firstBackoff, longestBackoff),
		),
		swarm.WithPollTimeout(pollTimeout),
		swarm.WithCallbacks(swarm.Callbacks{
			ListPeers: r.seams.ListPeers,
			ChunkMap: func(ctx context.Context, p member.Member) (swarm.Bitmap, int, error) {
				return r.seams.ChunkMap(ctx, p, m)
			},
			FetchPeer: r.seams.FetchPeer,
			FetchOrigin: func(ctx context.Context, d digest.Digest, offset int64) (io.ReadCloser, error) {
				return r.fetchOrigin(ctx, w, d, offset)
			},
			Stage:  func(ctx context.Context, c model.Chunk, data []byte) error { return r.stage(ctx, w, m, c, data) },
			Staged: func(context.Context) ([]digest.Digest, error) { return r.stagedDigests(m), nil },
		}))
}

// fetchOrigin opens a chunk at the origin, which sends whole chunks only.
func (r *Replica) fetchOrigin(ctx context.Context, w want, d digest.Digest, offset int64) (io.ReadCloser, error) {
	r.mu.Lock()
	chunk, known := r.held.index[d]
	r.mu.Unlock()
	if !known {
		return nil, eris.Wrap(swarm.ErrMissing, d.Short())
	}
	body, err := r.seams.OriginChunk(ctx, w.model, w.version, chunk)
	if err != nil {
		return nil, err
	}
	if _, err := io.CopyN(io.Discard, body, offset); err != nil {
		body.Close()
		return nil, eris.Wrap(err, "skip what is known of a chunk")
	}
	return body, nil
}

// stage writes a verified chunk to every place that the manifest has it at.
func (r *Replica) stage(ctx context.Context, w want, m *model.Manifest, c model.Chunk, data []byte) error {
	for i := range m.Chunks() {
		if m.Chunk(i).Digest() != c.Digest() {
			continue
		}
		if err := r.seams.Stage(ctx, w.model, i, data); err != nil {
			return err
		}
		r.mu.Lock()
		if r.held.manifest == m {
			r.held.staged[i] = true
		}
		r.mu.Unlock()
	}
	return nil
}

func (r *Replica) stagedDigests(m *model.Manifest) []digest.Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []digest.Digest
	for i, staged := range r.held.staged {
		if staged && r.held.manifest == m {
			list = append(list, m.Chunk(i).Digest())
		}
	}
	return list
}

// Register adds the handlers at which peers ask for chunks and manifests.
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

// ChunkMap tells which chunks of a manifest can be sent.
func (h handler) ChunkMap(_ context.Context, q *connect.Request[nodev1.ChunkMapRequest]) (*connect.Response[nodev1.ChunkMapResponse], error) {
	r := h.replica
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := &nodev1.ChunkMapResponse{}
	m := r.held.manifest
	if m == nil || string(m.ID().Bytes()) != string(q.Msg.GetManifest()) {
		return connect.NewResponse(answer), nil
	}
	bitmap := swarm.NewBitmap(m.Chunks())
	for i, staged := range r.held.staged {
		if staged {
			bitmap.Set(i)
		}
	}
	answer.Bitmap = bitmap.Bytes()
	answer.Uploads = uint32(r.uploads.ActiveInRegion())
	return connect.NewResponse(answer), nil
}

// FetchChunk streams a staged chunk to a peer within the upload budget.
func (h handler) FetchChunk(ctx context.Context, q *connect.Request[nodev1.FetchChunkRequest], stream *connect.ServerStream[nodev1.FetchChunkResponse]) error {
	r := h.replica
	d, err := digest.FromBytes(q.Msg.GetDigest())
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	r.mu.Lock()
	i, known := r.held.index[d]
	known = known && r.held.staged[i]
	uploads, held := r.uploads, r.held
	r.mu.Unlock()
	if !known {
		return connect.NewError(connect.CodeNotFound, swarm.ErrMissing)
	}
	offset := int64(q.Msg.GetOffset())
	left := held.manifest.Chunk(i).Size() - offset
	admission := uploads.Admit(left, false)
	if !admission.Admitted {
		return chunks.Refuse(admission.RetryAfter)
	}
	if err := r.awaitLink(ctx, int(left)); err != nil {
		uploads.Release(left, false)
		return chunks.Refuse(maxLinkWait)
	}
	data, err := r.seams.ReadStaged(ctx, held.manifest.Name(), i)
	if err != nil || int64(len(data)) < offset {
		uploads.Release(left, false)
		return connect.NewError(connect.CodeNotFound, swarm.ErrMissing)
	}
	err = stream.Send(&nodev1.FetchChunkResponse{Data: data[offset:]})
	uploads.Release(0, false)
	return err
}

// maxLinkWait bounds how long an upload waits for its share of the link.
const maxLinkWait = 700 * time.Millisecond

// awaitLink paces uploads. The events of live streams leave over the same link, so
// that a chunk must not queue behind others in it.
func (r *Replica) awaitLink(ctx context.Context, size int) error {
	ctx, cancel := context.WithTimeout(ctx, maxLinkWait)
	defer cancel()
	return r.uplink.WaitN(ctx, size)
}
