package agent

import (
	"context"
	"io"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/coordination/swarm"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/model"
	"github.com/primrosetally/primrosetally/internal/transport/chunks"
	"github.com/primrosetally/primrosetally/internal/transport/engines"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// newExchange joins the decisions of a transfer to the functions that move bytes.
func (a *Agent) newExchange(m *model.Manifest, s configtext.Service) *swarm.Exchange {
	c := a.node.Snapshot().Config()
	return swarm.NewExchange(m, a.node.Self(),
		swarm.WithLogger(a.node.Logger()),
		swarm.WithDownloadRate(a.downloadRate),
		swarm.WithPickerOptions(
			swarm.WithOriginRegion(c.Properties().StoreRegion()),
			swarm.WithMaxOriginCopies(int(s.MaxOriginCopies())),
			swarm.WithRegionLink(a.linkRate(c), swarm.DefaultLinkShare),
		),
		swarm.WithCallbacks(swarm.Callbacks{
			ListPeers:   func(context.Context) ([]member.Member, error) { return a.peers(), nil },
			ChunkMap:    func(ctx context.Context, p member.Member) (swarm.Bitmap, int, error) { return a.chunkMap(ctx, p, m) },
			FetchPeer:   a.fetchPeer,
			FetchOrigin: a.fetchOrigin,
			Stage:       a.stage,
			Staged:      a.stagedChunks,
		}))
}

// linkRate returns the rate of the links into this process's region, in bytes a
// second; the settings may lower it.
func (a *Agent) linkRate(c *configtext.Config) float64 {
	for _, r := range c.Regions() {
		if r.Name() == a.node.Self().Region() {
			return min(float64(r.LinkBitsPerSecond())/bitsPerByte, a.regionLinkRate)
		}
	}
	return a.regionLinkRate
}

// peers returns the live members that serve the same service.
func (a *Agent) peers() []member.Member {
	var list []member.Member
	for _, m := range a.node.Members() {
		if m.Role() == member.RoleAgent && m.Service() == a.node.Self().Service() && m.State() == member.StateLive {
			list = append(list, m)
		}
	}
	return list
}

func (a *Agent) chunkMap(ctx context.Context, p member.Member, m *model.Manifest) (swarm.Bitmap, int, error) {
	return chunks.Map(ctx, a.node.Pool().Agent(p.Address()), m)
}

func (a *Agent) fetchPeer(ctx context.Context, p member.Member, chunk digest.Digest, offset int64) (io.ReadCloser, error) {
	return chunks.Fetch(ctx, a.node.Pool().Agent(p.Address()), a.node.From(), chunk, offset)
}

func (a *Agent) fetchOrigin(ctx context.Context, chunk digest.Digest, offset int64) (io.ReadCloser, error) {
	return a.node.Platform().Origin().Open(ctx, ChunkPrefix+chunk.String(), offset)
}

func (a *Agent) stage(ctx context.Context, c model.Chunk, data []byte) error {
	if err := a.engine.PutChunk(ctx, c.Digest(), data); err != nil {
		return err
	}
	a.weights.mu.Lock()
	defer a.weights.mu.Unlock()
	a.weights.staged[c.Digest()] = true
	return nil
}

// stagedChunks asks the engine what it holds, so that a restarted agent goes on
// where the one before it stopped.
func (a *Agent) stagedChunks(ctx context.Context) ([]digest.Digest, error) {
	list, err := a.engine.Chunks(ctx)
	if err != nil {
		return nil, err
	}
	a.weights.mu.Lock()
	defer a.weights.mu.Unlock()
	clear(a.weights.staged)
	for _, d := range list {
		a.weights.staged[d] = true
	}
	return list, nil
}

// dropOldChunks frees the staging area of chunks that the wanted manifest does
// not have. A chunk that cannot be dropped is tried again after the next switch.
func (a *Agent) dropOldChunks(ctx context.Context, m *model.Manifest) {
	kept := make(map[digest.Digest]bool, m.Chunks())
	for i := range m.Chunks() {
		kept[m.Chunk(i).Digest()] = true
	}
	for _, d := range a.weights.notIn(kept) {
		if a.engine.DropChunk(ctx, d) == nil {
			a.weights.drop(d)
		}
	}
}

// notIn returns the staged chunks that are in neither kept nor the wanted
// manifest, which may be newer than the one just loaded.
func (w *weights) notIn(kept map[digest.Digest]bool) []digest.Digest {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wanted != nil {
		for i := range w.wanted.manifest.Chunks() {
			kept[w.wanted.manifest.Chunk(i).Digest()] = true
		}
	}
	var list []digest.Digest
	for d := range w.staged {
		if !kept[d] {
			list = append(list, d)
		}
	}
	return list
}

func (w *weights) drop(d digest.Digest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.staged, d)
}

