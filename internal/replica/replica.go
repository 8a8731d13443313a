// Package replica brings the weights that the operators name onto the endpoint
// beside an agent, where the platform names versions and the endpoint answers for
// itself what it has loaded.
//
// The chunks come by the exchange of package swarm: one copy from the origin in
// all, the rest between the agents. They are verified as they arrive, and again
// by reading them back just before the endpoint is told to load them, since staged
// chunks may turn bad. Endpoints load in waves, so that not all of them hold off
// requests at the same moment.
//
// # Usage
//
//	r := replica.New(self, seams, replica.WithVersionBound(8*time.Second))
//	ended := r.Start(ctx)
//	r.Want(replica.Naming{Model: "faq-model", Version: 2})
//	r.Register(mux)
package replica

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/primrosetally/primrosetally/internal/boottime"
	"github.com/primrosetally/primrosetally/internal/coordination/swarm"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/model"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// Status is what the endpoint says of itself.
type Status struct {
	// Started is the start of its process in Unix milliseconds.
	Started int64
	// Version is the version that is loaded whole, 0 for none.
	Version int64
	// Busy tells that an order is being carried out.
	Busy bool
}

// Callbacks are the functions through which a replica reaches its surroundings.
type Callbacks struct {
	// Status asks the endpoint for its state.
	Status func(ctx context.Context, model string) (Status, error)
	// ListStaged lists the chunks that are staged, of whatever version.
	ListStaged func(ctx context.Context, model string) ([]int, error)
	// Stage writes a chunk into the endpoint's staging area, Staged reads it back.
	Stage  func(ctx context.Context, model string, chunk int, data []byte) error
	ReadStaged func(ctx context.Context, model string, chunk int) ([]byte, error)
	// Load orders the endpoint to load what is staged as a version.
	Load func(ctx context.Context, model string, version int64) error
	// OriginManifest and Chunk read from the origin.
	OriginManifest func(ctx context.Context, model string, version int64) (*model.Manifest, error)
	OriginChunk    func(ctx context.Context, model string, version int64, chunk int) (io.ReadCloser, error)
	// ListPeers lists the agents of the service.
	ListPeers func(ctx context.Context) ([]member.Member, error)
	// Announce tells the entries that the endpoint begins to load a version and takes
	// no new work, or that it has loaded it. What is lost shows in the platform's
	// list later.
	Announce func(ctx context.Context, model string, version int64, holding bool)
	// OriginRegion returns the region in which the origin stands.
	OriginRegion func() string
	// PeerManifest asks a peer for a manifest; nil where it has none.
	PeerManifest func(ctx context.Context, peer member.Member, model string, version int64) (*model.Manifest, error)
	// ChunkMap and FetchPeer ask a peer, as in package swarm.
	ChunkMap  func(ctx context.Context, peer member.Member, m *model.Manifest) (swarm.Bitmap, int, error)
	FetchPeer func(ctx context.Context, peer member.Member, chunk digest.Digest, offset int64) (io.ReadCloser, error)
}

// Replica keeps one endpoint at the version that is named.
type Replica struct {
	self   member.Member
	seams  Callbacks
	logger *slog.Logger
	now    func() time.Duration
	bound  time.Duration
	uplink *rate.Limiter
	wake   chan struct{}

	mu      sync.Mutex
	wanted  want
	named   []want // every version that was named, oldest first
	held    holding
	uploads *swarm.UploadLimiter
}

// holding are the chunks of a manifest that are verified and staged.
type holding struct {
	manifest *model.Manifest
	staged   []bool
	index    map[digest.Digest]int
}

// Option sets a property of a Replica.
type Option func(*Replica)

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(r *Replica) { r.logger = l } }

// WithVersionBound sets the time from the naming of a version until no older one
// may start work; 0 for none.
func WithVersionBound(d time.Duration) Option { return func(r *Replica) { r.bound = d } }

