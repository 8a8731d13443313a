package swarm

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/model"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// Intervals and limits of an exchange.
const (
	tickInterval       = 50 * time.Millisecond
	membersInterval    = 2 * time.Second
	defaultPollTimeout = 2 * time.Second
	readBlockSize      = 64 << 10 // bytes read per request to the rate limiters
)

// Counters are the cumulative counters of an exchange.
type Counters struct {
	// BytesOrigin and BytesPeers are the bytes received from the origin and from
	// peers, including corrupt ones.
	BytesOrigin, BytesPeers int64
	// CorruptChunks is the number of received chunks that did not match their digest.
	CorruptChunks int64
	// ChunksStaged is the number of verified and staged chunks, including those of
	// earlier runs.
	ChunksStaged int64
}

// Exchange downloads the chunks of one manifest into the staging area of one instance.
// Run may be called once. Counters may be called at any time, from any goroutine.
type Exchange struct {
	manifest  *model.Manifest
	self      member.Member
	callbacks Callbacks
	options   []PickerOption
	log       *slog.Logger

	picker          *Picker
	members         map[string]member.Member
	transfers       map[int]*transfer
	partials        map[int]*chunkBuffer
	buffers         bufferPool
	linkLimiters    map[string]*rate.Limiter
	downloadLimiter *rate.Limiter
	maxDownloadRate float64
	events          chan func(now time.Time)
	stagingErr      error
	tasks           sync.WaitGroup

	listingMembers bool
	nextListing    time.Time
	pollTimeout    time.Duration

	bytesOrigin, bytesPeers, corruptChunks, stagedChunks atomic.Int64
}

// Option sets an option of an Exchange.
type Option func(*Exchange)

// WithCallbacks sets the functions that the exchange calls; required.
func WithCallbacks(c Callbacks) Option {
	return func(x *Exchange) { x.callbacks = c }
}

// WithPickerOptions adds options of the Picker.
func WithPickerOptions(options ...PickerOption) Option {
	return func(x *Exchange) { x.options = append(x.options, options...) }
}

// WithDownloadRate limits the rate at which the exchange receives, in bytes per
// second; 0 means no limit. The limit is multiplied by Headroom.
func WithDownloadRate(bytesPerSecond float64) Option {
	return func(x *Exchange) { x.maxDownloadRate = bytesPerSecond }
}

// WithPollTimeout limits the wait for the chunk map of a peer. Nothing is fetched from
// outside the region until each polled peer in the region has answered or failed a
// poll.
func WithPollTimeout(d time.Duration) Option {
	return func(x *Exchange) { x.pollTimeout = d }
}

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(x *Exchange) { x.log = l }
}

// NewExchange returns an exchange that downloads the manifest for the instance self.
func NewExchange(manifest *model.Manifest, self member.Member, options ...Option) *Exchange {
	x := &Exchange{
		manifest:        manifest,
		self:            self,
		log:             slog.New(slog.DiscardHandler),
		members:         make(map[string]member.Member),
		transfers:       make(map[int]*transfer),
		partials:        make(map[int]*chunkBuffer),
		linkLimiters:    make(map[string]*rate.Limiter),
		downloadLimiter: rate.NewLimiter(rate.Inf, readBlockSize),
		events:          make(chan func(time.Time), 64),

		pollTimeout: defaultPollTimeout,
	}
	for _, o := range options {
		o(x)
	}
	x.callbacks.fillDefaults()
	picker := append([]PickerOption{WithRand(x.callbacks.Rand)}, x.options...)
	x.picker = NewPicker(manifest, self, picker...)
	x.buffers = newBufferPool(manifest)
	return x
}

// Counters returns the current values of the counters.
func (x *Exchange) Counters() Counters {
	return Counters{
		BytesOrigin:   x.bytesOrigin.Load(),
		BytesPeers:    x.bytesPeers.Load(),
		CorruptChunks: x.corruptChunks.Load(),
		ChunksStaged:  x.stagedChunks.Load(),
	}
}

