package agent

import (
	"context"
	"io"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/model"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// errCorrupt is returned for a chunk whose bytes do not match its digest.
var errCorrupt = eris.New("chunk does not match its digest")

// Keys of the weights in the object store and in the origin.
const (
	ManifestPrefix = "manifests/"
	ChunkPrefix    = "chunks/"
)

// Bounds of the transfer.
const (
	maxFetches   = 4
	fetchTimeout = 30 * time.Second
	peersPause   = 50 * time.Millisecond
)

// weights tracks which chunks of the wanted manifest are staged.
type weights struct {
	mu          sync.Mutex
	wanted      *model.Manifest
	staged      map[digest.Digest]bool
	bytesOrigin uint64
	bytesPeers  uint64
	bytesSent   uint64
	corrupt     uint64
}

// complete returns the wanted manifest if it is the given one and all of its
// chunks are staged.
func (w *weights) complete(id digest.Digest) *model.Manifest {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wanted == nil || w.wanted.ID() != id || w.countStaged() < w.wanted.Chunks() {
		return nil
	}
	return w.wanted
}

// forget drops what was staged in an endpoint that has restarted.
func (w *weights) forget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.staged)
}

func (w *weights) countStaged() int {
	n := 0
	for i := range w.wanted.Chunks() {
		if w.staged[w.wanted.Chunk(i).Digest()] {
			n++
		}
	}
	return n
}

func (w *weights) describe(r *nodev1.EndpointReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.BytesOrigin = w.bytesOrigin
	r.BytesPeers = w.bytesPeers
	r.BytesSent = w.bytesSent
	r.CorruptChunks = w.corrupt
	if w.wanted != nil {
		r.WantedDigest = w.wanted.ID().Bytes()
		r.ChunksTotal = uint32(w.wanted.Chunks())
		r.ChunksStaged = uint32(w.countStaged())
	}
}

// weightsLoop keeps the chunks of the wanted manifest staged in the endpoint.
func (a *Agent) weightsLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := a.stageWanted(ctx); err != nil {
			telemetry.WeightsIncomplete.Log(ctx, a.node.Logger(), "error", err)
		}
		select {
		case <-ctx.Done():
		case <-a.node.Applied():
		case <-time.After(weightsRetry):
		}
	}
}

// stageWanted brings the chunks that are missing into the staging area.
func (a *Agent) stageWanted(ctx context.Context) error {
	s, ok := a.service()
	if !ok || s.Kind() == configtext.KindPlain {
		return nil
	}
	m, err := a.wantedManifest(ctx, s.Model().Manifest())
	if err != nil {
		return err
	}
	// The chunks that this instance draws from the origin come first: its peers
	// wait for them, and it must not wait for theirs before.
	own, others := a.split(m)
	for _, list := range [][]model.Chunk{own, others} {
		fetches := pool.New().WithMaxGoroutines(maxFetches)
		for _, c := range list {
			fetches.Go(func() { a.stageChunk(ctx, m, c) })
		}
		fetches.Wait()
	}
	return nil
}

// split returns the missing chunks that this instance draws from the origin and
// those that it gets from its peers.
func (a *Agent) split(m *model.Manifest) (own, others []model.Chunk) {
	peers := a.peers()
	for i := range m.Chunks() {
		c := m.Chunk((i + a.startChunk(m)) % m.Chunks())
		switch {
		case a.weights.has(c.Digest()):
		case rankFirst(a.node.Self(), peers, c.Digest()):
			own = append(own, c)
		default:
			others = append(others, c)
		}
	}
	return own, others
}

// startChunk spreads the instances over the chunks.
func (a *Agent) startChunk(m *model.Manifest) int {
	d := digest.Of([]byte(a.node.Self().Name()))
	return (int(d[0])<<8 | int(d[1])) % m.Chunks()
}

func (w *weights) has(d digest.Digest) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.staged[d]
}

func (a *Agent) wantedManifest(ctx context.Context, id digest.Digest) (*model.Manifest, error) {
	a.weights.mu.Lock()
	current := a.weights.wanted
	a.weights.mu.Unlock()
	if current != nil && current.ID() == id {
		return current, nil
	}
	data, err := a.node.Platform().Objects().Get(ctx, ManifestPrefix+id.String())
	if err != nil {
		return nil, eris.Wrap(err, "manifest")
	}
	if digest.Of(data) != id {
		return nil, eris.Wrap(errCorrupt, "manifest")
	}
	m, err := model.Parse(data)
	if err != nil {
		return nil, err
	}
	a.weights.mu.Lock()
	defer a.weights.mu.Unlock()
	a.weights.wanted = m
	return m, nil
}

// stageChunk fetches one chunk, verifies it and hands it to the endpoint.
func (a *Agent) stageChunk(ctx context.Context, m *model.Manifest, c model.Chunk) {
	for ctx.Err() == nil {
		data, fromOrigin, err := a.fetchChunk(ctx, m, c)
		if err == nil && digest.Of(data) != c.Digest() {
			err = errCorrupt
		}
		if err == nil {
			err = a.engine.PutChunk(ctx, c.Digest(), data)
		}
		a.weights.record(c, fromOrigin, err)
		a.countChunk(c, fromOrigin, err)
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(peersPause):
		}
	}
}