// WithLink sets the bandwidth of the machine's link, in bytes a second, of which
// uploads take a share.
func WithLink(bytesPerSecond float64) Option {
	return func(r *Replica) {
		if bytesPerSecond > 0 {
			r.uplink = rate.NewLimiter(rate.Limit(uploadShare*bytesPerSecond), 0)
		}
	}
}

// uploadShare of the link is for chunks; the rest is for answers.
const uploadShare = 0.95

// WithClock sets the clock; the default is boottime.Now.
func WithClock(now func() time.Duration) Option { return func(r *Replica) { r.now = now } }

// New returns a replica that wants nothing yet.
func New(self member.Member, seams Callbacks, options ...Option) *Replica {
	r := &Replica{
		self:   self,
		seams:  seams,
		logger: slog.New(slog.DiscardHandler),
		now:    boottime.Now,
		uplink: rate.NewLimiter(rate.Inf, 0),
		wake:   make(chan struct{}, 1),
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Times of the work.
const (
	// checkInterval is how often the endpoint is asked whether it has restarted.
	checkInterval = time.Second
	retryInterval = 300 * time.Millisecond
	loadPoll      = 60 * time.Millisecond
	// announceTime lets the entries' last requests arrive before the order.
	announceTime = 30 * time.Millisecond
	// loadTimeout bounds the wait for an endpoint to load: it first finishes the
	// requests that it runs.
	loadTimeout = 12 * time.Second
)

// errSuperseded ends a pass whose version is no longer wanted.
var errSuperseded = eris.New("another version is wanted")

// Start begins the work; the channel is closed when it has ended.
func (r *Replica) Start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			r.pause(ctx, r.pass(ctx))
		}
	}()
	return done
}

func (r *Replica) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.wake:
	case <-timer.C:
	}
}

// pass brings the endpoint nearer to the wanted version and returns when to look
// again.
func (r *Replica) pass(ctx context.Context) time.Duration {
	w := r.current()
	if w.model == "" {
		return checkInterval
	}
	report, err := r.seams.Status(ctx, w.model)
	if err != nil {
		telemetry.EndpointNotReached.Log(ctx, r.logger, "error", err)
		return retryInterval
	}
	err = r.hold(ctx, w)
	if err == nil && report.Version < w.version {
		err = r.switchTo(ctx, w)
	}
	if err == errSuperseded {
		return 0
	}
	if err != nil && ctx.Err() == nil {
		telemetry.WeightsIncomplete.Log(ctx, r.logger, "model", w.model, "version", w.version, "error", err)
		return retryInterval
	}
	return checkInterval
}

// hold stages every chunk of the wanted version.
func (r *Replica) hold(ctx context.Context, w want) error {
	m, err := r.manifest(ctx, w)
	if err != nil {
		return err
	}
	if r.complete(m) {
		return nil
	}
	run, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 1)
	exchange := r.newExchange(m, w)
	go func() { ended <- exchange.Run(run) }()
	for {
		select {
		case err := <-ended:
			if err == nil {
				c := exchange.Counters()
				telemetry.WeightsStaged.Log(ctx, r.logger, "model", w.model, "version", w.version, "after", r.now()-w.since,
					"bytesOrigin", c.BytesOrigin, "bytesPeers", c.BytesPeers, "corrupt", c.CorruptChunks)
			}
			return err
		case <-r.wake:
			if r.superseded(w) {
				cancel()
				<-ended
				return errSuperseded
			}
		}
	}
}