// Run downloads until every chunk of the manifest is verified and staged, and then
// returns nil. Otherwise it returns the error of ctx or an error that wraps ErrStaging.
// All its goroutines have ended when it returns.
func (x *Exchange) Run(ctx context.Context) error {
	if err := x.loadStaged(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer x.tasks.Wait()
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !x.picker.Complete() {
		x.step(ctx, x.callbacks.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case event := <-x.events:
			event(x.callbacks.Now())
		}
		x.drainEvents()
		if x.stagingErr != nil {
			return x.stagingErr
		}
	}
	return nil
}

// loadStaged records the chunks that are already in the staging area.
func (x *Exchange) loadStaged(ctx context.Context) error {
	staged, err := x.callbacks.Staged(ctx)
	if err != nil {
		return eris.Wrap(ErrStaging, err.Error())
	}
	held := make(map[digest.Digest]bool, len(staged))
	for _, d := range staged {
		held[d] = true
	}
	for i := range x.manifest.Chunks() {
		if held[x.manifest.Chunk(i).Digest()] {
			x.picker.MarkStaged(i)
		}
	}
	x.stagedChunks.Store(int64(x.picker.Staged().Count()))
	return nil
}

func (x *Exchange) drainEvents() {
	for {
		select {
		case event := <-x.events:
			event(x.callbacks.Now())
		default:
			return
		}
	}
}

// step reports progress to the picker and carries out its decisions at now.
func (x *Exchange) step(ctx context.Context, now time.Time) {
	x.updateDownloadRate()
	for id, t := range x.transfers {
		x.picker.Progress(now, id, t.received.Load())
	}
	for _, f := range x.picker.ToCancel(now) {
		x.transfers[f.ID].cancel()
	}
	if !x.listingMembers && !now.Before(x.nextListing) {
		x.listingMembers = true
		x.tasks.Go(func() { x.listMembers(ctx) })
	}
	for _, name := range x.picker.PollTargets(now) {
		m := x.members[name]
		x.tasks.Go(func() { x.poll(ctx, m) })
	}
	for _, f := range x.picker.Next(now) {
		x.startTransfer(ctx, f)
	}
}

// updateDownloadRate scales the download rate limit by the share that live requests
// leave. The limit does not fall below one read block per second.
func (x *Exchange) updateDownloadRate() {
	if x.maxDownloadRate <= 0 {
		return
	}
	share := min(max(x.callbacks.Headroom(), 0), 1)
	x.downloadLimiter.SetLimit(rate.Limit(max(x.maxDownloadRate*share, readBlockSize)))
}

func (x *Exchange) listMembers(ctx context.Context) {
	list, err := x.callbacks.ListPeers(ctx)
	x.post(ctx, func(now time.Time) {
		x.listingMembers = false
		x.nextListing = now.Add(membersInterval)
		if err != nil {
			telemetry.PeersNotListed.Log(ctx, x.log, "error", err)
			return
		}
		clear(x.members)
		for _, m := range list {
			x.members[m.Name()] = m
		}
		x.picker.SetMembers(now, list)
	})
}

func (x *Exchange) poll(ctx context.Context, m member.Member) {
	pollCtx, cancel := context.WithTimeout(ctx, x.pollTimeout)
	defer cancel()
	held, uploads, err := x.callbacks.ChunkMap(pollCtx, m)
	x.post(ctx, func(now time.Time) {
		if err != nil {
			x.picker.RecordFailedPoll(now, m.Name())
			return
		}
		x.picker.RecordChunkMap(now, m.Name(), held, uploads)
	})
}

// post sends an event to the goroutine that owns the picker.
func (x *Exchange) post(ctx context.Context, event func(now time.Time)) {
	select {
	case x.events <- event:
	case <-ctx.Done():
	}
}