// ChunkMap tells which chunks of a manifest this agent can send.
func (h handler) ChunkMap(_ context.Context, r *connect.Request[nodev1.ChunkMapRequest]) (*connect.Response[nodev1.ChunkMapResponse], error) {
	w := &h.agent.weights
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := &nodev1.ChunkMapResponse{}
	if w.wanted == nil || string(w.wanted.manifest.ID().Bytes()) != string(r.Msg.GetManifest()) {
		return connect.NewResponse(answer), nil
	}
	bitmap := swarm.NewBitmap(w.wanted.manifest.Chunks())
	for i := range w.wanted.manifest.Chunks() {
		if w.staged[w.wanted.manifest.Chunk(i).Digest()] {
			bitmap.Set(i)
		}
	}
	answer.Bitmap = bitmap.Bytes()
	answer.Uploads = uint32(w.wanted.uploads.ActiveInRegion())
	return connect.NewResponse(answer), nil
}

// FetchChunk streams a staged chunk to a peer within the upload budget.
func (h handler) FetchChunk(ctx context.Context, r *connect.Request[nodev1.FetchChunkRequest], stream *connect.ServerStream[nodev1.FetchChunkResponse]) error {
	a := h.agent
	d, err := digest.FromBytes(r.Msg.GetDigest())
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	uploads, size := a.weights.uploadOf(d)
	if uploads == nil {
		return connect.NewError(connect.CodeNotFound, engines.ErrMissingChunk)
	}
	left := size - int64(r.Msg.GetOffset())
	if left <= 0 {
		return connect.NewError(connect.CodeInvalidArgument, eris.Errorf("offset %d of %d bytes", r.Msg.GetOffset(), size))
	}
	crossing := a.crossing(r.Msg.GetFrom())
	admission := uploads.Admit(left, crossing)
	if !admission.Admitted {
		return chunks.Refuse(admission.RetryAfter)
	}
	sent, err := a.sendChunk(ctx, d, int64(r.Msg.GetOffset()), stream)
	uploads.Release(max(left-sent, 0), crossing)
	a.weights.countSent(sent)
	return err
}

// uploadOf returns the upload budget that a chunk of the wanted manifest counts
// against, and the chunk's size; nil for a chunk that is not staged.
func (w *weights) uploadOf(d digest.Digest) (*swarm.UploadLimiter, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wanted == nil || !w.staged[d] {
		return nil, 0
	}
	for i := range w.wanted.manifest.Chunks() {
		if c := w.wanted.manifest.Chunk(i); c.Digest() == d {
			return w.wanted.uploads, c.Size()
		}
	}
	return nil, 0
}

// crossing reports whether a peer stands in another region.
func (a *Agent) crossing(from *nodev1.Origin) bool {
	p, ok := a.node.View().Get(from.GetName())
	return ok && p.Member().Region() != a.node.Self().Region()
}

// sendChunk streams a chunk from offset on out of the staging area and returns
// the bytes sent.
func (a *Agent) sendChunk(ctx context.Context, d digest.Digest, offset int64, stream *connect.ServerStream[nodev1.FetchChunkResponse]) (int64, error) {
	body, err := a.engine.OpenChunk(ctx, d, offset)
	if err != nil {
		a.weights.drop(d)
		return 0, connect.NewError(connect.CodeNotFound, err)
	}
	defer body.Close()
	sent := int64(0)
	buf := make([]byte, chunkMessage)
	for {
		n, err := io.ReadFull(body, buf)
		if n > 0 {
			if err := a.uploads.WaitN(ctx, n); err != nil {
				return sent, err
			}
			if err := stream.Send(&nodev1.FetchChunkResponse{Data: buf[:n]}); err != nil {
				return sent, err
			}
			sent += int64(n)
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return sent, nil
		}
		if err != nil {
			return sent, err
		}
	}
}

func (w *weights) countSent(n int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent += uint64(n)
}
