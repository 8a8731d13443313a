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

// Intervals and bounds of an exchange.
const (
	tickInterval       = 50 * time.Millisecond
	membersInterval    = 2 * time.Second
	defaultPollTimeout = 2 * time.Second
	blockSize          = 64 << 10 // bytes read between two looks at the pace
)

// Counters are the totals of an exchange.
type Counters struct {
	// BytesOrigin and BytesPeers were received, corrupt ones included.
	BytesOrigin, BytesPeers int64
	// CorruptChunks did not match their digest.
	CorruptChunks int64
	// ChunksStaged are verified and staged, those of earlier runs included.
	ChunksStaged int64
}

// Exchange brings the chunks of one manifest into the staging area of one
// instance. Counters may be called at any time, Run once.
type Exchange struct {
	manifest *model.Manifest
	self     member.Member
	seams    Callbacks
	options  []PickerOption
	log      *slog.Logger

	picker    *Picker
	members   map[string]member.Member
	transfers map[int]*transfer
	partials  map[int]*buffer
	buffers   buffers
	pace      map[string]*rate.Limiter
	download  *rate.Limiter
	fullRate  float64
	events    chan func(now time.Time)
	failure   error
	tasks     sync.WaitGroup

	listing     bool
	nextMembers time.Time
	pollTimeout time.Duration

	bytesOrigin, bytesPeers, corrupt, staged atomic.Int64
}

// Option sets a property of an Exchange.
type Option func(*Exchange)

// WithCallbacks sets the functions that move bytes; required.
func WithCallbacks(s Callbacks) Option {
	return func(x *Exchange) { x.seams = s }
}

// WithPickerOptions sets options of the decisions.
func WithPickerOptions(options ...PickerOption) Option {
	return func(x *Exchange) { x.options = append(x.options, options...) }
}

// WithDownloadRate bounds what the exchange receives, in bytes a second; 0 means
// no bound. Headroom scales it.
func WithDownloadRate(bytesPerSecond float64) Option {
	return func(x *Exchange) { x.fullRate = bytesPerSecond }
}

// WithPollTimeout bounds the wait for the chunk map of a peer. Nothing is drawn
// from outside of the region before every peer has answered or been given up.
func WithPollTimeout(d time.Duration) Option {
	return func(x *Exchange) { x.pollTimeout = d }
}

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(x *Exchange) { x.log = l }
}

// NewExchange returns the exchange of a manifest for the instance self.
func NewExchange(manifest *model.Manifest, self member.Member, options ...Option) *Exchange {
	x := &Exchange{
		manifest:  manifest,
		self:      self,
		log:       slog.New(slog.DiscardHandler),
		members:   make(map[string]member.Member),
		transfers: make(map[int]*transfer),
		partials:  make(map[int]*buffer),
		pace:      make(map[string]*rate.Limiter),
		download:  rate.NewLimiter(rate.Inf, blockSize),
		events:    make(chan func(time.Time), 64),

		pollTimeout: defaultPollTimeout,
	}
	for _, o := range options {
		o(x)
	}
	x.seams.fillDefaults()
	picker := append([]PickerOption{WithRand(x.seams.Rand)}, x.options...)
	x.picker = NewPicker(manifest, self, picker...)
	x.buffers = newBuffers(manifest)
	return x
}

// Counters returns the totals so far.
func (x *Exchange) Counters() Counters {
	return Counters{
		BytesOrigin:   x.bytesOrigin.Load(),
		BytesPeers:    x.bytesPeers.Load(),
		CorruptChunks: x.corrupt.Load(),
		ChunksStaged:  x.staged.Load(),
	}
}

// Run returns nil when every chunk of the manifest is verified and staged. Any
// other end gives an error: that of ctx, or one that wraps ErrStaging. All
// goroutines have ended when it returns.
func (x *Exchange) Run(ctx context.Context) error {
	if err := x.resume(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer x.tasks.Wait()
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !x.picker.Complete() {
		x.step(ctx, x.seams.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case event := <-x.events:
			event(x.seams.Now())
		}
		x.drainEvents()
		if x.failure != nil {
			return x.failure
		}
	}
	return nil
}

// resume marks what the staging area holds already.
func (x *Exchange) resume(ctx context.Context) error {
	kept, err := x.seams.Staged(ctx)
	if err != nil {
		return eris.Wrap(ErrStaging, err.Error())
	}
	held := make(map[digest.Digest]bool, len(kept))
	for _, d := range kept {
		held[d] = true
	}
	for i := range x.manifest.Chunks() {
		if held[x.manifest.Chunk(i).Digest()] {
			x.picker.MarkStaged(i)
		}
	}
	x.staged.Store(int64(x.picker.Staged().Count()))
	return nil
}

func (x *Exchange) drainEvents() {
	for {
		select {
		case event := <-x.events:
			event(x.seams.Now())
		default:
			return
		}
	}
}

// step carries out what the picker decides at now.
func (x *Exchange) step(ctx context.Context, now time.Time) {
	x.adjustPace()
	for id, t := range x.transfers {
		x.picker.Progress(now, id, t.got.Load())
	}
	for _, f := range x.picker.ToCancel(now) {
		x.transfers[f.ID].cancel()
	}
	if !x.listing && !now.Before(x.nextMembers) {
		x.listing = true
		x.tasks.Go(func() { x.listMembers(ctx) })
	}
	for _, name := range x.picker.PollTargets(now) {
		m := x.members[name]
		x.tasks.Go(func() { x.poll(ctx, m) })
	}
	for _, f := range x.picker.Next(now) {
		x.begin(ctx, f)
	}
}

// adjustPace gives way to live requests and takes the link back afterwards.
func (x *Exchange) adjustPace() {
	if x.fullRate <= 0 {
		return
	}
	share := min(max(x.seams.Headroom(), 0), 1)
	x.download.SetLimit(rate.Limit(max(x.fullRate*share, blockSize)))
}

func (x *Exchange) listMembers(ctx context.Context) {
	list, err := x.seams.ListPeers(ctx)
	x.report(ctx, func(now time.Time) {
		x.listing = false
		x.nextMembers = now.Add(membersInterval)
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
	pollContext, cancel := context.WithTimeout(ctx, x.pollTimeout)
	defer cancel()
	held, uploads, err := x.seams.ChunkMap(pollContext, m)
	x.report(ctx, func(now time.Time) {
		if err != nil {
			x.picker.RecordFailedPoll(now, m.Name())
			return
		}
		x.picker.RecordChunkMap(now, m.Name(), held, uploads)
	})
}

// report hands an event to the goroutine that owns the picker.
func (x *Exchange) report(ctx context.Context, event func(now time.Time)) {
	select {
	case x.events <- event:
	case <-ctx.Done():
	}
}
