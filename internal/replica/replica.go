// Package replica stages and loads the target version of the weights on the endpoint
// beside an agent. It is for platforms where the operators set a target version and the
// endpoint itself reports what it has loaded.
//
// The chunks are distributed by the exchange of package swarm: one copy in all is
// downloaded from the origin, the rest is exchanged between the agents. Chunks are verified
// as they arrive, and again by reading them back just before the endpoint is ordered to
// load them, since staged chunks may become corrupt. Endpoints load in waves, so that not
// all of them refuse requests at the same moment.
//
// # Usage
//
//	r := replica.New(self, callbacks, replica.WithVersionBound(8*time.Second))
//	done := r.Start(ctx)
//	r.SetTarget(replica.Target{Model: "faq-model", Version: 2})
//	r.Register(mux)
package replica

import (
	"context"
	"errors"
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

// Status is the state that the endpoint reports.
type Status struct {
	// Started is the start time of its process in Unix milliseconds.
	Started int64
	// Version is the version that is completely loaded, 0 for none.
	Version int64
	// Busy reports whether an order is in progress.
	Busy bool
	// Sequence is the number of orders that this process has accepted.
	Sequence int64
	// Active is the number of requests that it has accepted and not completed, Queued of
	// those that wait before.
	Active, Queued int
	// Pace is the factor by which it is slower than usual, 0 if it reports none.
	Pace float64
}

// Order is an order to load the staged chunks as they are when it is accepted.
type Order struct {
	// Model and Version are what the staged chunks are loaded as.
	Model   string
	Version int64
	// Sequence is a precondition: the endpoint rejects the order if it has accepted another
	// number of orders. So at most one of several orders with the same number is accepted,
	// however late.
	Sequence int64
	// Check must be called as the last step before the order is sent, after any wait for a
	// connection. The order must not be sent if it returns an error.
	Check func() error
}

// Callbacks are the functions through which a Replica calls the endpoint, the origin,
// the peers and the entries.
type Callbacks struct {
	// Status returns the state of the endpoint.
	Status func(ctx context.Context, model string) (Status, error)
	// ListStaged lists the indexes of the staged chunks, of any version.
	ListStaged func(ctx context.Context, model string) ([]int, error)
	// Stage writes a chunk into the endpoint's staging area, ReadStaged reads it back. The
	// error of Stage wraps ErrRejected if the chunk will not be written any more. A staged chunk
	// of more bytes than most is an error.
	Stage      func(ctx context.Context, model string, chunk int, data []byte) error
	ReadStaged func(ctx context.Context, model string, chunk int, most int64) ([]byte, error)
	// Load gives the endpoint an order. The error wraps ErrRejected, or is that of the
	// order's Check, if the order was not accepted and will not be; any other error says
	// that it may be accepted later.
	Load func(ctx context.Context, o Order) error
	// OriginManifest and OriginChunk read from the origin.
	OriginManifest func(ctx context.Context, model string, version int64) (*model.Manifest, error)
	OriginChunk    func(ctx context.Context, model string, version int64, chunk int) (io.ReadCloser, error)
	// ListPeers lists the agents of the service.
	ListPeers func(ctx context.Context) ([]member.Member, error)
	// Announce sends the entries a notice that the endpoint starts to load a version
	// and accepts no new requests, or that it has loaded it. If the notice is lost, the
	// entries find the state in the platform's list later.
	Announce func(ctx context.Context, model string, version int64, loading bool)
	// OriginRegion returns the region of the origin.
	OriginRegion func() string
	// PeerManifest requests a manifest from a peer; it returns nil if the peer has none.
	PeerManifest func(ctx context.Context, peer member.Member, model string, version int64) (*model.Manifest, error)
	// ChunkMap and FetchPeer send requests to a peer, as in swarm.Callbacks.
	ChunkMap  func(ctx context.Context, peer member.Member, m *model.Manifest) (swarm.Bitmap, int, error)
	FetchPeer func(ctx context.Context, peer member.Member, chunk digest.Digest, offset int64) (io.ReadCloser, error)
}

// Replica keeps one endpoint at the target version.
type Replica struct {
	self         member.Member
	callbacks    Callbacks
	logger       *slog.Logger
	now          func() time.Duration
	versionBound time.Duration
	uplink       *rate.Limiter
	wake         chan struct{}

	mu      sync.Mutex
	target  target
	targets []target // every target so far, oldest first
	staging stagingState
	uploads *swarm.UploadLimiter

	unanswered unansweredCalls

	// Used by the goroutine of Start only.
	verification verification
	pending      *pendingOrder // nil for none
}

// stagingState records which chunks of a manifest are verified and staged.
type stagingState struct {
	manifest *model.Manifest
	staged   []bool
	index    map[digest.Digest]int
}

// Option configures a Replica.
type Option func(*Replica)

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(r *Replica) { r.logger = l } }

