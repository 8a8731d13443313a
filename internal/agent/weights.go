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

// errCorrupt is returned for a manifest whose content does not match its digest.
var errCorrupt = eris.New("manifest does not match its digest")

// Key prefixes of manifests in the object store and of chunks in the origin.
const (
	ManifestPrefix = "manifests/"
	ChunkPrefix    = "chunks/"
)

// Constants of the transfer.
const (
	manifestTimeout = 10 * time.Second
	bitsPerByte     = 8
)

// weights tracks the transfer of the target manifest's chunks into the staging area.
type weights struct {
	mu     sync.Mutex
	target *transfer // nil until a configuration with weights is applied
	staged map[digest.Digest]bool
	ended  swarm.Counters // totals of the transfers that have ended
	sent   uint64         // bytes sent to peers
}

// transfer is the transfer of one manifest to this instance.
type transfer struct {
	manifest *model.Manifest
	exchange *swarm.Exchange
	uploads  *swarm.UploadLimiter
}

// complete returns the target manifest if its digest is id and all of its chunks are
// staged, and nil otherwise.
func (w *weights) complete(id digest.Digest) *model.Manifest {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.target == nil || w.target.manifest.ID() != id || w.countStaged() < w.target.manifest.Chunks() {
		return nil
	}
	return w.target.manifest
}

// targetID returns the target manifest's digest, or the zero digest if there is none.
func (w *weights) targetID() digest.Digest {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.target == nil {
		return digest.Digest{}
	}
	return w.target.manifest.ID()
}

// clearStaged discards the record of staged chunks, for an endpoint that has restarted.
func (w *weights) clearStaged() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.staged)
}

func (w *weights) countStaged() int {
	n := 0
	for i := range w.target.manifest.Chunks() {
		if w.staged[w.target.manifest.Chunk(i).Digest()] {
			n++
		}
	}
	return n
}

func (w *weights) fillReport(r *nodev1.EndpointReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.ended
	if w.target != nil {
		c = sum(c, w.target.exchange.Counters())
		r.WantedDigest = w.target.manifest.ID().Bytes()
		r.ChunksTotal = uint32(w.target.manifest.Chunks())
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

// setTarget replaces the current transfer and adds its counters to the totals of ended
// transfers.
func (w *weights) setTarget(t *transfer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.target != nil {
		w.ended = sum(w.ended, w.target.exchange.Counters())
	}
	w.target = t
}

// weightsLoop keeps the chunks of the target manifest staged in the endpoint. A new
// configuration with another manifest cancels the transfer in progress; chunks that the
// two manifests share stay staged.
func (a *Agent) weightsLoop(ctx context.Context) {
	for ctx.Err() == nil {
		stagingCtx, cancel := context.WithCancel(ctx)
		result := make(chan error, 1)
		go func() { result <- a.stageTarget(stagingCtx) }()
		err := a.awaitStaging(ctx, result)
		cancel()
		if err == errSuperseded {
			<-result
			continue
		}
		if err != nil && ctx.Err() == nil {
			telemetry.WeightsIncomplete.Log(ctx, a.node.Logger(), "error", err)
		}
		select {
		case <-ctx.Done():
		case <-a.node.Applied():
		case <-time.After(weightsRetryInterval):
		}
	}
}

// errSuperseded is returned when the target manifest changes during a transfer.
var errSuperseded = eris.New("another manifest is wanted")

// awaitStaging waits for the result of staging and returns it. It returns errSuperseded
// without waiting further if the target manifest changes.
func (a *Agent) awaitStaging(ctx context.Context, result <-chan error) error {
	for {
		select {
		case err := <-result:
			return err
		case <-a.node.Applied():
			if a.targetChanged() {
				return errSuperseded
			}
		case <-ctx.Done():
			return <-result
		}
	}
}

func (a *Agent) targetChanged() bool {
	s, ok := a.service()
	if !ok || s.Kind() == configtext.KindPlain {
		return false
	}
	a.weights.mu.Lock()
	defer a.weights.mu.Unlock()
	return a.weights.target == nil || a.weights.target.manifest.ID() != s.Model().Manifest()
}

// stageTarget stages the chunks of the target manifest. It returns nil once all of them
// are staged, and for a service without weights.
func (a *Agent) stageTarget(ctx context.Context) error {
	s, ok := a.service()
	if !ok || s.Kind() == configtext.KindPlain {
		return nil
	}
	id := s.Model().Manifest()
	if a.weights.complete(id) != nil {
		return nil
	}
	m, err := a.targetManifest(ctx, id)
	if err != nil {
		return err
	}
	t := &transfer{manifest: m, uploads: a.uploadsFor(m), exchange: a.newExchange(m, s)}
	a.weights.setTarget(t)
	return t.exchange.Run(ctx)
}

// uploadsFor returns the upload limiter for a manifest. Repeated transfers of the same
// manifest share one limiter.
func (a *Agent) uploadsFor(m *model.Manifest) *swarm.UploadLimiter {
	a.weights.mu.Lock()
	defer a.weights.mu.Unlock()
	if w := a.weights.target; w != nil && w.manifest.ID() == m.ID() {
		return w.uploads
	}
	return swarm.NewUploadLimiter(m.Size())
}

func (a *Agent) targetManifest(ctx context.Context, id digest.Digest) (*model.Manifest, error) {
	a.weights.mu.Lock()
	current := a.weights.target
	a.weights.mu.Unlock()
	if current != nil && current.manifest.ID() == id {
		return current.manifest, nil
	}
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	data, err := a.node.Platform().Objects().Get(ctx, ManifestPrefix+id.String())
	if err != nil {
		return nil, eris.Wrap(err, "fetch manifest")
	}
	if digest.Of(data) != id {
		return nil, errCorrupt
	}
	return model.Parse(data)
}
