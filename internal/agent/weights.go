package agent

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/coordination/swarm"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/model"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// errCorrupt is returned for a manifest whose bytes do not match its digest.
var errCorrupt = eris.New("manifest does not match its digest")

// Keys of the weights in the object store and in the origin.
const (
	ManifestPrefix = "manifests/"
	ChunkPrefix    = "chunks/"
)

// Bounds of the transfer.
const (
	manifestTimeout = 10 * time.Second
	bitsPerByte     = 8
)

// weights tracks the transfer of the wanted manifest into the staging area.
type weights struct {
	mu     sync.Mutex
	wanted *transfer // nil before the first configuration with weights
	staged map[digest.Digest]bool
	past   swarm.Counters // of transfers that have ended
	sent   uint64         // bytes
}

// transfer is the transfer of one manifest on this instance.
type transfer struct {
	manifest *model.Manifest
	exchange *swarm.Exchange
	uploads  *swarm.UploadLimiter
}

// complete returns the wanted manifest if it is the given one and all of its
// chunks are staged.
func (w *weights) complete(id digest.Digest) *model.Manifest {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wanted == nil || w.wanted.manifest.ID() != id || w.countStaged() < w.wanted.manifest.Chunks() {
		return nil
	}
	return w.wanted.manifest
}

// wantedID returns the wanted manifest's digest, zero if there is none.
func (w *weights) wantedID() digest.Digest {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wanted == nil {
		return digest.Digest{}
	}
	return w.wanted.manifest.ID()
}

// forget drops what was staged in an endpoint that has restarted.
func (w *weights) forget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.staged)
}

func (w *weights) countStaged() int {
	n := 0
	for i := range w.wanted.manifest.Chunks() {
		if w.staged[w.wanted.manifest.Chunk(i).Digest()] {
			n++
		}
	}
	return n
}

func (w *weights) describe(r *nodev1.EndpointReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.past
	if w.wanted != nil {
		c = sum(c, w.wanted.exchange.Counters())
		r.WantedDigest = w.wanted.manifest.ID().Bytes()
		r.ChunksTotal = uint32(w.wanted.manifest.Chunks())
		r.ChunksStaged = uint32(w.countStaged())
	}
	r.BytesOrigin = uint64(c.BytesOrigin)
	r.BytesPeers = uint64(c.BytesPeers)
	r.BytesSent = w.sent
	r.CorruptChunks = uint64(c.CorruptChunks)
}

func sum(a, b swarm.Counters) swarm.Counters {
	a.BytesOrigin += b.BytesOrigin
	a.BytesPeers += b.BytesPeers
	a.CorruptChunks += b.CorruptChunks
	return a
}

// setWanted replaces the transfer and keeps the totals of the one before.
func (w *weights) setWanted(r *transfer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wanted != nil {
		w.past = sum(w.past, w.wanted.exchange.Counters())
	}
	w.wanted = r
}

// weightsLoop keeps the chunks of the wanted manifest staged in the endpoint. A
// new configuration that wants another manifest ends the transfer in progress;
// the chunks that both share stay staged.
func (a *Agent) weightsLoop(ctx context.Context) {
	for ctx.Err() == nil {
		passCtx, cancel := context.WithCancel(ctx)
		pass := make(chan error, 1)
		go func() { pass <- a.stageWanted(passCtx) }()
		err := a.awaitPass(ctx, pass)
		cancel()
		if err == errSuperseded {
			<-pass
			continue
		}
		if err != nil && ctx.Err() == nil {
			telemetry.WeightsIncomplete.Log(ctx, a.node.Logger(), "error", err)
		}
		select {
		case <-ctx.Done():
		case <-a.node.Applied():
		case <-time.After(weightsRetry):
		}
	}
}

// errSuperseded ends a pass whose manifest is no longer wanted.
var errSuperseded = eris.New("another manifest is wanted")

// awaitPass returns the end of a pass, or errSuperseded.
func (a *Agent) awaitPass(ctx context.Context, pass <-chan error) error {
	for {
		select {
		case err := <-pass:
			return err
		case <-a.node.Applied():
			if a.wantedChanged() {
				return errSuperseded
			}
		case <-ctx.Done():
			return <-pass
		}
	}
}

func (a *Agent) wantedChanged() bool {
	s, ok := a.service()
	if !ok || s.Kind() == configtext.KindPlain {
		return false
	}
	a.weights.mu.Lock()
	defer a.weights.mu.Unlock()
	return a.weights.wanted == nil || a.weights.wanted.manifest.ID() != s.Model().Manifest()
}

// stageWanted returns nil when every chunk of the wanted manifest is staged.
func (a *Agent) stageWanted(ctx context.Context) error {
	s, ok := a.service()
	if !ok || s.Kind() == configtext.KindPlain {
		return nil
	}
	id := s.Model().Manifest()
	if a.weights.complete(id) != nil {
		return nil
	}
	m, err := a.wantedManifest(ctx, id)
	if err != nil {
		return err
	}
	r := &transfer{manifest: m, uploads: a.uploadsFor(m), exchange: a.newExchange(m, s)}
	a.weights.setWanted(r)
	return r.exchange.Run(ctx)
}

// uploadsFor keeps the upload budget of a manifest over several passes.
func (a *Agent) uploadsFor(m *model.Manifest) *swarm.UploadLimiter {
	a.weights.mu.Lock()
	defer a.weights.mu.Unlock()
	if w := a.weights.wanted; w != nil && w.manifest.ID() == m.ID() {
		return w.uploads
	}
	return swarm.NewUploadLimiter(m.Size())
}

func (a *Agent) wantedManifest(ctx context.Context, id digest.Digest) (*model.Manifest, error) {
	a.weights.mu.Lock()
	current := a.weights.wanted
	a.weights.mu.Unlock()
	if current != nil && current.manifest.ID() == id {
		return current.manifest, nil
	}
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	data, err := a.node.Platform().Objects().Get(ctx, ManifestPrefix+id.String())
	if err != nil {
		return nil, eris.Wrap(err, "manifest")
	}
	if digest.Of(data) != id {
		return nil, errCorrupt
	}
	return model.Parse(data)
}