// WithVersionBound sets the time after a target version was set from which no request
// may start on an older version; 0 for no bound.
func WithVersionBound(d time.Duration) Option { return func(r *Replica) { r.versionBound = d } }

// WithLink sets the bandwidth of the machine's link in bytes per second, of which
// uploads use at most uploadLinkFraction. The default is no limit.
func WithLink(bytesPerSecond float64) Option {
	return func(r *Replica) {
		if bytesPerSecond > 0 {
			r.uplink = rate.NewLimiter(rate.Limit(uploadLinkFraction*bytesPerSecond), 0)
		}
	}
}

// uploadLinkFraction is the fraction of the link's bandwidth for chunk uploads; the rest
// is for responses.
const uploadLinkFraction = 0.95

// WithClock sets the clock; the default is boottime.Now.
func WithClock(now func() time.Duration) Option { return func(r *Replica) { r.now = now } }

// New returns a Replica without a target version.
func New(self member.Member, callbacks Callbacks, options ...Option) *Replica {
	r := &Replica{
		self:      self,
		callbacks: callbacks,
		logger:    slog.New(slog.DiscardHandler),
		now:       boottime.Now,
		uplink:    rate.NewLimiter(rate.Inf, 0),
		wake:      make(chan struct{}, 1),

		unanswered:   newUnansweredCalls(),
		verification: verification{readers: 1},
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Intervals and timeouts of staging and loading.
const (
	// checkInterval is how often the endpoint's status is read to detect a restart.
	checkInterval    = time.Second
	retryInterval    = 300 * time.Millisecond
	loadPollInterval = 60 * time.Millisecond
	// announceDelay is the time between the announcement and the load order, in which
	// the last requests of the entries arrive.
	announceDelay = 30 * time.Millisecond
	// loadTimeout limits the wait for an endpoint to load. It includes the time in which
	// the endpoint completes its running requests.
	loadTimeout = 12 * time.Second
)

// ErrRejected is wrapped by the error of a call that the endpoint has not carried out and
// will not carry out.
var ErrRejected = eris.New("endpoint rejected the call")

// errSuperseded is returned for a version that is no longer the target.
var errSuperseded = eris.New("target version was superseded")

// Start runs the Replica until ctx is done. The returned channel is closed when it has
// ended.
func (r *Replica) Start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			r.waitForWake(ctx, r.reconcile(ctx))
		}
	}()
	return done
}

func (r *Replica) waitForWake(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.wake:
	case <-timer.C:
	}
}

// reconcile stages and loads the target version where the endpoint lacks it, and returns
// the delay until the next call.
func (r *Replica) reconcile(ctx context.Context) time.Duration {
	t := r.currentTarget()
	status, err := r.status(ctx, t.model)
	if err != nil {
		telemetry.EndpointNotReached.Log(ctx, r.logger, "error", err)
		return retryInterval
	}
	if t.model == "" {
		return r.idleInterval()
	}
	t = r.pinPending(t, status)
	err = r.stageAll(ctx, t)
	if err == nil && status.Version < t.version {
		err = r.load(ctx, t)
	}
	if errors.Is(err, errSuperseded) {
		return 0
	}
	if err != nil && ctx.Err() == nil {
		telemetry.WeightsIncomplete.Log(ctx, r.logger, "model", t.model, "version", t.version, "error", err)
		return retryInterval
	}
	return r.idleInterval()
}