// countChunk adds the outcome of one fetch to the metrics.
func (a *Agent) countChunk(c model.Chunk, fromOrigin bool, err error) {
	m := a.node.Telemetry().Metrics()
	switch {
	case eris.Is(err, errCorrupt):
		m.CorruptChunks.Inc()
	case err != nil:
	case fromOrigin:
		m.ChunkBytes.WithLabelValues(telemetry.SourceOrigin).Add(float64(c.Size()))
	default:
		m.ChunkBytes.WithLabelValues(telemetry.SourcePeers).Add(float64(c.Size()))
	}
}

func (w *weights) record(c model.Chunk, fromOrigin bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if eris.Is(err, errCorrupt) {
		w.corrupt++
	}
	if err != nil {
		return
	}
	w.staged[c.Digest()] = true
	if fromOrigin {
		w.bytesOrigin += uint64(c.Size())
	} else {
		w.bytesPeers += uint64(c.Size())
	}
}

// errNoSource is returned while no peer has the chunk and another instance is
// the one that draws it from the origin.
var errNoSource = eris.New("no source has the chunk")

func (a *Agent) fetchChunk(ctx context.Context, m *model.Manifest, c model.Chunk) ([]byte, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	peers := a.peers()
	if rankFirst(a.node.Self(), peers, c.Digest()) {
		data, err := a.node.Platform().Origin().Get(ctx, ChunkPrefix+c.Digest().String())
		return data, true, err
	}
	for _, p := range peers {
		if a.peerHas(ctx, p, m, c) {
			data, err := a.fetchFromPeer(ctx, p, c)
			return data, false, err
		}
	}
	return nil, false, errNoSource
}

// peers returns the live members that serve the same service.
func (a *Agent) peers() []member.Member {
	var list []member.Member
	for _, m := range a.node.Members() {
		if m.Role() == member.RoleAgent && m.Service() == a.node.Self().Service() && m.Name() != a.node.Self().Name() {
			list = append(list, m)
		}
	}
	return list
}

// rankFirst reports whether self has the highest rendezvous weight for the chunk
// among the members of its region.
func rankFirst(self member.Member, peers []member.Member, chunk digest.Digest) bool {
	own := rendezvous(self.Name(), chunk)
	for _, p := range peers {
		if p.Region() == self.Region() && p.State() == member.StateLive && rendezvous(p.Name(), chunk) > own {
			return false
		}
	}
	return true
}

func rendezvous(name string, chunk digest.Digest) string {
	d := digest.Of(append([]byte(name), chunk[:]...))
	return string(d[:])
}

func (a *Agent) peerHas(ctx context.Context, p member.Member, m *model.Manifest, c model.Chunk) bool {
	request := &nodev1.ChunkMapRequest{Manifest: m.ID().Bytes()}
	answer, err := a.node.Pool().Agent(p.Address()).ChunkMap(ctx, connect.NewRequest(request))
	if err != nil {
		return false
	}
	bitmap := answer.Msg.GetBitmap()
	for i := range m.Chunks() {
		if m.Chunk(i).Digest() == c.Digest() {
			return i/8 < len(bitmap) && bitmap[i/8]&(1<<(i%8)) != 0
		}
	}
	return false
}

func (a *Agent) fetchFromPeer(ctx context.Context, p member.Member, c model.Chunk) ([]byte, error) {
	request := &nodev1.FetchChunkRequest{Digest: c.Digest().Bytes()}
	stream, err := a.node.Pool().Agent(p.Address()).FetchChunk(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	data := make([]byte, 0, c.Size())
	for stream.Receive() {
		data = append(data, stream.Msg().GetData()...)
		if int64(len(data)) > c.Size() {
			return nil, errCorrupt
		}
	}
	return data, stream.Err()
}

// ChunkMap tells which chunks of a manifest this agent can send.
func (h handler) ChunkMap(_ context.Context, r *connect.Request[nodev1.ChunkMapRequest]) (*connect.Response[nodev1.ChunkMapResponse], error) {
	w := &h.agent.weights
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := &nodev1.ChunkMapResponse{}
	if w.wanted == nil || string(w.wanted.ID().Bytes()) != string(r.Msg.GetManifest()) {
		return connect.NewResponse(answer), nil
	}
	answer.Bitmap = make([]byte, (w.wanted.Chunks()+7)/8)
	for i := range w.wanted.Chunks() {
		if w.staged[w.wanted.Chunk(i).Digest()] {
			answer.Bitmap[i/8] |= 1 << (i % 8)
		}
	}
	return connect.NewResponse(answer), nil
}

// FetchChunk streams a staged chunk to a peer within the upload budget.
func (h handler) FetchChunk(ctx context.Context, r *connect.Request[nodev1.FetchChunkRequest], stream *connect.ServerStream[nodev1.FetchChunkResponse]) error {
	a := h.agent
	d, err := digest.FromBytes(r.Msg.GetDigest())
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	body, err := a.engine.OpenChunk(ctx, d, int64(r.Msg.GetOffset()))
	if err != nil {
		return connect.NewError(connect.CodeNotFound, err)
	}
	defer body.Close()
	buf := make([]byte, chunkMessage)
	for {
		n, err := io.ReadFull(body, buf)
		if n > 0 {
			if err := a.uploads.WaitN(ctx, n); err != nil {
				return err
			}
			if err := stream.Send(&nodev1.FetchChunkResponse{Data: buf[:n]}); err != nil {
				return err
			}
			a.weights.sent(n)
			a.node.Telemetry().Metrics().ChunkBytes.WithLabelValues(telemetry.SourceSent).Add(float64(n))
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (w *weights) sent(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bytesSent += uint64(n)
}