// manifest returns the manifest of the wanted version and begins to count what is
// staged of it.
func (r *Replica) manifest(ctx context.Context, w want) (*model.Manifest, error) {
	r.mu.Lock()
	h := r.held
	r.mu.Unlock()
	if h.manifest != nil && h.manifest.Name() == w.model && h.manifest.Version() == versionText(w.version) {
		return h.manifest, nil
	}
	m, err := r.fetchManifest(ctx, w)
	if err != nil {
		telemetry.ManifestNotFetched.Log(ctx, r.logger, "model", w.model, "version", w.version, "error", err)
		return nil, err
	}
	next := holding{manifest: m, staged: make([]bool, m.Chunks()), index: make(map[digest.Digest]int)}
	for i := range m.Chunks() {
		next.index[m.Chunk(i).Digest()] = i
	}
	if h.manifest != nil {
		next.carry(h)
	} else if err := r.verifyHeld(ctx, w, next); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = next
	r.uplink.SetBurst(int(m.Chunk(0).Size())) // one chunk at a time
	r.uploads = swarm.NewUploadLimiter(m.Size(), swarm.WithSlots(uploadSlots))
	return m, nil
}

// uploadSlots is the number of uploads at a time: one fills the link and one is at
// hand. The next are refused and turn to those who have the chunk by then, instead of
// holding up the first copy of another chunk.
const uploadSlots = 2

// carry marks the chunks that the version before has staged at the same place.
func (h holding) carry(before holding) {
	for i := range h.staged {
		if i < len(before.staged) && before.staged[i] {
			h.staged[i] = before.manifest.Chunk(i).Digest() == h.manifest.Chunk(i).Digest()
		}
	}
}

// verifyHeld reads back what is staged of whatever version and marks the chunks
// that the manifest has at the same place.
func (r *Replica) verifyHeld(ctx context.Context, w want, h holding) error {
	list, err := r.seams.ListStaged(ctx, w.model)
	if err != nil {
		return err
	}
	for _, i := range list {
		if i < len(h.staged) {
			h.staged[i] = r.intact(ctx, w.model, h.manifest, i)
		}
	}
	return nil
}

func (r *Replica) intact(ctx context.Context, model string, m *model.Manifest, chunk int) bool {
	data, err := r.seams.ReadStaged(ctx, model, chunk)
	return err == nil && digest.Of(data) == m.Chunk(chunk).Digest()
}

func (r *Replica) complete(m *model.Manifest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held.manifest != m {
		return false
	}
	for _, staged := range r.held.staged {
		if !staged {
			return false
		}
	}
	return true
}

// readBack verifies every staged chunk and returns whether all are intact.
func (r *Replica) readBack(ctx context.Context, w want) bool {
	r.mu.Lock()
	h := r.held
	r.mu.Unlock()
	whole := true
	for i := range h.staged {
		if r.intact(ctx, w.model, h.manifest, i) {
			continue
		}
		whole = false
		telemetry.StagedChunkSpoilt.Log(ctx, r.logger, "model", w.model, "version", w.version, "chunk", i)
		r.mu.Lock()
		h.staged[i] = false
		r.mu.Unlock()
	}
	return whole
}

// switchTo has the endpoint load the staged version and waits until it has.
func (r *Replica) switchTo(ctx context.Context, w want) error {
	if err := r.awaitWave(ctx, w); err != nil {
		return err
	}
	if !r.readBack(ctx, w) {
		return eris.New("staged chunks are spoilt")
	}
	r.seams.Announce(ctx, w.model, w.version, true)
	r.sleep(ctx, announceTime)
	if err := r.seams.Load(ctx, w.model, w.version); err != nil {
		telemetry.EndpointNotOrdered.Log(ctx, r.logger, "model", w.model, "version", w.version, "error", err)
		return err
	}
	telemetry.EndpointOrdered.Log(ctx, r.logger, "model", w.model, "version", w.version, "after", r.now()-w.since)
	deadline := r.now() + loadTimeout
	for r.now() < deadline {
		r.sleep(ctx, loadPoll)
		report, err := r.seams.Status(ctx, w.model)
		if err != nil {
			return err
		}
		if report.Version >= w.version {
			r.seams.Announce(ctx, w.model, report.Version, false)
			telemetry.WeightsInService.Log(ctx, r.logger, "model", w.model, "version", w.version, "after", r.now()-w.since)
			return nil
		}
		if !report.Busy {
			return eris.New("endpoint is not loading")
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return eris.New("endpoint did not load in time")
}

func (r *Replica) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