// idleInterval returns the delay until the next call of reconcile while there is nothing to
// do. The endpoint is observed until all calls are settled, so that the next target need
// not wait for that.
func (r *Replica) idleInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unanswered.empty() {
		return checkInterval
	}
	return settleInterval
}

// stageAll stages every chunk of the target version. For a pinned version it takes
// pinnedStagingTime at most, since its chunks may not be available any more.
func (r *Replica) stageAll(ctx context.Context, t target) error {
	m, err := r.manifest(ctx, t)
	if err != nil {
		return err
	}
	if r.fullyStaged(m) {
		return nil
	}
	// An order of an earlier process takes what is staged when it is accepted.
	if err := r.awaitSettled(ctx, t, (*unansweredCalls).includesOrder); err != nil {
		return err
	}
	run, cancel := stagingContext(ctx, t)
	defer cancel()
	ended := make(chan error, 1)
	exchange := r.newExchange(m, t)
	go func() { ended <- exchange.Run(run) }()
	for {
		select {
		case err := <-ended:
			if err == nil {
				c := exchange.Counters()
				telemetry.WeightsStaged.Log(ctx, r.logger, "model", t.model, "version", t.version, "after", r.now()-t.setAt,
					"bytesOrigin", c.BytesOrigin, "bytesPeers", c.BytesPeers, "corrupt", c.CorruptChunks)
			}
			return err
		case <-r.wake:
			if r.superseded(t) {
				cancel()
				<-ended
				return errSuperseded
			}
		}
	}
}

// stagingContext returns the context in which a version is staged.
func stagingContext(ctx context.Context, t target) (context.Context, context.CancelFunc) {
	if t.pinned {
		return context.WithTimeout(ctx, pinnedStagingTime)
	}
	return context.WithCancel(ctx)
}

// manifest returns the manifest of the target version and initializes the record of its
// staged chunks.
func (r *Replica) manifest(ctx context.Context, t target) (*model.Manifest, error) {
	r.mu.Lock()
	s := r.staging
	r.mu.Unlock()
	if s.manifest != nil && s.manifest.Name() == t.model && s.manifest.Version() == formatVersion(t.version) {
		return s.manifest, nil
	}
	m, err := r.fetchManifest(ctx, t)
	if err != nil {
		telemetry.ManifestNotFetched.Log(ctx, r.logger, "model", t.model, "version", t.version, "error", err)
		return nil, err
	}
	next := stagingState{manifest: m, staged: make([]bool, m.Chunks()), index: make(map[digest.Digest]int)}
	for i := range m.Chunks() {
		next.index[m.Chunk(i).Digest()] = i
	}
	if s.manifest != nil {
		next.copyVerified(s)
	} else if err := r.verifyStaged(ctx, t, next); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.staging = next
	r.uplink.SetBurst(int(m.Chunk(0).Size())) // the burst is one chunk
	r.uploads = swarm.NewUploadLimiter(m.Size(), swarm.WithSlots(uploadSlots))
	return m, nil
}

// uploadSlots is the maximum number of concurrent uploads: one uses the full link and one
// is ready to follow. Further requests are refused, and the peers then download from those
// that have the chunk by that time, instead of delaying the first copy of another chunk.
const uploadSlots = 2

// copyVerified marks the chunks that the previous version has staged at the same index.
func (s stagingState) copyVerified(previous stagingState) {
	for i := range s.staged {
		if i < len(previous.staged) && previous.staged[i] {
			s.staged[i] = previous.manifest.Chunk(i).Digest() == s.manifest.Chunk(i).Digest()
		}
	}
}

func (r *Replica) fullyStaged(m *model.Manifest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.staging.manifest != m {
		return false
	}
	for _, staged := range r.staging.staged {
		if !staged {
			return false
		}
	}
	return true
}

func (r *Replica) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
