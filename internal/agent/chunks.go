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

// newExchange returns the exchange that transfers the chunks of m. Package swarm decides
// what to fetch from where; the callbacks perform the I/O.
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

// linkRate returns the rate of the links into this process's region, in bytes per
// second. It is the lower of the configured rate and the limit of WithRegionLinkRate.
func (a *Agent) linkRate(c *configtext.Config) float64 {
	for _, r := range c.Regions() {
		if r.Name() == a.node.Self().Region() {
			return min(float64(r.LinkBitsPerSecond())/bitsPerByte, a.regionLinkRate)
		}
	}
	return a.regionLinkRate
}

// peers returns the live agents of the same service.
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

// stagedChunks lists the chunks that are staged in the engine, so that a restarted agent
// resumes the transfer where its predecessor stopped.
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

// dropUnneededChunks removes the chunks from the staging area that are in neither m nor
// the target manifest. Removal of a chunk that fails is retried after the next switch.
func (a *Agent) dropUnneededChunks(ctx context.Context, m *model.Manifest) {
	needed := make(map[digest.Digest]bool, m.Chunks())
	for i := range m.Chunks() {
		needed[m.Chunk(i).Digest()] = true
	}
	for _, d := range a.weights.unneeded(needed) {
		if a.engine.DropChunk(ctx, d) == nil {
			a.weights.drop(d)
		}
	}
}

// unneeded returns the staged chunks that are in neither needed nor the target manifest,
// which may be newer than the manifest just loaded. It adds the chunks of the target
// manifest to needed.
func (w *weights) unneeded(needed map[digest.Digest]bool) []digest.Digest {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.target != nil {
		for i := range w.target.manifest.Chunks() {
			needed[w.target.manifest.Chunk(i).Digest()] = true
		}
	}
	var list []digest.Digest
	for d := range w.staged {
		if !needed[d] {
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

// ChunkMap returns which chunks of the requested manifest this agent can send. The
// bitmap is empty unless the manifest is the target.
func (h handler) ChunkMap(_ context.Context, r *connect.Request[nodev1.ChunkMapRequest]) (*connect.Response[nodev1.ChunkMapResponse], error) {
	w := &h.agent.weights
	w.mu.Lock()
	defer w.mu.Unlock()
	response := &nodev1.ChunkMapResponse{}
	if w.target == nil || string(w.target.manifest.ID().Bytes()) != string(r.Msg.GetManifest()) {
		return connect.NewResponse(response), nil
	}
	bitmap := swarm.NewBitmap(w.target.manifest.Chunks())
	for i := range w.target.manifest.Chunks() {
		if w.staged[w.target.manifest.Chunk(i).Digest()] {
			bitmap.Set(i)
		}
	}
	response.Bitmap = bitmap.Bytes()
	response.Uploads = uint32(w.target.uploads.ActiveInRegion())
	return connect.NewResponse(response), nil
}

// FetchChunk streams a staged chunk to a peer within the upload limits.
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
	remaining := size - int64(r.Msg.GetOffset())
	if remaining <= 0 {
		return connect.NewError(connect.CodeInvalidArgument, eris.Errorf("offset %d of %d bytes", r.Msg.GetOffset(), size))
	}
	crossRegion := a.isCrossRegion(r.Msg.GetFrom())
	admission := uploads.Admit(remaining, crossRegion)
	if !admission.Admitted {
		return chunks.Refuse(admission.RetryAfter)
	}
	sent, err := a.sendChunk(ctx, d, int64(r.Msg.GetOffset()), stream)
	uploads.Release(max(remaining-sent, 0), crossRegion)
	a.weights.addSent(sent)
	return err
}

// uploadOf returns the upload limiter for a chunk of the target manifest and the chunk's
// size in bytes. The limiter is nil if the chunk is not staged or not in that manifest.
func (w *weights) uploadOf(d digest.Digest) (*swarm.UploadLimiter, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.target == nil || !w.staged[d] {
		return nil, 0
	}
	for i := range w.target.manifest.Chunks() {
		if c := w.target.manifest.Chunk(i); c.Digest() == d {
			return w.target.uploads, c.Size()
		}
	}
	return nil, 0
}

// isCrossRegion reports whether a peer is in another region. It reports false for a peer
// that is not in the membership view.
func (a *Agent) isCrossRegion(from *nodev1.Origin) bool {
	p, ok := a.node.View().Get(from.GetName())
	return ok && p.Member().Region() != a.node.Self().Region()
}

// sendChunk streams a chunk from the staging area, starting at offset, and returns the
// number of bytes sent.
func (a *Agent) sendChunk(ctx context.Context, d digest.Digest, offset int64, stream *connect.ServerStream[nodev1.FetchChunkResponse]) (int64, error) {
	body, err := a.engine.OpenChunk(ctx, d, offset)
	if err != nil {
		a.weights.drop(d)
		return 0, connect.NewError(connect.CodeNotFound, err)
	}
	defer body.Close()
	sent := int64(0)
	buf := make([]byte, chunkMessageBytes)
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

func (w *weights) addSent(n int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent += uint64(n)
}
